#include "request/member.h"

#include <string.h>

struct member_table {
    member_table_opts_t opts;
    char *data_centre;
    list_t members;
    GHashTable *by_id;  /* agent id -> member_t */
    GHashTable *groups; /* service -> member_group_t */
    outlier_set_t outliers;
};

static void
group_free(void *data)
{
    member_group_t *group = data;

    g_ptr_array_unref(group->local);
    g_ptr_array_unref(group->remote);
    g_free(group);
}

member_table_t *
member_table_new(const member_table_opts_t *opts)
{
    member_table_t *table = g_new0(member_table_t, 1);

    table->opts = *opts;
    table->data_centre = g_strdup(opts->data_centre);
    list_init(&table->members);
    table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    table->groups =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, group_free);
    outlier_set_init(&table->outliers, &opts->outlier);
    return table;
}

static GPtrArray *
get_locality_list(const member_group_t *group, const member_t *member)
{
    return member->local ? group->local : group->remote;
}

static void
remove_from_groups(member_table_t *table, member_t *member)
{
    for (char **service = member->services; service && *service; service++) {
        member_group_t *group = member_table_get_group(table, *service);

        g_ptr_array_remove_fast(get_locality_list(group, member), member);
    }
}

static member_group_t *
get_or_add_group(member_table_t *table, const char *service)
{
    member_group_t *group = member_table_get_group(table, service);

    if (group == NULL) {
        group = g_new0(member_group_t, 1);
        group->local = g_ptr_array_new();
        group->remote = g_ptr_array_new();
        g_hash_table_insert(table->groups, g_strdup(service), group);
    }
    return group;
}

static void
add_to_groups(member_table_t *table, member_t *member)
{
    for (char **service = member->services; *service; service++) {
        member_group_t *group = get_or_add_group(table, *service);

        g_ptr_array_add(get_locality_list(group, member), member);
    }
}

static void
clear_description(member_t *member)
{
    g_clear_pointer(&member->data_centre, g_free);
    g_clear_pointer(&member->rack, g_free);
    g_clear_pointer(&member->services, g_strfreev);
}

static void
member_free(member_table_t *table, member_t *member)
{
    remove_from_groups(table, member);
    outlier_leave(&table->outliers, &member->outlier);
    g_hash_table_remove(table->by_id, member->agent_id);
    list_remove(&member->link);
    clear_description(member);
    g_free(member->agent_id);
    g_free(member);
}

void
member_table_free(member_table_t *table)
{
    if (table == NULL) {
        return;
    }
    LIST_FOREACH_SAFE (member, &table->members, member_t, link) {
        member_free(table, member);
    }
    g_hash_table_unref(table->by_id);
    g_hash_table_unref(table->groups);
    g_free(table->data_centre);
    g_free(table);
}

static member_t *
add_member(member_table_t *table, const member_hello_t *hello)
{
    member_t *member = g_new0(member_t, 1);

    member->agent_id = g_strdup(hello->agent_id);
    member->incarnation = hello->incarnation;
    outlier_join(&table->outliers, &member->outlier);
    list_append(&table->members, &member->link);
    g_hash_table_insert(table->by_id, member->agent_id, member);
    return member;
}

/* Drops duplicates: a member that is in a group twice would be chosen twice as
   often. */
static char **
copy_services(const member_hello_t *hello)
{
    GPtrArray *services = g_ptr_array_new();

    for (size_t i = 0; i < hello->service_count; i++) {
        if (!g_ptr_array_find_with_equal_func(services, hello->services[i],
                                              g_str_equal, NULL)) {
            g_ptr_array_add(services, g_strdup(hello->services[i]));
        }
    }
    g_ptr_array_add(services, NULL);
    return (char **)g_ptr_array_free(services, FALSE);
}

static void
update_description(member_table_t *table, member_t *member,
                   const member_hello_t *hello)
{
    remove_from_groups(table, member);
    clear_description(member);
    member->data_centre = g_strdup(hello->data_centre);
    member->rack = g_strdup(hello->rack);
    member->services = copy_services(hello);
    member->local = strcmp(hello->data_centre, table->data_centre) == 0;
    add_to_groups(table, member);
}

static void
start_incarnation(member_table_t *table, member_t *member, uint64_t number)
{
    outlier_leave(&table->outliers, &member->outlier);
    outlier_join(&table->outliers, &member->outlier);
    member->incarnation = number;
    member->has_left = false;
    memset(&member->load, 0, sizeof(member->load));
}

member_t *
member_table_join(member_table_t *table, const member_hello_t *hello,
                  void *connection, void **replaced)
{
    member_t *member = member_table_find(table, hello->agent_id);

    *replaced = NULL;
    if (member == NULL) {
        member = add_member(table, hello);
    }
    else if (hello->incarnation < member->incarnation) {
        return NULL;
    }
    else if (hello->incarnation > member->incarnation) {
        start_incarnation(table, member, hello->incarnation);
    }
    if (member->connection != connection) {
        *replaced = member->connection;
        member->connection = connection;
        member->in_flight = 0;
    }
    update_description(table, member, hello);
    member_table_update_load(table, member, &hello->load);
    member->last_report = clock_get_monotonic(table->opts.clock);
    return member;
}

bool
member_table_update_load(member_table_t *table, member_t *member,
                         const member_load_t *load)
{
    if (load->sequence <= member->load.sequence) {
        return false;
    }
    member->load = *load;
    member->sent_since_report = 0;
    member->last_report = clock_get_monotonic(table->opts.clock);
    return true;
}

void
member_table_disconnect(member_table_t *table, member_t *member)
{
    member->connection = NULL;
    member->in_flight = 0;
    member->sent_since_report = 0;
    outlier_abandon_probe(&member->outlier);
    member->last_report = clock_get_monotonic(table->opts.clock);
}

void
member_table_expire(member_table_t *table)
{
    struct timespec now = clock_get_monotonic(table->opts.clock);

    LIST_FOREACH_SAFE (member, &table->members, member_t, link) {
        if (member->connection == NULL &&
            timespec_diff_ms(now, member->last_report) >=
                (int64_t)table->opts.keep_ms) {
            member_free(table, member);
        }
    }
}

member_t *
member_table_find(const member_table_t *table, const char *agent_id)
{
    return g_hash_table_lookup(table->by_id, agent_id);
}

member_group_t *
member_table_get_group(const member_table_t *table, const char *service)
{
    return g_hash_table_lookup(table->groups, service);
}

const list_t *
member_table_get_members(const member_table_t *table)
{
    return &table->members;
}

unsigned
member_table_count_connected(const member_table_t *table)
{
    unsigned count = 0;

    LIST_FOREACH (member, &table->members, member_t, link) {
        count += member->connection != NULL;
    }
    return count;
}

outlier_set_t *
member_table_get_outliers(member_table_t *table)
{
    return &table->outliers;
}

bool
member_is_usable(const member_table_t *table, const member_t *member,
                 struct timespec now)
{
    return member->connection != NULL && !member->has_left &&
           !member->drained && !member->load.leaving &&
           timespec_diff_ms(now, member->last_report) <
               (int64_t)table->opts.fresh_ms &&
           outlier_is_allowed(&member->outlier, now);
}

bool
member_begin_request(member_t *member)
{
    member->in_flight++;
    member->sent_since_report++;
    return outlier_begin(&member->outlier);
}

bool
member_end_request(member_table_t *table, member_t *member, bool probe,
                   verdict_t verdict)
{
    struct timespec now = clock_get_monotonic(table->opts.clock);
    outlier_state_t before = member->outlier.state;

    member->in_flight--;
    if (verdict != VERDICT_NEUTRAL) {
        outlier_end(&table->outliers, &member->outlier, probe,
                    verdict == VERDICT_FAILED, now);
    }
    else if (probe) {
        outlier_abandon_probe(&member->outlier);
    }
    return before != OUTLIER_EJECTED &&
           member->outlier.state == OUTLIER_EJECTED &&
           verdict == VERDICT_FAILED;
}

uint32_t
member_estimate_load(const member_t *member)
{
    uint32_t reported = member->load.running + member->load.queued;
    uint32_t expected = reported + member->sent_since_report;

    return expected > member->in_flight ? expected : member->in_flight;
}
