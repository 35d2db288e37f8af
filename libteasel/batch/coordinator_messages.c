#include <string.h>

#include "batch/coordinator_internal.h"
#include "wire/message.h"

void
coordinator_send_start(coordinator_t *coordinator, const cell_job_t *job)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__StartTask start = TEASEL__START_TASK__INIT;
    Teasel__Resources size = TEASEL__RESOURCES__INIT;

    size.cpu_milli = job->size.cpu_milli;
    size.memory_mb = job->size.memory_mb;
    size.accelerators = job->size.accelerators;
    start.epoch = coordinator->epoch;
    start.job_id = job->id;
    start.attempt = job->attempt;
    start.size = &size;
    start.spec.data = (uint8_t *)job->spec_text;
    start.spec.len = strlen(job->spec_text);
    if (job->checkpoint != NULL) {
        gsize length;

        start.checkpoint.data =
            (uint8_t *)g_bytes_get_data(job->checkpoint, &length);
        start.checkpoint.len = length;
    }
    envelope.body_case = TEASEL__ENVELOPE__BODY_START_TASK;
    envelope.start_task = &start;
    coordinator->opts.send(job->worker, &envelope, coordinator->opts.data);
}

void
coordinator_send_stop(coordinator_t *coordinator, const char *agent,
                      const char *job_id, uint32_t attempt,
                      Teasel__StopReason reason)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__StopTask stop = TEASEL__STOP_TASK__INIT;

    stop.epoch = coordinator->epoch;
    stop.job_id = (char *)job_id;
    stop.attempt = attempt;
    stop.reason = reason;
    envelope.body_case = TEASEL__ENVELOPE__BODY_STOP_TASK;
    envelope.stop_task = &stop;
    coordinator->opts.send(agent, &envelope, coordinator->opts.data);
}

static void
send_release(coordinator_t *coordinator, const char *agent, const char *job_id,
             uint32_t attempt)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__ReleaseTask release = TEASEL__RELEASE_TASK__INIT;

    release.epoch = coordinator->epoch;
    release.job_id = (char *)job_id;
    release.attempt = attempt;
    envelope.body_case = TEASEL__ENVELOPE__BODY_RELEASE_TASK;
    envelope.release_task = &release;
    coordinator->opts.send(agent, &envelope, coordinator->opts.data);
}

void
coordinator_answer_report(coordinator_t *coordinator, const char *agent,
                          const char *job_id, uint32_t attempt)
{
    const cell_job_t *job = cell_find_job(coordinator->cell, job_id);

    if (job != NULL && job->state == CELL_DONE && job->attempt == attempt &&
        strcmp(job->worker, agent) == 0) {
        send_release(coordinator, agent, job_id, attempt);
        return;
    }
    coordinator_send_stop(coordinator, agent, job_id, attempt,
                          TEASEL__STOP_REASON__STOP_REASON_DISCARD);
}

static bool
is_current(const coordinator_t *coordinator, const cell_job_t *job,
           const char *agent, uint32_t attempt)
{
    return job != NULL && cell_job_is_running(job) &&
           job->attempt == attempt && strcmp(job->worker, agent) == 0;
}

void
coordinator_on_report(coordinator_t *coordinator,
                      const Teasel__TaskReport *report)
{
    const cell_job_t *job = cell_find_job(coordinator->cell, report->job_id);

    if (!coordinator->active) {
        return;
    }
    if (!is_current(coordinator, job, report->agent_id, report->attempt)) {
        coordinator_answer_report(coordinator, report->agent_id,
                                  report->job_id, report->attempt);
        return;
    }
    if (g_hash_table_contains(coordinator->reports, report->job_id)) {
        return;
    }
    g_hash_table_insert(coordinator->reports, job->id,
                        message_copy(&report->base));
}

static void
check_listed_task(coordinator_t *coordinator, const member_t *member,
                  const Teasel__RunningTask *task)
{
    cell_job_t *job = cell_find_job(coordinator->cell, task->job_id);
    tracked_job_t *tracked;

    if (!is_current(coordinator, job, member->name, task->attempt)) {
        coordinator_send_stop(coordinator, member->name, task->job_id,
                              task->attempt,
                              TEASEL__STOP_REASON__STOP_REASON_DISCARD);
        return;
    }
    tracked = job->user_data;
    tracked->last_listed = coordinator->heartbeat_count;
    tracked->absent = false;
    if (!tracked->sampled && task->progress_ms >= COORDINATOR_SAMPLE_MS) {
        job_size_t use = {task->cpu_milli, 0, task->memory_mb};

        tracked->sampled = true;
        learn_add_observation(tracked->class_, &job->spec, &use, 0);
    }
}

static void
check_assigned_job(coordinator_t *coordinator, const member_t *member,
                   const cell_job_t *job)
{
    tracked_job_t *tracked = job->user_data;
    bool listed = tracked->last_listed == coordinator->heartbeat_count;

    if (g_hash_table_contains(coordinator->reports, job->id)) {
        return;
    }
    if (job->cancel_wanted || job->state == CELL_REVOKED) {
        coordinator_send_stop(coordinator, member->name, job->id, job->attempt,
                              job->cancel_wanted
                                  ? TEASEL__STOP_REASON__STOP_REASON_CANCEL
                                  : TEASEL__STOP_REASON__STOP_REASON_EVICT);
        return;
    }
    if (listed) {
        return;
    }
    if (job->incarnation == member->incarnation) {
        coordinator_send_start(coordinator, job);
        return;
    }
    /* The attempt was assigned to an earlier incarnation of the agent. The
       agent lists it if it still runs, possibly some heartbeats late, because
       a call of that incarnation may still be on its way to the worker. */
    tracked->absent =
        timespec_diff_ms(member->last_heartbeat, member->incarnation_since) >=
        COORDINATOR_ABSENT_MS;
}

static void
update_capacity(coordinator_t *coordinator, member_t *member,
                const Teasel__Resources *in)
{
    job_size_t capacity = {0};

    if (in != NULL) {
        capacity.cpu_milli = in->cpu_milli;
        capacity.memory_mb = in->memory_mb;
        capacity.accelerators = in->accelerators;
    }
    if (!job_size_fits(&capacity, &member->capacity)) {
        coordinator->dirty = true;
    }
    member->capacity = capacity;
}

static bool
record_heartbeat(coordinator_t *coordinator, member_t *member,
                 const Teasel__Heartbeat *heartbeat)
{
    struct timespec now = clock_get_monotonic(coordinator->opts.clock);

    if (member->has_heartbeat &&
        heartbeat->incarnation < member->incarnation &&
        timespec_diff_ms(now, member->last_heartbeat) <
            COORDINATOR_MAX_SILENCE_MS) {
        return false;
    }
    if (!member->has_heartbeat ||
        heartbeat->incarnation != member->incarnation) {
        member->incarnation_since = now;
        member->leased = false;
    }
    member->has_heartbeat = true;
    member->last_heartbeat = now;
    member->incarnation = heartbeat->incarnation;
    member->leaving = heartbeat->leaving;
    update_capacity(coordinator, member, heartbeat->capacity);
    return true;
}

static void
renew(coordinator_t *coordinator, member_t *member, uint64_t sequence,
      struct timespec log_read_time)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Renew renew = TEASEL__RENEW__INIT;
    int64_t age = timespec_diff_ms(member->last_heartbeat, log_read_time);
    int64_t lease = (int64_t)coordinator->opts.lease_ms - age;
    bool was_leased = member->leased;

    /* The lease is shortened by the age of the last read of the log that
       showed no newer claim. None is granted unless the coordinator is active,
       that is, has read its own claim, or if the read began after the
       heartbeat arrived. The times of the read and of the start of the epoch
       come from the same clock. */
    if (member->expiring || !coordinator->active || age < 0) {
        lease = 0;
    }
    renew.epoch = coordinator->epoch;
    renew.sequence = sequence;
    renew.lease_ms = (uint32_t)MAX(lease, 0);
    member->leased = renew.lease_ms > 0;
    coordinator->dirty |= member->leased && !was_leased;
    envelope.body_case = TEASEL__ENVELOPE__BODY_RENEW;
    envelope.renew = &renew;
    coordinator->opts.send(member->name, &envelope, coordinator->opts.data);
}

void
coordinator_on_heartbeat(coordinator_t *coordinator,
                         const Teasel__Heartbeat *heartbeat,
                         struct timespec log_read_time)
{
    member_t *member;

    if (!coordinator->active || heartbeat->agent_id[0] == '\0') {
        return;
    }
    member = coordinator_get_member(coordinator, heartbeat->agent_id);
    if (!record_heartbeat(coordinator, member, heartbeat)) {
        return;
    }
    coordinator->heartbeat_count++;
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        check_listed_task(coordinator, member, heartbeat->tasks[i]);
    }
    if (member->worker != NULL) {
        LIST_FOREACH (job, &member->worker->jobs, cell_job_t, worker_link) {
            check_assigned_job(coordinator, member, job);
        }
    }
    renew(coordinator, member, heartbeat->sequence, log_read_time);
    coordinator_sync_member(coordinator, member);
}
