#ifndef TEASEL_CALLER_PROBLEM_H
#define TEASEL_CALLER_PROBLEM_H

#include <stdbool.h>

#include "base/error.h"
#include "base/http_server.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct problem - an error answer of the entry
 * @maybe_run: true: member "executed" is "unknown"; false: it is "no", which
 *     guarantees that the request was not run and will not be run
 * @detail: describes this occurrence and names the input; may be NULL
 */
typedef struct problem {
    error_kind_t kind;
    bool maybe_run;
    const char *detail;
} problem_t;

/**
 * problem_get_status() - return the HTTP status of a problem
 */
int problem_get_status(const problem_t *problem);

/**
 * problem_render() - render a problem document (RFC 9457); free with g_free()
 */
char *problem_render(const problem_t *problem);

/**
 * problem_reply() - answer an exchange with a problem document
 */
void problem_reply(http_exchange_t *exchange, const problem_t *problem);

#ifdef __cplusplus
}
#endif

#endif
