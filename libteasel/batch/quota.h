#ifndef TEASEL_BATCH_QUOTA_H
#define TEASEL_BATCH_QUOTA_H

#include <glib.h>
#include <stdbool.h>

#include "batch/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct quota_team - use and quota of a team
 * @weight: a team of weight 200 gets twice the share of one of weight 100
 * @limit: maximum resources of its running jobs together; 0 of a resource
 *     allows only jobs that need none of it
 * @used: sum of the sizes of its running jobs
 */
typedef struct quota_team {
    char *name;
    double weight;
    job_size_t limit;
    job_size_t used;
} quota_team_t;

typedef struct quota quota_t;

quota_t *quota_new(void);
void quota_free(quota_t *quota);

/**
 * quota_get_team() - get a team, owned by @quota; a new one has weight 100 and
 * no limit
 */
quota_team_t *quota_get_team(quota_t *quota, const char *name);

/**
 * quota_reset_teams() - give all teams weight 100 and no limit
 */
void quota_reset_teams(quota_t *quota);

/**
 * quota_set_total() - set the sum of the resources of all workers
 */
void quota_set_total(quota_t *quota, const job_size_t *total);

/**
 * quota_get_share() - get the dominant share of a team, divided by its weight
 *
 * The dominant share is the largest of its shares of processors, memory and
 * accelerators.
 */
double quota_get_share(const quota_t *quota, const quota_team_t *team);

/**
 * quota_allows() - check whether the team stays within its limit if it starts
 * a job of @size
 *
 * A job larger than the limit stays queued until the limit is raised. Running
 * jobs are not stopped, even if the limit is lowered below their use.
 */
bool quota_allows(const quota_team_t *team, const job_size_t *size);

#ifdef __cplusplus
}
#endif

#endif
