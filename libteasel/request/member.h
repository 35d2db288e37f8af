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
 * struct member_load - load of an executor as reported by its agent
 * @leaving: the agent takes no new requests
 * @config_next: next offset of stream "config" that the agent reads
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
 * struct member_hello - contents of the Hello message of an agent
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
 * struct member - state that an entry keeps about an agent
 * @connection: NULL while the agent is not connected
 * @has_left: the agent sent Leave; not reset during this incarnation
 * @drained: the agent is drained by an operator
 * @local: the agent is in the data centre of the entry
 * @in_flight: requests of this entry that the agent has not answered
 * @sent_since_report: requests that this entry sent after the last
 *     report arrived
 * @last_report: time of the last report, or of the loss of the connection
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
    uint32_t sent_since_report;
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
 * @data_centre: data centre of the entry
 * @fresh_ms: a member whose last report is older gets no requests
 * @keep_ms: how long a member without connection is kept, so that a late Hello
 *     of an older incarnation is refused
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
 * member_table_join() - add or update the member that sent a Hello
 * @replaced: receives the former connection, which the caller must close, or
 *     NULL
 *
 * Return: NULL, without a change, if a newer incarnation is known.
 */
member_t *member_table_join(member_table_t *table, const member_hello_t *hello,
                            void *connection, void **replaced);

/**
 * member_table_update_load() - store a load report
 *
 * Return: false, without a change, if @load is not newer than the last report
 * of this incarnation.
 */
bool member_table_update_load(member_table_t *table, member_t *member,
                              const member_load_t *load);

/**
 * member_table_disconnect() - record that the connection of a member closed
 */
void member_table_disconnect(member_table_t *table, member_t *member);

/**
 * member_table_expire() - remove members that had no connection for keep_ms
 */
void member_table_expire(member_table_t *table);

member_t *member_table_find(const member_table_t *table, const char *agent_id);

/**
 * member_table_get_group() - get the members of a service
 *
 * The caller may reorder the arrays.
 *
 * Return: NULL if no member of the service ever joined.
 */
member_group_t *member_table_get_group(const member_table_t *table,
                                       const char *service);

/**
 * member_table_get_members() - get the head of the list of all members
 */
const list_t *member_table_get_members(const member_table_t *table);

unsigned member_table_count_connected(const member_table_t *table);
outlier_set_t *member_table_get_outliers(member_table_t *table);

/**
 * member_is_usable() - check whether requests may be sent to a member
 *
 * It must be connected, have a recent report, and be neither leaving, drained
 * nor ejected.
 */
bool member_is_usable(const member_table_t *table, const member_t *member,
                      struct timespec now);

/**
 * member_begin_request() - record that a request is sent to a member
 *
 * Return: true if the request is the probe after an ejection.
 */
bool member_begin_request(member_t *member);

/**
 * member_end_request() - record the end of a request
 * @probe: result of member_begin_request()
 *
 * Return: true if the member is ejected because of this request.
 */
bool member_end_request(member_table_t *table, member_t *member, bool probe,
                        verdict_t verdict);

/**
 * member_estimate_load() - estimate the number of requests at a member
 *
 * Counts the last report and the requests that this entry sent since.
 */
uint32_t member_estimate_load(const member_t *member);

#ifdef __cplusplus
}
#endif

#endif
