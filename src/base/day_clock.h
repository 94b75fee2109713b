/**
 * The time of day by the steady clock: what schedules count on while the machine's time of day jumps.
 */
#ifndef WAXWING_DAY_CLOCK_H
#define WAXWING_DAY_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed at the start. */
struct waxwing_day_clock {
	int64_t offset_ms; /**< time of day less the steady clock */
	int64_t jumped_ms; /**< steady time at which the time of day was first seen off; 0: it is not */
	bool known;
};

/**
 * Takes a reading of both clocks; returns the time of day less the steady clock. A jump is taken over only
 * when it has lasted.
 */
int64_t waxwing_day_clock_read(struct waxwing_day_clock *clock, int64_t steady_ms, int64_t day_ms);

#endif
