#include "agent/coordinator_role.h"

#include <string.h>

#include "agent/coordinator_role_internal.h"
#include "base/events.h"

enum {
    /* Decisions made within this time share one record. */
    TICK_MS = 20,
    /* Interval of the checks for a silent coordinator and expired leases when
       there is no other work. */
    IDLE_TICK_MS = 100,
};

static void process_tick(coordinator_role_t *role);
static void schedule_tick(coordinator_role_t *role);

static void
on_tick(loop_timer_t *timer)
{
    coordinator_role_t *role = timer->data;

    role->tick_scheduled = false;
    process_tick(role);
    loop_timer_start(timer, IDLE_TICK_MS);
    schedule_tick(role);
}

/* Runs the next tick at once if the last one was at least TICK_MS ago, else
   after the rest of TICK_MS, so that one record collects more decisions. */
static void
schedule_tick(coordinator_role_t *role)
{
    struct timespec now = clock_get_monotonic(role->opts.clock);
    int64_t elapsed = timespec_diff_ms(now, role->last_tick);

    if (role->tick_scheduled || !coordinator_has_work(role->coordinator)) {
        return;
    }
    role->tick_scheduled = true;
    loop_timer_start(&role->tick,
                     (uint64_t)CLAMP(TICK_MS - elapsed, 0, (int64_t)TICK_MS));
}

static void
notify_coordinator(coordinator_role_t *role)
{
    const cell_t *cell = role->cell;

    if (cell->epoch == role->notified_epoch) {
        return;
    }
    role->notified_epoch = cell->epoch;
    role->epoch.value = (int64_t)cell->epoch;
    role->claim_again = false;
    candidate_note_contact(&role->candidate);
    event_log(EVENT_COORDINATOR_CHANGED,
              "cell=%s epoch=%" G_GUINT64_FORMAT " agent=%s address=%s",
              role->opts.cell, cell->epoch, cell->claim_agent,
              cell->claim_address);
    role->opts.handler->on_coordinator(cell->claim_address, cell->epoch,
                                       role->opts.data);
}

static void
on_record(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    coordinator_role_t *role = data;

    cell_apply(role->cell, record, offset);
    if (stream_is_caught_up(role->stream)) {
        notify_coordinator(role);
    }
    schedule_tick(role);
}

static bool
on_snapshot(const uint8_t *snapshot, size_t length, uint64_t covers_through,
            void *data)
{
    coordinator_role_t *role = data;
    GError *error = NULL;

    if (!cell_load(role->cell, snapshot, length, &error)) {
        event_log(EVENT_CELL_SNAPSHOT_INVALID,
                  "cell=%s covers_through=%" G_GUINT64_FORMAT " error=\"%s\"",
                  role->opts.cell, covers_through, error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

static void
on_caught_up(void *data)
{
    coordinator_role_t *role = data;

    if (role->cell->epoch != 0) {
        notify_coordinator(role);
    }
    candidate_note_contact(&role->candidate);
}

static void
finish_stop(coordinator_role_t *role)
{
    if (!role->stopping || role->claiming || role->deciding) {
        return;
    }
    if (coordinator_is_active(role->coordinator)) {
        coordinator_deactivate(role->coordinator);
        role_peers_send_leave(role);
    }
    role->holder.value = 0;
    loop_timer_stop(&role->tick);
    loop_timer_start(&role->stop_timer, 0);
}

static void
on_stop_timer(loop_timer_t *timer)
{
    coordinator_role_t *role = timer->data;

    role->opts.handler->on_stopped(role->opts.data);
}

static void
on_claimed(stream_outcome_t outcome, uint64_t offset, const char *detail,
           void *data)
{
    coordinator_role_t *role = data;

    role->claiming = false;
    role->claim_again = false;
    candidate_note_contact(&role->candidate);
    if (outcome == STREAM_APPLIED && role->cell->epoch == offset) {
        coordinator_activate(role->coordinator, offset);
        role->holder.value = 1;
        event_log(EVENT_ROLE_TAKEN, "cell=%s epoch=%" G_GUINT64_FORMAT,
                  role->opts.cell, offset);
        role->opts.handler->on_acquired(role->opts.data);
    }
    else if (outcome != STREAM_APPLIED) {
        event_log(EVENT_CLAIM_FAILED, "cell=%s fate=%s detail=\"%s\"",
                  role->opts.cell,
                  outcome == STREAM_REFUSED ? "refused" : "unknown", detail);
    }
    finish_stop(role);
}

static void
claim(coordinator_role_t *role)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Claim claim = TEASEL__CLAIM__INIT;

    claim.agent_id = (char *)role->opts.agent_id;
    claim.incarnation = role->opts.incarnation;
    claim.peer_address = (char *)role->opts.peer_address;
    claim.after_epoch = role->cell->epoch;
    claim.lease_ms = role->opts.lease_ms;
    record.body_case = TEASEL__LOG_RECORD__BODY_CLAIM;
    record.claim = &claim;
    role->claiming = true;
    stream_append(role->stream, &record, role->opts.append_timeout_ms,
                  on_claimed, role);
}

static void
on_decided(stream_outcome_t outcome, uint64_t offset, const char *detail,
           void *data)
{
    coordinator_role_t *role = data;
    struct timespec now = clock_get_monotonic(role->opts.clock);

    role->deciding = false;
    if (outcome == STREAM_APPLIED) {
        histogram_add(role->decision_ms.histogram,
                      (uint64_t)timespec_diff_ms(now, role->decision_time));
    }
    if (outcome == STREAM_UNKNOWN) {
        /* The record may still be appended later. A claim with a new epoch
           makes it ineffective. */
        role->claim_again = coordinator_is_active(role->coordinator);
        coordinator_deactivate(role->coordinator);
        event_log(EVENT_DECISION_UNKNOWN, "cell=%s detail=\"%s\"",
                  role->opts.cell, detail);
    }
    else {
        coordinator_on_write_result(role->coordinator);
    }
    role->append_refused = outcome == STREAM_REFUSED;
    schedule_tick(role);
    finish_stop(role);
}

static void
decide(coordinator_role_t *role)
{
    const Teasel__Decision *decision = coordinator_decide(role->coordinator);
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    if (decision == NULL) {
        return;
    }
    record.body_case = TEASEL__LOG_RECORD__BODY_DECISION;
    record.decision = (Teasel__Decision *)decision;
    role->deciding = true;
    role->decision_time = clock_get_monotonic(role->opts.clock);
    role->items.value += (int64_t)decision->n_items;
    role->decisions.value++;
    stream_append(role->stream, &record, role->opts.append_timeout_ms,
                  on_decided, role);
}

static bool
may_claim(coordinator_role_t *role)
{
    bool due = candidate_is_due(&role->candidate);

    return (due || role->claim_again) && role->opts.candidate &&
           !role->claiming && !role->deciding && !role->stopping &&
           stream_is_caught_up(role->stream) &&
           stream_is_reachable(role->stream);
}

/* After a refused append, retries only every IDLE_TICK_MS. */
static bool
may_decide(const coordinator_role_t *role)
{
    struct timespec now = clock_get_monotonic(role->opts.clock);

    return !role->stopping &&
           (!role->append_refused ||
            timespec_diff_ms(now, role->decision_time) >= IDLE_TICK_MS);
}

static void
process_tick(coordinator_role_t *role)
{
    const cell_t *cell = role->cell;

    role->last_tick = clock_get_monotonic(role->opts.clock);
    role->queued.value = (int64_t)cell->queued_count;
    role->running.value = (int64_t)(cell->live_count - cell->queued_count);
    if (!coordinator_is_active(role->coordinator)) {
        role->holder.value = 0;
        if (may_claim(role)) {
            claim(role);
        }
        return;
    }
    candidate_note_contact(&role->candidate);
    if (may_decide(role)) {
        decide(role);
    }
    role_snapshot_check(role);
}

void
coordinator_role_on_message(coordinator_role_t *role, peer_t *peer,
                            const Teasel__Envelope *message)
{
    if (!coordinator_is_active(role->coordinator)) {
        return;
    }
    if (message->body_case == TEASEL__ENVELOPE__BODY_HEARTBEAT) {
        role_peers_register(role, peer, message->heartbeat->agent_id);
        coordinator_on_heartbeat(role->coordinator, message->heartbeat,
                                 stream_get_sync_time(role->stream));
        schedule_tick(role);
    }
    else if (message->body_case == TEASEL__ENVELOPE__BODY_TASK_REPORT) {
        role_peers_register(role, peer, message->task_report->agent_id);
        coordinator_on_report(role->coordinator, message->task_report);
        schedule_tick(role);
    }
}

void
coordinator_role_note_contact(coordinator_role_t *role, uint64_t epoch)
{
    if (epoch >= role->cell->epoch) {
        candidate_note_contact(&role->candidate);
    }
}

void
coordinator_role_note_leave(coordinator_role_t *role, uint64_t epoch)
{
    if (epoch == role->cell->epoch) {
        candidate_note_leave(&role->candidate);
    }
}

const char *
coordinator_role_get_address(const coordinator_role_t *role, uint64_t *epoch)
{
    if (epoch != NULL) {
        *epoch = role->cell->epoch;
    }
    return role->cell->claim_address;
}

bool
coordinator_role_is_holder(const coordinator_role_t *role)
{
    return coordinator_is_active(role->coordinator);
}

void
coordinator_role_set_team(coordinator_role_t *role, const char *name,
                          const config_team_t *team)
{
    job_size_t limit = {
        .cpu_milli = (uint32_t)team->cpu_milli,
        .accelerators = (uint32_t)team->accelerators,
        .memory_mb = (uint64_t)team->memory_mb,
    };

    coordinator_set_team(role->coordinator, name, (uint32_t)team->weight,
                         &limit);
}

void
coordinator_role_reset_teams(coordinator_role_t *role)
{
    coordinator_reset_teams(role->coordinator);
}

void
coordinator_role_stop(coordinator_role_t *role)
{
    role->stopping = true;
    finish_stop(role);
}

static void
add_metrics(coordinator_role_t *role)
{
    metrics_t *metrics = role->opts.metrics;

    metrics_add(metrics, &role->holder, METRIC_GAUGE,
                "teasel_coordinator_holder", NULL,
                "1 while this agent is the coordinator");
    metrics_add(metrics, &role->epoch, METRIC_GAUGE,
                "teasel_coordinator_epoch", NULL, "epoch of the cell");
    metrics_add(metrics, &role->queued, METRIC_GAUGE,
                "teasel_coordinator_jobs_queued", NULL, "jobs that wait");
    metrics_add(metrics, &role->running, METRIC_GAUGE,
                "teasel_coordinator_jobs_running", NULL,
                "jobs with a running attempt");
    metrics_add(metrics, &role->decisions, METRIC_COUNTER,
                "teasel_coordinator_decisions_total", NULL,
                "decision records that were appended");
    metrics_add(metrics, &role->items, METRIC_COUNTER,
                "teasel_coordinator_items_total", NULL,
                "items of decision records");
    metrics_add(metrics, &role->decision_ms, METRIC_SUMMARY,
                "teasel_coordinator_decision_ms", NULL,
                "from the append of a decision to its read-back");
}

coordinator_role_t *
coordinator_role_new(const coordinator_role_opts_t *opts)
{
    static const stream_handler_t handler = {
        .apply = on_record,
        .load_snapshot = on_snapshot,
        .caught_up = on_caught_up,
    };
    coordinator_role_t *role = g_new0(coordinator_role_t, 1);
    stream_opts_t stream_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .log = opts->log,
        .name = opts->cell,
        .writer = opts->agent_id,
        .handler = &handler,
        .data = role,
    };
    coordinator_opts_t coordinator_opts = {
        .clock = opts->clock,
        .lease_ms = opts->lease_ms,
        .send = role_peers_send,
        .data = role,
    };

    role->opts = *opts;
    role->cell = cell_new();
    coordinator_opts.cell = role->cell;
    role->coordinator = coordinator_new(&coordinator_opts);
    role_peers_init(role);
    candidate_init(&role->candidate, opts->clock, opts->silence_ms,
                   opts->rank_ms * opts->rank);
    add_metrics(role);
    loop_timer_init(&role->tick, opts->loop, on_tick, role);
    loop_timer_init(&role->stop_timer, opts->loop, on_stop_timer, role);
    loop_timer_start(&role->tick, IDLE_TICK_MS);
    role->stream = stream_new(&stream_opts);
    return role;
}

void
coordinator_role_free(coordinator_role_t *role)
{
    metric_t *const metrics[] = {
        &role->holder,    &role->epoch, &role->queued,      &role->running,
        &role->decisions, &role->items, &role->decision_ms,
    };

    loop_timer_stop(&role->tick);
    loop_timer_stop(&role->stop_timer);
    stream_free(role->stream);
    coordinator_free(role->coordinator);
    cell_free(role->cell);
    role_peers_clear(role);
    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
        metrics_remove(metrics[i]);
    }
    g_free(role);
}
