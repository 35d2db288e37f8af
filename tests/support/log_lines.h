#ifndef TEASEL_TESTS_LOG_LINES_H
#define TEASEL_TESTS_LOG_LINES_H

#include <cstring>
#include <string>
#include <vector>

#include <glib.h>

/* The log lines of this process since keep_log_lines(), as "event-name
   details". */
inline std::vector<std::string> &
log_lines()
{
    static std::vector<std::string> lines;

    return lines;
}

inline GLogWriterOutput
keep_log_line(GLogLevelFlags, const GLogField *fields, gsize count, gpointer)
{
    std::string name;
    std::string message;

    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "EVENT_NAME") == 0) {
            name = static_cast<const char *>(fields[i].value);
        }
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = static_cast<const char *>(fields[i].value);
        }
    }
    log_lines().push_back(name + " " + message);
    return G_LOG_WRITER_HANDLED;
}

/* GLib allows one log writer for each process. */
inline void
keep_log_lines()
{
    static bool is_set = false;

    if (!is_set) {
        is_set = true;
        g_log_set_writer_func(keep_log_line, nullptr, nullptr);
    }
    log_lines().clear();
}

inline std::vector<std::string>
lines_of(const std::string &event)
{
    std::vector<std::string> found;

    for (const std::string &line : log_lines()) {
        if (line.rfind(event + " ", 0) == 0) {
            found.push_back(line);
        }
    }
    return found;
}

#endif
