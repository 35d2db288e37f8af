#ifndef TEASEL_OPERATOR_CTL_HTTP_H
#define TEASEL_OPERATOR_CTL_HTTP_H

#include "base/http_client.h"
#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ctl_fetch - a request to an entry and its answer
 * @address: IPv4:PORT, not owned
 * @body: may be NULL
 * @ok: a whole answer came
 * @sent: false if the request was definitely not run
 * @kind: if not @ok
 * @text: body of the answer, or the reason for having none
 */
typedef struct ctl_fetch {
    const char *address;
    const char *method;
    const char *target;
    const char *body;
    bool ok;
    bool sent;
    error_kind_t kind;
    int status;
    char *text;
    http_client_t *client;
    unsigned *pending;
} ctl_fetch_t;

/**
 * ctl_fetch_all() - send all requests at once and wait for all answers
 */
void ctl_fetch_all(ctl_t *ctl, ctl_fetch_t *fetches, size_t count,
                   int64_t timeout_ms);
void ctl_fetch_clear(ctl_fetch_t *fetch);

/**
 * ctl_fetch_any() - send a request to the first entry that can be reached
 *
 * Goes on to the next entry only if the request was definitely not run, or
 * if it is a GET.
 * Return: the parsed answer if its status is 2xx; otherwise NULL with the
 * kind that the problem document names in @error.
 */
struct json_object *ctl_fetch_any(ctl_t *ctl, const char *method,
                                  const char *target, const char *body,
                                  int *status, GError **error);

#ifdef __cplusplus
}
#endif

#endif
