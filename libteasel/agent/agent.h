#ifndef TEASEL_AGENT_AGENT_H
#define TEASEL_AGENT_AGENT_H

#include <glib.h>

#include "agent/agent_settings.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct agent agent_t;

/**
 * agent_new() - start an agent
 * @settings: kept by the caller, outlives the agent
 */
agent_t *agent_new(loop_t *loop, const agent_settings_t *settings,
                   GError **error);
void agent_free(agent_t *agent);

/**
 * agent_leave() - begin a planned stop; loop_stop() is called at its end
 * @reason: for the log and the entries
 */
void agent_leave(agent_t *agent, const char *reason);

#ifdef __cplusplus
}
#endif

#endif
