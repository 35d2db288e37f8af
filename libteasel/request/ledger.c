#include "request/ledger.h"

#include <string.h>

static const char *const kind_names[LEDGER_KIND_COUNT] = {
    [LEDGER_SLOTS] = "slots",
    [LEDGER_CONNECTIONS] = "connections",
    [LEDGER_CPU_MILLI] = "cpu_milli",
    [LEDGER_MEMORY_MB] = "memory_mb",
    [LEDGER_ACCELERATORS] = "accelerators",
};

void
ledger_init(ledger_t *ledger, const ledger_amount_t *capacity)
{
    memset(ledger, 0, sizeof(*ledger));
    ledger->capacity = *capacity;
}

void
ledger_set_capacity(ledger_t *ledger, const ledger_amount_t *capacity)
{
    ledger->capacity = *capacity;
}

uint64_t
ledger_get_free(const ledger_t *ledger, ledger_kind_t kind)
{
    uint64_t capacity = ledger->capacity.units[kind];
    uint64_t reserved = ledger->reserved.units[kind];

    return reserved < capacity ? capacity - reserved : 0;
}

bool
ledger_reserve(ledger_t *ledger, const ledger_amount_t *amount,
               ledger_kind_t *missing)
{
    /* Comparing with the free amount instead of adding avoids an overflow. */
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        if (amount->units[kind] > ledger_get_free(ledger, kind)) {
            if (missing != NULL) {
                *missing = kind;
            }
            return false;
        }
    }
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        ledger->reserved.units[kind] += amount->units[kind];
    }
    return true;
}

bool
ledger_release(ledger_t *ledger, const ledger_amount_t *amount)
{
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        if (amount->units[kind] > ledger->reserved.units[kind]) {
            return false;
        }
    }
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        ledger->reserved.units[kind] -= amount->units[kind];
    }
    return true;
}

const char *
ledger_kind_to_string(ledger_kind_t kind)
{
    return kind < LEDGER_KIND_COUNT ? kind_names[kind] : "unknown";
}
