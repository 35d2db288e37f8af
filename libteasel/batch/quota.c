#include "batch/quota.h"

struct quota {
    GHashTable *teams; /* name -> quota_team_t */
    job_size_t total;
};

static void
free_team(gpointer data)
{
    quota_team_t *team = data;

    g_free(team->name);
    g_free(team);
}

quota_t *
quota_new(void)
{
    quota_t *quota = g_new0(quota_t, 1);

    quota->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_team);
    return quota;
}

void
quota_free(quota_t *quota)
{
    if (quota == NULL) {
        return;
    }
    g_hash_table_destroy(quota->teams);
    g_free(quota);
}

quota_team_t *
quota_get_team(quota_t *quota, const char *name)
{
    quota_team_t *team = g_hash_table_lookup(quota->teams, name);

    if (team == NULL) {
        team = g_new0(quota_team_t, 1);
        team->name = g_strdup(name);
        team->weight = 1;
        team->limit = 1;
        g_hash_table_insert(quota->teams, team->name, team);
    }
    return team;
}

void
quota_set_total(quota_t *quota, const job_size_t *total)
{
    quota->total = *total;
}

static double
get_dominant(const quota_t *quota, const job_size_t *used)
{
    const job_size_t *total = &quota->total;
    double cpu = used->cpu_milli / (double)MAX(total->cpu_milli, 1);
    double memory = (double)used->memory_mb / (double)MAX(total->memory_mb, 1);
    double accelerators =
        used->accelerators / (double)MAX(total->accelerators, 1);

    return MAX(MAX(cpu, memory), accelerators);
}

double
quota_get_share(const quota_t *quota, const quota_team_t *team)
{
    return get_dominant(quota, &team->used) / team->weight;
}

bool
quota_allows(const quota_t *quota, const quota_team_t *team,
             const job_size_t *size)
{
    job_size_t after = team->used;

    if (team->limit >= 1 || get_dominant(quota, &team->used) == 0) {
        return true;
    }
    job_size_add(&after, size);
    return get_dominant(quota, &after) <= team->limit;
}
