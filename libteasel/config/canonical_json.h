#ifndef TEASEL_CONFIG_CANONICAL_JSON_H
#define TEASEL_CONFIG_CANONICAL_JSON_H

#include <glib.h>
#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * canonical_json_write() - append a value without spaces, keys sorted
 *
 * Equal values give equal text, whatever the order and layout of the source.
 */
void canonical_json_write(struct json_object *value, GString *out);

/**
 * canonical_json_parse() - parse strict JSON
 * @max_length: longer texts are refused
 * @what: named in errors
 * @error: names the line
 */
struct json_object *canonical_json_parse(const char *text, size_t length,
                                         size_t max_length, const char *what,
                                         GError **error);

#ifdef __cplusplus
}
#endif

#endif
