#include "base/text.h"

#include <glib.h>

void
text_replace(char **field, const char *value)
{
    if (g_strcmp0(*field, value) != 0) {
        g_free(*field);
        *field = g_strdup(value);
    }
}
