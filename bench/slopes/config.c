#include <string.h>

#include "config/config.h"
#include "config/ticket.h"
#include "slopes.h"

enum {
    OBJECTS = 1000, /* distinct objects; each ticket changes the next one */
};

/* Returns a ticket that sets the weight and a limit of one team. */
static char *
make_ticket_text(uint64_t number)
{
    return g_strdup_printf(
        "{\"ticket\": %" G_GUINT64_FORMAT
        ", \"author\": \"operator@example.org\", \"reason\": \"share of the "
        "weekend run\", \"objects\": {\"team/team-%u\": {\"weight\": %u, "
        "\"cpu_milli\": 64000}}}",
        (guint64)number, (unsigned)(number % OBJECTS),
        (unsigned)(1 + number % 900));
}

/* Returns the packed log records (GBytes) of @count tickets. */
static GPtrArray *
make_records(uint64_t count)
{
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);

    for (uint64_t i = 1; i <= count; i++) {
        g_autofree char *text = make_ticket_text(i);
        g_autoptr(ticket_t) parsed =
            ticket_parse(text, strlen(text), "bench", NULL);
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__Ticket ticket = TEASEL__TICKET__INIT;
        uint64_t id[2] = {i, i};
        uint8_t *packed;
        size_t length;

        ticket.number = i;
        ticket.author = parsed->author;
        ticket.reason = parsed->reason;
        ticket.body.data = (uint8_t *)parsed->canonical;
        ticket.body.len = strlen(parsed->canonical);
        record.id.data = (uint8_t *)id;
        record.id.len = sizeof(id);
        record.writer = "teaselctl operator";
        record.wall_ms = 1796367422761;
        record.body_case = TEASEL__LOG_RECORD__BODY_TICKET;
        record.ticket = &ticket;
        length = teasel__log_record__get_packed_size(&record);
        packed = g_malloc(length);
        teasel__log_record__pack(&record, packed);
        g_ptr_array_add(records, g_bytes_new_take(packed, length));
    }
    return records;
}

static config_t *
apply_records(const GPtrArray *records)
{
    config_t *config = config_new();

    for (guint i = 0; i < records->len; i++) {
        gsize length;
        const uint8_t *data = g_bytes_get_data(records->pdata[i], &length);
        Teasel__LogRecord *record =
            teasel__log_record__unpack(NULL, length, data);

        config_apply(config, record, i + 1, NULL);
        teasel__log_record__free_unpacked(record, NULL);
    }
    return config;
}

static void
run_ticket(uint64_t count, slope_result_t *result)
{
    GPtrArray *records = make_records(count);
    slope_mark_t mark;
    config_t *config;

    slope_begin(&mark);
    config = apply_records(records);
    slope_end(&mark, count, result);
    result->bytes = (double)g_bytes_get_size(records->pdata[count - 1]);
    config_free(config);
    g_ptr_array_free(records, TRUE);
}

static void
run_snapshot(uint64_t count, slope_result_t *result)
{
    GPtrArray *records = make_records(count);
    config_t *config = apply_records(records);
    config_t *copy = config_new();
    slope_mark_t mark;
    GByteArray *snapshot;

    slope_begin(&mark);
    snapshot = config_encode(config);
    config_load(copy, snapshot->data, snapshot->len, count);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = (double)snapshot->len / (double)count;
    g_byte_array_unref(snapshot);
    config_free(config);
    config_free(copy);
    g_ptr_array_free(records, TRUE);
}

const slope_t slopes_config[] = {
    {"ticket-fold", "ticket of one object, unpacked and applied", 10000,
     run_ticket},
    {"ticket-snapshot", "ticket in a snapshot, encoded and loaded", 10000,
     run_snapshot},
    {NULL, NULL, 0, NULL},
};
