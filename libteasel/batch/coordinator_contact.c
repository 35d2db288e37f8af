#include <string.h>

#include "batch/coordinator_internal.h"

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
    g_autofree uint8_t *packed = NULL;
    size_t length;

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
    length = teasel__task_report__get_packed_size(report);
    packed = g_malloc(length);
    teasel__task_report__pack(report, packed);
    g_hash_table_insert(coordinator->reports, job->id,
                        teasel__task_report__unpack(NULL, length, packed));
}

static void
check_listed(coordinator_t *coordinator, const member_t *member,
             const Teasel__RunningTask *task)
{
    cell_job_t *job = cell_find_job(coordinator->cell, task->job_id);
    waiting_t *waiting;

    if (!is_current(coordinator, job, member->name, task->attempt)) {
        coordinator_send_stop(coordinator, member->name, task->job_id,
                              task->attempt,
                              TEASEL__STOP_REASON__STOP_REASON_DISCARD);
        return;
    }
    waiting = job->policy;
    waiting->seen = coordinator->heartbeat_count;
    waiting->absent = false;
    if (!waiting->sampled && task->progress_ms >= COORDINATOR_SAMPLE_MS) {
        job_size_t use = {task->cpu_milli, 0, task->memory_mb};

        waiting->sampled = true;
        learn_add_observation(waiting->class_, &job->spec, &use, 0);
    }
}

static void
check_running(coordinator_t *coordinator, const member_t *member,
              const cell_job_t *job)
{
    waiting_t *waiting = job->policy;
    bool seen = waiting->seen == coordinator->heartbeat_count;

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
    if (seen) {
        return;
    }
    if (job->incarnation == member->incarnation) {
        coordinator_send_start(coordinator, job);
        return;
    }
    /* The tasks of an earlier incarnation are listed if they still run. A
       call of that incarnation may be on its way to the worker. */
    waiting->absent = timespec_diff_ms(member->last_heard, member->since) >=
                      COORDINATOR_ABSENT_MS;
}

static void
take_capacity(coordinator_t *coordinator, member_t *member,
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
take_heartbeat(coordinator_t *coordinator, member_t *member,
               const Teasel__Heartbeat *heartbeat)
{
    struct timespec now = clock_get_monotonic(coordinator->opts.clock);

    if (member->heard && heartbeat->incarnation < member->incarnation &&
        timespec_diff_ms(now, member->last_heard) < COORDINATOR_FRESH_MS) {
        return false;
    }
    if (!member->heard || heartbeat->incarnation != member->incarnation) {
        member->since = now;
        member->leased = false;
    }
    member->heard = true;
    member->last_heard = now;
    member->incarnation = heartbeat->incarnation;
    member->leaving = heartbeat->leaving;
    take_capacity(coordinator, member, heartbeat->capacity);
    return true;
}

static void
renew(coordinator_t *coordinator, member_t *member, uint64_t sequence,
      struct timespec proof_time)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Renew renew = TEASEL__RENEW__INIT;
    int64_t age = timespec_diff_ms(member->last_heard, proof_time);
    int64_t lease = (int64_t)coordinator->opts.lease_ms - age;
    bool was_leased = member->leased;

    /* The proof must also show the own claim; the reading of a proof and the
       start of the epoch use the same clock. */
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
                         struct timespec proof_time)
{
    member_t *member;

    if (!coordinator->active || heartbeat->agent_id[0] == '\0') {
        return;
    }
    member = coordinator_get_member(coordinator, heartbeat->agent_id);
    if (!take_heartbeat(coordinator, member, heartbeat)) {
        return;
    }
    coordinator->heartbeat_count++;
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        check_listed(coordinator, member, heartbeat->tasks[i]);
    }
    if (member->worker != NULL) {
        LIST_FOREACH (job, &member->worker->jobs, cell_job_t, worker_link) {
            check_running(coordinator, member, job);
        }
    }
    renew(coordinator, member, heartbeat->sequence, proof_time);
    coordinator_sync_member(coordinator, member);
}
