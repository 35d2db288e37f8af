#include "node/announcement_filter.h"

#include <glib.h>
#include <string.h>

enum {
    /* Announcements that were lost, during hours without a connection. */
    MAX_SEQUENCE_STEP = 10000,
    MIN_HELD = 3,
    /* Shorter than the interval of announcements. Late ones may arrive in a
       burst, which counts once. */
    MIN_HELD_INTERVAL_MS = 500,
};

/* No text of an announcement contains a control character. */
static char *
get_traits(const executor_info_t *info)
{
    GString *traits = g_string_new(info->service);

    g_string_append_printf(traits, "\n%s\n%s", info->data_centre, info->rack);
    for (size_t i = 0; i < info->label_count; i++) {
        g_string_append_printf(traits, "\n%s", info->labels[i]);
    }
    return g_string_free(traits, FALSE);
}

static bool
is_next(uint64_t sequence, uint64_t last)
{
    return sequence > last && sequence - last <= MAX_SEQUENCE_STEP;
}

static void
accept(announcement_filter_t *filter, const executor_info_t *info)
{
    filter->sequence = info->sequence;
    filter->held = 0;
    g_clear_pointer(&filter->held_traits, g_free);
}

void
announcement_filter_init(announcement_filter_t *filter,
                         const executor_info_t *info)
{
    memset(filter, 0, sizeof(*filter));
    filter->traits = get_traits(info);
    accept(filter, info);
}

void
announcement_filter_clear(announcement_filter_t *filter)
{
    g_clear_pointer(&filter->traits, g_free);
    g_clear_pointer(&filter->held_traits, g_free);
}

static void
hold(announcement_filter_t *filter, const executor_info_t *info,
     const char *traits, int64_t now_ms)
{
    bool follows = g_strcmp0(filter->held_traits, traits) == 0 &&
                   is_next(info->sequence, filter->held_sequence);

    filter->held_sequence = info->sequence;
    if (!follows) {
        g_free(filter->held_traits);
        filter->held_traits = g_strdup(traits);
        filter->held = 1;
        filter->held_ms = now_ms;
        return;
    }
    if (now_ms - filter->held_ms >= MIN_HELD_INTERVAL_MS) {
        filter->held++;
        filter->held_ms = now_ms;
    }
}

announcement_verdict_t
announcement_filter_judge(announcement_filter_t *filter,
                          const executor_info_t *info, int64_t now_ms)
{
    g_autofree char *traits = get_traits(info);
    bool has_traits = strcmp(traits, filter->traits) == 0;

    if (has_traits && is_next(info->sequence, filter->sequence)) {
        accept(filter, info);
        return ANNOUNCEMENT_NEXT;
    }
    hold(filter, info, traits, now_ms);
    if (filter->held >= MIN_HELD) {
        g_free(filter->traits);
        filter->traits = g_steal_pointer(&traits);
        accept(filter, info);
        return ANNOUNCEMENT_RESUMED;
    }
    return has_traits && info->sequence <= filter->sequence ? ANNOUNCEMENT_LATE
                                                            : ANNOUNCEMENT_ODD;
}
