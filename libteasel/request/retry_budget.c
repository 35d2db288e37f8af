#include "request/retry_budget.h"

#include <glib.h>

enum {
    HUNDREDTHS_PER_TOKEN = 100
};

struct retry_budget_set {
    uint32_t reserve;
    uint32_t percent;
    GHashTable *budgets; /* service -> retry_budget_t */
};

void
retry_budget_init(retry_budget_t *budget, uint32_t reserve, uint32_t percent)
{
    budget->reserve = reserve;
    budget->percent = percent;
    budget->hundredths = (uint64_t)reserve * HUNDREDTHS_PER_TOKEN;
}

void
retry_budget_deposit(retry_budget_t *budget)
{
    uint64_t max_hundredths = (uint64_t)budget->reserve * HUNDREDTHS_PER_TOKEN;

    budget->hundredths += budget->percent;
    if (budget->hundredths > max_hundredths) {
        budget->hundredths = max_hundredths;
    }
}

bool
retry_budget_withdraw(retry_budget_t *budget)
{
    if (budget->hundredths < HUNDREDTHS_PER_TOKEN) {
        return false;
    }
    budget->hundredths -= HUNDREDTHS_PER_TOKEN;
    return true;
}

retry_budget_set_t *
retry_budget_set_new(uint32_t reserve, uint32_t percent)
{
    retry_budget_set_t *set = g_new0(retry_budget_set_t, 1);

    set->reserve = reserve;
    set->percent = percent;
    set->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return set;
}

void
retry_budget_set_free(retry_budget_set_t *set)
{
    if (set != NULL) {
        g_hash_table_unref(set->budgets);
        g_free(set);
    }
}

retry_budget_t *
retry_budget_set_get(retry_budget_set_t *set, const char *service)
{
    retry_budget_t *budget = g_hash_table_lookup(set->budgets, service);

    if (budget == NULL) {
        budget = g_new0(retry_budget_t, 1);
        retry_budget_init(budget, set->reserve, set->percent);
        g_hash_table_insert(set->budgets, g_strdup(service), budget);
    }
    return budget;
}
