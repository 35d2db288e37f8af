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
 * agent_new() - create and start an agent
 * @loop: event loop that runs the agent
 * @settings: owned by the caller; must outlive the agent
 *
 * Return: the agent, to be freed with agent_free(), or NULL with @error set.
 */
agent_t *agent_new(loop_t *loop, const agent_settings_t *settings,
                   GError **error);
void agent_free(agent_t *agent);

/**
 * agent_leave() - begin a graceful shutdown
 * @reason: written to the log and sent to the entries
 *
 * Returns at once. The agent calls loop_stop() when the shutdown is complete
 * or the setting stop_timeout_ms has passed. Further calls do nothing.
 */
void agent_leave(agent_t *agent, const char *reason);

#ifdef __cplusplus
}
#endif

#endif
