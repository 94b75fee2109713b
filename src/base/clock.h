/**
 * The one clock: milliseconds since a fixed, unnamed instant.
 *
 * Decision modules never read it; they take the time of an event as an argument, so that tests and
 * the bench run them in virtual time.
 */
#ifndef WAXWING_CLOCK_H
#define WAXWING_CLOCK_H

#include <stdint.h>

struct waxwing_clock;

/** What a kind of clock does. */
struct waxwing_clock_ops {
	/** Milliseconds, never decreasing. Any thread. */
	int64_t (*now)(const struct waxwing_clock *clock);
};

struct waxwing_clock {
	const struct waxwing_clock_ops *ops;
};

/** The time in milliseconds. Any thread. */
static inline int64_t waxwing_clock_now(const struct waxwing_clock *clock)
{
	return clock->ops->now(clock);
}

/** The machine's monotonic clock. Static; never freed. Any thread. */
const struct waxwing_clock *waxwing_clock_monotonic(void);

/** As the monotonic clock, but counts the time that the machine was suspended too. Any thread. */
const struct waxwing_clock *waxwing_clock_boottime(void);

/** Milliseconds since 1970, for schedules and logs only. Static; never freed. Any thread. */
const struct waxwing_clock *waxwing_clock_wall(void);

/** A clock that moves only when told to. Owned by the caller. */
struct waxwing_virtual_clock {
	struct waxwing_clock base;
	int64_t now_ms;
};

/** Sets a virtual clock up at @now_ms. */
void waxwing_virtual_clock_init(struct waxwing_virtual_clock *clock, int64_t now_ms);

#endif
