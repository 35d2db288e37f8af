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
 * struct ledger_amount - an amount of each kind of resource
 */
typedef struct ledger_amount {
    uint64_t units[LEDGER_KIND_COUNT];
} ledger_amount_t;

/**
 * struct ledger - resource accounting of an instance
 * @capacity: total amount
 * @reserved: amount that is currently reserved; may exceed the capacity after
 *     ledger_set_capacity()
 */
typedef struct ledger {
    ledger_amount_t capacity;
    ledger_amount_t reserved;
} ledger_t;

void ledger_init(ledger_t *ledger, const ledger_amount_t *capacity);

/**
 * ledger_set_capacity() - change the capacity
 *
 * If more than the new capacity is reserved, existing reservations stay valid
 * and no more of that kind is granted until enough was released.
 */
void ledger_set_capacity(ledger_t *ledger, const ledger_amount_t *capacity);

/**
 * ledger_reserve() - reserve all of an amount or nothing
 * @missing: receives the first kind of which too little is free, may be NULL
 */
bool ledger_reserve(ledger_t *ledger, const ledger_amount_t *amount,
                    ledger_kind_t *missing);

/**
 * ledger_release() - release a reserved amount
 *
 * Return: false, without a change, if the amount exceeds what is reserved.
 */
bool ledger_release(ledger_t *ledger, const ledger_amount_t *amount);

uint64_t ledger_get_free(const ledger_t *ledger, ledger_kind_t kind);
const char *ledger_kind_to_string(ledger_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
