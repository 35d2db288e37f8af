#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config_records.h"

extern "C" {
#include "operator/audit.h"
}

namespace {

struct Audit : public ::testing::Test {
    audit_t *audit = audit_new(nullptr);
    audit_filter_t filter = {};
    std::vector<std::string> rows;

    ~Audit() override
    {
        audit_free(audit);
    }

    static void
    on_row(const audit_row_t *row, void *data)
    {
        auto *self = static_cast<Audit *>(data);
        std::string text = row->kind;

        for (const char *part : {row->objects[0], row->author, row->action,
                                 row->result, row->why}) {
            text += std::string("|") + part;
        }
        if (audit_filter_match(&self->filter, row)) {
            self->rows.push_back(text);
        }
    }

    void
    apply(const Teasel__LogRecord &record, uint64_t offset)
    {
        audit_apply(audit, "s", &record, offset, on_row, this);
    }

    void
    apply_ticket(const ConfigRecord &source, uint64_t offset)
    {
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__Ticket ticket = TEASEL__TICKET__INIT;
        std::string body = source.body;
        char author[] = "ama";
        char reason[] = "test";

        ticket.number = source.number;
        ticket.author = author;
        ticket.reason = reason;
        ticket.body = {body.size(), (uint8_t *)&body[0]};
        record.body_case = TEASEL__LOG_RECORD__BODY_TICKET;
        record.ticket = &ticket;
        apply(record, offset);
    }

    void
    apply_claim(uint64_t after, uint64_t offset)
    {
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__Claim claim = TEASEL__CLAIM__INIT;
        char agent[] = "agent-1";

        claim.agent_id = agent;
        claim.after_epoch = after;
        record.body_case = TEASEL__LOG_RECORD__BODY_CLAIM;
        record.claim = &claim;
        apply(record, offset);
    }

    void
    apply_decision(uint64_t epoch, uint64_t offset)
    {
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__Decision decision = TEASEL__DECISION__INIT;
        Teasel__DecisionItem evict = TEASEL__DECISION_ITEM__INIT;
        Teasel__DecisionItem bad = TEASEL__DECISION_ITEM__INIT;
        Teasel__DecisionFinish finish = TEASEL__DECISION_FINISH__INIT;
        Teasel__DecisionWorker worker = TEASEL__DECISION_WORKER__INIT;
        Teasel__DecisionItem *items[] = {&evict, &bad};
        char job[] = "job-1";
        char detail[] = "pressure";
        char name[] = "worker-1";
        char writer[] = "agent-1";
        char reason[] = "3 failures";

        finish.job_id = job;
        finish.attempt = 2;
        finish.outcome = TEASEL__OUTCOME__OUTCOME_EVICTED;
        finish.detail = detail;
        evict.item_case = TEASEL__DECISION_ITEM__ITEM_FINISH;
        evict.finish = &finish;
        worker.worker = name;
        worker.quarantined = true;
        worker.reason = reason;
        bad.item_case = TEASEL__DECISION_ITEM__ITEM_WORKER;
        bad.worker = &worker;
        decision.epoch = epoch;
        decision.n_items = 2;
        decision.items = items;
        record.writer = writer;
        record.body_case = TEASEL__LOG_RECORD__BODY_DECISION;
        record.decision = &decision;
        apply(record, offset);
    }
};

// Guards against refused tickets being reported as in force.
TEST_F(Audit, ReportsWhyTicketsWereRefused)
{
    apply_ticket(ticket_record(2, "\"team/t\":{}"), 1);
    apply_ticket(ticket_record(1, "\"team/t\":{}"), 2);
    apply_ticket(ticket_record(2, "\"team/t\":{}"), 3);
    EXPECT_EQ(rows, (std::vector<std::string>{
                        "ticket|ticket/2|ama|apply|accepted|test",
                        "ticket|ticket/1|ama|apply|refused|ticket 1: object "
                        "\"team/t\" was changed by the newer ticket 2; use a "
                        "higher number",
                        "ticket|ticket/2|ama|apply|repeated|test"}));
}

// Guards against claims and decisions without effect being reported as
// effective, and against a second row when a worker that is already
// quarantined is announced again.
TEST_F(Audit, ReportsEpochsEvictionsAndQuarantines)
{
    apply_claim(0, 1);
    apply_claim(0, 2);
    apply_decision(1, 3);
    apply_decision(2, 4);
    EXPECT_EQ(rows, (std::vector<std::string>{
                        "epoch|agent-1|agent-1|claim|accepted|after epoch 0",
                        "epoch|agent-1|agent-1|claim|ignored|after epoch 0",
                        "eviction|job-1|agent-1|evict|decided|attempt 2: "
                        "pressure",
                        "quarantine|worker-1|agent-1|quarantine|decided|3 "
                        "failures",
                        "eviction|job-1|agent-1|evict|ignored|attempt 2: "
                        "pressure"}));
}

// Guards against a refused ticket being reported as accepted when the log no
// longer retains the records that caused the refusal.
TEST_F(Audit, ReportsRefusalsOlderThanRetention)
{
    config_t *current = config_new();
    ConfigRecord refused = ticket_record(1, "\"team/t\":{}");

    apply_record(current, ticket_record(2, "\"team/t\":{}"), 1);
    apply_record(current, refused, 2);
    audit_free(audit);
    audit = audit_new(current);
    apply_ticket(refused, 2);
    EXPECT_EQ(rows, (std::vector<std::string>{
                        "ticket|ticket/1|ama|apply|refused|decided by records "
                        "that the log no longer retains"}));
    config_free(current);
}

// Guards against reporting only the first job of a record that cancels
// several.
TEST_F(Audit, ReportsEachCancelledJob)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__JobCancel cancel = TEASEL__JOB_CANCEL__INIT;
    char ids[][8] = {"job-1", "job-2"};
    char *more[] = {ids[1]};
    char author[] = "kofi";

    cancel.job_id = ids[0];
    cancel.n_more_ids = 1;
    cancel.more_ids = more;
    cancel.author = author;
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_CANCEL;
    record.job_cancel = &cancel;
    apply(record, 1);
    EXPECT_EQ(rows,
              (std::vector<std::string>{"job|job-1|kofi|cancel|written|",
                                        "job|job-2|kofi|cancel|written|"}));
}

// Guards against filters that look only at the first object of a ticket, and
// against filters by kind or author that let other rows through.
TEST_F(Audit, FiltersByKindObjectAndAuthor)
{
    filter.object = "team/u";
    apply_ticket(ticket_record(1, "\"team/t\":{},\"team/u\":{}"), 1);
    apply_ticket(ticket_record(2, "\"team/t\":{}"), 2);
    EXPECT_EQ(rows.size(), 1U);
    filter = {"drain", nullptr, nullptr};
    apply_ticket(ticket_record(3, "\"team/t\":{}"), 3);
    filter = {nullptr, nullptr, "kofi"};
    apply_ticket(ticket_record(4, "\"team/t\":{}"), 4);
    EXPECT_EQ(rows.size(), 1U);
}

} // namespace
