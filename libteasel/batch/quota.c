#include "batch/quota.h"

enum {
    DEFAULT_WEIGHT = 100, /* same as the default of tickets */
};

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

static void
reset_team(quota_team_t *team)
{
    team->weight = DEFAULT_WEIGHT;
    team->limit = (job_size_t){.cpu_milli = G_MAXUINT32,
                               .accelerators = G_MAXUINT32,
                               .memory_mb = G_MAXUINT64};
}

quota_team_t *
quota_get_team(quota_t *quota, const char *name)
{
    quota_team_t *team = g_hash_table_lookup(quota->teams, name);

    if (team == NULL) {
        team = g_new0(quota_team_t, 1);
        team->name = g_strdup(name);
        reset_team(team);
        g_hash_table_insert(quota->teams, team->name, team);
    }
    return team;
}

void
quota_reset_teams(quota_t *quota)
{
    GHashTableIter iter;
    gpointer team;

    g_hash_table_iter_init(&iter, quota->teams);
    while (g_hash_table_iter_next(&iter, NULL, &team)) {
        reset_team(team);
    }
}

void
quota_set_total(quota_t *quota, const job_size_t *total)
{
    quota->total = *total;
}

static double
get_dominant_share(const quota_t *quota, const job_size_t *used)
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
    return get_dominant_share(quota, &team->used) / team->weight;
}

static bool
is_within(uint64_t used, uint64_t size, uint64_t limit)
{
    return size == 0 || used + size <= limit;
}

bool
quota_allows(const quota_team_t *team, const job_size_t *size)
{
    const job_size_t *used = &team->used;
    const job_size_t *limit = &team->limit;

    /* Resources that the job does not need are not checked: a limit that was
       lowered below the team's use of them does not hold the job back. */
    return is_within(used->cpu_milli, size->cpu_milli, limit->cpu_milli) &&
           is_within(used->memory_mb, size->memory_mb, limit->memory_mb) &&
           is_within(used->accelerators, size->accelerators,
                     limit->accelerators);
}
