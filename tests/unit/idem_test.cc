#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "request/idem.h"
}

namespace {

/* A record of key @key: a claim with id @id (@kind 0), or the result of the
   claim @id, "not run" (1) or run (2). */
struct Step {
    uint8_t kind;
    uint8_t key;
    uint8_t id;
};

bool
apply(idem_t *idem, const Step &step, uint64_t offset)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__KeyClaim claim = TEASEL__KEY_CLAIM__INIT;
    Teasel__KeyResult result = TEASEL__KEY_RESULT__INIT;
    std::string key(1, (char)('a' + step.key));
    uint8_t id = step.id;

    claim.service = result.service = (char *)"preview";
    claim.key = result.key = key.data();
    if (step.kind == 0) {
        record.id = {1, &id};
        record.body_case = TEASEL__LOG_RECORD__BODY_KEY_CLAIM;
        record.key_claim = &claim;
    }
    else {
        result.claim_id = {1, &id};
        result.not_run = step.kind == 1;
        result.status = 200;
        record.body_case = TEASEL__LOG_RECORD__BODY_KEY_RESULT;
        record.key_result = &result;
    }
    return idem_apply(idem, &record, offset);
}

const idem_key_t *
find(const idem_t *idem, uint8_t key)
{
    std::string name(1, (char)('a' + key));

    return idem_find(idem, "preview", name.c_str());
}

// Guards against two claims holding a key, against accepting the result of a
// claim that does not hold it, and against a repeated claim getting a freed
// key. Compares the state with a simple model; repeated records must change
// nothing.
RC_GTEST_PROP(Idem, AgreesWithModel, (std::vector<uint16_t> numbers))
{
    idem_t *idem = idem_new();
    std::map<uint8_t, std::pair<uint8_t, bool>> model;
    std::set<uint8_t> seen;
    uint64_t offset = 0;

    for (uint16_t number : numbers) {
        Step step = {(uint8_t)(number % 3), (uint8_t)(number / 3 % 3),
                     (uint8_t)(number / 9 % 8)};
        bool changes = false;
        auto holder = model.find(step.key);

        if (step.kind == 0) {
            changes = seen.insert(step.id).second && holder == model.end();
            if (changes) {
                model[step.key] = {step.id, false};
            }
        }
        else if (holder != model.end() && holder->second.first == step.id &&
                 !holder->second.second) {
            changes = true;
            holder->second.second = true;
            if (step.kind == 1) {
                model.erase(holder);
            }
        }
        RC_ASSERT(apply(idem, step, ++offset) == changes);
        RC_ASSERT(!apply(idem, step, offset));
        const idem_key_t *key = find(idem, step.key);
        RC_ASSERT((key != nullptr) == (model.count(step.key) == 1));
        if (key != nullptr) {
            RC_ASSERT(idem_is_claimed_by(key, &model[step.key].first, 1));
            RC_ASSERT((key->state == IDEM_DONE) == model[step.key].second);
        }
    }
    idem_free(idem);
}

// Guards against unbounded memory use: keys are kept as long as the log
// retains their claims.
TEST(Idem, RemovesTrimmedKeys)
{
    idem_t *idem = idem_new();

    apply(idem, {0, 0, 1}, 1);
    apply(idem, {0, 1, 2}, 2);
    idem_remove_before(idem, 2);
    EXPECT_EQ(find(idem, 0), nullptr);
    EXPECT_NE(find(idem, 1), nullptr);
    EXPECT_EQ(idem_count(idem), 1U);
    idem_free(idem);
}

} // namespace
