#ifndef TEASEL_CONFIG_CANONICAL_JSON_H
#define TEASEL_CONFIG_CANONICAL_JSON_H

#include <glib.h>
#include <json-c/json.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * canonical_json_write() - append the canonical text of a JSON value
 * @out: receives the text, without white space and with object keys sorted by
 *     byte value
 *
 * Equal values give equal text, whatever the key order and the layout of the
 * source.
 */
void canonical_json_write(struct json_object *value, GString *out);

/**
 * canonical_json_parse() - parse one JSON value in strict mode
 * @max_length: longest text that is accepted, in bytes
 * @what: name of the input, for error messages
 * @error: ERROR_TOO_LARGE, or ERROR_INVALID with the line of the fault
 *
 * Return: the value, to be released with json_object_put(), or NULL on error.
 * A bare null is an error.
 */
struct json_object *canonical_json_parse(const char *text, size_t length,
                                         size_t max_length, const char *what,
                                         GError **error);

#ifdef __cplusplus
}
#endif

#endif
