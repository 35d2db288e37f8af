#include "request/budget.h"

enum {
    TOKEN = 100
};

void
budget_init(budget_t *budget, uint32_t reserve, uint32_t percent)
{
    budget->reserve = reserve;
    budget->percent = percent;
    budget->hundredths = (uint64_t)reserve * TOKEN;
}

void
budget_earn(budget_t *budget)
{
    uint64_t most = (uint64_t)budget->reserve * TOKEN;

    budget->hundredths += budget->percent;
    if (budget->hundredths > most) {
        budget->hundredths = most;
    }
}

bool
budget_take(budget_t *budget)
{
    if (budget->hundredths < TOKEN) {
        return false;
    }
    budget->hundredths -= TOKEN;
    return true;
}
