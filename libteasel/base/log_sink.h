#ifndef TEASEL_BASE_LOG_SINK_H
#define TEASEL_BASE_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Buffered log output that never blocks. Lines are kept in a buffer of fixed
 * size while the file descriptor is not writable. Lines that do not fit are
 * dropped and counted; the last quarter of the buffer is reserved for
 * important lines.
 */

typedef struct log_sink log_sink_t;

/**
 * log_sink_new() - create a sink for a file descriptor
 * @fd: remains owned by the caller; not closed by log_sink_free()
 * @size: size of the buffer in bytes
 */
log_sink_t *log_sink_new(int fd, size_t size);
void log_sink_free(log_sink_t *sink);

/**
 * log_sink_add() - add a line to the buffer
 * @important: the line may use the last quarter of the buffer
 *
 * Return: false if the line was dropped.
 */
bool log_sink_add(log_sink_t *sink, const char *line, size_t length,
                  bool important);

/**
 * log_sink_flush() - write as much as possible without blocking
 *
 * Return: true if the buffer is empty.
 */
bool log_sink_flush(log_sink_t *sink);

/**
 * log_sink_take_dropped() - return and reset the number of dropped lines
 *
 * Return: 0, without a reset, while more than half of the buffer is in use: a
 * report of the loss might not fit.
 */
uint64_t log_sink_take_dropped(log_sink_t *sink);

/**
 * log_sink_get_pending() - return the number of buffered bytes
 */
size_t log_sink_get_pending(const log_sink_t *sink);

#ifdef __cplusplus
}
#endif

#endif
