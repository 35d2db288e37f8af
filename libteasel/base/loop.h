#ifndef TEASEL_BASE_LOOP_H
#define TEASEL_BASE_LOOP_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct loop loop_t;
typedef struct loop_timer loop_timer_t;
typedef void (*loop_timer_cb)(loop_timer_t *timer);
typedef void (*loop_signal_cb)(int signal_number, void *data);

/**
 * struct loop_timer - one-shot timer, embedded in its owner
 * @cb: called once when the delay has passed
 * @data: for use by the owner
 */
struct loop_timer {
    loop_t *loop;
    loop_timer_cb cb;
    void *data;
    GSequenceIter *place; /* among the active timers; NULL if not active */
    int64_t due_us;
    uint64_t number; /* the order in which timers were started */
};

/**
 * loop_new() - create a loop whose timers follow the monotonic clock of the
 * system, whatever becomes of the time of day
 */
loop_t *loop_new(void);

/**
 * loop_new_on() - like loop_new(), with another clock for the timers
 */
loop_t *loop_new_on(const clock_source_t *clock);
void loop_free(loop_t *loop);

/**
 * loop_run() - run until loop_stop() is called
 */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/**
 * loop_run_once() - run one iteration, waiting at most @max_wait_ms for an
 * event
 */
void loop_run_once(loop_t *loop, int max_wait_ms);

h2o_loop_t *loop_get_h2o(loop_t *loop);

/**
 * loop_get_now_ms() - return the time by the clock of the timers
 */
int64_t loop_get_now_ms(const loop_t *loop);

/**
 * loop_get_h2o_limit_ms() - return a time limit for h2o itself, so long that
 * timers of the loop decide
 *
 * h2o counts its limits by the time of day, and takes one that is longer than
 * the time since 1970 as passed. Half of that time remains.
 */
uint64_t loop_get_h2o_limit_ms(const loop_t *loop);

/**
 * loop_on_signals() - call @cb from the loop on SIGTERM, SIGINT and SIGHUP,
 * and ignore SIGPIPE
 */
bool loop_on_signals(loop_t *loop, loop_signal_cb cb, void *data,
                     GError **error);

void loop_timer_init(loop_timer_t *timer, loop_t *loop, loop_timer_cb cb,
                     void *data);

/**
 * loop_timer_start() - start or restart a timer
 * @ms: delay; the timer never runs out before
 */
void loop_timer_start(loop_timer_t *timer, uint64_t ms);
void loop_timer_stop(loop_timer_t *timer);
bool loop_timer_is_active(const loop_timer_t *timer);

#ifdef __cplusplus
}
#endif

#endif
