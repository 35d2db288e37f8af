/* Sessions of node agents: reports, leases and orders. */

#include <string.h>

#include "base/events.h"
#include "scheduler/leader_internal.h"

static void
free_session(leader_t *leader, session_t *session)
{
    g_hash_table_remove(leader->sessions_by_node, session->node);
    list_remove(&session->link);
    g_free(session->node);
    g_free(session);
}

static session_t *
open_session(leader_t *leader, peer_t *peer, const char *node)
{
    session_t *session = g_hash_table_lookup(leader->sessions_by_node, node);

    if (session != NULL) {
        sched_disconnect(leader->sched, node);
        free_session(leader, session);
    }
    session = g_new0(session_t, 1);
    session->peer = peer;
    session->node = g_strdup(node);
    list_append(&leader->sessions, &session->link);
    g_hash_table_insert(leader->sessions_by_node, session->node, session);
    event_log(EVENT_NODE_CONNECTED, "node=%s", node);
    return session;
}

static bool
is_complete(const Teasel__NodeReport *report)
{
    for (size_t i = 0; i < report->n_executors; i++) {
        if (!report->executors[i]->listed && !report->executors[i]->gone) {
            return false;
        }
    }
    return true;
}

void
leader_handle_report(leader_t *leader, peer_t *peer, const char *node,
                     const Teasel__NodeReport *report)
{
    session_t *session = g_hash_table_lookup(leader->sessions_by_node, node);

    if (session == NULL || session->peer != peer) {
        session = open_session(leader, peer, node);
    }
    session->lease_due |= report->sent_us != 0;
    if (leader->stage != LEADER_READY) {
        return;
    }
    leader_check_pause(leader);
    if (session->lists_received || is_complete(report)) {
        session->lists_received = true;
        session->echo_us = MAX(session->echo_us, report->sent_us);
        for (size_t i = 0; i < report->n_crashed; i++) {
            sched_apply_crash(leader->sched, report->crashed[i]);
        }
        for (size_t i = 0; i < report->n_executors; i++) {
            sched_apply_report(leader->sched, node, report->executors[i]);
        }
    }
    leader_schedule_flush(leader);
}

void
leader_remove_peer(leader_t *leader, peer_t *peer)
{
    leader_drop_calls(leader, peer);
    LIST_FOREACH_SAFE (session, &leader->sessions, session_t, link) {
        if (session->peer == peer) {
            event_log(EVENT_NODE_LOST, "node=%s", session->node);
            sched_disconnect(leader->sched, session->node);
            free_session(leader, session);
        }
    }
}

static const char *const basis_names[] = {
    [LEASE_BASIS_STORE] = "store",
    [LEASE_BASIS_ACKNOWLEDGED] = "acknowledged",
    [LEASE_BASIS_ALONE] = "alone",
    [LEASE_BASIS_NONE] = "none",
};

/* Returns the last time at which this leader is known to have been the only
   one. A later leader waits for the longest lease before it treats an executor
   as lost; one that this leader may not know, for the longest time without the
   store besides. */
static int64_t
get_proof_ms(const leader_t *leader, int64_t now_ms, lease_basis_t *basis)
{
    int64_t acked_ms = 0;

    if (now_ms - leader->confirmed_ms < leader->opts.max_storeless_ms) {
        if (leader->writes_failing &&
            leader->opts.is_alone(leader->opts.data)) {
            *basis = LEASE_BASIS_ALONE;
            return now_ms;
        }
        acked_ms = leader->opts.get_view_acked_ms(leader->opts.data);
    }
    if (!leader->writes_failing) {
        *basis = LEASE_BASIS_STORE;
    }
    else {
        *basis = acked_ms > leader->confirmed_ms ? LEASE_BASIS_ACKNOWLEDGED
                                                 : LEASE_BASIS_NONE;
    }
    return MAX(leader->confirmed_ms, acked_ms);
}

static void
log_lease_basis(leader_t *leader, lease_basis_t basis)
{
    if (basis == leader->lease_basis) {
        return;
    }
    leader->lease_basis = basis;
    if (basis != LEASE_BASIS_STORE) {
        event_log(EVENT_LEASES_UNCONFIRMED,
                  "epoch=%" G_GUINT64_FORMAT " basis=%s"
                  " store_proof_ms=%" G_GINT64_FORMAT,
                  leader->opts.epoch, basis_names[basis],
                  leader_now_ms(leader) - leader->confirmed_ms);
    }
}

static void
grant_lease(leader_t *leader, const session_t *session,
            Teasel__NodeOrders *orders)
{
    lease_basis_t basis;
    int64_t now_ms = leader_now_ms(leader);
    int64_t proof_age_ms = now_ms - get_proof_ms(leader, now_ms, &basis);
    int64_t lease_ms = MAX(0, leader->opts.lease_ms - proof_age_ms);

    log_lease_basis(leader, basis);
    orders->lease_ms = (uint32_t)lease_ms;
    orders->longest_lease_ms = (uint32_t)leader->opts.lease_ms;
    orders->echo_us = session->echo_us;
    sched_extend_leases(leader->sched, session->node,
                        sched_executor_get_lease_end_ms(now_ms, lease_ms));
}

static void
free_executor_orders(void *data)
{
    sched_orders_free(data);
}

static GPtrArray *
take_orders(leader_t *leader, const session_t *session)
{
    GPtrArray *executor_orders =
        g_ptr_array_new_with_free_func(free_executor_orders);
    const sched_node_t *node = sched_find_node(leader->sched, session->node);

    if (node == NULL) {
        return executor_orders;
    }
    LIST_FOREACH (executor, &node->executors, sched_executor_t, node_link) {
        Teasel__ExecutorOrders *orders =
            executor->listed ? sched_take_orders(leader->sched, executor)
                             : NULL;

        if (orders != NULL) {
            g_ptr_array_add(executor_orders, orders);
        }
    }
    return executor_orders;
}

/* The caller frees the array of names. An agent keeps what it knows of
   evacuations while the leader does not know them. */
static void
add_evacuation(const leader_t *leader, Teasel__Evacuation *message,
               Teasel__NodeOrders *orders)
{
    const evacuation_t *evacuation = leader->opts.evacuation;

    if (!evacuation_is_known(evacuation)) {
        return;
    }
    message->n_data_centres = evacuation_count(evacuation);
    message->data_centres = g_new(char *, message->n_data_centres);
    for (guint i = 0; i < message->n_data_centres; i++) {
        message->data_centres[i] = (char *)evacuation_get_name(evacuation, i);
    }
    orders->evacuation = message;
}

static void
send_session_orders(leader_t *leader, session_t *session)
{
    g_autoptr(GPtrArray) executor_orders = take_orders(leader, session);
    Teasel__NodeOrders orders = TEASEL__NODE_ORDERS__INIT;
    Teasel__Evacuation evacuation = TEASEL__EVACUATION__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    if (executor_orders->len == 0 && !session->lease_due) {
        return;
    }
    session->lease_due = false;
    orders.epoch = leader->opts.epoch;
    orders.send_lists = !session->lists_received;
    orders.n_executors = executor_orders->len;
    orders.executors = (Teasel__ExecutorOrders **)executor_orders->pdata;
    grant_lease(leader, session, &orders);
    add_evacuation(leader, &evacuation, &orders);
    envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_ORDERS;
    envelope.node_orders = &orders;
    peer_send(session->peer, &envelope);
    g_free(evacuation.data_centres);
}

void
leader_send_orders(leader_t *leader)
{
    LIST_FOREACH (session, &leader->sessions, session_t, link) {
        send_session_orders(leader, session);
    }
}

void
leader_note_evacuation(leader_t *leader)
{
    LIST_FOREACH (session, &leader->sessions, session_t, link) {
        session->lease_due = true;
    }
    sched_note_evacuation(leader->sched);
    leader_schedule_flush(leader);
}

void
leader_free_sessions(leader_t *leader)
{
    LIST_FOREACH_SAFE (session, &leader->sessions, session_t, link) {
        free_session(leader, session);
    }
}
