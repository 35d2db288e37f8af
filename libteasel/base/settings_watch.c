#include "base/settings_watch.h"

#include <sys/stat.h>

#include "base/events.h"

enum {
    CHECK_INTERVAL_MS = 1000,
};

struct settings_watch {
    settings_watch_opts_t opts;
    char *path;
    loop_timer_t timer;
    struct timespec modified;
    off_t size;
};

/* Records the size and modification time of the file; returns whether they
   have changed. */
static bool
update_file_info(settings_watch_t *watch)
{
    struct stat info;
    bool changed;

    if (stat(watch->path, &info) != 0) {
        return false;
    }
    changed = info.st_size != watch->size ||
              info.st_mtim.tv_sec != watch->modified.tv_sec ||
              info.st_mtim.tv_nsec != watch->modified.tv_nsec;
    watch->size = info.st_size;
    watch->modified = info.st_mtim;
    return changed;
}

void
settings_watch_reload(settings_watch_t *watch)
{
    const settings_watch_opts_t *opts = &watch->opts;
    g_autoptr(GError) error = NULL;
    g_autoptr(GString) kept = g_string_new(NULL);
    void *fresh = g_malloc0(opts->size);

    update_file_info(watch);
    if (!opts->load(watch->path, fresh, &error)) {
        event_log(EVENT_SETTINGS_REFUSED, "path=%s error=\"%s\"", watch->path,
                  error->message);
        g_free(fresh);
        return;
    }
    settings_apply(opts->table, opts->live, fresh, kept);
    event_log(EVENT_SETTINGS_RELOADED, "path=%s need_restart=%s", watch->path,
              kept->len > 0 ? kept->str : "none");
    opts->clear(fresh);
    g_free(fresh);
}

static void
on_timer(loop_timer_t *timer)
{
    settings_watch_t *watch = timer->data;

    loop_timer_start(timer, CHECK_INTERVAL_MS);
    if (update_file_info(watch)) {
        settings_watch_reload(watch);
    }
}

settings_watch_t *
settings_watch_new(const settings_watch_opts_t *opts)
{
    settings_watch_t *watch = g_new0(settings_watch_t, 1);

    watch->opts = *opts;
    watch->path = g_strdup(opts->path);
    update_file_info(watch);
    loop_timer_init(&watch->timer, opts->loop, on_timer, watch);
    loop_timer_start(&watch->timer, CHECK_INTERVAL_MS);
    return watch;
}

void
settings_watch_free(settings_watch_t *watch)
{
    if (watch != NULL) {
        loop_timer_stop(&watch->timer);
        g_free(watch->path);
        g_free(watch);
    }
}
