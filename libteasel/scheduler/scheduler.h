#ifndef TEASEL_SCHEDULER_SCHEDULER_H
#define TEASEL_SCHEDULER_SCHEDULER_H

#include "base/clock.h"
#include "base/loop.h"
#include "base/settings.h"
#include "scheduler/job_call.h"
#include "scheduler/queue_table.h"
#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A scheduler process accepts job calls and acts as leader while it is
 * elected.
 */

typedef struct scheduler scheduler_t;

/**
 * struct scheduler_settings - settings of the process
 * @name: unique name of the process
 * @data_centre: data centre in which it runs
 * @peer_address: address on which other processes reach it
 * @metrics_listen: listen address of the metrics endpoint, or NULL
 * @cpu_share: share of a core that the instance provides, such as "0.25"; the
 *     schedulers with the most lead first
 * @cpu_milli: the same in thousandths
 * @remote_factor: how many times as long a task runs on another rack than its
 *     data's, such as "1.5"
 * @remote_run_factor: the same as a number
 * @max_lease_ms: longest lease that executors accept; upper limit of @lease_ms
 * @record_bytes: longest record that the store takes, with its key
 */
typedef struct scheduler_settings {
    char *name;
    char *data_centre;
    char *peer_address;
    char *http_listen;
    char *ready_listen;
    char *metrics_listen;
    char *store_address;
    char *cpu_share;
    uint32_t cpu_milli;
    char *remote_factor;
    double remote_run_factor;
    int64_t lease_ms;
    int64_t max_lease_ms;
    int64_t retain_ms;
    int64_t stop_run_ms;
    int64_t record_bytes;
    int64_t silence_ms;
    int64_t status_ms;
    int64_t leave_delay_ms;
    int64_t stop_timeout_ms;
    int64_t max_body_bytes;
} scheduler_settings_t;

bool scheduler_settings_load(const char *path, scheduler_settings_t *out,
                             GError **error);

/**
 * scheduler_settings_set_remote_factor() - replace the setting remote_factor
 * @text: a number, or empty for the default
 */
bool scheduler_settings_set_remote_factor(scheduler_settings_t *settings,
                                          const char *text, GError **error);
void scheduler_settings_clear(scheduler_settings_t *settings);

/**
 * scheduler_settings_table() - return the keys of the settings file
 */
const setting_t *scheduler_settings_table(void);

/**
 * struct scheduler_opts - options of scheduler_new()
 * @settings: must outlive the scheduler
 * @on_left: the planned stop is complete; may be called more than once
 */
typedef struct scheduler_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const scheduler_settings_t *settings;
    void (*on_left)(void *data);
    void *data;
} scheduler_opts_t;

scheduler_t *scheduler_new(const scheduler_opts_t *opts, GError **error);
void scheduler_free(scheduler_t *scheduler);

/**
 * scheduler_call() - send a job call to the leader; see gateway_call()
 */
void scheduler_call(scheduler_t *scheduler, const Teasel__JobCall *call,
                    job_answer_fn answer, void *data);

/**
 * scheduler_set_queues() - apply a version of the queue configuration
 * @table: owned by the scheduler from now on; ignored and freed unless its
 *     version is newer than the current one
 */
void scheduler_set_queues(scheduler_t *scheduler, queue_table_t *table);

/**
 * scheduler_get_queues() - return the current queues, or NULL if none were set
 */
const queue_table_t *scheduler_get_queues(const scheduler_t *scheduler);

/**
 * scheduler_begin_evacuation() - apply a record that asks that nothing more is
 * started in a data centre; see evacuation_begin()
 *
 * Return: false if the evacuation is in force already.
 */
bool scheduler_begin_evacuation(scheduler_t *scheduler,
                                const char *data_centre, uint64_t offset,
                                bool listed);

/**
 * scheduler_end_evacuation() - apply a record that withdraws this
 */
void scheduler_end_evacuation(scheduler_t *scheduler, const char *data_centre,
                              uint64_t offset);

/**
 * scheduler_keep_evacuation() - see evacuation_keep()
 */
void scheduler_keep_evacuation(scheduler_t *scheduler,
                               const char *data_centre);

/**
 * scheduler_finish_evacuation_listing() - end the evacuations that a listing
 * lacks; this scheduler places nothing before its first listing
 */
void scheduler_finish_evacuation_listing(scheduler_t *scheduler);

/**
 * scheduler_get_retry_after_ms() - return the time after which a caller tries
 * again that was refused as no queues were set yet
 *
 * They come from the store, so its outage has lasted as long as the process
 * has waited for them.
 */
uint32_t scheduler_get_retry_after_ms(const scheduler_t *scheduler);

/**
 * scheduler_is_ready() - return whether the scheduler can serve calls
 *
 * Return: true if queues are set, a leader is reachable and no planned stop
 * has begun.
 */
bool scheduler_is_ready(const scheduler_t *scheduler);

/**
 * scheduler_leave() - begin a planned stop; opts.on_left reports its end
 */
void scheduler_leave(scheduler_t *scheduler);
bool scheduler_is_leaving(const scheduler_t *scheduler);

#ifdef __cplusplus
}
#endif

#endif
