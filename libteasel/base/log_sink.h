#ifndef TEASEL_BASE_LOG_SINK_H
#define TEASEL_BASE_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Lines on their way to a file descriptor that may not take them. Writing
 * never blocks: lines wait in a buffer of fixed size, and lines that do not
 * fit are dropped and counted, those of less importance first.
 */

typedef struct log_sink log_sink_t;

/**
 * log_sink_new() - a sink of a file descriptor, which is not closed
 * @size: bytes of the buffer
 */
log_sink_t *log_sink_new(int fd, size_t size);
void log_sink_free(log_sink_t *sink);

/**
 * log_sink_add() - add a line
 * @important: may use the last quarter of the buffer
 *
 * Return: false if it was dropped
 */
bool log_sink_add(log_sink_t *sink, const char *line, size_t length,
                  bool important);

/**
 * log_sink_flush() - write what the descriptor takes at once
 *
 * Return: true if nothing is left
 */
bool log_sink_flush(log_sink_t *sink);

/**
 * log_sink_take_dropped() - lines dropped since the last call
 *
 * Return: 0 while there is no room to tell of them
 */
uint64_t log_sink_take_dropped(log_sink_t *sink);

size_t log_sink_get_pending(const log_sink_t *sink);

#ifdef __cplusplus
}
#endif

#endif
