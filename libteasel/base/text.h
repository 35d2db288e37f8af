#ifndef TEASEL_BASE_TEXT_H
#define TEASEL_BASE_TEXT_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * text_replace() - replace a string by a copy of another if they differ
 * @field: string that the caller owns, or NULL
 * @value: may be NULL
 */
void text_replace(char **field, const char *value);

#ifdef __cplusplus
}
#endif

#endif
