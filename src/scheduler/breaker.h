/**
 * Circuit breaker for outlier ejection: an upstream that fails more than its peers gets no tasks
 * for a while.
 *
 * A breaker keeps exponentially decayed counts of successes and failures. The caller passes the
 * failure share of the peers, so that a fault common to all upstreams ejects none, and whether
 * one more upstream may be ejected. After the ejection time, the breaker lets through one task at
 * a time as a probe; ejection times double while probes fail. Times are milliseconds of the
 * caller's clock. Not thread-safe.
 */
#ifndef WAXWING_BREAKER_H
#define WAXWING_BREAKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum waxwing_breaker_state {
	WAXWING_BREAKER_CLOSED, /**< tasks may start */
	WAXWING_BREAKER_OPEN, /**< ejected: no tasks until the ejection time is over */
	WAXWING_BREAKER_HALF_OPEN, /**< one task at a time, as a probe */
};

struct waxwing_breaker {
	enum waxwing_breaker_state state;
	double failed; /**< weighted failures, decayed */
	double total; /**< weighted outcomes, decayed */
	uint32_t ejection_ms; /**< length of the last ejection; 0: never ejected */
	int64_t state_since_ms; /**< time of the last change of state */
	uint32_t probe_successes; /**< successful probes in a row while half-open */
	bool probing; /**< a probe is running */
};

void waxwing_breaker_init(struct waxwing_breaker *breaker);

/** Makes an open breaker half-open when its ejection time is over. */
void waxwing_breaker_tick(struct waxwing_breaker *breaker, int64_t now_ms);

/** Returns when waxwing_breaker_tick() next changes the state; INT64_MAX: never. */
int64_t waxwing_breaker_next_change_ms(const struct waxwing_breaker *breaker);

/** Records a task that succeeded. */
void waxwing_breaker_record_success(struct waxwing_breaker *breaker, int64_t now_ms);

/**
 * Records a failure. @weight, 0 to 1, is the degree to which the upstream, not the job, is at
 * fault. @peers_share is the failure share of the other upstreams, and @may_eject whether one more
 * may be ejected.
 */
void waxwing_breaker_record_failure(struct waxwing_breaker *breaker, int64_t now_ms, double weight,
				    double peers_share, bool may_eject);

/** Record the start of a task, and its end whatever the outcome. */
void waxwing_breaker_task_started(struct waxwing_breaker *breaker);
void waxwing_breaker_task_ended(struct waxwing_breaker *breaker);

/**
 * Returns how many of @slots tasks may use: all if the breaker is closed, else 0. Probes are not
 * counted.
 */
static inline uint32_t waxwing_breaker_slots(const struct waxwing_breaker *breaker, uint32_t slots)
{
	return breaker->state == WAXWING_BREAKER_CLOSED ? slots : 0;
}

/** Returns whether a half-open breaker may start a probe. */
static inline bool waxwing_breaker_may_probe(const struct waxwing_breaker *breaker)
{
	return breaker->state == WAXWING_BREAKER_HALF_OPEN && !breaker->probing;
}

/** Returns the name of a state for dumps, a static string. */
const char *waxwing_breaker_state_name(enum waxwing_breaker_state state);

/** Returns whether one more of @count upstreams may be ejected when @ejected already are. */
bool waxwing_breaker_may_eject(size_t ejected, size_t count);

#endif
