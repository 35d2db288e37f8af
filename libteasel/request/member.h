#ifndef TEASEL_REQUEST_MEMBER_H
#define TEASEL_REQUEST_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/list.h"
#include "request/outlier.h"
#include "request/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct member_table member_table_t;

/**
 * struct member_load - load of an executor as its agent reported it
 * @sequence: orders the reports of one incarnation
 */
typedef struct member_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots;
    uint32_t service_time_us;
    bool leaving;
    uint64_t config_next;
    uint64_t sequence;
} member_load_t;

/**
 * struct member_hello - how an agent introduces itself
 */
typedef struct member_hello {
    const char *agent_id;
    uint64_t incarnation;
    const char *data_centre;
    const char *rack;
    const char *const *services;
    size_t service_count;
    member_load_t load;
} member_hello_t;

/**
 * struct member - an agent that an entry knows
 * @connection: NULL while it is not connected
 * @has_left: it sent Leave; stays so for this incarnation
 * @drained: an operator drains it
 * @local: it is in the data centre of the entry
 * @in_flight: requests of this entry that it has not answered
 * @sent: requests of this entry that its last report cannot include
 */
typedef struct member {
    list_t link;
    char *agent_id;
    uint64_t incarnation;
    char *data_centre;
    char *rack;
    char **services;
    void *connection;
    member_load_t load;
    bool has_left;
    bool drained;
    bool local;
    uint32_t in_flight;
    uint32_t sent;
    struct timespec last_report;
    outlier_t outlier;
} member_t;

/**
 * struct member_group - members of one service
 */
typedef struct member_group {
    GPtrArray *local;
    GPtrArray *remote;
} member_group_t;

/**
 * struct member_table_opts - options of member_table_new()
 * @data_centre: of the entry
 * @fresh_ms: a member with an older report gets no requests
 * @keep_ms: how long a member without connection is remembered, so that a
 *     late Hello of an older incarnation is refused
 */
typedef struct member_table_opts {
    const clock_source_t *clock;
    const char *data_centre;
    uint64_t fresh_ms;
    uint64_t keep_ms;
    outlier_opts_t outlier;
} member_table_opts_t;

member_table_t *member_table_new(const member_table_opts_t *opts);
void member_table_free(member_table_t *table);

/**
 * member_table_join() - handle a Hello
 * @replaced: connection that the caller must close, or NULL
 *
 * Return: NULL if a newer incarnation is known; nothing changes then.
 */
member_t *member_table_join(member_table_t *table, const member_hello_t *hello,
                            void *connection, void **replaced);

/**
 * member_table_update_load() - handle a load report
 *
 * Return: false if a newer report of this incarnation is known.
 */
bool member_table_update_load(member_table_t *table, member_t *member,
                              const member_load_t *load);

/**
 * member_table_disconnect() - the connection of a member is gone
 */
void member_table_disconnect(member_table_t *table, member_t *member);

/**
 * member_table_expire() - forget members without connection after keep_ms
 */
void member_table_expire(member_table_t *table);

member_t *member_table_find(const member_table_t *table, const char *agent_id);

/**
 * member_table_get_group() - members of a service; NULL if none ever joined
 *
 * The order of the arrays is free for the caller to change.
 */
member_group_t *member_table_get_group(const member_table_t *table,
                                       const char *service);

/**
 * member_table_get_members() - head of the list of all members
 */
const list_t *member_table_get_members(const member_table_t *table);

unsigned member_table_count_connected(const member_table_t *table);
outlier_set_t *member_table_get_outliers(member_table_t *table);

/**
 * member_is_usable() - connected, fresh, not leaving and not ejected
 */
bool member_is_usable(const member_table_t *table, const member_t *member,
                      struct timespec now);

/**
 * member_begin_request() - a request is sent to a member
 *
 * Return: true if it probes a member that returns from ejection.
 */
bool member_begin_request(member_t *member);

/**
 * member_end_request() - a request ended
 * @probe: result of member_begin_request()
 *
 * Return: true if the member is ejected for that.
 */
bool member_end_request(member_table_t *table, member_t *member, bool probe,
                        verdict_t verdict);

/**
 * member_estimate_load() - requests at the member, as far as this entry knows
 */
uint32_t member_estimate_load(const member_t *member);

#ifdef __cplusplus
}
#endif

#endif
