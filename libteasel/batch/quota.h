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
 * @weight: a team of weight 200 is due twice the share of one of weight 100
 * @limit: most that its running jobs use together; 0 of a resource allows
 *     only jobs that need none of it
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
 * quota_get_team() - a team; created with weight 100 and without limit
 */
quota_team_t *quota_get_team(quota_t *quota, const char *name);

/**
 * quota_reset_teams() - give all teams weight 100 and no limit
 */
void quota_reset_teams(quota_t *quota);

/**
 * quota_set_total() - resources of all workers
 */
void quota_set_total(quota_t *quota, const job_size_t *total);

/**
 * quota_get_share() - dominant share of a team, divided by its weight
 */
double quota_get_share(const quota_t *quota, const quota_team_t *team);

/**
 * quota_allows() - true if the team stays within its limit with this job
 *
 * A job larger than the limit waits until the limit is raised. Running jobs
 * are never touched, also if the limit is lowered below their use.
 */
bool quota_allows(const quota_team_t *team, const job_size_t *size);

#ifdef __cplusplus
}
#endif

#endif
