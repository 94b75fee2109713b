/**
 * Structured lines on standard output: one JSON object each, for decisions and changes of belief.
 *
 * Never blocks: a line that a full pipe does not take is dropped and counted. Each kind of line has a
 * budget a second; what passes it is counted in the next line of that kind. One thread.
 */
#ifndef WAXWING_EVENT_LOG_H
#define WAXWING_EVENT_LOG_H

#include "clock.h"

#include <stdint.h>

/** Sets what each line says of its process. Without it nothing is written. */
void waxwing_event_log_open(const char *node, const char *zone);

/** Takes all times from @clock in place of the machine's clocks: for tests in virtual time. */
void waxwing_event_log_set_clock(const struct waxwing_clock *clock);

/**
 * Writes one line. @kind must be a literal; @format gives "key=value" pairs divided by spaces, the
 * values without spaces. Numbers are written as numbers, other values as strings.
 */
void waxwing_event(const char *kind, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Lines dropped since the start, for want of room or budget. */
uint64_t waxwing_event_log_dropped(void);

#endif
