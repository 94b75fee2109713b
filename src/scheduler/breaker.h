/**
 * Outlier ejection: an upstream that fails more than its peers gets no tasks for a while.
 *
 * A breaker counts faded successes and failures. Its owner gives it the failure share of the peers, so
 * that what fails everywhere ejects nobody, and says whether one more may be ejected. After a pause, one
 * task at a time is tried; pauses grow geometrically while tries fail. No clock; not thread-safe.
 */
#ifndef WAXWING_BREAKER_H
#define WAXWING_BREAKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum waxwing_breaker_state {
	WAXWING_BREAKER_CLOSED, /**< takes tasks */
	WAXWING_BREAKER_OPEN, /**< takes none until its pause is over */
	WAXWING_BREAKER_HALF_OPEN, /**< takes one task at a time */
};

struct waxwing_breaker {
	enum waxwing_breaker_state state;
	double failed; /**< faded */
	double total; /**< faded */
	uint32_t pause_ms; /**< of the last ejection; 0: none lately */
	int64_t changed_ms; /**< when the state was entered */
	uint32_t tried; /**< successes in a row while half-open */
	bool trying; /**< a task is out while half-open */
};

void waxwing_breaker_init(struct waxwing_breaker *breaker);

/** Lets time pass: an open breaker whose pause is over becomes half-open. */
void waxwing_breaker_tick(struct waxwing_breaker *breaker, int64_t now_ms);

/** When waxwing_breaker_tick() will change something; INT64_MAX: never. */
int64_t waxwing_breaker_next(const struct waxwing_breaker *breaker);

/** Notes a task that ended well. */
void waxwing_breaker_succeeded(struct waxwing_breaker *breaker, int64_t now_ms);

/**
 * Notes a failure; @weight tells how much it says of the upstream (1: all of it). @peers_share is
 * the failure share of the other upstreams, and @may_eject whether one more may be ejected.
 */
void waxwing_breaker_failed(struct waxwing_breaker *breaker, int64_t now_ms, double weight,
			    double peers_share, bool may_eject);

/** Says that a task starts, or that it ended, whatever came of it. */
void waxwing_breaker_start(struct waxwing_breaker *breaker);
void waxwing_breaker_end(struct waxwing_breaker *breaker);

/** How many of @slots may be in use. */
static inline uint32_t waxwing_breaker_slots(const struct waxwing_breaker *breaker, uint32_t slots)
{
	return breaker->state == WAXWING_BREAKER_CLOSED ? slots : 0;
}

/** True when a half-open breaker may be tried with a task. */
static inline bool waxwing_breaker_may_try(const struct waxwing_breaker *breaker)
{
	return breaker->state == WAXWING_BREAKER_HALF_OPEN && !breaker->trying;
}

/** The state's name, for dumps. Static. */
const char *waxwing_breaker_state_name(enum waxwing_breaker_state state);

/** True when one more of @count may be ejected beside @ejected. */
bool waxwing_breaker_may_eject(size_t ejected, size_t count);

#endif
