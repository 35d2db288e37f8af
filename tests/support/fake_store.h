#ifndef TEASEL_TESTS_FAKE_STORE_H
#define TEASEL_TESTS_FAKE_STORE_H

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/loop.h"
#include "store/store.h"
}

/* A store in memory that several processes share, each by a view. */
struct FakeStore {
    struct Record {
        std::string key;
        std::string value;
        bool dropped;
    };
    struct Writer {
        uint64_t epoch = 0;
        uint64_t next = 0;
        std::map<uint64_t, uint64_t> answers; /* sequence -> offset */
    };
    struct Topic {
        std::vector<Record> records;
        std::map<std::string, Writer> writers;
        uint64_t first = 0;
    };
    std::map<std::string, Topic> topics;
    uint64_t appends = 0;
    size_t record_bytes = 262144; /* an append of a longer record is refused */

    /* Returns the newest value of a key, or an empty string. */
    std::string newest(const std::string &topic, const std::string &key);
    /* Appends a record of another writer; returns its offset. */
    uint64_t put(const std::string &topic, const std::string &key,
                 const std::string &value);
    /* Removes a key on behalf of another writer. */
    void remove(const std::string &topic, const std::string &key);
};

/* The store as one process reaches it, with faults of its connection. */
struct FakeStoreView {
    store_t base;
    FakeStore *store;
    loop_t *loop;
    bool refuse = false;       /* calls are refused and have no effect */
    bool silent = false;       /* calls get no answer and have no effect */
    bool hold = false;         /* answers wait for release() */
    int lose_answers = 0;      /* next appends to apply without an answer */
    uint64_t silence_ms = 30;  /* timeout of a call without an answer */
    uint64_t list_ms = 0;      /* time until a listing has arrived */
    size_t bytes_per_ms = 0;   /* rate of appends; 0 for no limit */
    size_t longest_append = 0; /* bytes of keys and values */
    std::vector<uint64_t> lost_timeouts; /* of the appends without an answer */

    struct Call {
        loop_timer_t timer;
        FakeStoreView *view;
        std::function<void()> deliver;
        std::list<Call>::iterator self;
    };
    struct Reader {
        std::string topic;
        uint64_t from;
        store_page_cb cb;
        void *data;
        loop_timer_t timer;
        FakeStoreView *view;
        std::list<Reader>::iterator self;
    };
    std::list<Call> calls;
    std::list<Reader> readers;

    FakeStoreView(FakeStore *store, loop_t *loop);
    FakeStoreView(const FakeStoreView &) = delete;
    ~FakeStoreView();

    void deliver_after(uint64_t ms, std::function<void()> deliver);
    /* Delivers the answers that were held. */
    void release();
    static std::vector<FakeStoreView *> &all();
};

#endif
