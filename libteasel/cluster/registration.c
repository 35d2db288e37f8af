/* The records of this and of other schedulers in the control topic. */

#include <string.h>

#include "base/events.h"
#include "base/settings.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"

enum {
    REGISTER_RETRY_MS = 300,
};

static bool
update_scheduler(cluster_t *cluster, const char *name,
                 const Teasel__SchedulerRecord *record)
{
    member_t *member;

    if (record == NULL || name[0] == '\0' || strcmp(record->name, name) != 0 ||
        !address_parse(record->address, NULL, NULL, NULL)) {
        return false;
    }
    member = cluster_update_member(cluster, name, record->address,
                                   record->incarnation);
    if (member != NULL) {
        member->cpu_milli = record->cpu_milli;
        member->registered = true;
    }
    cluster_update_connections(cluster);
    return true;
}

static void
note_registration(cluster_t *cluster, const store_record_t *stored,
                  const Teasel__SchedulerRecord *record)
{
    if (strcmp(record->name, cluster->name) == 0) {
        cluster_note_own_record(cluster, stored->offset, record->incarnation);
    }
    else {
        cluster_note_member_record(cluster, stored->offset);
    }
}

void
cluster_apply_scheduler_record(cluster_t *cluster,
                               const store_record_t *stored)
{
    const char *name = stored->key + strlen(CONTROL_SCHEDULER_PREFIX);
    Teasel__SchedulerRecord *record =
        teasel__scheduler_record__unpack(NULL, stored->length, stored->value);

    if (update_scheduler(cluster, name, record)) {
        note_registration(cluster, stored, record);
    }
    else {
        cluster_log_malformed(stored);
        /* Replaces the record if it hides this process from others. */
        if (strcmp(name, cluster->name) == 0 && !cluster->leaving) {
            loop_timer_start(&cluster->register_timer, 0);
        }
    }
    if (record != NULL) {
        teasel__scheduler_record__free_unpacked(record, NULL);
    }
}

void
cluster_apply_scheduler_removal(cluster_t *cluster, const char *name)
{
    if (strcmp(name, cluster->name) != 0) {
        cluster->leader_left |= g_strcmp0(name, cluster->leader_name) == 0;
        cluster_forget_member(cluster, name);
        cluster_update_connections(cluster);
    }
    else {
        cluster_note_own_removal(cluster);
        if (cluster->leaving) {
            loop_timer_stop(&cluster->register_timer);
        }
        else {
            loop_timer_start(&cluster->register_timer, 0);
        }
    }
}

static void
on_registered(store_status_t status, uint64_t offset, void *data)
{
    cluster_t *cluster = data;

    if (!cluster_end_call(cluster)) {
        return;
    }
    if (status != STORE_OK && !cluster->leaving) {
        loop_timer_start(&cluster->register_timer, REGISTER_RETRY_MS);
    }
}

static void
on_unregistered(store_status_t status, uint64_t offset, void *data)
{
    cluster_end_call(data);
    if (status != STORE_OK) {
        event_log(EVENT_UNREGISTER_FAILED, "status=%s",
                  store_status_to_string(status));
    }
}

/* Repeated until the removal is read back. It is conditional on the end of the
   topic, so that it cannot take effect after the registration of the next
   process with this name. */
static void
unregister_self(cluster_t *cluster)
{
    g_autofree char *key =
        g_strconcat(CONTROL_SCHEDULER_PREFIX, cluster->name, NULL);
    store_record_t stored = {.key = key};

    cluster_append_at_end(cluster, &stored, on_unregistered);
    loop_timer_start(&cluster->register_timer, REGISTER_RETRY_MS);
}

static void
register_self(cluster_t *cluster)
{
    Teasel__SchedulerRecord record = TEASEL__SCHEDULER_RECORD__INIT;
    g_autoptr(GByteArray) value = g_byte_array_new();
    g_autofree char *key =
        g_strconcat(CONTROL_SCHEDULER_PREFIX, cluster->name, NULL);
    store_record_t stored = {.key = key};
    store_append_t append = {
        .topic = CONTROL_TOPIC, .records = &stored, .count = 1};

    record.name = cluster->name;
    record.address = cluster->address;
    record.incarnation = cluster->opts.incarnation;
    record.cpu_milli = cluster->opts.cpu_milli;
    g_byte_array_set_size(value,
                          teasel__scheduler_record__get_packed_size(&record));
    teasel__scheduler_record__pack(&record, value->data);
    stored.value = value->data;
    stored.length = value->len;
    cluster_begin_call(cluster);
    store_append(cluster->opts.store, &append, on_registered, cluster);
}

void
cluster_update_registration(loop_timer_t *timer)
{
    cluster_t *cluster = timer->data;

    if (cluster->leaving) {
        unregister_self(cluster);
    }
    else {
        register_self(cluster);
    }
}
