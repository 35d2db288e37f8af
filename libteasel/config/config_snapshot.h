#ifndef TEASEL_CONFIG_CONFIG_SNAPSHOT_H
#define TEASEL_CONFIG_CONFIG_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
    CONFIG_SNAPSHOT_RECORDS = 500, /* design page, section 3 */
};

/**
 * struct config_snapshot_view - what the decision depends on
 * @next: offset that is read next; the state covers through @next - 1
 * @first: oldest offset that the log keeps, 0 if not yet known
 * @covered: highest offset covered by a known snapshot, 0 if none
 */
typedef struct config_snapshot_view {
    uint64_t next;
    uint64_t first;
    uint64_t covered;
} config_snapshot_view_t;

/**
 * config_snapshot_is_due() - decide whether to write a snapshot now
 *
 * Due after CONFIG_SNAPSHOT_RECORDS records, or earlier when the log has
 * begun to trim the stream and the previous snapshot ends in the older half
 * of what is kept. Usable for any stream of a cell.
 */
bool config_snapshot_is_due(const config_snapshot_view_t *view);

#ifdef __cplusplus
}
#endif

#endif
