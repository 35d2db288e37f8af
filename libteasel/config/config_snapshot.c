#include "config/config_snapshot.h"

bool
config_snapshot_is_due(const config_snapshot_view_t *view)
{
    uint64_t last = view->next > 0 ? view->next - 1 : 0;
    uint64_t kept;

    if (last <= view->covered) {
        return false;
    }
    if (last - view->covered >= CONFIG_SNAPSHOT_RECORDS) {
        return true;
    }
    if (view->first <= 1) {
        return false;
    }
    kept = view->next > view->first ? view->next - view->first : 0;
    return view->covered < view->first + kept / 2;
}
