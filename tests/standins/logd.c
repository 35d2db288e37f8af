/* Stand-in for the log service: keeps streams in memory and injects faults.
   The protocol is in docs/standins.md. */

#include "base/list.h"
#include "standin.h"

enum {
    MAX_READ = 1024 * 1024
};

typedef struct log_stream {
    char *name;
    uint64_t first;     /* offset of the oldest record that is kept */
    GPtrArray *records; /* GBytes */
    int64_t appends;
} log_stream_t;

/* A read that waits for a record or for the delay fault. */
typedef struct reader {
    list_t link;
    http_exchange_t *exchange;
    log_stream_t *stream;
    uint64_t from;
    loop_timer_t timer;
} reader_t;

/* A record that takes effect after delay_append_effect_ms. */
typedef struct delayed_record {
    loop_timer_t timer;
    log_stream_t *stream;
    GBytes *record;
} delayed_record_t;

typedef struct faults {
    int64_t outage;
    int64_t delay_ms;
    int64_t refuse_appends;
    int64_t drop_append_answers;
    int64_t delay_append_effect_ms;
    int64_t double_appends;
    int64_t keep;
} faults_t;

static const standin_fault_t fault_table[] = {
    {"outage", offsetof(faults_t, outage)},
    {"delay_ms", offsetof(faults_t, delay_ms)},
    {"refuse_appends", offsetof(faults_t, refuse_appends)},
    {"drop_append_answers", offsetof(faults_t, drop_append_answers)},
    {"delay_append_effect_ms", offsetof(faults_t, delay_append_effect_ms)},
    {"double_appends", offsetof(faults_t, double_appends)},
    {"keep", offsetof(faults_t, keep)},
    {NULL, 0},
};

static faults_t faults;
static char *outage_streams; /* prefix of the unavailable streams, or NULL */
static GHashTable *streams;
static list_t readers;
static int64_t total_appends;
static int64_t total_bytes;
static int64_t total_reads;

static uint64_t
get_next_offset(const log_stream_t *stream)
{
    return stream->first + stream->records->len;
}

static log_stream_t *
get_stream(const char *name)
{
    log_stream_t *stream = g_hash_table_lookup(streams, name);

    if (stream == NULL) {
        stream = g_new0(log_stream_t, 1);
        stream->name = g_strdup(name);
        stream->first = 1;
        stream->records =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
        g_hash_table_insert(streams, stream->name, stream);
    }
    return stream;
}

static bool
has_outage(const log_stream_t *stream)
{
    return faults.outage != 0 ||
           (outage_streams != NULL && outage_streams[0] != '\0' &&
            g_str_has_prefix(stream->name, outage_streams));
}

static void
append_big_endian(GByteArray *out, uint64_t value, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        uint8_t byte = (uint8_t)(value >> shift);

        g_byte_array_append(out, &byte, 1);
    }
}

static void
collect_records(const log_stream_t *stream, uint64_t from, GByteArray *out)
{
    for (uint64_t at = from; at < get_next_offset(stream); at++) {
        gsize size;
        const void *data = g_bytes_get_data(
            stream->records->pdata[at - stream->first], &size);

        if (out->len > 0 && out->len + size > MAX_READ) {
            return;
        }
        append_big_endian(out, at, 8);
        append_big_endian(out, size, 4);
        g_byte_array_append(out, data, (guint)size);
    }
}

static void
answer_read(http_exchange_t *exchange, const log_stream_t *stream,
            uint64_t from)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    char first[24];
    char next[24];
    http_header_t headers[] = {{"log-first", first}, {"log-next", next}};
    int status = from < stream->first ? 410 : 200;

    snprintf(first, sizeof(first), "%" G_GUINT64_FORMAT,
             (guint64)stream->first);
    snprintf(next, sizeof(next), "%" G_GUINT64_FORMAT,
             (guint64)get_next_offset(stream));
    if (has_outage(stream)) {
        standin_reply_error(exchange, 503,
                            "stream unavailable: fault outage is set\n");
        return;
    }
    if (status == 200) {
        collect_records(stream, from, body);
    }
    http_exchange_reply(exchange, status, headers, 2, body->data, body->len);
}

static void
finish_reader(reader_t *reader)
{
    loop_timer_stop(&reader->timer);
    list_remove(&reader->link);
    answer_read(reader->exchange, reader->stream, reader->from);
    g_free(reader);
}

static void
on_reader_timer(loop_timer_t *timer)
{
    finish_reader(timer->data);
}

/* Answers the waiting readers of the stream, or all for NULL. With the fault
   delay_ms, the delay starts when the stream changes. */
static void
wake_readers(const log_stream_t *stream)
{
    LIST_FOREACH_SAFE (reader, &readers, reader_t, link) {
        if (stream != NULL && reader->stream != stream) {
            continue;
        }
        if (faults.delay_ms > 0) {
            loop_timer_start(&reader->timer, (uint64_t)faults.delay_ms);
            continue;
        }
        finish_reader(reader);
    }
}

static void
trim_stream(log_stream_t *stream, uint64_t before)
{
    if (before > get_next_offset(stream)) {
        before = get_next_offset(stream);
    }
    if (before > stream->first) {
        g_ptr_array_remove_range(stream->records, 0,
                                 (guint)(before - stream->first));
        stream->first = before;
    }
}

static void
keep_newest(log_stream_t *stream)
{
    if (faults.keep > 0 && get_next_offset(stream) > (uint64_t)faults.keep) {
        trim_stream(stream, get_next_offset(stream) - (uint64_t)faults.keep);
    }
}

static uint64_t
write_record(log_stream_t *stream, GBytes *record)
{
    uint64_t offset = get_next_offset(stream);

    g_ptr_array_add(stream->records, g_bytes_ref(record));
    stream->appends++;
    total_appends++;
    total_bytes += (int64_t)g_bytes_get_size(record);
    keep_newest(stream);
    wake_readers(stream);
    return offset;
}

static void
on_delayed_write(loop_timer_t *timer)
{
    delayed_record_t *delayed = timer->data;

    write_record(delayed->stream, delayed->record);
    g_bytes_unref(delayed->record);
    g_free(delayed);
}

static void
schedule_write(log_stream_t *stream, GBytes *record)
{
    delayed_record_t *delayed = g_new0(delayed_record_t, 1);

    delayed->stream = stream;
    delayed->record = g_bytes_ref(record);
    loop_timer_init(&delayed->timer, standin_loop, on_delayed_write, delayed);
    loop_timer_start(&delayed->timer, (uint64_t)faults.delay_append_effect_ms);
}

static void
handle_append(http_exchange_t *exchange, log_stream_t *stream)
{
    g_autoptr(GBytes) record =
        g_bytes_new(exchange->body, exchange->body_length);
    json_object *answer;
    uint64_t offset;

    if (has_outage(stream) || standin_consume_fault(&faults.refuse_appends)) {
        standin_reply_error(
            exchange, 503,
            "record not written: fault outage or refuse_appends is set\n");
        return;
    }
    if (faults.delay_append_effect_ms > 0) {
        schedule_write(stream, record);
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    offset = write_record(stream, record);
    if (standin_consume_fault(&faults.double_appends)) {
        write_record(stream, record);
    }
    if (standin_consume_fault(&faults.drop_append_answers)) {
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    answer = json_object_new_object();
    standin_add_int(answer, "offset", (int64_t)offset);
    standin_reply_later(exchange, faults.delay_ms, 200, answer);
}

static void
handle_read(http_exchange_t *exchange, log_stream_t *stream)
{
    uint64_t from = (uint64_t)standin_get_query(exchange, "from", 1);
    int64_t wait_ms = (int64_t)standin_get_query(exchange, "wait_ms", 0);
    reader_t *reader;

    total_reads++;
    if (has_outage(stream) || from != get_next_offset(stream)) {
        wait_ms = 0;
    }
    wait_ms += faults.delay_ms;
    if (wait_ms <= 0) {
        answer_read(exchange, stream, from);
        return;
    }
    reader = g_new0(reader_t, 1);
    reader->exchange = exchange;
    reader->stream = stream;
    reader->from = from;
    list_append(&readers, &reader->link);
    loop_timer_init(&reader->timer, standin_loop, on_reader_timer, reader);
    loop_timer_start(&reader->timer, (uint64_t)wait_ms);
}

static void
on_streams(http_exchange_t *exchange, void *data)
{
    g_auto(GStrv) parts = g_strsplit(exchange->path, "/", 0);

    if (g_strv_length(parts) != 4 || strcmp(parts[3], "records") != 0) {
        standin_reply_error(exchange, 404,
                            "unknown path: expected /streams/NAME/records\n");
    }
    else if (strcmp(exchange->method, "POST") == 0) {
        handle_append(exchange, get_stream(parts[2]));
    }
    else {
        handle_read(exchange, get_stream(parts[2]));
    }
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);
    json_object *trim = NULL;
    GHashTableIter iter;
    gpointer stream;

    if (body == NULL) {
        return;
    }
    standin_set_faults(body, fault_table, &faults);
    if (json_object_object_get_ex(body, "outage_streams", NULL)) {
        g_free(outage_streams);
        outage_streams =
            g_strdup(standin_get_string(body, "outage_streams", ""));
    }
    if (json_object_object_get_ex(body, "trim", &trim)) {
        trim_stream(get_stream(standin_get_string(trim, "stream", "")),
                    (uint64_t)standin_get_int(trim, "before", 1));
    }
    g_hash_table_iter_init(&iter, streams);
    while (g_hash_table_iter_next(&iter, NULL, &stream)) {
        keep_newest(stream);
    }
    wake_readers(NULL);
    standin_reply_json(exchange, 200, body);
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *stats = json_object_new_object();
    json_object *list = json_object_new_object();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, streams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        log_stream_t *stream = value;
        json_object *item = json_object_new_object();

        standin_add_int(item, "first", (int64_t)stream->first);
        standin_add_int(item, "next", (int64_t)get_next_offset(stream));
        standin_add_int(item, "records", stream->records->len);
        standin_add_int(item, "appends", stream->appends);
        json_object_object_add(list, stream->name, item);
    }
    json_object_object_add(stats, "streams", list);
    standin_add_int(stats, "appends", total_appends);
    standin_add_int(stats, "bytes", total_bytes);
    standin_add_int(stats, "reads", total_reads);
    standin_reply_json(exchange, 200, stats);
}

int
main(int argc, char **argv)
{
    static const http_route_t routes[] = {{"/streams/", on_streams},
                                          {"/standin/stats", on_stats},
                                          {"/standin/fault", on_fault},
                                          {NULL, NULL}};
    char *listen = NULL;
    GOptionEntry entries[] = {{"listen", 0, 0, G_OPTION_ARG_STRING, &listen,
                               "Address to serve", "IP:PORT"},
                              {"keep", 0, 0, G_OPTION_ARG_INT64, &faults.keep,
                               "Records kept of each stream; 0: all",
                               "RECORDS"},
                              {NULL}};

    standin_parse_options(argc, argv, entries);
    streams = g_hash_table_new(g_str_hash, g_str_equal);
    list_init(&readers);
    standin_listen(listen, routes);
    standin_run();
    return 0;
}
