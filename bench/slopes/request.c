#include "request/member.h"
#include "request/route.h"
#include "slopes.h"

enum {
    /* members */
    SMALL_TABLE = 11,
    LARGE_TABLE = 1000,
};

static member_table_t *
make_table(uint64_t members, void *connection)
{
    static const char *const services[] = {"preview", NULL};
    member_table_opts_t opts = {
        .clock = clock_system(),
        .data_centre = "accra",
        .fresh_ms = 600000,
        .keep_ms = 600000,
    };
    member_table_t *table = member_table_new(&opts);

    for (uint64_t i = 0; i < members; i++) {
        g_autofree char *name =
            g_strdup_printf("agent-accra-%05u", (unsigned)i);
        member_hello_t hello = {
            .agent_id = name,
            .incarnation = 1,
            .data_centre = "accra",
            .rack = "accra-rack-12",
            .services = services,
            .service_count = 1,
            .load = {.slots = 8, .service_time_us = 20000, .sequence = 1},
        };
        void *replaced = NULL;

        member_table_join(table, &hello, connection, &replaced);
    }
    return table;
}

static void
run_member(uint64_t count, slope_result_t *result)
{
    slope_mark_t mark;
    member_table_t *table;
    int connection = 0;

    slope_begin(&mark);
    table = make_table(count, &connection);
    slope_end(&mark, count, result);
    member_table_free(table);
}

static void
run_report(uint64_t count, slope_result_t *result)
{
    int connection = 0;
    member_table_t *table = make_table(LARGE_TABLE, &connection);
    member_load_t load = {.slots = 8, .service_time_us = 20000};
    member_t *member = member_table_find(table, "agent-accra-00017");
    slope_mark_t mark;

    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        load.sequence = i + 2;
        member_table_update_load(table, member, &load);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    member_table_free(table);
}

static void
measure_route(uint64_t count, uint64_t members, slope_result_t *result)
{
    int connection = 0;
    member_table_t *table = make_table(members, &connection);
    route_opts_t opts = {table, "p3c", 1000, 1};
    route_t *route = route_new(&opts);
    route_query_t query = {.service = "preview"};
    slope_mark_t mark;

    query.now = clock_get_monotonic(clock_system());
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        route_choose(route, &query);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    route_free(route);
    member_table_free(table);
}

static void
run_route_small(uint64_t count, slope_result_t *result)
{
    measure_route(count, SMALL_TABLE, result);
}

static void
run_route_large(uint64_t count, slope_result_t *result)
{
    measure_route(count, LARGE_TABLE, result);
}

const slope_t slopes_request[] = {
    {"member-join", "agent added to the member table of an entry", LARGE_TABLE,
     run_member},
    {"member-report", "load report applied to the member table", 1000000,
     run_report},
    {"route-choose-11", "routing decision among 11 members", 1000000,
     run_route_small},
    {"route-choose-1000", "routing decision among 1,000 members", 1000000,
     run_route_large},
    {NULL, NULL, 0, NULL},
};
