#include "store/follower.h"

#include <string.h>

#include "base/events.h"

enum {
    MIN_RETRY_MS = 50,
    MAX_RETRY_MS = 400,
};

struct follower {
    follower_opts_t opts;
    loop_timer_t retry;
    uint64_t retry_ms;
    uint64_t next;
    bool caught_up;
    bool available;
    bool freed;   /* destroyed when the call in progress ends */
    bool calling; /* from a call of the store to the end of its callback */
    bool listing_started;
    char *after; /* where the listing in progress continues */
};

static void request_next(follower_t *follower);

static void
on_retry(loop_timer_t *timer)
{
    request_next(timer->data);
}

static void
destroy(follower_t *follower)
{
    loop_timer_stop(&follower->retry);
    g_free(follower->after);
    g_free(follower);
}

static void
set_available(follower_t *follower, bool available)
{
    if (follower->available == available) {
        return;
    }
    follower->available = available;
    event_log(available ? EVENT_STORE_BACK : EVENT_STORE_LOST,
              "topic=%s next=%" G_GUINT64_FORMAT, follower->opts.topic,
              follower->next);
    if (follower->opts.on_available != NULL) {
        follower->opts.on_available(available, follower->opts.data);
    }
}

static void
retry_later(follower_t *follower)
{
    set_available(follower, false);
    loop_timer_start(&follower->retry, follower->retry_ms);
    follower->retry_ms = MIN(follower->retry_ms * 2, MAX_RETRY_MS);
}

static void
deliver(follower_t *follower, const store_page_t *page)
{
    follower->retry_ms = MIN_RETRY_MS;
    set_available(follower, true);
    for (size_t i = 0; i < page->count && !follower->freed; i++) {
        follower->opts.on_record(&page->records[i], follower->opts.data);
    }
}

static void
finish_listing(follower_t *follower)
{
    bool was_caught_up = follower->caught_up;

    g_clear_pointer(&follower->after, g_free);
    follower->listing_started = false;
    follower->caught_up = true;
    if (!was_caught_up && !follower->freed &&
        follower->opts.on_caught_up != NULL) {
        follower->opts.on_caught_up(follower->opts.data);
    }
}

static void
handle_listing_page(follower_t *follower, const store_page_t *page)
{
    /* The pages of a listing are not one snapshot, so reads start at the end
       of the topic at the time of the first page. */
    if (!follower->listing_started) {
        follower->listing_started = true;
        follower->next = page->next;
    }
    deliver(follower, page);
    if (page->more) {
        g_free(follower->after);
        follower->after = g_strdup(page->after);
        return;
    }
    finish_listing(follower);
}

static void
handle_listing(follower_t *follower, store_status_t status,
               const store_page_t *page)
{
    if (status != STORE_OK) {
        retry_later(follower);
        return;
    }
    handle_listing_page(follower, page);
}

static void
handle_read(follower_t *follower, store_status_t status,
            const store_page_t *page)
{
    if (status == STORE_TRIMMED) {
        follower->caught_up = false;
        return;
    }
    if (status != STORE_OK) {
        retry_later(follower);
        return;
    }
    follower->next = page->next;
    deliver(follower, page);
}

/* Ends the call in progress and begins the next one, unless a retry is due
   later. The owner may have freed the follower since the call began, also
   inside a callback. */
static void
end_call(follower_t *follower)
{
    follower->calling = false;
    if (follower->freed) {
        destroy(follower);
        return;
    }
    if (!loop_timer_is_active(&follower->retry)) {
        request_next(follower);
    }
}

static void
on_listed(store_status_t status, const store_page_t *page, void *data)
{
    follower_t *follower = data;

    if (!follower->freed) {
        handle_listing(follower, status, page);
    }
    end_call(follower);
}

static void
on_read(store_status_t status, const store_page_t *page, void *data)
{
    follower_t *follower = data;

    if (!follower->freed) {
        handle_read(follower, status, page);
    }
    end_call(follower);
}

static void
request_next(follower_t *follower)
{
    follower_opts_t *opts = &follower->opts;

    follower->calling = true;
    if (!follower->caught_up) {
        store_list(opts->store, opts->topic, follower->after, on_listed,
                   follower);
        return;
    }
    /* The first read after an outage does not wait, so that the end of the
       outage is reported at once. */
    store_read(opts->store, opts->topic, follower->next,
               follower->available ? opts->wait_ms : 0, on_read, follower);
}

follower_t *
follower_new(const follower_opts_t *opts)
{
    follower_t *follower = g_new0(follower_t, 1);

    follower->opts = *opts;
    follower->retry_ms = MIN_RETRY_MS;
    follower->available = true;
    loop_timer_init(&follower->retry, opts->loop, on_retry, follower);
    loop_timer_start(&follower->retry, 0);
    return follower;
}

void
follower_free(follower_t *follower)
{
    if (follower == NULL) {
        return;
    }
    if (follower->calling) {
        loop_timer_stop(&follower->retry);
        follower->freed = true;
        return;
    }
    destroy(follower);
}

bool
follower_is_caught_up(const follower_t *follower)
{
    return follower->caught_up;
}

uint64_t
follower_get_next_offset(const follower_t *follower)
{
    return follower->next;
}

bool
follower_is_available(const follower_t *follower)
{
    return follower->available;
}
