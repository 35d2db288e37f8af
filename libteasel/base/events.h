#ifndef TEASEL_BASE_EVENTS_H
#define TEASEL_BASE_EVENTS_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * EVENT(id, number, level, name): the log events. docs/events.md documents
 * them for operators. Numbers: 1xxx entry, 2xxx agent, 3xxx platform, 4xxx
 * batch, 5xxx configuration, 6xxx operators, 7xxx scheduler, 8xxx node agent,
 * 9xxx common.
 */
#define EVENT_TABLE(EVENT)                                                    \
    EVENT(EVENT_ENTRY_STARTED, 1001, G_LOG_LEVEL_MESSAGE, "entry-started")    \
    EVENT(EVENT_MEMBER_JOINED, 1002, G_LOG_LEVEL_MESSAGE, "member-joined")    \
    EVENT(EVENT_MEMBER_LOST, 1003, G_LOG_LEVEL_WARNING, "member-lost")        \
    EVENT(EVENT_MEMBER_REFUSED, 1004, G_LOG_LEVEL_WARNING, "member-refused")  \
    EVENT(EVENT_MEMBER_LEAVING, 1005, G_LOG_LEVEL_MESSAGE, "member-leaving")  \
    EVENT(EVENT_MEMBER_EJECTED, 1006, G_LOG_LEVEL_WARNING, "member-ejected")  \
    EVENT(EVENT_PEER_REFUSED, 1007, G_LOG_LEVEL_WARNING, "peer-refused")      \
    EVENT(EVENT_ENTRY_KNOWN, 1008, G_LOG_LEVEL_MESSAGE, "entry-known")        \
    EVENT(EVENT_ENTRY_FORGOTTEN, 1009, G_LOG_LEVEL_MESSAGE,                   \
          "entry-forgotten")                                                  \
    EVENT(EVENT_KEY_RESULT_DELAYED, 1010, G_LOG_LEVEL_WARNING,                \
          "key-result-delayed")                                               \
    EVENT(EVENT_KEY_CLAIM_ABANDONED, 1011, G_LOG_LEVEL_WARNING,               \
          "key-claim-abandoned")                                              \
    EVENT(EVENT_STOP_INCOMPLETE, 1012, G_LOG_LEVEL_WARNING,                   \
          "stop-incomplete")                                                  \
    EVENT(EVENT_AGENT_STARTED, 2001, G_LOG_LEVEL_MESSAGE, "agent-started")    \
    EVENT(EVENT_ENTRY_CONNECTED, 2002, G_LOG_LEVEL_MESSAGE,                   \
          "entry-connected")                                                  \
    EVENT(EVENT_ENTRY_LOST, 2003, G_LOG_LEVEL_WARNING, "entry-lost")          \
    EVENT(EVENT_COORDINATOR_CONNECTED, 2004, G_LOG_LEVEL_MESSAGE,             \
          "coordinator-connected")                                            \
    EVENT(EVENT_COORDINATOR_LOST, 2005, G_LOG_LEVEL_WARNING,                  \
          "coordinator-lost")                                                 \
    EVENT(EVENT_AGENT_FROZEN, 2006, G_LOG_LEVEL_WARNING, "agent-frozen")      \
    EVENT(EVENT_LEASE_EXPIRED, 2007, G_LOG_LEVEL_WARNING, "lease-expired")    \
    EVENT(EVENT_LEASE_RESTORED, 2008, G_LOG_LEVEL_MESSAGE, "lease-restored")  \
    EVENT(EVENT_EPOCH_REFUSED, 2009, G_LOG_LEVEL_WARNING, "epoch-refused")    \
    EVENT(EVENT_TASK_ENDED, 2010, G_LOG_LEVEL_MESSAGE, "task-ended")          \
    EVENT(EVENT_TASK_RECOVERED, 2011, G_LOG_LEVEL_MESSAGE, "task-recovered")  \
    EVENT(EVENT_TASK_LOST, 2012, G_LOG_LEVEL_WARNING, "task-lost")            \
    EVENT(EVENT_TASK_EFFECTS_LOST, 2013, G_LOG_LEVEL_CRITICAL,                \
          "task-effects-lost")                                                \
    EVENT(EVENT_PRESSURE_STEP, 2014, G_LOG_LEVEL_MESSAGE, "pressure-step")    \
    EVENT(EVENT_WORKER_BACK, 2015, G_LOG_LEVEL_MESSAGE, "worker-answers")     \
    EVENT(EVENT_WORKER_SILENT, 2016, G_LOG_LEVEL_WARNING, "worker-silent")    \
    EVENT(EVENT_WORKER_RESTARTED, 2017, G_LOG_LEVEL_WARNING,                  \
          "worker-restarted")                                                 \
    EVENT(EVENT_STOP_UNFINISHED, 2018, G_LOG_LEVEL_WARNING,                   \
          "stop-unfinished")                                                  \
    EVENT(EVENT_DRAIN_STATE, 2019, G_LOG_LEVEL_MESSAGE, "drain-state")        \
    EVENT(EVENT_MEMORY_OVERUSE, 2020, G_LOG_LEVEL_WARNING, "memory-overuse")  \
    EVENT(EVENT_LOG_LOST, 3001, G_LOG_LEVEL_WARNING, "log-lost")              \
    EVENT(EVENT_LOG_BACK, 3002, G_LOG_LEVEL_MESSAGE, "log-back")              \
    EVENT(EVENT_RECORD_MALFORMED, 3003, G_LOG_LEVEL_WARNING,                  \
          "record-malformed")                                                 \
    EVENT(EVENT_SNAPSHOT_LOADED, 3004, G_LOG_LEVEL_MESSAGE,                   \
          "snapshot-loaded")                                                  \
    EVENT(EVENT_SNAPSHOT_BAD, 3005, G_LOG_LEVEL_WARNING, "snapshot-bad")      \
    EVENT(EVENT_STREAM_GAP, 3006, G_LOG_LEVEL_CRITICAL, "stream-gap")         \
    EVENT(EVENT_LOG_BEHIND, 3007, G_LOG_LEVEL_WARNING, "log-behind")          \
    EVENT(EVENT_SNAPSHOT_WRITTEN, 3008, G_LOG_LEVEL_MESSAGE,                  \
          "snapshot-written")                                                 \
    EVENT(EVENT_STORE_LOST, 3009, G_LOG_LEVEL_WARNING, "store-lost")          \
    EVENT(EVENT_STORE_BACK, 3010, G_LOG_LEVEL_MESSAGE, "store-back")          \
    EVENT(EVENT_WRITE_FAILED, 3011, G_LOG_LEVEL_WARNING, "write-failed")      \
    EVENT(EVENT_ROUTES_CHANGED, 3012, G_LOG_LEVEL_MESSAGE, "routes-changed")  \
    EVENT(EVENT_SCHEDULER_STARTED, 7001, G_LOG_LEVEL_MESSAGE,                 \
          "scheduler-started")                                                \
    EVENT(EVENT_LEADER_CHANGED, 7002, G_LOG_LEVEL_MESSAGE, "leader-changed")  \
    EVENT(EVENT_LEADER_LOST, 7003, G_LOG_LEVEL_WARNING, "leader-lost")        \
    EVENT(EVENT_LEADING, 7004, G_LOG_LEVEL_MESSAGE, "leading")                \
    EVENT(EVENT_LEADING_READY, 7005, G_LOG_LEVEL_MESSAGE, "leading-ready")    \
    EVENT(EVENT_LEADING_ENDED, 7006, G_LOG_LEVEL_WARNING, "leading-ended")    \
    EVENT(EVENT_NODE_CONNECTED, 7007, G_LOG_LEVEL_MESSAGE, "node-connected")  \
    EVENT(EVENT_NODE_LOST, 7008, G_LOG_LEVEL_WARNING, "node-lost")            \
    EVENT(EVENT_JOB_ACCEPTED, 7009, G_LOG_LEVEL_MESSAGE, "job-accepted")      \
    EVENT(EVENT_JOB_REFUSED, 7010, G_LOG_LEVEL_WARNING, "job-refused")        \
    EVENT(EVENT_JOB_FINISHED, 7011, G_LOG_LEVEL_MESSAGE, "job-finished")      \
    EVENT(EVENT_CALL_UNANSWERED, 7012, G_LOG_LEVEL_WARNING,                   \
          "call-unanswered")                                                  \
    EVENT(EVENT_EXECUTOR_LAPSED, 7013, G_LOG_LEVEL_WARNING,                   \
          "executor-lapsed")                                                  \
    EVENT(EVENT_EXECUTOR_SUSPECTED, 7014, G_LOG_LEVEL_WARNING,                \
          "executor-suspected")                                               \
    EVENT(EVENT_JOB_RECORD_INVALID, 7015, G_LOG_LEVEL_CRITICAL,               \
          "job-record-invalid")                                               \
    EVENT(EVENT_STEP_PLACED, 7016, G_LOG_LEVEL_MESSAGE, "step-placed")        \
    EVENT(EVENT_RUN_ENDED, 7017, G_LOG_LEVEL_WARNING, "run-ended")            \
    EVENT(EVENT_RUN_STOPPED, 7018, G_LOG_LEVEL_MESSAGE, "run-stopped")        \
    EVENT(EVENT_LOAD, 7019, G_LOG_LEVEL_MESSAGE, "load")                      \
    EVENT(EVENT_UNREGISTER_FAILED, 7020, G_LOG_LEVEL_MESSAGE,                 \
          "unregister-failed")                                                \
    EVENT(EVENT_ORDER_REPEATED, 7021, G_LOG_LEVEL_MESSAGE, "order-repeated")  \
    EVENT(EVENT_CRASH_COUNTED, 7022, G_LOG_LEVEL_WARNING, "crash-counted")    \
    EVENT(EVENT_TASK_GIVEN_UP, 7023, G_LOG_LEVEL_WARNING, "task-given-up")    \
    EVENT(EVENT_TASK_IDLE, 7024, G_LOG_LEVEL_MESSAGE, "task-idle")            \
    EVENT(EVENT_LATE_END_TAKEN, 7025, G_LOG_LEVEL_MESSAGE, "late-end-taken")  \
    EVENT(EVENT_RECORD_FULL, 7026, G_LOG_LEVEL_WARNING, "record-full")        \
    EVENT(EVENT_JOB_UNKNOWN, 7027, G_LOG_LEVEL_MESSAGE, "job-unknown")        \
    EVENT(EVENT_LEADER_PAUSED, 7028, G_LOG_LEVEL_WARNING, "leader-paused")    \
    EVENT(EVENT_TASK_CONTAINED, 7029, G_LOG_LEVEL_WARNING, "task-contained")  \
    EVENT(EVENT_EVACUATION_BEGUN, 7030, G_LOG_LEVEL_MESSAGE,                  \
          "evacuation-begun")                                                 \
    EVENT(EVENT_EVACUATION_ENDED, 7031, G_LOG_LEVEL_MESSAGE,                  \
          "evacuation-ended")                                                 \
    EVENT(EVENT_EVACUATION_INVALID, 7032, G_LOG_LEVEL_WARNING,                \
          "evacuation-invalid")                                               \
    EVENT(EVENT_RUNS_EVACUATED, 7033, G_LOG_LEVEL_MESSAGE, "runs-evacuated")  \
    EVENT(EVENT_EVACUATION_UNMATCHED, 7034, G_LOG_LEVEL_WARNING,              \
          "evacuation-unmatched")                                             \
    EVENT(EVENT_JOB_IDLE, 7035, G_LOG_LEVEL_MESSAGE, "job-idle")              \
    EVENT(EVENT_LEASES_UNCONFIRMED, 7036, G_LOG_LEVEL_WARNING,                \
          "leases-unconfirmed")                                               \
    EVENT(EVENT_STALE_LEADER, 7037, G_LOG_LEVEL_WARNING, "stale-leader")      \
    EVENT(EVENT_LATER_LEADER, 7038, G_LOG_LEVEL_WARNING, "later-leader")      \
    EVENT(EVENT_NODE_STARTED, 8001, G_LOG_LEVEL_MESSAGE, "node-started")      \
    EVENT(EVENT_LEADER_CONNECTED, 8002, G_LOG_LEVEL_MESSAGE,                  \
          "leader-connected")                                                 \
    EVENT(EVENT_LEADER_DISCONNECTED, 8003, G_LOG_LEVEL_WARNING,               \
          "leader-disconnected")                                              \
    EVENT(EVENT_EXECUTOR_JOINED, 8004, G_LOG_LEVEL_MESSAGE,                   \
          "executor-joined")                                                  \
    EVENT(EVENT_EXECUTOR_GONE, 8005, G_LOG_LEVEL_WARNING, "executor-gone")    \
    EVENT(EVENT_EXECUTOR_SILENT, 8006, G_LOG_LEVEL_WARNING,                   \
          "executor-silent")                                                  \
    EVENT(EVENT_EXECUTOR_DRAINING, 8007, G_LOG_LEVEL_MESSAGE,                 \
          "executor-draining")                                                \
    EVENT(EVENT_START_REJECTED, 8008, G_LOG_LEVEL_WARNING, "start-rejected")  \
    EVENT(EVENT_ANNOUNCEMENT_INVALID, 8009, G_LOG_LEVEL_WARNING,              \
          "announcement-invalid")                                             \
    EVENT(EVENT_RUN_ROW_INVALID, 8010, G_LOG_LEVEL_WARNING,                   \
          "run-row-invalid")                                                  \
    EVENT(EVENT_ORDER_UNANSWERED, 8011, G_LOG_LEVEL_WARNING,                  \
          "order-unanswered")                                                 \
    EVENT(EVENT_ORDER_MISDIRECTED, 8012, G_LOG_LEVEL_WARNING,                 \
          "order-misdirected")                                                \
    EVENT(EVENT_ANSWER_INVALID, 8013, G_LOG_LEVEL_WARNING, "answer-invalid")  \
    EVENT(EVENT_START_DROPPED, 8014, G_LOG_LEVEL_MESSAGE, "start-dropped")    \
    EVENT(EVENT_ORDERS_DROPPED, 8015, G_LOG_LEVEL_MESSAGE, "orders-dropped")  \
    EVENT(EVENT_CONNECTIONS_CLOSED, 8016, G_LOG_LEVEL_WARNING,                \
          "connections-closed")                                               \
    EVENT(EVENT_EVACUATION_CHANGED, 8017, G_LOG_LEVEL_MESSAGE,                \
          "evacuation-changed")                                               \
    EVENT(EVENT_SETTINGS_RELOADED, 9004, G_LOG_LEVEL_MESSAGE,                 \
          "settings-reloaded")                                                \
    EVENT(EVENT_SETTINGS_REFUSED, 9005, G_LOG_LEVEL_WARNING,                  \
          "settings-refused")                                                 \
    EVENT(EVENT_LOG_DROPPED, 9006, G_LOG_LEVEL_WARNING, "log-dropped")        \
    EVENT(EVENT_LOG_SUPPRESSED, 9007, G_LOG_LEVEL_WARNING, "log-suppressed")  \
    EVENT(EVENT_PROCESS_FAILED, 9008, G_LOG_LEVEL_CRITICAL, "process-failed") \
    EVENT(EVENT_CONFIG_TICKET_ACCEPTED, 5001, G_LOG_LEVEL_MESSAGE,            \
          "config-ticket-accepted")                                           \
    EVENT(EVENT_CONFIG_TICKET_REFUSED, 5002, G_LOG_LEVEL_WARNING,             \
          "config-ticket-refused")                                            \
    EVENT(EVENT_CONFIG_DRAIN_CHANGED, 5003, G_LOG_LEVEL_MESSAGE,              \
          "config-drain-changed")                                             \
    EVENT(EVENT_CONFIG_DRAIN_REFUSED, 5004, G_LOG_LEVEL_WARNING,              \
          "config-drain-refused")                                             \
    EVENT(EVENT_CONFIG_CAUGHT_UP, 5005, G_LOG_LEVEL_MESSAGE,                  \
          "config-caught-up")                                                 \
    EVENT(EVENT_CONFIG_SNAPSHOT_FAILED, 5006, G_LOG_LEVEL_WARNING,            \
          "config-snapshot-failed")                                           \
    EVENT(EVENT_COORDINATOR_CHANGED, 4001, G_LOG_LEVEL_MESSAGE,               \
          "coordinator-changed")                                              \
    EVENT(EVENT_ROLE_TAKEN, 4002, G_LOG_LEVEL_MESSAGE,                        \
          "coordinator-role-taken")                                           \
    EVENT(EVENT_CLAIM_FAILED, 4003, G_LOG_LEVEL_WARNING,                      \
          "coordinator-claim-failed")                                         \
    EVENT(EVENT_DECISION_UNKNOWN, 4004, G_LOG_LEVEL_WARNING,                  \
          "coordinator-decision-unknown")                                     \
    EVENT(EVENT_CELL_SNAPSHOT_INVALID, 4005, G_LOG_LEVEL_WARNING,             \
          "cell-snapshot-invalid")                                            \
    EVENT(EVENT_CELL_SNAPSHOT_FAILED, 4006, G_LOG_LEVEL_WARNING,              \
          "cell-snapshot-failed")                                             \
    EVENT(EVENT_PROCESS_LEAVING, 9001, G_LOG_LEVEL_MESSAGE,                   \
          "process-leaving")                                                  \
    EVENT(EVENT_PROCESS_STOPPED, 9002, G_LOG_LEVEL_MESSAGE,                   \
          "process-stopped")                                                  \
    EVENT(EVENT_LISTEN_FAILED, 9003, G_LOG_LEVEL_CRITICAL, "listen-failed")

#define EVENT_ENUM(id, number, level, name) id,
typedef enum event_id {
    EVENT_TABLE(EVENT_ENUM) EVENT_COUNT
} event_id_t;
#undef EVENT_ENUM

struct loop;

/**
 * event_log() - write a log line for an event
 * @id: the event
 * @format: printf format of space-separated key=value pairs
 */
void event_log(event_id_t id, const char *format, ...) G_GNUC_PRINTF(2, 3);

/**
 * events_init() - install the log writer
 * @program: program name, included in each line
 *
 * Lines are JSON objects on standard output: time, steady_ms, level, event,
 * event_name, program, and a member for each key=value pair. They are buffered
 * while standard output is not writable.
 */
void events_init(const char *program);

/**
 * events_use_loop() - flush buffered lines from a timer of an event loop
 * @loop: NULL when the loop has ended; buffered lines are then flushed only
 *     when another line is logged and when the process exits
 */
void events_use_loop(struct loop *loop);

/**
 * event_get_name() - return the name and the number of an event
 *
 * For the test that compares the events with docs/events.md.
 */
const char *event_get_name(event_id_t id, int *number);

#ifdef __cplusplus
}
#endif

#endif
