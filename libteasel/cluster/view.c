/* The view of the leader: which schedulers it knows, and so which of them have
   to confirm that they follow it when the store cannot. */

#include <string.h>

#include "base/events.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"

enum {
    /* Time between two writes of the view, and from a registration to the next
       one, so that schedulers which start together cause one. */
    VIEW_INTERVAL_MS = 300,
};

/* A scheduler that the stored view leaves out waits after its election, so
   that leases don't need its confirmation. */
int64_t
cluster_get_view_acked_ms(const cluster_t *cluster)
{
    return cluster->view.stored ? cluster_get_oldest_ack_ms(cluster, true) : 0;
}

bool
cluster_is_alone(const cluster_t *cluster)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (!member->excluded) {
            return false;
        }
    }
    return cluster->view.stored && g_hash_table_size(cluster->strangers) == 0;
}

/* A scheduler without contact for long is left out, so that work outlasts an
   outage of the store after it was lost for good. */
static bool
has_changed(const cluster_t *cluster)
{
    if (!cluster->view.stored ||
        cluster->view.members_offset > cluster->view.stored_offset) {
        return true;
    }
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (member->excluded != cluster_is_member_unreachable(member)) {
            return true;
        }
    }
    return false;
}

/* An append without an answer may be stored all the same. A member that the
   new record covers therefore has to confirm from now on; one that it leaves
   out need not only once the record is known to be stored. */
static void
prepare_members(cluster_t *cluster, GPtrArray *unreachable)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        member->excluding = cluster_is_member_unreachable(member);
        member->excluded &= member->excluding;
        if (member->excluding) {
            g_ptr_array_add(unreachable, member->name);
        }
    }
}

static void
on_view_stored(store_status_t status, uint64_t offset, void *data)
{
    cluster_t *cluster = data;

    if (!cluster_end_call(cluster)) {
        return;
    }
    cluster->view.writing = false;
    if (status != STORE_OK || !cluster->leading ||
        cluster->view.written_epoch != cluster->epoch) {
        return;
    }
    cluster->view.stored = true;
    cluster->view.stored_offset = offset;
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        member->excluded = member->excluding;
    }
}

/* Appended at the end of the topic only, so that it covers all schedulers that
   have registered before it. */
static void
write_view(cluster_t *cluster)
{
    Teasel__ViewRecord record = TEASEL__VIEW_RECORD__INIT;
    g_autoptr(GPtrArray) unreachable = g_ptr_array_new();
    g_autoptr(GByteArray) value = g_byte_array_new();
    store_record_t stored = {.key = CONTROL_KEY_VIEW};

    prepare_members(cluster, unreachable);
    record.leader = cluster->name;
    record.incarnation = cluster->opts.incarnation;
    record.n_unreachable = unreachable->len;
    record.unreachable = (char **)unreachable->pdata;
    g_byte_array_set_size(value,
                          teasel__view_record__get_packed_size(&record));
    teasel__view_record__pack(&record, value->data);
    stored.value = value->data;
    stored.length = value->len;
    cluster->view.writing = true;
    cluster->view.written_epoch = cluster->epoch;
    cluster_append_at_end(cluster, &stored, on_view_stored);
}

/* While an earlier leader may go on, a later one has to wait for that, and so
   must not find a view of this one in its place. */
static bool
may_write(const cluster_t *cluster)
{
    const struct view *view = &cluster->view;

    return cluster->leading && !view->writing && view->registered &&
           !view->stale_leader && follower_is_available(cluster->follower);
}

/* The first view is stored at once, as leases depend on it. */
static bool
is_due(const cluster_t *cluster, int64_t now_ms)
{
    const struct view *view = &cluster->view;
    int64_t since_ms = view->stored
                           ? MAX(view->written_ms, view->members_changed_ms)
                           : view->written_ms;

    return now_ms - since_ms >= VIEW_INTERVAL_MS;
}

void
cluster_update_view(cluster_t *cluster, int64_t now_ms)
{
    if (may_write(cluster) && has_changed(cluster) &&
        is_due(cluster, now_ms)) {
        cluster->view.written_ms = now_ms;
        write_view(cluster);
    }
}

/* The leader that knows an earlier process by its record waits for the
   confirmation of the name, which then is up to this process. */
void
cluster_note_own_record(cluster_t *cluster, uint64_t offset,
                        uint64_t incarnation)
{
    if (cluster->view.own_offset == OFFSET_UNKNOWN) {
        cluster->view.own_offset = offset;
    }
    cluster->view.registered |= incarnation == cluster->opts.incarnation;
}

void
cluster_note_own_removal(cluster_t *cluster)
{
    cluster->view.own_offset = OFFSET_UNKNOWN;
    cluster->view.registered = false;
}

void
cluster_note_member_record(cluster_t *cluster, uint64_t offset)
{
    if (offset > cluster->view.members_offset) {
        cluster->view.members_offset = offset;
        cluster->view.members_changed_ms = cluster_now_ms(cluster);
    }
}

static bool
names_self(const cluster_t *cluster, const Teasel__ViewRecord *record)
{
    for (size_t i = 0; i < record->n_unreachable; i++) {
        if (strcmp(record->unreachable[i], cluster->name) == 0) {
            return true;
        }
    }
    return false;
}

void
cluster_apply_view_record(cluster_t *cluster, const store_record_t *stored)
{
    Teasel__ViewRecord *record =
        teasel__view_record__unpack(NULL, stored->length, stored->value);

    if (record == NULL) {
        cluster_log_malformed(stored);
        return;
    }
    g_free(cluster->view.leader);
    cluster->view.leader = g_strdup(record->leader);
    cluster->view.incarnation = record->incarnation;
    cluster->view.offset = stored->offset;
    cluster->view.excludes_self = names_self(cluster, record);
    teasel__view_record__free_unpacked(record, NULL);
}

/* Returns whether the process that wrote the view may still act as the
   leader. */
static bool
may_author_lead(cluster_t *cluster)
{
    const member_t *author =
        cluster_find_member(cluster, cluster->view.leader);

    /* It removes its record when it stops; a new process replaces it. */
    if (author == NULL || !author->registered ||
        author->incarnation != cluster->view.incarnation) {
        return false;
    }
    return !cluster_has_fresh_status(author) || author->leading ||
           author->epoch < cluster->epoch;
}

void
cluster_begin_view(cluster_t *cluster)
{
    const struct view *view = &cluster->view;
    bool covered = view->own_offset < view->offset && !view->excludes_self;

    cluster->view.stored = false;
    cluster->view.written_ms = 0;
    cluster->view.stale_leader =
        view->leader != NULL && !covered && may_author_lead(cluster);
    if (cluster->view.stale_leader) {
        event_log(EVENT_STALE_LEADER,
                  "epoch=%" G_GUINT64_FORMAT " leader=%s at_most_ms=%d",
                  cluster->epoch, view->leader, CLUSTER_STALE_LEADER_MS);
    }
}

bool
cluster_has_stale_leader(cluster_t *cluster, int64_t fenced_ms)
{
    struct view *view = &cluster->view;
    int64_t age_ms = cluster_now_ms(cluster) - fenced_ms;

    view->stale_leader = view->stale_leader && may_author_lead(cluster) &&
                         age_ms < CLUSTER_STALE_LEADER_MS;
    return view->stale_leader;
}
