#include "request/route.h"

#include <string.h>

enum {
    CHOICE_COUNT = 3,
    /* Used until a member has reported its service time and slots. */
    UNKNOWN_SERVICE_TIME_US = 1000,
    UNKNOWN_SLOTS = 8,
};

typedef member_t *(*choose_fn)(route_t *route, GPtrArray *members,
                               const route_query_t *query);

typedef struct route_policy {
    choose_fn choose;
} route_policy_t;

struct route {
    route_opts_t opts;
    const route_policy_t *policy;
    uint64_t random;
    size_t next_start;
};

/* xorshift64*: fast and reproducible from a seed; need not be secure. */
static uint64_t
next_random(route_t *route)
{
    route->random ^= route->random >> 12;
    route->random ^= route->random << 25;
    route->random ^= route->random >> 27;
    return route->random * 0x2545F4914F6CDD1DULL;
}

static size_t
random_below(route_t *route, size_t limit)
{
    return (size_t)((next_random(route) >> 32) * limit >> 32);
}

static bool
is_candidate(const route_t *route, const member_t *member,
             const route_query_t *query)
{
    for (size_t i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == member) {
            return false;
        }
    }
    return member_is_usable(route->opts.table, member, query->now);
}

uint64_t
route_get_cost(const member_t *member)
{
    uint64_t service_time = member->load.service_time_us;

    if (service_time == 0) {
        service_time = UNKNOWN_SERVICE_TIME_US;
    }
    return (uint64_t)(member_estimate_load(member) + 1) * service_time;
}

uint64_t
route_get_delay_us(const member_t *member)
{
    uint64_t slots = member->load.slots ? member->load.slots : UNKNOWN_SLOTS;
    uint64_t ahead = member_estimate_load(member) + 1;
    uint64_t cost = route_get_cost(member);

    return ahead <= slots ? cost / ahead : cost / slots;
}

/* A member that has not reported its service time is taken for as fast as the
   other one. As a fast one it would get all requests until it reports. */
static bool
is_cheaper(const member_t *member, const member_t *other)
{
    if (member->load.service_time_us == 0 ||
        other->load.service_time_us == 0) {
        return member_estimate_load(member) < member_estimate_load(other);
    }
    return route_get_cost(member) < route_get_cost(other);
}

/* Partial Fisher-Yates shuffle: swaps random members to the front until enough
   candidates are found, which draws without replacement. */
static member_t *
choose_by_cost(route_t *route, GPtrArray *members, const route_query_t *query)
{
    member_t *best = NULL;
    unsigned found = 0;

    for (size_t i = 0; i < members->len && found < CHOICE_COUNT; i++) {
        size_t other = i + random_below(route, members->len - i);
        member_t *member = members->pdata[other];

        members->pdata[other] = members->pdata[i];
        members->pdata[i] = member;
        if (!is_candidate(route, member, query)) {
            continue;
        }
        found++;
        if (best == NULL || is_cheaper(member, best)) {
            best = member;
        }
    }
    return best;
}

static member_t *
choose_next(route_t *route, GPtrArray *members, const route_query_t *query,
            size_t start)
{
    for (size_t i = 0; i < members->len; i++) {
        member_t *member = members->pdata[(start + i) % members->len];

        if (is_candidate(route, member, query)) {
            return member;
        }
    }
    return NULL;
}

static member_t *
choose_random(route_t *route, GPtrArray *members, const route_query_t *query)
{
    return choose_next(route, members, query,
                       random_below(route, members->len));
}

static member_t *
choose_round_robin(route_t *route, GPtrArray *members,
                   const route_query_t *query)
{
    return choose_next(route, members, query, route->next_start++);
}

static member_t *
choose_least_connections(route_t *route, GPtrArray *members,
                         const route_query_t *query)
{
    size_t start = random_below(route, members->len);
    member_t *best = NULL;

    for (size_t i = 0; i < members->len; i++) {
        member_t *member = members->pdata[(start + i) % members->len];

        if (is_candidate(route, member, query) &&
            (best == NULL || member->in_flight < best->in_flight)) {
            best = member;
        }
    }
    return best;
}

const char *const route_policy_names[] = {"p3c", "random", "round-robin",
                                          "least-connections", NULL};

/* In the order of route_policy_names. */
static const route_policy_t policies[] = {
    {choose_by_cost},
    {choose_random},
    {choose_round_robin},
    {choose_least_connections},
};

route_t *
route_new(const route_opts_t *opts)
{
    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        if (strcmp(opts->policy, route_policy_names[i]) == 0) {
            route_t *route = g_new0(route_t, 1);

            route->opts = *opts;
            route->policy = &policies[i];
            route->random = opts->seed | 1; /* must not be 0 */
            return route;
        }
    }
    return NULL;
}

void
route_free(route_t *route)
{
    g_free(route);
}

static member_t *
choose_from(route_t *route, GPtrArray *members, const route_query_t *query)
{
    if (members->len == 0) {
        return NULL;
    }
    return route->policy->choose(route, members, query);
}

static member_t *
choose_untried(route_t *route, const route_query_t *query)
{
    member_group_t *group =
        member_table_get_group(route->opts.table, query->service);
    member_t *local;
    member_t *remote;

    if (group == NULL) {
        return NULL;
    }
    local = choose_from(route, group->local, query);
    if (local != NULL &&
        route_get_delay_us(local) <= route->opts.link_cost_us) {
        return local; /* no other data centre can be faster */
    }
    remote = choose_from(route, group->remote, query);
    if (local == NULL || remote == NULL) {
        return local ? local : remote;
    }
    return route_get_delay_us(remote) + route->opts.link_cost_us <
                   route_get_delay_us(local)
               ? remote
               : local;
}

member_t *
route_choose(route_t *route, const route_query_t *query)
{
    member_t *member = choose_untried(route, query);
    route_query_t retry = *query;

    if (member == NULL && query->tried_count > 0) {
        retry.tried_count = 0;
        member = choose_untried(route, &retry);
    }
    return member;
}
