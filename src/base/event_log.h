/**
 * Event log on standard output, one JSON object a line, for decisions and changes of state.
 *
 * Writing never blocks: a line that does not fit into a full pipe is dropped and counted. Each
 * event kind is limited to a number of lines a second; the next line written of that kind reports
 * how many were suppressed. Not thread-safe.
 */
#ifndef WAXWING_EVENT_LOG_H
#define WAXWING_EVENT_LOG_H

#include "clock.h"

#include <stdint.h>

/**
 * Opens the log and sets the node and zone that each line carries. No line is written before this
 * call.
 */
void waxwing_event_log_open(const char *node, const char *zone);

/**
 * Takes all times from @clock instead of the system clocks, for tests in virtual time; null
 * restores the system clocks.
 */
void waxwing_event_log_set_clock(const struct waxwing_clock *clock);

/**
 * Writes one line. @kind must be a string literal, since its address identifies the kind. @format
 * gives "key=value" pairs separated by spaces; values contain no spaces. Decimal integers of up to
 * 15 characters without leading zeros are written as JSON numbers, other values as strings.
 */
void waxwing_event(const char *kind, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** Number of lines dropped since the start because of a full pipe or the rate limit. */
uint64_t waxwing_event_log_dropped(void);

#endif
