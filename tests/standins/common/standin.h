#ifndef TEASEL_TESTS_STANDIN_H
#define TEASEL_TESTS_STANDIN_H

/* Parts that the stand-ins share. */

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/http_server.h"
#include "base/loop.h"

/* One key of POST /standin/fault; the field is an int64_t. */
typedef struct standin_fault {
    const char *key;
    size_t offset;
} standin_fault_t;

extern loop_t *standin_loop;

int64_t standin_now_ms(void);
int64_t standin_wall_ms(void);
int64_t standin_get_int(json_object *object, const char *key,
                        int64_t fallback);
const char *standin_get_string(json_object *object, const char *key,
                               const char *fallback);
void standin_add_int(json_object *object, const char *key, int64_t value);
void standin_add_string(json_object *object, const char *key,
                        const char *value);

/* Value of a query parameter, or the fallback. */
double standin_get_query(const http_exchange_t *exchange, const char *key,
                         double fallback);

/* One unit of a counted fault. */
bool standin_take(int64_t *counter);

/* These two free @body. */
void standin_reply_json(http_exchange_t *exchange, int status,
                        json_object *body);
void standin_reply_later(http_exchange_t *exchange, int64_t ms, int status,
                         json_object *body);
void standin_reply_error(http_exchange_t *exchange, int status,
                         const char *text);

/* Parses the body, or answers 400 and returns NULL. */
json_object *standin_parse_body(http_exchange_t *exchange);

/* Sets the fields of the keys that are present. */
void standin_set_faults(json_object *body, const standin_fault_t *table,
                        void *faults);

/* Both end the program on errors. */
void standin_parse_options(int argc, char **argv, const GOptionEntry *entries);
http_server_t *standin_listen(const char *address, const http_route_t *routes);

void standin_run(void);

#endif
