#include "store/store.h"

static const char *const status_names[] = {
    [STORE_OK] = "ok",
    [STORE_CONFLICT] = "conflict",
    [STORE_FENCED] = "fenced",
    [STORE_MISORDERED] = "misordered",
    [STORE_TRIMMED] = "trimmed",
    [STORE_REFUSED] = "refused",
    [STORE_UNKNOWN] = "no answer",
};

const char *
store_status_to_string(store_status_t status)
{
    return (unsigned)status < G_N_ELEMENTS(status_names) ? status_names[status]
                                                         : "?";
}
