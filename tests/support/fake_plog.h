#ifndef TEASEL_TESTS_FAKE_PLOG_H
#define TEASEL_TESTS_FAKE_PLOG_H

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/loop.h"
#include "stream/plog.h"
}

/* Log in memory. Callbacks are called from timers of the loop, never from
   inside a call. Reads wait for records like those of the real log. */
struct FakePlog {
    plog_t base; /* first member: plog_t * and FakePlog * convert */

    struct Stream {
        uint64_t first = 1;
        std::vector<std::string> records;
        uint64_t appends = 0;
        uint64_t
        next() const
        {
            return first + records.size();
        }
    };

    struct Operation {
        FakePlog *log;
        loop_timer_t timer;
        std::string stream;
        plog_append_cb append_cb = nullptr;
        plog_outcome_t outcome = PLOG_ACCEPTED;
        uint64_t offset = 0;
        plog_read_cb read_cb = nullptr;
        void *cb_data = nullptr;
        uint64_t from = 0;
    };

    /* Injected faults; each counter applies to that many further appends. */
    bool outage = false;
    int refuse_appends = 0;
    int lose_answers = 0;    /* written, outcome unknown */
    int drop_appends = 0;    /* not written, outcome unknown */
    int delayed_appends = 0; /* outcome unknown; written by write_delayed() */
    int duplicate_appends = 0; /* written twice */
    size_t max_read = 1000;    /* records per read */

    std::map<std::string, Stream> streams;
    std::vector<std::pair<std::string, std::string>> delayed;
    std::list<Operation *> operations;
    loop_t *loop;

    explicit FakePlog(loop_t *loop);
    ~FakePlog();
    plog_t *
    plog()
    {
        return &base;
    }
    uint64_t write(const std::string &stream, const std::string &record);
    void write_delayed();
    void trim(const std::string &stream, uint64_t before);
};

#endif
