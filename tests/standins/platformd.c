/* Stand-in for the platform's metadata store: keeps topics in memory and
   injects faults. The protocol is in docs/standins.md. */

#include "base/list.h"
#include "standin.h"

typedef struct topic {
    char *name;
    GPtrArray *records; /* GBytes, without the length prefix */
    uint64_t first;
    GHashTable *producers; /* name -> producer_t */
} topic_t;

typedef struct producer {
    uint64_t epoch;
    uint64_t next;       /* expected sequence number */
    GHashTable *answers; /* sequence number -> 1 + offset */
} producer_t;

/* A read that waits for a record. */
typedef struct reader {
    list_t link;
    http_exchange_t *exchange;
    topic_t *topic;
    uint64_t from;
    loop_timer_t timer;
} reader_t;

typedef struct faults {
    int64_t refuse;              /* 503 for each read and append */
    int64_t delay_ms;            /* before each answer to an append */
    int64_t drop_append_answers; /* appends written but not answered */
} faults_t;

static const standin_fault_t fault_table[] = {
    {"refuse", offsetof(faults_t, refuse)},
    {"delay_ms", offsetof(faults_t, delay_ms)},
    {"drop_append_answers", offsetof(faults_t, drop_append_answers)},
    {NULL, 0},
};

static faults_t faults;
static GHashTable *topics;
static list_t readers;
static int64_t appends;
static int64_t reads;

static topic_t *
get_topic(const char *name)
{
    topic_t *topic = g_hash_table_lookup(topics, name);

    if (topic == NULL) {
        topic = g_new0(topic_t, 1);
        topic->name = g_strdup(name);
        topic->records =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
        topic->producers = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(topics, topic->name, topic);
    }
    return topic;
}

/* Returns the unescaped query parameter, or NULL; free with g_free(). */
static char *
get_query_text(const http_exchange_t *exchange, const char *key)
{
    const char *query = strchr(exchange->target, '?');
    g_auto(GStrv) pairs = g_strsplit(query ? query + 1 : "", "&", -1);
    size_t length = strlen(key);

    for (char **pair = pairs; *pair != NULL; pair++) {
        if (strncmp(*pair, key, length) == 0 && (*pair)[length] == '=') {
            return g_uri_unescape_string(*pair + length + 1, NULL);
        }
    }
    return NULL;
}

static void
append_u32(GByteArray *out, uint32_t value)
{
    uint32_t big = GUINT32_TO_BE(value);

    g_byte_array_append(out, (const uint8_t *)&big, sizeof(big));
}

static void
append_u64(GByteArray *out, uint64_t value)
{
    uint64_t big = GUINT64_TO_BE(value);

    g_byte_array_append(out, (const uint8_t *)&big, sizeof(big));
}

static void
answer_read(http_exchange_t *exchange, topic_t *topic, uint64_t from)
{
    g_autoptr(GByteArray) out = g_byte_array_new();

    append_u64(out, topic->records->len);
    append_u64(out, topic->first);
    for (uint64_t i = from; i < topic->records->len; i++) {
        GBytes *record = g_ptr_array_index(topic->records, i);
        gsize size;
        const void *data = g_bytes_get_data(record, &size);

        append_u32(out, (uint32_t)size);
        g_byte_array_append(out, data, (guint)size);
    }
    http_exchange_reply(exchange, 200, NULL, 0, out->data, out->len);
}

static void
finish_reader(reader_t *reader)
{
    loop_timer_stop(&reader->timer);
    list_remove(&reader->link);
    answer_read(reader->exchange, reader->topic, reader->from);
    g_free(reader);
}

static void
on_reader_timer(loop_timer_t *timer)
{
    finish_reader(timer->data);
}

static void
wake_readers(void)
{
    LIST_FOREACH_SAFE (reader, &readers, reader_t, link) {
        if (reader->from < reader->topic->records->len) {
            finish_reader(reader);
        }
    }
}

static bool
is_refused(http_exchange_t *exchange)
{
    if (!faults.refuse) {
        return false;
    }
    standin_reply_error(exchange, 503, "refused");
    return true;
}

static void
on_read(http_exchange_t *exchange, void *data)
{
    g_autofree char *name = get_query_text(exchange, "Topic");
    uint64_t from = (uint64_t)standin_get_query(exchange, "From", 0);
    int64_t wait_ms = (int64_t)standin_get_query(exchange, "WaitMs", 0);
    topic_t *topic;
    reader_t *reader;

    reads++;
    if (is_refused(exchange)) {
        return;
    }
    topic = get_topic(name ? name : "");
    if (from < topic->first) {
        standin_reply_error(exchange, 410, "trimmed");
        return;
    }
    if (from < topic->records->len || wait_ms == 0) {
        answer_read(exchange, topic, from);
        return;
    }
    reader = g_new0(reader_t, 1);
    reader->exchange = exchange;
    reader->topic = topic;
    reader->from = from;
    loop_timer_init(&reader->timer, standin_loop, on_reader_timer, reader);
    loop_timer_start(&reader->timer, (uint64_t)wait_ms);
    list_append(&readers, &reader->link);
}

/* Splits a body of length-prefixed records.
   Return: GBytes without the prefixes, or NULL if malformed. */
static GPtrArray *
split_records(const http_exchange_t *exchange)
{
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    size_t at = 0;

    while (at + 4 <= exchange->body_length) {
        uint32_t big;
        uint32_t size;

        memcpy(&big, exchange->body + at, sizeof(big));
        size = GUINT32_FROM_BE(big);
        if (size > exchange->body_length - at - 4) {
            break;
        }
        g_ptr_array_add(records, g_bytes_new(exchange->body + at + 4, size));
        at += 4 + size;
    }
    if (at != exchange->body_length) {
        g_ptr_array_unref(records);
        return NULL;
    }
    return records;
}

static void
reply_append(http_exchange_t *exchange, uint64_t offset, uint64_t end)
{
    json_object *body = json_object_new_object();

    standin_add_int(body, "Offset", (int64_t)offset);
    standin_add_int(body, "End", (int64_t)end);
    if (standin_consume_fault(&faults.drop_append_answers)) {
        json_object_put(body);
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    standin_reply_later(exchange, faults.delay_ms, 200, body);
}

static void
reply_reason(http_exchange_t *exchange, const char *reason)
{
    json_object *body = json_object_new_object();

    standin_add_string(body, "Reason", reason);
    standin_reply_json(exchange, 409, body);
}

static producer_t *
get_producer(topic_t *topic, const char *name)
{
    producer_t *producer = g_hash_table_lookup(topic->producers, name);

    if (producer == NULL) {
        producer = g_new0(producer_t, 1);
        producer->answers = g_hash_table_new(NULL, NULL);
        g_hash_table_insert(topic->producers, g_strdup(name), producer);
    }
    return producer;
}

/* Checks the epoch and the sequence number of a producer. If the append is
   fenced, out of order or repeated, answers it and returns false. */
static bool
check_producer(http_exchange_t *exchange, topic_t *topic, const char *name,
               bool empty)
{
    producer_t *producer = get_producer(topic, name);
    uint64_t epoch = (uint64_t)standin_get_query(exchange, "epoch", 0);
    uint64_t sequence = (uint64_t)standin_get_query(exchange, "Sequence", 0);
    gpointer known;

    if (epoch < producer->epoch) {
        reply_reason(exchange, "fenced");
        return false;
    }
    if (epoch > producer->epoch) {
        producer->epoch = epoch;
        producer->next = sequence;
        g_hash_table_remove_all(producer->answers);
    }
    if (empty) {
        return true;
    }
    known = g_hash_table_lookup(producer->answers, GSIZE_TO_POINTER(sequence));
    if (known != NULL) {
        reply_append(exchange, GPOINTER_TO_SIZE(known) - 1,
                     topic->records->len);
        return false;
    }
    if (sequence != producer->next) {
        reply_reason(exchange, "seq");
        return false;
    }
    producer->next++;
    g_hash_table_insert(producer->answers, GSIZE_TO_POINTER(sequence),
                        GSIZE_TO_POINTER((gsize)topic->records->len + 1));
    return true;
}

static void
on_append(http_exchange_t *exchange, void *data)
{
    g_autofree char *name = get_query_text(exchange, "Topic");
    g_autofree char *producer = get_query_text(exchange, "Producer");
    double expected = standin_get_query(exchange, "At", -1);
    topic_t *topic;
    GPtrArray *records;
    uint64_t offset;

    appends++;
    if (is_refused(exchange)) {
        return;
    }
    topic = get_topic(name ? name : "");
    records = split_records(exchange);
    if (records == NULL) {
        standin_reply_error(
            exchange, 400, "malformed body: expected length-prefixed records");
        return;
    }
    if (expected >= 0 && (uint64_t)expected != topic->records->len) {
        g_ptr_array_unref(records);
        standin_reply_error(exchange, 412, "At is not the end of the topic");
        return;
    }
    offset = topic->records->len;
    if (producer == NULL ||
        check_producer(exchange, topic, producer, records->len == 0)) {
        for (guint i = 0; i < records->len; i++) {
            g_ptr_array_add(topic->records,
                            g_bytes_ref(g_ptr_array_index(records, i)));
        }
        reply_append(exchange, offset, topic->records->len);
    }
    g_ptr_array_unref(records);
    wake_readers();
}

static json_object *
new_json_item(const uint8_t *data, gsize size, uint64_t offset)
{
    json_object *item = json_object_new_object();
    gsize key = data[0];
    g_autofree char *name = g_strndup((const char *)data + 1, key);
    g_autofree char *value = g_base64_encode(data + 1 + key, size - 1 - key);

    standin_add_string(item, "Key", name);
    standin_add_string(item, "Value", value);
    standin_add_int(item, "Offset", (int64_t)offset);
    return item;
}

static void
on_newest(http_exchange_t *exchange, void *data)
{
    g_autofree char *name = get_query_text(exchange, "Topic");
    g_autoptr(GHashTable) seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    json_object *body;
    json_object *items;
    topic_t *topic;

    reads++;
    if (is_refused(exchange)) {
        return;
    }
    topic = get_topic(name ? name : "");
    body = json_object_new_object();
    items = json_object_new_array();
    for (uint64_t i = topic->records->len; i-- > 0;) {
        gsize size;
        const uint8_t *record =
            g_bytes_get_data(g_ptr_array_index(topic->records, i), &size);
        char *key;

        if (size == 0 || (gsize)record[0] + 1 > size) {
            continue;
        }
        key = g_strndup((const char *)record + 1, record[0]);
        if (g_hash_table_add(seen, key) && (gsize)record[0] + 1 < size) {
            json_object_array_add(items, new_json_item(record, size, i));
        }
    }
    json_object_object_add(body, "items", items);
    json_object_object_add(body, "HasMore", json_object_new_boolean(FALSE));
    standin_add_int(body, "End", topic->records->len);
    standin_reply_json(exchange, 200, body);
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);

    if (body == NULL) {
        return;
    }
    standin_set_faults(body, fault_table, &faults);
    json_object_put(body);
    standin_reply_json(exchange, 200, json_object_new_object());
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *body = json_object_new_object();

    standin_add_int(body, "appends", appends);
    standin_add_int(body, "reads", reads);
    standin_reply_json(exchange, 200, body);
}

static const http_route_t routes[] = {
    {"/api/log-append", on_append}, {"/api/log-read", on_read},
    {"/api/log-newest", on_newest}, {"/standin/fault", on_fault},
    {"/standin/stats", on_stats},   {NULL, NULL},
};

int
main(int argc, char **argv)
{
    g_autofree char *listen = NULL;
    const GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address to serve",
         "IPv4:PORT"},
        G_OPTION_ENTRY_NULL,
    };

    standin_parse_options(argc, argv, entries);
    topics = g_hash_table_new(g_str_hash, g_str_equal);
    list_init(&readers);
    standin_listen(listen, routes);
    standin_run();
    return 0;
}
