#ifndef TEASEL_OPERATOR_CTL_PLAN_H
#define TEASEL_OPERATOR_CTL_PLAN_H

#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ctl_step - one ticket of a plan
 * @path: path of the ticket file
 * @skipped: the ticket is from a directory and its number is lower than all
 *     ticket numbers that the configuration retains
 * @result: result of applying the ticket after the steps before it
 * @changes: JSON object from object name to {"change", "keys"}; NULL if
 *     @skipped
 */
typedef struct ctl_step {
    char *path;
    ticket_t *ticket;
    bool skipped;
    config_result_t result;
    struct json_object *changes;
} ctl_step_t;

/**
 * ctl_plan_load() - read a ticket file, or all *.json files of a directory
 *
 * Return: array of ctl_step_t in the order of the ticket numbers; NULL if a
 * file is invalid or two files have the same number.
 */
GPtrArray *ctl_plan_load(const char *path, GError **error);

/**
 * ctl_plan_dry_run() - apply all steps to a copy of the configuration
 * @config: configuration in force
 * @is_directory: skip steps whose number is lower than all ticket numbers that
 *     @config retains
 * @error: reason and file of the first refused step
 *
 * Sets the result and the changes of each step.
 */
bool ctl_plan_dry_run(GPtrArray *steps, const config_t *config,
                      bool is_directory, GError **error);

/**
 * ctl_plan_fill_record() - initialise @body and @record as a ticket record
 * @ticket: must outlive the record, which points to its strings
 */
void ctl_plan_fill_record(const ticket_t *ticket, Teasel__Ticket *body,
                          Teasel__LogRecord *record);

#ifdef __cplusplus
}
#endif

#endif
