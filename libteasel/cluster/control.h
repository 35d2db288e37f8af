#ifndef TEASEL_CLUSTER_CONTROL_H
#define TEASEL_CLUSTER_CONTROL_H

/*
 * The control topic holds the record of the leader, its view, and one record
 * per scheduler.
 */
#define CONTROL_TOPIC "control"
#define CONTROL_KEY_LEADER "leader"
#define CONTROL_KEY_VIEW "view"
#define CONTROL_SCHEDULER_PREFIX "scheduler/"

#endif
