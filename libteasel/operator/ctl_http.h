#ifndef TEASEL_OPERATOR_CTL_HTTP_H
#define TEASEL_OPERATOR_CTL_HTTP_H

#include "base/http_client.h"
#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct ctl_fetch - an HTTP request to an entry and its response
 * @address: IPv4:PORT; borrowed
 * @method: HTTP method; borrowed
 * @target: path; borrowed
 * @body: JSON body; borrowed, may be NULL
 * @ok: a complete response was received, with any status
 * @sent: false if the entry has definitely not run the request
 * @kind: error kind if @ok is false
 * @status: HTTP status if @ok is true
 * @text: body of the response, or the reason why there is none; owned
 * @client: used by ctl_fetch_all() only
 * @pending: used by ctl_fetch_all() only
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
 * ctl_fetch_all() - send all requests at once and wait for all responses
 *
 * Free the results with ctl_fetch_clear().
 */
void ctl_fetch_all(ctl_t *ctl, ctl_fetch_t *fetches, size_t count,
                   int64_t timeout_ms);
void ctl_fetch_clear(ctl_fetch_t *fetch);

/**
 * ctl_fetch_any() - send a request to the first reachable entry
 * @status: set to the HTTP status if an entry responded
 * @error: kind and detail of the problem document if the status is not 2xx
 *
 * Tries the next entry only if the request was definitely not run, or if it
 * is a GET.
 *
 * Return: the parsed response if its status is 2xx, otherwise NULL.
 */
struct json_object *ctl_fetch_any(ctl_t *ctl, const char *method,
                                  const char *target, const char *body,
                                  int *status, GError **error);

#ifdef __cplusplus
}
#endif

#endif
