#include "fake_store.h"

#include <algorithm>
#include <cstring>

std::string
FakeStore::newest(const std::string &topic, const std::string &key)
{
    auto &records = topics[topic].records;

    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        if (it->key == key) {
            return it->value;
        }
    }
    return "";
}

uint64_t
FakeStore::put(const std::string &topic, const std::string &key,
               const std::string &value)
{
    topics[topic].records.push_back({key, value, false});
    return topics[topic].records.size() - 1;
}

std::vector<FakeStoreView *> &
FakeStoreView::all()
{
    static std::vector<FakeStoreView *> views;

    return views;
}

static void
on_call(loop_timer_t *timer)
{
    auto *call = static_cast<FakeStoreView::Call *>(timer->data);
    auto deliver = std::move(call->deliver);

    call->view->calls.erase(call->self);
    deliver();
}

void
FakeStoreView::deliver_after(uint64_t ms, std::function<void()> deliver)
{
    auto call = calls.emplace(calls.end());

    call->view = this;
    call->deliver = std::move(deliver);
    call->self = call;
    loop_timer_init(&call->timer, loop, on_call, &*call);
    if (!hold) {
        loop_timer_start(&call->timer, ms);
    }
}

void
FakeStoreView::release()
{
    hold = false;
    for (auto &call : calls) {
        loop_timer_start(&call.timer, 0);
    }
    for (auto &reader : readers) {
        loop_timer_start(&reader.timer, 0);
    }
}

static void
deliver_page(FakeStore *store, const std::string &topic, uint64_t from,
             store_page_cb cb, void *data)
{
    auto &records = store->topics[topic].records;
    std::vector<store_record_t> out;
    store_page_t page = {};

    if (from < store->topics[topic].first) {
        cb(STORE_TRIMMED, &page, data);
        return;
    }
    /* The callback may append to the topic, so it gets copies. */
    std::vector<FakeStore::Record> copies;
    for (uint64_t i = from; i < records.size(); i++) {
        copies.push_back(records[i]);
    }
    for (size_t i = 0; i < copies.size(); i++) {
        store_record_t record = {};

        record.key = copies[i].key.c_str();
        if (!copies[i].dropped) {
            record.value =
                reinterpret_cast<const uint8_t *>(copies[i].value.data());
            record.length = copies[i].value.size();
        }
        record.offset = from + i;
        out.push_back(record);
    }
    page.records = out.data();
    page.count = out.size();
    page.next = from + out.size();
    cb(STORE_OK, &page, data);
}

static void
wake_readers(FakeStore *store)
{
    for (FakeStoreView *view : FakeStoreView::all()) {
        if (view->store != store || view->silent || view->refuse ||
            view->hold) {
            continue;
        }
        for (auto it = view->readers.begin(); it != view->readers.end();) {
            auto reader = it++;

            if (reader->from < store->topics[reader->topic].records.size()) {
                loop_timer_start(&reader->timer, 0);
            }
        }
    }
}

static store_status_t
check_writer(FakeStore::Topic &topic, const store_append_t *append,
             uint64_t *offset)
{
    FakeStore::Writer &writer = topic.writers[append->producer];

    if (append->epoch < writer.epoch) {
        return STORE_FENCED;
    }
    if (append->epoch > writer.epoch) {
        writer.epoch = append->epoch;
        writer.next = append->sequence;
        writer.answers.clear();
    }
    if (append->count == 0) {
        return STORE_OK;
    }
    auto repeated = writer.answers.find(append->sequence);
    if (repeated != writer.answers.end()) {
        *offset = repeated->second;
        return STORE_CONFLICT; /* a repeat; see do_append() */
    }
    if (append->sequence != writer.next) {
        return STORE_MISORDERED;
    }
    writer.next++;
    writer.answers[append->sequence] = topic.records.size();
    return STORE_OK;
}

void
FakeStore::remove(const std::string &topic, const std::string &key)
{
    topics[topic].records.push_back({key, "", true});
    wake_readers(this);
}

/* The length that counts is that of the key and the value together. */
static bool
is_too_long(const FakeStore *store, const store_append_t *append)
{
    for (size_t i = 0; i < append->count; i++) {
        if (1 + strlen(append->records[i].key) + append->records[i].length >
            store->record_bytes) {
            return true;
        }
    }
    return false;
}

static store_status_t
do_append(FakeStore *store, const store_append_t *append, uint64_t *offset)
{
    FakeStore::Topic &topic = store->topics[append->topic];
    store_status_t status = STORE_OK;

    store->appends++;
    if (is_too_long(store, append)) {
        return STORE_REFUSED;
    }
    if (append->check_end && append->expected_end != topic.records.size()) {
        return STORE_CONFLICT;
    }
    if (append->producer != nullptr) {
        status = check_writer(topic, append, offset);
        if (status == STORE_CONFLICT) {
            return STORE_OK;
        }
        if (status != STORE_OK) {
            return status;
        }
    }
    *offset = topic.records.size();
    for (size_t i = 0; i < append->count; i++) {
        const store_record_t &record = append->records[i];

        topic.records.push_back(
            {record.key,
             std::string(reinterpret_cast<const char *>(record.value),
                         record.length),
             record.value == nullptr});
    }
    wake_readers(store);
    return STORE_OK;
}

static size_t
count_bytes(const store_append_t *append)
{
    size_t bytes = 0;

    for (size_t i = 0; i < append->count; i++) {
        bytes += strlen(append->records[i].key) + append->records[i].length;
    }
    return bytes;
}

static void
fake_append(store_t *base, const store_append_t *append, store_append_cb cb,
            void *data)
{
    auto *view = reinterpret_cast<FakeStoreView *>(base);
    uint64_t offset = 0;
    size_t bytes = count_bytes(append);
    store_status_t status;

    view->longest_append = std::max(view->longest_append, bytes);
    if (view->refuse || view->silent) {
        status = view->refuse ? STORE_REFUSED : STORE_UNKNOWN;
        view->deliver_after(view->refuse ? 0 : view->silence_ms,
                            [=] { cb(status, 0, data); });
        return;
    }
    status = do_append(view->store, append, &offset);
    if (view->lose_answers > 0) {
        view->lose_answers--;
        view->lost_timeouts.push_back(append->timeout_ms);
        view->deliver_after(view->silence_ms,
                            [=] { cb(STORE_UNKNOWN, 0, data); });
        return;
    }
    view->deliver_after(view->bytes_per_ms > 0 ? bytes / view->bytes_per_ms
                                               : 0,
                        [=] { cb(status, offset, data); });
}

static void
on_reader(loop_timer_t *timer)
{
    auto *reader = static_cast<FakeStoreView::Reader *>(timer->data);
    FakeStoreView *view = reader->view;
    FakeStoreView::Reader copy = *reader;
    store_page_t page = {};

    view->readers.erase(reader->self);
    if (view->silent || view->refuse) {
        copy.cb(view->refuse ? STORE_REFUSED : STORE_UNKNOWN, &page,
                copy.data);
        return;
    }
    deliver_page(view->store, copy.topic, copy.from, copy.cb, copy.data);
}

static void
fake_read(store_t *base, const char *topic, uint64_t from, uint64_t wait_ms,
          store_page_cb cb, void *data)
{
    auto *view = reinterpret_cast<FakeStoreView *>(base);
    auto reader = view->readers.emplace(view->readers.end());
    bool ready = view->refuse || from < view->store->topics[topic].first ||
                 from < view->store->topics[topic].records.size();

    reader->topic = topic;
    reader->from = from;
    reader->cb = cb;
    reader->data = data;
    reader->view = view;
    reader->self = reader;
    loop_timer_init(&reader->timer, view->loop, on_reader, &*reader);
    if (view->hold) {
        return;
    }
    loop_timer_start(&reader->timer, ready ? 0
                                     : view->silent
                                         ? wait_ms + view->silence_ms
                                         : wait_ms);
}

static void
fake_list(store_t *base, const char *topic, const char *after,
          store_page_cb cb, void *data)
{
    auto *view = reinterpret_cast<FakeStoreView *>(base);
    std::string name = topic;

    view->deliver_after(view->silent ? view->silence_ms : view->list_ms, [=] {
        std::map<std::string, FakeStore::Record> newest;
        std::vector<store_record_t> out;
        store_page_t page = {};

        if (view->refuse || view->silent) {
            cb(view->refuse ? STORE_REFUSED : STORE_UNKNOWN, &page, data);
            return;
        }
        for (auto &record : view->store->topics[name].records) {
            newest[record.key] = record;
        }
        for (auto &[key, value] : newest) {
            store_record_t record = {};

            if (value.dropped) {
                continue;
            }
            record.key = key.c_str();
            record.value =
                reinterpret_cast<const uint8_t *>(value.value.data());
            record.length = value.value.size();
            auto &records = view->store->topics[name].records;
            for (uint64_t i = records.size(); i-- > 0;) {
                if (records[i].key == key) {
                    record.offset = i;
                    break;
                }
            }
            out.push_back(record);
        }
        page.records = out.data();
        page.count = out.size();
        page.next = view->store->topics[name].records.size();
        cb(STORE_OK, &page, data);
    });
}

static const store_vtbl_t vtbl = {fake_append, fake_read, fake_list};

FakeStoreView::FakeStoreView(FakeStore *shared, loop_t *owner)
    : base{&vtbl}, store(shared), loop(owner)
{
    all().push_back(this);
}

FakeStoreView::~FakeStoreView()
{
    auto &views = all();

    for (auto &call : calls) {
        loop_timer_stop(&call.timer);
    }
    for (auto &reader : readers) {
        loop_timer_stop(&reader.timer);
    }
    views.erase(std::find(views.begin(), views.end(), this));
}
