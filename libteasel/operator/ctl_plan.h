#ifndef TEASEL_OPERATOR_CTL_PLAN_H
#define TEASEL_OPERATOR_CTL_PLAN_H

#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ctl_step - a ticket of a file
 * @path: of the file
 * @skipped: in a directory, the number is below those that are remembered
 * @result: what would become of the ticket after the steps before it
 * @changes: JSON object from object name to {"change", "keys"}
 */
typedef struct ctl_step {
    char *path;
    ticket_t *ticket;
    bool skipped;
    config_result_t result;
    struct json_object *changes;
} ctl_step_t;

/**
 * ctl_plan_load() - read a ticket, or all *.json files of a directory
 *
 * Return: ctl_step_t in the order of their numbers; NULL if a file is invalid
 * or two files have the same number.
 */
GPtrArray *ctl_plan_load(const char *path, GError **error);

/**
 * ctl_plan_try() - try all steps on a copy of the state in force
 * @is_directory: numbers below the remembered ones are skipped
 * @error: the first refusal, naming its file
 */
bool ctl_plan_try(GPtrArray *steps, const config_t *config, bool is_directory,
                  GError **error);

/**
 * ctl_plan_fill_record() - make the log record of a ticket, which it borrows
 */
void ctl_plan_fill_record(const ticket_t *ticket, Teasel__Ticket *body,
                          Teasel__LogRecord *record);

#ifdef __cplusplus
}
#endif

#endif
