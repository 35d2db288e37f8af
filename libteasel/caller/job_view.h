#ifndef TEASEL_CALLER_JOB_VIEW_H
#define TEASEL_CALLER_JOB_VIEW_H

#include "batch/cell.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * job_view_render() - render a job as a JSON object; free with g_free()
 */
char *job_view_render(const cell_job_t *job);

/**
 * job_view_render_cell() - render all jobs and workers of a cell as a JSON
 * object; free with g_free()
 */
char *job_view_render_cell(const cell_t *cell);

#ifdef __cplusplus
}
#endif

#endif
