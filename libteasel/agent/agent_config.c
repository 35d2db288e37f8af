#include <string.h>

#include "agent/agent_internal.h"
#include "base/events.h"
#include "config/config.h"

static void
apply_limits(agent_t *agent, const config_service_t *service)
{
    const agent_settings_t *settings = agent->settings;
    ledger_amount_t capacity = agent->ledger.capacity;
    int64_t slots = service->declared ? service->slots : settings->slots;
    int64_t queue = service->declared ? service->queue : settings->queue;

    capacity.units[LEDGER_SLOTS] = (uint64_t)slots;
    capacity.units[LEDGER_CONNECTIONS] =
        (uint64_t)(service->declared ? service->connections
                                     : settings->connections);
    ledger_set_capacity(&agent->ledger, &capacity);
    request_table_set_limits(agent->requests, (size_t)slots, (size_t)queue);
}

static void
apply_drain(agent_t *agent, bool drained)
{
    if (drained == agent->drained || agent->leaving) {
        return;
    }
    agent->drained = drained;
    event_log(EVENT_DRAIN_STATE, "drained=%d", drained);
    request_table_set_leaving(agent->requests, drained);
    if (agent->tasks != NULL) {
        task_runner_set_leaving(agent->tasks, drained);
    }
    agent_entries_send_report(agent);
}

pressure_opts_t
agent_config_get_pressure(const agent_t *agent)
{
    const agent_settings_t *settings = agent->settings;
    const config_policy_t *policy =
        agent->config == NULL
            ? NULL
            : config_reader_get_policy(agent->config, "default");
    pressure_opts_t opts = {
        .clock = agent->clock,
        .throttle_percent = (uint32_t)settings->pressure_throttle_percent,
        .suspend_percent = (uint32_t)settings->pressure_suspend_percent,
        .checkpoint_percent = (uint32_t)settings->pressure_checkpoint_percent,
        .evict_percent = (uint32_t)settings->pressure_evict_percent,
        .hysteresis_percent = (uint32_t)settings->pressure_hysteresis_percent,
        .hold_ms = (uint64_t)settings->pressure_hold_ms,
        .tail_weight = (uint32_t)settings->tail_weight,
        .eviction_weight = (uint32_t)settings->eviction_weight,
    };

    if (policy != NULL && policy->declared) {
        opts.throttle_percent = (uint32_t)policy->throttle_percent;
        opts.suspend_percent = (uint32_t)policy->suspend_percent;
        opts.checkpoint_percent = (uint32_t)policy->checkpoint_percent;
        opts.evict_percent = (uint32_t)policy->evict_percent;
        opts.hysteresis_percent = (uint32_t)policy->hysteresis_percent;
        opts.tail_weight = (uint32_t)policy->tail_weight;
        opts.eviction_weight = (uint32_t)policy->eviction_weight;
    }
    return opts;
}

static void
apply_team(const config_object_t *object, void *data)
{
    agent_t *agent = data;

    if (object->kind == CONFIG_TEAM) {
        coordinator_role_set_team(
            agent->role,
            object->name + strlen(config_object_get_prefix(CONFIG_TEAM)),
            &object->value.team);
    }
}

void
agent_config_apply_teams(agent_t *agent)
{
    if (agent->role == NULL || agent->config == NULL) {
        return;
    }
    /* Teams whose object was removed return to the default values. */
    coordinator_role_reset_teams(agent->role);
    config_foreach_object(config_reader_get_state(agent->config), apply_team,
                          agent);
}

static void
on_change(config_reader_t *reader, void *data)
{
    agent_t *agent = data;
    pressure_opts_t pressure;

    if (agent->settings->services[0] != NULL) {
        apply_limits(agent, config_reader_get_service(
                                reader, agent->settings->services[0]));
    }
    if (agent->tasks != NULL) {
        pressure = agent_config_get_pressure(agent);
        task_runner_set_pressure(agent->tasks, &pressure);
    }
    agent_config_apply_teams(agent);
    apply_drain(agent,
                config_reader_is_drained(reader, agent->settings->agent_id));
    /* Operators wait until a report shows the offset of their change. */
    agent_entries_send_report(agent);
}

void
agent_config_check_snapshot(agent_t *agent)
{
    if (agent->role != NULL && coordinator_role_is_holder(agent->role)) {
        config_reader_maybe_write_snapshot(agent->config);
    }
}

void
agent_config_start(agent_t *agent)
{
    config_reader_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .log = agent->log,
        .writer = agent->settings->agent_id,
        .on_change = on_change,
        .data = agent,
    };

    agent->config = config_reader_new(&opts);
}
