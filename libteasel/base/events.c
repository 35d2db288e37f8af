#include "base/events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_sink.h"
#include "base/loop.h"

typedef struct event_info {
    int number;
    GLogLevelFlags level;
    const char *name;
} event_info_t;

#define EVENT_INFO(id, number, level, name) {number, level, name},
static const event_info_t infos[] = {EVENT_TABLE(EVENT_INFO)};
#undef EVENT_INFO

static const char *program_name = "teasel";

static const char *
level_to_string(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return "ERROR";
    }
    if (level & G_LOG_LEVEL_WARNING) {
        return "WARNING";
    }
    if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO)) {
        return "INFO";
    }
    return "DEBUG";
}

static const char *
find_field(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return NULL;
}

enum {
    BUFFER_SIZE = 256 * 1024,
    FLUSH_SIZE = 2048,
    FLUSH_DELAY_MS = 100,
    /* Limits of one event: lines in a burst, and lines per second. */
    EVENT_BURST_LINES = 400,
    EVENT_LINES_PER_S = 100,
};

/* Token bucket that limits the lines of one event. */
typedef struct token_bucket {
    double tokens;
    int64_t refilled_us;
    uint64_t suppressed;
} token_bucket_t;

static token_bucket_t buckets[EVENT_COUNT];
static log_sink_t *sink;
static loop_timer_t flush_timer;
static bool has_loop;

static bool
take_token(token_bucket_t *bucket)
{
    int64_t now_us = g_get_monotonic_time();
    double elapsed_s = (double)(now_us - bucket->refilled_us) / 1e6;

    if (bucket->refilled_us == 0) {
        bucket->tokens = EVENT_BURST_LINES;
    }
    bucket->refilled_us = now_us;
    bucket->tokens = MIN((double)EVENT_BURST_LINES,
                         bucket->tokens + elapsed_s * EVENT_LINES_PER_S);
    if (bucket->tokens < 1) {
        bucket->suppressed++;
        return false;
    }
    bucket->tokens -= 1;
    return true;
}

static void
append_escaped(GString *line, const char *text, size_t length)
{
    g_string_append_c(line, '"');
    for (size_t i = 0; i < length; i++) {
        unsigned char c = (unsigned char)text[i];

        if (c == '"' || c == '\\') {
            g_string_append_c(line, '\\');
            g_string_append_c(line, (char)c);
        }
        else if (c < 0x20 || c == 0x7f) {
            g_string_append_printf(line, "\\u%04x", c);
        }
        else {
            g_string_append_c(line, (char)c);
        }
    }
    g_string_append_c(line, '"');
}

static bool
is_number(const char *text, size_t length)
{
    size_t digits = length > 0 && text[0] == '-' ? 1 : 0;

    if (length == digits || length > 18 ||
        (text[digits] == '0' && length > digits + 1)) {
        return false;
    }
    for (size_t i = digits; i < length; i++) {
        if (!g_ascii_isdigit(text[i])) {
            return false;
        }
    }
    return true;
}

static void
append_value(GString *line, const char *text, size_t length)
{
    if (is_number(text, length)) {
        g_string_append_len(line, text, (gssize)length);
    }
    else {
        append_escaped(line, text, length);
    }
}

/* Returns the length of a value, which ends at a space or is in quotes. */
static size_t
get_value_length(const char *text)
{
    const char *end;

    if (text[0] != '"') {
        return strcspn(text, " ");
    }
    end = text + 1;
    /* Quotes inside a value are not escaped; the closing quote is the first
       one before a space or the end. */
    while (*end != '\0' && !(*end == '"' && (end[1] == ' ' || !end[1]))) {
        end++;
    }
    return (size_t)(end - text) + (*end == '"');
}

/* Converts key=value pairs to JSON members; other words are collected in the
   member "text". */
static void
append_details(GString *line, const char *details)
{
    g_autoptr(GString) text = g_string_new(NULL);

    while (*details != '\0') {
        size_t word = strcspn(details, " =");
        size_t length;

        if (details[word] != '=') {
            g_string_append_len(text, details, (gssize)word);
            g_string_append_c(text, ' ');
            details += word + (details[word] == ' ');
            continue;
        }
        g_string_append_c(line, ',');
        append_escaped(line, details, word);
        g_string_append_c(line, ':');
        details += word + 1;
        length = get_value_length(details);
        if (details[0] == '"' && length >= 2) {
            append_escaped(line, details + 1, length - 2);
        }
        else {
            append_value(line, details, length);
        }
        details += length;
        details += *details == ' ';
    }
    if (text->len > 0) {
        g_string_append(line, ",\"text\":");
        append_escaped(line, text->str, text->len - 1);
    }
}

static int64_t
get_monotonic_ms(void)
{
    struct timespec now = clock_get_monotonic(clock_system());

    return (int64_t)timespec_to_ms(now);
}

static void
append_common_members(GString *line, GLogLevelFlags level, int number,
                      const char *name)
{
    struct timespec wall = clock_get_wall(clock_system());
    struct tm utc;
    char time[32];

    gmtime_r(&wall.tv_sec, &utc);
    strftime(time, sizeof(time), "%Y-%m-%dT%H:%M:%S", &utc);
    g_string_append_printf(
        line,
        "{\"time\":\"%s.%03ldZ\",\"steady_ms\":%" G_GINT64_FORMAT
        ",\"level\":\"%s\",\"event\":%d,\"event_name\":\"%s\",\"program\":\"%"
        "s\"",
        time, wall.tv_nsec / 1000000, get_monotonic_ms(),
        level_to_string(level), number, name, program_name);
}

static void
on_flush(loop_timer_t *timer)
{
    if (!log_sink_flush(sink)) {
        loop_timer_start(timer, FLUSH_DELAY_MS);
    }
}

static void
flush_or_schedule(bool important)
{
    if (important || !has_loop || log_sink_get_pending(sink) >= FLUSH_SIZE) {
        log_sink_flush(sink);
    }
    if (has_loop && log_sink_get_pending(sink) > 0 &&
        !loop_timer_is_active(&flush_timer)) {
        loop_timer_start(&flush_timer, FLUSH_DELAY_MS);
    }
}

static void
add_line(GLogLevelFlags level, int number, const char *name,
         const char *details)
{
    g_autoptr(GString) line = g_string_sized_new(256);
    bool important = (level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_WARNING;

    append_common_members(line, level, number, name);
    append_details(line, details);
    g_string_append(line, "}\n");
    log_sink_add(sink, line->str, line->len, important);
    flush_or_schedule(important);
}

static void
log_dropped_lines(void)
{
    uint64_t dropped = log_sink_take_dropped(sink);
    char details[64];

    if (dropped > 0) {
        g_snprintf(details, sizeof(details), "lines=%" G_GUINT64_FORMAT,
                   dropped);
        add_line(G_LOG_LEVEL_WARNING, infos[EVENT_LOG_DROPPED].number,
                 infos[EVENT_LOG_DROPPED].name, details);
    }
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer data)
{
    const char *number = find_field(fields, count, "EVENT_NUMBER");
    const char *name = find_field(fields, count, "EVENT_NAME");
    const char *message = find_field(fields, count, "MESSAGE");

    if (!(level & G_LOG_LEVEL_DEBUG)) {
        log_dropped_lines();
        add_line(level, number ? atoi(number) : 0, name ? name : "-",
                 message ? message : "");
    }
    return G_LOG_WRITER_HANDLED;
}

static void
flush_at_exit(void)
{
    log_sink_flush(sink);
}

void
events_init(const char *program)
{
    program_name = program;
    if (sink == NULL) {
        sink = log_sink_new(STDOUT_FILENO, BUFFER_SIZE);
        atexit(flush_at_exit);
    }
    g_log_set_writer_func(write_line, NULL, NULL);
}

void
events_use_loop(loop_t *loop)
{
    if (sink == NULL) {
        return;
    }
    has_loop = loop != NULL;
    if (has_loop) {
        loop_timer_init(&flush_timer, loop, on_flush, NULL);
    }
    log_sink_flush(sink);
}

/* Logs how many lines of the event the rate limit has suppressed. */
static void
log_suppressed_lines(event_id_t id)
{
    token_bucket_t *bucket = &buckets[id];
    uint64_t suppressed = bucket->suppressed;

    if (suppressed > 0) {
        bucket->suppressed = 0;
        event_log(EVENT_LOG_SUPPRESSED,
                  "suppressed_event=%d lines=%" G_GUINT64_FORMAT,
                  infos[id].number, suppressed);
    }
}

void
event_log(event_id_t id, const char *format, ...)
{
    const event_info_t *info = &infos[id];
    g_autofree char *message = NULL;
    char number[16];
    va_list args;

    if (sink != NULL && !take_token(&buckets[id])) {
        return;
    }
    log_suppressed_lines(id);
    va_start(args, format);
    message = g_strdup_vprintf(format, args);
    va_end(args);
    snprintf(number, sizeof(number), "%d", info->number);
    g_log_structured(G_LOG_DOMAIN, info->level, "EVENT_NUMBER", number,
                     "EVENT_NAME", info->name, "MESSAGE", "%s", message);
}

const char *
event_get_name(event_id_t id, int *number)
{
    *number = infos[id].number;
    return infos[id].name;
}
