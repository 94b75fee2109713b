/**
 * Clocks: time in milliseconds since an epoch that depends on the clock.
 *
 * The scheduling modules never read a clock; they take the current time as an argument, so that
 * tests and the benchmark can run them in virtual time.
 */
#ifndef WAXWING_CLOCK_H
#define WAXWING_CLOCK_H

#include <stdint.h>

struct waxwing_clock;

/** The operations of a clock type. */
struct waxwing_clock_ops {
	/** Returns the time in milliseconds. Any thread. */
	int64_t (*now)(const struct waxwing_clock *clock);
};

struct waxwing_clock {
	const struct waxwing_clock_ops *ops;
};

/** Returns the time in milliseconds. Any thread. */
static inline int64_t waxwing_clock_now(const struct waxwing_clock *clock)
{
	return clock->ops->now(clock);
}

/** CLOCK_MONOTONIC. Static; never freed. Any thread. */
const struct waxwing_clock *waxwing_clock_monotonic(void);

/**
 * CLOCK_BOOTTIME: monotonic, and includes the time spent in suspend. Static; never freed. Any
 * thread.
 */
const struct waxwing_clock *waxwing_clock_boottime(void);

/**
 * CLOCK_REALTIME, in milliseconds since 1970. It can be stepped, so use it for schedules and logs
 * only. Static; never freed. Any thread.
 */
const struct waxwing_clock *waxwing_clock_wall(void);

/** A clock that advances only when the caller changes now_ms. Owned by the caller. */
struct waxwing_virtual_clock {
	struct waxwing_clock base;
	int64_t now_ms;
};

/** Initialises a virtual clock to @now_ms. */
void waxwing_virtual_clock_init(struct waxwing_virtual_clock *clock, int64_t now_ms);

#endif
