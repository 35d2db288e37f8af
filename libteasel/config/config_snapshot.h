#ifndef TEASEL_CONFIG_CONFIG_SNAPSHOT_H
#define TEASEL_CONFIG_CONFIG_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* A snapshot is due after this many new records; see docs/design.md,
       section 3. */
    CONFIG_SNAPSHOT_RECORDS = 500,
};

/**
 * struct config_snapshot_view - input of config_snapshot_is_due()
 * @next: next offset to read; the state covers records through @next - 1
 * @first: oldest offset that the log retains, 0 if not yet known
 * @covered: highest offset that a known snapshot covers, 0 if none
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
 * of the records that the log retains. Suits any stream of a cell.
 */
bool config_snapshot_is_due(const config_snapshot_view_t *view);

#ifdef __cplusplus
}
#endif

#endif
