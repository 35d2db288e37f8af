#ifndef TEASEL_REQUEST_LEDGER_H
#define TEASEL_REQUEST_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum ledger_kind {
    LEDGER_SLOTS,
    LEDGER_CONNECTIONS,
    LEDGER_CPU_MILLI,
    LEDGER_MEMORY_MB,
    LEDGER_ACCELERATORS,
    LEDGER_KIND_COUNT
} ledger_kind_t;

/**
 * struct ledger_amount - an amount of each kind
 */
typedef struct ledger_amount {
    uint64_t units[LEDGER_KIND_COUNT];
} ledger_amount_t;

/**
 * struct ledger - what an instance holds and what is reserved of it
 */
typedef struct ledger {
    ledger_amount_t capacity;
    ledger_amount_t reserved;
} ledger_t;

void ledger_init(ledger_t *ledger, const ledger_amount_t *capacity);

/**
 * ledger_set_capacity() - change the capacity
 *
 * If more is reserved than the new capacity, existing reservations stay and
 * nothing further of that kind is granted until enough was released.
 */
void ledger_set_capacity(ledger_t *ledger, const ledger_amount_t *capacity);

/**
 * ledger_reserve() - reserve all of an amount, or nothing
 * @missing: first kind of which too little is free, may be NULL
 */
bool ledger_reserve(ledger_t *ledger, const ledger_amount_t *amount,
                    ledger_kind_t *missing);

/**
 * ledger_release() - give back an amount that was reserved
 *
 * Return: false, without a change, if more is given back than is reserved.
 */
bool ledger_release(ledger_t *ledger, const ledger_amount_t *amount);

uint64_t ledger_get_free(const ledger_t *ledger, ledger_kind_t kind);
const char *ledger_kind_to_string(ledger_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
