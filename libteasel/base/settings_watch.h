#ifndef TEASEL_BASE_SETTINGS_WATCH_H
#define TEASEL_BASE_SETTINGS_WATCH_H

#include "base/loop.h"
#include "base/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Watches a settings file and applies changed integers and booleans while the
 * program runs. Strings, which are names and addresses of the process, take
 * effect at the next start only.
 */

typedef struct settings_watch settings_watch_t;

/**
 * struct settings_watch_opts - options of settings_watch_new()
 * @table: valid keys of the file
 * @load: reads and checks a file
 * @clear: frees what @load allocated
 * @live: settings in use, updated on a reload
 * @size: size of the settings struct in bytes
 */
typedef struct settings_watch_opts {
    loop_t *loop;
    const char *path;
    const setting_t *table;
    bool (*load)(const char *path, void *settings, GError **error);
    void (*clear)(void *settings);
    void *live;
    size_t size;
} settings_watch_opts_t;

settings_watch_t *settings_watch_new(const settings_watch_opts_t *opts);
void settings_watch_free(settings_watch_t *watch);

/**
 * settings_watch_reload() - reload the file now, for example on SIGHUP
 */
void settings_watch_reload(settings_watch_t *watch);

#ifdef __cplusplus
}
#endif

#endif
