#include "agent/coordinator_role.h"

/* Placeholder until branch batch provides the role: no claim is ever made,
   so that the agent runs interactive requests only. */
struct coordinator_role {
    coordinator_role_opts_t opts;
    loop_timer_t stop_timer;
};

static void
on_stop_timer(loop_timer_t *timer)
{
    coordinator_role_t *role = timer->data;

    role->opts.handler->on_stopped(role->opts.data);
}

coordinator_role_t *
coordinator_role_new(const coordinator_role_opts_t *opts)
{
    coordinator_role_t *role = g_new0(coordinator_role_t, 1);

    role->opts = *opts;
    loop_timer_init(&role->stop_timer, opts->loop, on_stop_timer, role);
    return role;
}

void
coordinator_role_free(coordinator_role_t *role)
{
    loop_timer_stop(&role->stop_timer);
    g_free(role);
}

void
coordinator_role_on_message(coordinator_role_t *role, peer_t *peer,
                            const Teasel__Envelope *message)
{
}

void
coordinator_role_on_close(coordinator_role_t *role, peer_t *peer)
{
}

void
coordinator_role_note_contact(coordinator_role_t *role, uint64_t epoch)
{
}

void
coordinator_role_note_leave(coordinator_role_t *role, uint64_t epoch)
{
}

const char *
coordinator_role_get_address(const coordinator_role_t *role, uint64_t *epoch)
{
    return NULL;
}

bool
coordinator_role_is_holder(const coordinator_role_t *role)
{
    return false;
}

void
coordinator_role_stop(coordinator_role_t *role)
{
    loop_timer_start(&role->stop_timer, 0);
}
