#ifndef TEASEL_BASE_SETTINGS_H
#define TEASEL_BASE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum setting_type {
    SETTING_STRING,       /* char * */
    SETTING_INTEGER,      /* int64_t, min to max */
    SETTING_BOOLEAN,      /* gboolean */
    SETTING_CHOICE,       /* char *, one of choices */
    SETTING_ADDRESS,      /* char *, IPv4:PORT */
    SETTING_ADDRESS_LIST, /* char **, NULL-terminated */
    SETTING_STRING_LIST,  /* char **, NULL-terminated */
} setting_type_t;

/**
 * struct setting - one key of a settings file
 * @key: name in the file
 * @type: type of the value and of the field
 * @offset: of the field in the settings struct
 * @required: a missing key is an error
 * @min: smallest integer
 * @max: largest integer
 * @default_value: integer or boolean used when the key is missing
 * @default_string: string used when the key is missing
 * @choices: NULL-terminated list for SETTING_CHOICE
 */
typedef struct setting {
    const char *key;
    setting_type_t type;
    size_t offset;
    bool required;
    int64_t min;
    int64_t max;
    int64_t default_value;
    const char *default_string;
    const char *const *choices;
} setting_t;

/**
 * settings_load() - read a settings file, JSON with comments
 * @path: the file
 * @table: the known keys; ends with a NULL key
 * @out: zeroed settings struct, filled according to @table
 * @error: names the file, line or key, the found value and what is allowed
 */
bool settings_load(const char *path, const setting_t *table, void *out,
                   GError **error);

/**
 * settings_clear() - free what settings_load() allocated in @out
 */
void settings_clear(const setting_t *table, void *out);

/**
 * settings_apply() - take over the numbers and booleans of freshly loaded
 * settings
 * @kept: gets the keys of the strings that differ, which keep their old value
 */
void settings_apply(const setting_t *table, void *live, const void *fresh,
                    GString *kept);

/**
 * settings_check_order() - check that one integer is at most another
 * @path: the file, for the message
 * @high: largest allowed value of @low_key; may be a fraction of @high_key
 * @error: names both keys, the found value and what is allowed
 */
bool settings_check_order(const char *path, const char *low_key, int64_t low,
                          const char *high_key, int64_t high, GError **error);

/**
 * address_parse() - check IPv4:PORT and split it
 * @host: 16 bytes, may be NULL
 */
bool address_parse(const char *text, char *host, uint16_t *port,
                   GError **error);

#ifdef __cplusplus
}
#endif

#endif
