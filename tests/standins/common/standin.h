#ifndef TEASEL_TESTS_STANDIN_H
#define TEASEL_TESTS_STANDIN_H

/* Functions that the stand-ins share: JSON, faults, replies and start-up. */

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/http_server.h"
#include "base/loop.h"

/* Maps a key of POST /standin/fault to an int64_t field of the faults. */
typedef struct standin_fault {
    const char *key;
    size_t offset;
} standin_fault_t;

extern loop_t *standin_loop;

int64_t standin_now_ms(void);
int64_t standin_wall_ms(void);
/* Return: value of the key, or @fallback if it is missing. */
int64_t standin_get_int(json_object *object, const char *key,
                        int64_t fallback);
const char *standin_get_string(json_object *object, const char *key,
                               const char *fallback);
void standin_add_int(json_object *object, const char *key, int64_t value);
void standin_add_string(json_object *object, const char *key,
                        const char *value);

/* Return: number in the query parameter, or @fallback if it is missing. */
double standin_get_query(const http_exchange_t *exchange, const char *key,
                         double fallback);

/* Return: true if a counted fault is due; decrements @counter in that case. */
bool standin_consume_fault(int64_t *counter);

/* Reply with JSON, the second function after @ms; both free @body. */
void standin_reply_json(http_exchange_t *exchange, int status,
                        json_object *body);
void standin_reply_later(http_exchange_t *exchange, int64_t ms, int status,
                         json_object *body);
void standin_reply_error(http_exchange_t *exchange, int status,
                         const char *text);

/* Return: parsed JSON object, or NULL after a reply with status 400. */
json_object *standin_parse_body(http_exchange_t *exchange);

/* Set the field of each key of @table that @body has. */
void standin_set_faults(json_object *body, const standin_fault_t *table,
                        void *faults);

/* Both exit with a message on standard error if they fail. */
void standin_parse_options(int argc, char **argv, const GOptionEntry *entries);
http_server_t *standin_listen(const char *address, const http_route_t *routes);

/* Run the loop until SIGTERM, SIGINT or SIGHUP. */
void standin_run(void);

#endif
