#ifndef TEASEL_REQUEST_ROUTE_H
#define TEASEL_REQUEST_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/member.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct route route_t;

/**
 * struct route_opts - options of route_new()
 * @policy: one of route_policy_names
 * @link_cost_us: added to the expected delay of members in other data centres,
 *     in microseconds
 * @seed: seed of the random choices
 */
typedef struct route_opts {
    const member_table_t *table;
    const char *policy;
    uint32_t link_cost_us;
    uint64_t seed;
} route_opts_t;

/**
 * struct route_query - input of route_choose()
 * @tried: members that are chosen again only if no other one is usable
 */
typedef struct route_query {
    const char *service;
    const member_t *const *tried;
    size_t tried_count;
    struct timespec now;
} route_query_t;

/**
 * route_policy_names - NULL-terminated list: "p3c" (lowest cost of 3 random
 * choices) and the baselines "random", "round-robin" and "least-connections"
 */
extern const char *const route_policy_names[];

/**
 * route_new() - create a router
 *
 * Return: NULL if the policy is unknown.
 */
route_t *route_new(const route_opts_t *opts);
void route_free(route_t *route);

/**
 * route_choose() - choose a usable member for a request
 *
 * Return: NULL if no member of the service is usable.
 */
member_t *route_choose(route_t *route, const route_query_t *query);

/**
 * route_get_cost() - get the cost of one more request at a member
 *
 * Return: the number of requests at the member, with the new one, times the
 * service time in microseconds.
 */
uint64_t route_get_cost(const member_t *member);

/**
 * route_get_delay_us() - estimate the time until a member has answered one
 * more request
 *
 * Unlike the cost, the delay can be compared between data centres.
 */
uint64_t route_get_delay_us(const member_t *member);

#ifdef __cplusplus
}
#endif

#endif
