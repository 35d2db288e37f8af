#include "scheduler/leader.h"

#include <string.h>

#include "base/events.h"
#include "scheduler/leader_internal.h"

enum {
    TICK_MS = 100,
    /* Exceeds the slowest write latency that the platform specifies. */
    WRITE_SLOW_MS = 500,
    /* A write is repeated if it is not answered within the timeout. The store
       answers the repeat like the first attempt. The timeout is a multiple of
       the average write latency, and doubles with each repeat. The time that
       the slowest link takes for the write is added. */
    MIN_WRITE_TIMEOUT_MS = 150,
    MAX_WRITE_TIMEOUT_MS = 1000,
    TIMEOUT_LATENCY_FACTOR = 4,
    /* Age of the last confirmed leadership at which an empty write renews
       it. */
    RENEW_AFTER_MS = 1000,
    LOAD_LOG_INTERVAL_MS = 2000,
    /* A new leader waits for the longest lease plus clock drift and margin
       before it treats the leases of its predecessor as expired. */
    DRIFT_PERCENT = 5,
    EXPIRY_MARGIN_MS = 400,
    /* While writes fail, calls wait for the other schedulers to confirm the
       leader. A request sent within the millisecond in which a call arrived
       would not count for it. */
    FIRST_ASK_MS = 2,
    ASK_INTERVAL_MS = 50,
    /* A longer gap between two ticks is a pause of the process. */
    PAUSE_MIN_MS = 1000,
    /* After a pause, agents connect again and send their lists within this
       time. Until then nothing is judged by the reports that have come. */
    RESUME_MS = 500,
};

int64_t
leader_now_ms(const leader_t *leader)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(leader->opts.clock));
}

int64_t
leader_get_wall_ms(const leader_t *leader)
{
    return (int64_t)timespec_to_ms(clock_get_wall(leader->opts.clock));
}

int64_t
leader_get_proof_age_ms(const leader_t *leader)
{
    int64_t acked_ms = leader->opts.get_acked_ms(leader->opts.data);

    return leader_now_ms(leader) - MAX(leader->confirmed_ms, acked_ms);
}

bool
leader_is_ready(const leader_t *leader)
{
    return leader->stage == LEADER_READY;
}

bool
leader_is_idle(const leader_t *leader)
{
    return !leader->writing;
}

void
leader_schedule_flush(leader_t *leader)
{
    if (!loop_timer_is_active(&leader->flush)) {
        loop_timer_start(&leader->flush, 0);
    }
}

/* Weight of a new sample in the moving average of the write latency. */
static const double LATENCY_WEIGHT = 0.3;

static void
on_ask(loop_timer_t *timer)
{
    leader_t *leader = timer->data;

    if (!leader->writes_failing || !leader_has_unproven_calls(leader)) {
        return;
    }
    leader->opts.request_acks(leader->opts.data);
    loop_timer_start(timer, ASK_INTERVAL_MS);
}

void
leader_seek_proof(leader_t *leader)
{
    leader_schedule_flush(leader);
    if (leader->writes_failing && !loop_timer_is_active(&leader->ask)) {
        loop_timer_start(&leader->ask, FIRST_ASK_MS);
    }
}

void
leader_set_writes_failing(leader_t *leader, bool failing)
{
    if (leader->writes_failing == failing) {
        return;
    }
    leader->writes_failing = failing;
    if (leader_has_unproven_calls(leader)) {
        leader_seek_proof(leader);
    }
    event_log(failing ? EVENT_WRITE_FAILED : EVENT_STORE_BACK,
              "topic=%s sequence=%" G_GUINT64_FORMAT
              " since_ms=%" G_GINT64_FORMAT,
              JOBS_TOPIC, leader->sequence,
              leader_now_ms(leader) - leader->write_began_ms);
    leader->opts.on_store_change(!failing, leader->opts.data);
}

static void send_write(leader_t *leader);

static void
on_retry(loop_timer_t *timer)
{
    leader_t *leader = timer->data;

    if (leader->stage == LEADER_LOADING) {
        leader_load(leader);
        return;
    }
    send_write(leader);
}

static void
record_write_success(leader_t *leader)
{
    int64_t now_ms = leader_now_ms(leader);
    int64_t took_ms = now_ms - leader->write_began_ms;
    int64_t answered_ms = now_ms - leader->write_sent_ms;

    leader->confirmed_ms = leader->proof_sent_ms;
    leader->proven_attempt = leader->proof_attempt;
    leader->write_latency_ms +=
        LATENCY_WEIGHT * ((double)answered_ms - leader->write_latency_ms);
    if (leader->write_timeouts == 0) {
        write_limit_note_written(&leader->write_limit, leader->write_bytes,
                                 answered_ms);
    }
    leader->writes++;
    histogram_add(leader->write_us, (uint64_t)MAX(0, took_ms) * 1000);
    leader_set_writes_failing(leader, false);
}

static void
finish_write(leader_t *leader)
{
    leader->writing = false;
    if (leader->stage == LEADER_FENCING) {
        leader->fenced_ms = leader_now_ms(leader);
        leader->stage = LEADER_LOADING;
        leader_begin_load(leader);
        return;
    }
    if (leader->renewing) {
        leader->renewing = false;
    }
    else {
        leader->sequence++;
        g_clear_pointer(&leader->changes, g_ptr_array_unref);
        sched_commit(leader->sched);
        cancelled_ids_commit(leader->cancelled_ids);
        leader_answer_stored(leader);
    }
    leader_answer_proven(leader);
    leader_schedule_flush(leader);
}

/* Returns the time after which a write counts as failing. */
static int64_t
get_slow_ms(const leader_t *leader)
{
    return WRITE_SLOW_MS + write_limit_get_transfer_ms(leader->write_bytes);
}

static void
retry_write(leader_t *leader, store_status_t status)
{
    int64_t took_ms = leader_now_ms(leader) - leader->write_began_ms;

    leader->write_retries++;
    if (status == STORE_UNKNOWN) {
        leader->write_timeouts++;
        write_limit_note_timeout(&leader->write_limit, leader->write_bytes);
        leader_set_writes_failing(leader, took_ms > get_slow_ms(leader));
        loop_timer_start(&leader->retry, 0);
        return;
    }
    leader_set_writes_failing(leader, took_ms > LEADER_UNAVAILABLE_AFTER_MS);
    loop_timer_start(&leader->retry, LEADER_WRITE_RETRY_MS);
}

static void
on_written(store_status_t status, uint64_t offset, void *data)
{
    leader_t *leader = data;

    if (leader->stage == LEADER_STOPPED) {
        g_free(leader->write_us);
        g_free(leader);
        return;
    }
    switch (status) {
    case STORE_OK:
        record_write_success(leader);
        finish_write(leader);
        return;
    case STORE_FENCED:
    case STORE_MISORDERED:
        leader->writing = false;
        leader->stage = LEADER_REPLACED;
        leader->opts.on_fenced(store_status_to_string(status),
                               leader->opts.data);
        return;
    default:
        leader->writing = false;
        retry_write(leader, status);
        return;
    }
}

static uint64_t
get_timeout_ms(const leader_t *leader)
{
    double timeout_ms = MAX(MIN_WRITE_TIMEOUT_MS,
                            TIMEOUT_LATENCY_FACTOR * leader->write_latency_ms);

    for (unsigned i = 0; i < leader->write_timeouts; i++) {
        timeout_ms = MIN(MAX_WRITE_TIMEOUT_MS, timeout_ms * 2);
    }
    return (uint64_t)MIN(MAX_WRITE_TIMEOUT_MS, timeout_ms) +
           (uint64_t)write_limit_get_transfer_ms(leader->write_bytes);
}

/* Sends the pending write or repeats it; the store recognises a repeat by its
   sequence number. */
static void
send_write(leader_t *leader)
{
    g_autoptr(GArray) records =
        g_array_new(FALSE, TRUE, sizeof(store_record_t));
    store_append_t append = {
        .topic = JOBS_TOPIC,
        .producer = JOBS_PRODUCER,
        .epoch = leader->opts.epoch,
        .sequence = leader->sequence,
        .timeout_ms = get_timeout_ms(leader),
    };

    for (guint i = 0; leader->changes && i < leader->changes->len; i++) {
        const sched_change_t *change = g_ptr_array_index(leader->changes, i);
        store_record_t record = {.key = change->key};

        if (change->value != NULL) {
            record.value = change->value->data;
            record.length = change->value->len;
        }
        g_array_append_val(records, record);
    }
    append.records = (store_record_t *)records->data;
    append.count = records->len;
    leader->writing = true;
    leader->write_sent_ms = leader_now_ms(leader);
    /* The store may answer the repeat of an append as it answered the first,
       also after a later leader has begun. */
    if (leader->changes == NULL || leader->write_timeouts == 0) {
        leader->proof_attempt++;
        leader->proof_sent_ms = leader->write_sent_ms;
    }
    store_append(leader->opts.store, &append, on_written, leader);
}

static size_t
count_bytes(const GPtrArray *changes)
{
    size_t bytes = 0;

    for (guint i = 0; changes != NULL && i < changes->len; i++) {
        const sched_change_t *change = g_ptr_array_index(changes, i);

        bytes += strlen(change->key);
        bytes += change->value != NULL ? change->value->len : 0;
    }
    return bytes;
}

static void
begin_write(leader_t *leader)
{
    leader->write_bytes = count_bytes(leader->changes);
    leader->write_began_ms = leader_now_ms(leader);
    leader->write_timeouts = 0;
    send_write(leader);
}

static bool
is_write_pending(const leader_t *leader)
{
    return leader->writing || loop_timer_is_active(&leader->retry);
}

static void
write_changes(leader_t *leader)
{
    g_autoptr(GPtrArray) changes = sched_changes_new();
    bool taken;

    if (is_write_pending(leader)) {
        return;
    }
    taken =
        sched_take_changes(leader->sched, changes, leader->write_limit.bytes);
    cancelled_ids_take_changes(leader->cancelled_ids,
                               leader_get_wall_ms(leader), changes);
    if (changes->len > 0) {
        leader->changes = g_steal_pointer(&changes);
        begin_write(leader);
    }
    else if (taken) {
        sched_commit(leader->sched);
    }
}

/* A write without records proves that no later leader has begun. */
static void
renew_leadership(leader_t *leader)
{
    if (!is_write_pending(leader)) {
        leader->renewing = true;
        begin_write(leader);
    }
}

static void
on_resume(loop_timer_t *timer)
{
    leader_t *leader = timer->data;

    leader->pass_due = true;
    leader_schedule_flush(leader);
}

void
leader_check_pause(leader_t *leader)
{
    uint64_t gap_ms = freeze_guard_check(&leader->freeze_guard);

    if (gap_ms == 0) {
        return;
    }
    event_log(EVENT_LEADER_PAUSED, "gap_ms=%" G_GUINT64_FORMAT, gap_ms);
    sched_note_pause(leader->sched, (int64_t)gap_ms);
    if (!loop_timer_is_active(&leader->resume)) {
        loop_timer_start(&leader->resume, RESUME_MS);
    }
}

static void
on_flush(loop_timer_t *timer)
{
    leader_t *leader = timer->data;

    if (leader->stage == LEADER_REPLACED) {
        return;
    }
    if (leader->stage != LEADER_READY) {
        leader_send_orders(leader);
        return;
    }
    leader_check_pause(leader);
    sched_set_stale_leader(
        leader->sched,
        leader->opts.has_stale_leader(leader->fenced_ms, leader->opts.data));
    /* Pauses that follow each other don't put off all passes. */
    if (leader->pass_due || !loop_timer_is_active(&leader->resume)) {
        leader->pass_due = false;
        sched_run(leader->sched);
    }
    write_changes(leader);
    if (leader_needs_proof(leader)) {
        renew_leadership(leader);
    }
    leader_send_orders(leader);
}

static void
log_load(leader_t *leader)
{
    if (leader_now_ms(leader) - leader->load_logged_ms >=
        LOAD_LOG_INTERVAL_MS) {
        leader->load_logged_ms = leader_now_ms(leader);
        sched_log_load(leader->sched);
        sched_log_idle(leader->sched);
    }
}

static void
on_tick(loop_timer_t *timer)
{
    leader_t *leader = timer->data;

    if (leader->stage == LEADER_REPLACED) {
        return;
    }
    loop_timer_start(timer, TICK_MS);
    leader_check_pause(leader);
    leader_expire_calls(leader);
    /* A listing that arrives slowly is no sign that the store is away; one
       that stops arriving fails. */
    if (is_write_pending(leader) && leader->stage != LEADER_LOADING &&
        leader_now_ms(leader) - leader->write_began_ms > get_slow_ms(leader)) {
        leader_set_writes_failing(leader, true);
    }
    if (leader->stage == LEADER_READY) {
        if (leader_now_ms(leader) - leader->confirmed_ms >= RENEW_AFTER_MS) {
            renew_leadership(leader);
        }
        log_load(leader);
        leader_schedule_flush(leader);
    }
}

/* Returns how long a lease from before this leader may last. */
static int64_t
add_clock_error(int64_t lease_ms)
{
    return lease_ms + lease_ms * DRIFT_PERCENT / 100 + EXPIRY_MARGIN_MS;
}

leader_t *
leader_new(const leader_opts_t *opts)
{
    leader_t *leader = g_new0(leader_t, 1);
    sched_opts_t sched_opts = {
        .clock = opts->clock,
        .predecessor_lease_ms = add_clock_error(opts->lease_ms),
        .max_lease_ms = add_clock_error(opts->max_lease_ms),
        .retain_ms = opts->retain_ms,
        .stop_ms = opts->stop_ms,
        .record_bytes = opts->record_bytes,
        .evacuation = opts->evacuation,
        .remote_factor = opts->remote_factor,
    };

    leader->opts = *opts;
    leader->sched = sched_new(&sched_opts);
    leader->write_us = g_new0(histogram_t, 1);
    write_limit_init(&leader->write_limit);
    list_init(&leader->sessions);
    leader->sessions_by_node = g_hash_table_new(g_str_hash, g_str_equal);
    list_init(&leader->waiting);
    leader->cancelled_ids = cancelled_ids_new(opts->retain_ms);
    loop_timer_init(&leader->tick, opts->loop, on_tick, leader);
    loop_timer_init(&leader->flush, opts->loop, on_flush, leader);
    loop_timer_init(&leader->retry, opts->loop, on_retry, leader);
    loop_timer_init(&leader->ask, opts->loop, on_ask, leader);
    loop_timer_init(&leader->resume, opts->loop, on_resume, leader);
    freeze_guard_init(&leader->freeze_guard, opts->clock, PAUSE_MIN_MS);
    loop_timer_start(&leader->tick, TICK_MS);
    begin_write(leader);
    return leader;
}

void
leader_free(leader_t *leader)
{
    if (leader == NULL) {
        return;
    }
    loop_timer_stop(&leader->tick);
    loop_timer_stop(&leader->flush);
    loop_timer_stop(&leader->retry);
    loop_timer_stop(&leader->ask);
    loop_timer_stop(&leader->resume);
    leader_free_calls(leader);
    leader_free_sessions(leader);
    g_hash_table_unref(leader->sessions_by_node);
    cancelled_ids_free(leader->cancelled_ids);
    g_clear_pointer(&leader->changes, g_ptr_array_unref);
    g_free(leader->load_after);
    sched_free(leader->sched);
    if (leader->writing) {
        /* Freed by the callback of the pending store call. */
        leader->stage = LEADER_STOPPED;
        return;
    }
    g_free(leader->write_us);
    g_free(leader);
}
