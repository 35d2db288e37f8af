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
    SETTING_TEXT,         /* char *, may be empty */
} setting_type_t;

/**
 * struct setting - one key of a settings file
 * @key: name in the file
 * @type: type of the value and of the field
 * @offset: offset of the field in the settings struct
 * @required: a missing key is an error
 * @min: smallest valid integer
 * @max: largest valid integer
 * @default_value: default of an integer or boolean
 * @default_string: default of a string, choice or address; may be NULL
 * @choices: NULL-terminated list of the values of a SETTING_CHOICE
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
 * settings_load() - read a settings file, which is JSON with comments
 * @path: path of the file
 * @table: the valid keys; terminated by a NULL key
 * @out: zeroed settings struct, filled in according to @table
 * @error: names the file, the line or key, the value found and those allowed
 *
 * Return: false with @error set; nothing is then left allocated in @out.
 */
bool settings_load(const char *path, const setting_t *table, void *out,
                   GError **error);

/**
 * settings_clear() - free what settings_load() allocated in @out
 */
void settings_clear(const setting_t *table, void *out);

/**
 * settings_apply() - copy the integers and booleans of a reloaded file
 * @live: settings in use, to be updated
 * @fresh: settings read from the changed file
 * @kept: the keys of strings that differ are appended, separated by commas;
 *     these strings keep their old value
 *
 * Lists are neither copied nor compared.
 */
void settings_apply(const setting_t *table, void *live, const void *fresh,
                    GString *kept);

/**
 * settings_check_order() - check that one integer does not exceed another
 * @path: path of the file, for the error message
 * @high: largest valid value of @low_key; may be a fraction of @high_key
 * @error: names both keys, the value found and the largest one allowed
 */
bool settings_check_order(const char *path, const char *low_key, int64_t low,
                          const char *high_key, int64_t high, GError **error);

/**
 * address_parse() - parse an IPv4:PORT address
 * @host: buffer of 16 bytes, or NULL
 * @port: may be NULL
 */
bool address_parse(const char *text, char *host, uint16_t *port,
                   GError **error);

#ifdef __cplusplus
}
#endif

#endif
