#include "operator/audit.h"

#include <inttypes.h>
#include <string.h>

#include "config/ticket.h"

struct audit {
    const config_t *current;
    config_t *replayed; /* state after the records applied so far */
    uint64_t epoch;
    bool epoch_known;
    GHashTable *quarantined; /* set of worker names */
};

/**
 * struct emitter - context for emitting the rows of one record
 */
typedef struct emitter {
    audit_t *audit;
    const Teasel__LogRecord *record;
    audit_row_t row;
    audit_row_fn fn;
    void *data;
} emitter_t;

audit_t *
audit_new(const config_t *current)
{
    audit_t *audit = g_new0(audit_t, 1);

    audit->current = current;
    audit->replayed = config_new();
    audit->quarantined =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return audit;
}

void
audit_free(audit_t *audit)
{
    if (audit == NULL) {
        return;
    }
    config_free(audit->replayed);
    g_hash_table_unref(audit->quarantined);
    g_free(audit);
}

static void
emit(emitter_t *out, const char *kind, const char *object, const char *action,
     const char *result, const char *why)
{
    const char *objects[] = {object, NULL};

    out->row.kind = kind;
    if (out->row.objects == NULL) {
        out->row.objects = objects;
    }
    out->row.action = action;
    out->row.result = result;
    out->row.why = why != NULL ? why : "";
    out->fn(&out->row, out->data);
    out->row.objects = NULL;
}

static const char *
describe_verdict(const config_result_t *result)
{
    static const char *const names[] = {
        [CONFIG_IGNORED] = "ignored",
        [CONFIG_ACCEPTED] = "accepted",
        [CONFIG_REPEATED] = "repeated",
        [CONFIG_REFUSED] = "refused",
    };

    return names[result->verdict];
}

/* The replay accepts a refused or repeated ticket when the log no longer
   retains the records that decided its result. The current configuration
   still has that result. */
static void
correct_ticket_result(const audit_t *audit, const Teasel__Ticket *ticket,
                      uint64_t offset, config_result_t *result)
{
    const config_ticket_t *known =
        audit->current != NULL
            ? config_find_ticket(audit->current, ticket->number)
            : NULL;

    if (known == NULL || result->verdict != CONFIG_ACCEPTED ||
        (known->offset == offset && known->accepted)) {
        return;
    }
    if (known->hash ==
        ticket_hash_bytes(ticket->body.data, ticket->body.len)) {
        result->verdict =
            known->offset == offset ? CONFIG_REFUSED : CONFIG_REPEATED;
    }
    else {
        result->verdict = CONFIG_REFUSED;
    }
    result->message =
        g_strdup("decided by records that the log no longer retains");
}

static char **
list_ticket_objects(const Teasel__Ticket *record)
{
    g_autoptr(ticket_t) ticket = ticket_parse(
        (const char *)record->body.data, record->body.len, "ticket", NULL);
    GPtrArray *names = g_ptr_array_new();

    g_ptr_array_add(names, g_strdup_printf("ticket/%" PRIu64, record->number));
    for (guint i = 0; ticket != NULL && i < ticket->objects->len; i++) {
        const ticket_object_t *object = ticket->objects->pdata[i];

        g_ptr_array_add(names, g_strdup(object->name));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

static void
emit_ticket(emitter_t *out)
{
    const Teasel__Ticket *ticket = out->record->ticket;
    g_auto(GStrv) objects = list_ticket_objects(ticket);
    config_result_t result;

    config_apply(out->audit->replayed, out->record, out->row.offset, &result);
    correct_ticket_result(out->audit, ticket, out->row.offset, &result);
    out->row.author = ticket->author;
    out->row.objects = (const char *const *)objects;
    emit(out, "ticket", NULL, "apply", describe_verdict(&result),
         result.message != NULL ? result.message : ticket->reason);
    config_result_clear(&result);
}

static void
emit_drain(emitter_t *out)
{
    const Teasel__Drain *drain = out->record->drain;
    config_result_t result;

    config_apply(out->audit->replayed, out->record, out->row.offset, &result);
    out->row.author = drain->author;
    emit(out, "drain", drain->agent_id, drain->on ? "drain" : "end drain",
         describe_verdict(&result),
         result.message != NULL ? result.message : drain->reason);
    config_result_clear(&result);
}

static void
emit_submit(emitter_t *out)
{
    const Teasel__JobSubmit *submit = out->record->job_submit;

    out->row.author = submit->submitter;
    emit(out, "job", submit->job_id, "submit", "written", NULL);
}

static void
emit_cancel(emitter_t *out)
{
    const Teasel__JobCancel *cancel = out->record->job_cancel;

    out->row.author = cancel->author;
    emit(out, "job", cancel->job_id, "cancel", "written", cancel->reason);
    for (size_t i = 0; i < cancel->n_more_ids; i++) {
        emit(out, "job", cancel->more_ids[i], "cancel", "written",
             cancel->reason);
    }
}

static void
emit_claim(emitter_t *out)
{
    audit_t *audit = out->audit;
    const Teasel__Claim *claim = out->record->claim;
    bool effective = !audit->epoch_known || claim->after_epoch == audit->epoch;
    g_autofree char *why =
        g_strdup_printf("after epoch %" PRIu64, claim->after_epoch);

    if (effective) {
        audit->epoch = out->row.offset;
        audit->epoch_known = true;
    }
    out->row.author = claim->agent_id;
    emit(out, "epoch", claim->agent_id, "claim",
         effective ? "accepted" : "ignored", why);
}

static void
emit_start(emitter_t *out, const Teasel__DecisionItem *item,
           const char *result)
{
    const Teasel__DecisionStart *start = item->start;
    const char *objects[] = {start->job_id, start->worker, NULL};
    g_autofree char *why = g_strdup_printf("attempt %u on worker %s",
                                           start->attempt, start->worker);

    out->row.objects = objects;
    emit(out, "job", NULL, "start", result, why);
}

static void
emit_finish(emitter_t *out, const Teasel__DecisionItem *item,
            const char *result)
{
    static const char *const actions[] = {
        [TEASEL__OUTCOME__OUTCOME_DONE] = "finish",
        [TEASEL__OUTCOME__OUTCOME_FAILED] = "fail",
        [TEASEL__OUTCOME__OUTCOME_EVICTED] = "evict",
        [TEASEL__OUTCOME__OUTCOME_CANCELLED] = "end cancelled",
        [TEASEL__OUTCOME__OUTCOME_NOT_STARTED] = "put back",
    };
    const Teasel__DecisionFinish *finish = item->finish;
    bool evicted = finish->outcome == TEASEL__OUTCOME__OUTCOME_EVICTED;
    g_autofree char *why =
        g_strdup_printf("attempt %u%s%s", finish->attempt,
                        finish->detail[0] != '\0' ? ": " : "", finish->detail);

    emit(out, evicted ? "eviction" : "job", finish->job_id,
         (unsigned)finish->outcome < G_N_ELEMENTS(actions)
             ? actions[finish->outcome]
             : "finish",
         result, why);
}

static void
emit_revoke(emitter_t *out, const Teasel__DecisionItem *item,
            const char *result)
{
    const Teasel__DecisionRevoke *revoke = item->revoke;
    g_autofree char *why =
        g_strdup_printf("attempt %u: %s", revoke->attempt, revoke->reason);

    emit(out, "job", revoke->job_id, "revoke", result, why);
}

static void
emit_expire(emitter_t *out, const Teasel__DecisionItem *item,
            const char *result)
{
    const Teasel__DecisionExpire *expire = item->expire;
    g_autofree char *why = g_strdup_printf("attempt %u", expire->attempt);

    emit(out, "job", expire->job_id, "expire", result, why);
}

/* Such an item also announces the capacity of a worker. A row is emitted only
   when the quarantine changes. */
static void
emit_worker(emitter_t *out, const Teasel__DecisionItem *item,
            const char *result)
{
    const Teasel__DecisionWorker *worker = item->worker;
    GHashTable *quarantined = out->audit->quarantined;
    bool was_quarantined = g_hash_table_contains(quarantined, worker->worker);

    if (worker->quarantined == was_quarantined) {
        return;
    }
    if (strcmp(result, "ignored") != 0) {
        if (worker->quarantined) {
            g_hash_table_add(quarantined, g_strdup(worker->worker));
        }
        else {
            g_hash_table_remove(quarantined, worker->worker);
        }
    }
    emit(out, "quarantine", worker->worker,
         worker->quarantined ? "quarantine" : "end quarantine", result,
         worker->reason);
}

typedef void (*emit_item_fn)(emitter_t *out, const Teasel__DecisionItem *item,
                             const char *result);

static const emit_item_fn item_functions[] = {
    [TEASEL__DECISION_ITEM__ITEM_START] = emit_start,
    [TEASEL__DECISION_ITEM__ITEM_FINISH] = emit_finish,
    [TEASEL__DECISION_ITEM__ITEM_REVOKE] = emit_revoke,
    [TEASEL__DECISION_ITEM__ITEM_EXPIRE] = emit_expire,
    [TEASEL__DECISION_ITEM__ITEM_WORKER] = emit_worker,
};

static void
emit_decision(emitter_t *out)
{
    audit_t *audit = out->audit;
    const Teasel__Decision *decision = out->record->decision;
    const char *result = "decided";

    if (!audit->epoch_known) {
        audit->epoch = decision->epoch;
        audit->epoch_known = true;
    }
    if (decision->epoch != audit->epoch) {
        result = "ignored";
    }
    for (size_t i = 0; i < decision->n_items; i++) {
        const Teasel__DecisionItem *item = decision->items[i];
        unsigned kind = (unsigned)item->item_case;

        if (kind < G_N_ELEMENTS(item_functions) &&
            item_functions[kind] != NULL) {
            item_functions[kind](out, item, result);
        }
    }
}

typedef void (*emit_record_fn)(emitter_t *out);

static const emit_record_fn record_functions[] = {
    [TEASEL__LOG_RECORD__BODY_TICKET] = emit_ticket,
    [TEASEL__LOG_RECORD__BODY_DRAIN] = emit_drain,
    [TEASEL__LOG_RECORD__BODY_JOB_SUBMIT] = emit_submit,
    [TEASEL__LOG_RECORD__BODY_JOB_CANCEL] = emit_cancel,
    [TEASEL__LOG_RECORD__BODY_CLAIM] = emit_claim,
    [TEASEL__LOG_RECORD__BODY_DECISION] = emit_decision,
};

void
audit_apply(audit_t *audit, const char *stream,
            const Teasel__LogRecord *record, uint64_t offset, audit_row_fn fn,
            void *data)
{
    emitter_t out = {
        .audit = audit,
        .record = record,
        .row = {.wall_ms = record->wall_ms,
                .stream = stream,
                .offset = offset,
                .author = record->writer},
        .fn = fn,
        .data = data,
    };
    unsigned body = (unsigned)record->body_case;

    if (body < G_N_ELEMENTS(record_functions) &&
        record_functions[body] != NULL) {
        record_functions[body](&out);
    }
}

bool
audit_filter_match(const audit_filter_t *filter, const audit_row_t *row)
{
    return (filter->kind == NULL || strcmp(filter->kind, row->kind) == 0) &&
           (filter->object == NULL ||
            g_strv_contains(row->objects, filter->object)) &&
           (filter->author == NULL ||
            strcmp(filter->author, row->author) == 0);
}

bool
audit_is_kind(const char *kind)
{
    static const char *const kinds[] = {
        "ticket", "drain", "epoch", "job", "eviction", "quarantine", NULL};

    return g_strv_contains(kinds, kind);
}
