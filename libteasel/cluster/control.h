#ifndef TEASEL_CLUSTER_CONTROL_H
#define TEASEL_CLUSTER_CONTROL_H

/*
 * The control topic: who leads, and which schedulers exist.
 */
#define CONTROL_TOPIC "control"
#define CONTROL_KEY_LEADER "leader"
#define CONTROL_SCHEDULER_PREFIX "scheduler/"

#endif
