/* The leader's start: it loads the stored jobs. */

#include <string.h>

#include "base/events.h"
#include "scheduler/leader_internal.h"

static void
become_ready(leader_t *leader)
{
    guint jobs = 0;

    leader->stage = LEADER_READY;
    LIST_FOREACH (job, sched_get_active_jobs(leader->sched), sched_job_t,
                  link) {
        jobs++;
    }
    event_log(EVENT_LEADING_READY,
              "epoch=%" G_GUINT64_FORMAT " active_jobs=%u", leader->opts.epoch,
              jobs);
    LIST_FOREACH (session, &leader->sessions, session_t, link) {
        session->lease_due = true;
    }
    leader_handle_deferred_calls(leader);
    leader_schedule_flush(leader);
}

static void
load_job(leader_t *leader, const store_record_t *record)
{
    g_autoptr(GError) error = NULL;

    if (!sched_load(leader->sched, record->key, record->value, record->length,
                    &error)) {
        event_log(EVENT_JOB_RECORD_INVALID,
                  "key=%s offset=%" G_GUINT64_FORMAT " error=\"%s\"",
                  record->key, record->offset, error->message);
    }
}

static void
load_record(leader_t *leader, const store_record_t *record)
{
    bool readable = true;

    if (record->value == NULL) {
        return;
    }
    if (strcmp(record->key, SCHED_LEARNED_KEY) == 0) {
        readable =
            sched_load_learned(leader->sched, record->value, record->length);
    }
    else if (g_str_has_prefix(record->key, CANCELLED_KEY_PREFIX)) {
        readable = cancelled_ids_load(leader->cancelled_ids, record);
    }
    else {
        load_job(leader, record);
    }
    if (!readable) {
        event_log(EVENT_RECORD_MALFORMED, "topic=%s offset=%" G_GUINT64_FORMAT,
                  JOBS_TOPIC, record->offset);
    }
}

static void
on_loaded(store_status_t status, const store_page_t *page, void *data)
{
    leader_t *leader = data;

    leader->writing = false;
    if (leader->stage == LEADER_STOPPED) {
        g_free(leader->write_us);
        g_free(leader);
        return;
    }
    if (status != STORE_OK) {
        leader_set_writes_failing(leader, leader_now_ms(leader) -
                                                  leader->write_began_ms >
                                              LEADER_UNAVAILABLE_AFTER_MS);
        loop_timer_start(&leader->retry, LEADER_WRITE_RETRY_MS);
        return;
    }
    leader_set_writes_failing(leader, false);
    for (size_t i = 0; i < page->count; i++) {
        load_record(leader, &page->records[i]);
    }
    if (!page->more) {
        become_ready(leader);
        return;
    }
    g_free(leader->load_after);
    leader->load_after = g_strdup(page->after);
    leader_begin_load(leader);
}

/* No other process writes between the pages, as the epoch is already set. */
void
leader_load(leader_t *leader)
{
    leader->writing = true;
    store_list(leader->opts.store, JOBS_TOPIC, leader->load_after, on_loaded,
               leader);
}

void
leader_begin_load(leader_t *leader)
{
    leader->write_began_ms = leader_now_ms(leader);
    leader_load(leader);
}
