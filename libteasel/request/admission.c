#include "request/admission.h"

#include <string.h>

enum {
    /* The newest service time has a weight of 1/8 in the moving average. */
    SERVICE_WEIGHT_SHIFT = 3
};

void
admission_init(admission_t *admission, const admission_opts_t *opts)
{
    memset(admission, 0, sizeof(*admission));
    admission->opts = *opts;
    list_init(&admission->queue);
}

/* Most items arrive in order of their deadlines, so the search starts at the
   end of the queue. */
static list_t *
find_position(admission_t *admission, struct timespec deadline, size_t *ahead)
{
    list_t *position = &admission->queue;

    *ahead = admission->queued;
    while (position->prev != &admission->queue) {
        admission_item_t *last =
            LIST_ENTRY(position->prev, admission_item_t, link);

        if (!timespec_is_before(deadline, last->deadline)) {
            break;
        }
        position = position->prev;
        *ahead -= 1;
    }
    return position;
}

static uint64_t
estimate_wait_us(const admission_t *admission, size_t ahead)
{
    return (ahead + 1) * admission->service_us / admission->opts.limit;
}

static admission_verdict_t
refuse(error_kind_t *kind, error_kind_t reason)
{
    *kind = reason;
    return ADMISSION_REFUSED;
}

admission_verdict_t
admission_offer(admission_t *admission, admission_item_t *item,
                error_kind_t *kind)
{
    struct timespec now = clock_get_monotonic(admission->opts.clock);
    int64_t remaining_us = timespec_diff_us(item->deadline, now);
    list_t *position;
    size_t ahead;

    list_init(&item->link);
    if (admission->leaving) {
        return refuse(kind, ERROR_LEAVING);
    }
    if (remaining_us <= 0) {
        return refuse(kind, ERROR_EXPIRED);
    }
    if (admission->queued == 0 && admission->running < admission->opts.limit) {
        admission->running++;
        return ADMISSION_START;
    }
    if (admission->queued >= admission->opts.max_queue) {
        return refuse(kind, ERROR_OVERLOADED);
    }
    position = find_position(admission, item->deadline, &ahead);
    if (estimate_wait_us(admission, ahead) > (uint64_t)remaining_us) {
        return refuse(kind, ERROR_OVERLOADED);
    }
    list_insert_before(position, &item->link);
    admission->queued++;
    return ADMISSION_QUEUED;
}

void
admission_finish(admission_t *admission, uint64_t service_us)
{
    int64_t change;

    g_assert(admission->running > 0);
    admission->running--;
    if (service_us == 0) {
        return;
    }
    if (admission->service_us == 0) {
        admission->service_us = service_us;
        return;
    }
    change = (int64_t)service_us - (int64_t)admission->service_us;
    admission->service_us += change / (1 << SERVICE_WEIGHT_SHIFT);
}

admission_item_t *
admission_next(admission_t *admission, bool *expired)
{
    struct timespec now = clock_get_monotonic(admission->opts.clock);
    admission_item_t *item;

    if (admission->queued == 0) {
        return NULL;
    }
    item = LIST_ENTRY(admission->queue.next, admission_item_t, link);
    *expired = !timespec_is_before(now, item->deadline);
    if (!*expired && admission->running >= admission->opts.limit) {
        return NULL;
    }
    admission_cancel(admission, item);
    if (!*expired) {
        admission->running++;
    }
    return item;
}

void
admission_cancel(admission_t *admission, admission_item_t *item)
{
    list_remove(&item->link);
    admission->queued--;
}

void
admission_set_leaving(admission_t *admission, bool leaving)
{
    admission->leaving = leaving;
}

bool
admission_get_next_deadline(const admission_t *admission,
                            struct timespec *deadline)
{
    if (admission->queued == 0) {
        return false;
    }
    *deadline =
        LIST_ENTRY(admission->queue.next, admission_item_t, link)->deadline;
    return true;
}
