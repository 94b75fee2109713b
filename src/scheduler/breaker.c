#include "breaker.h"

#include <glib.h>

/** Number of outcomes over which the counts decay. */
#define WINDOW_OUTCOMES 64.0

/** Number of failures above the tolerated share that causes an ejection. */
#define EXCESS_FAILURES 4.0

/** Share of failures that is always tolerated. */
#define MIN_FAILURE_SHARE 0.02

/** A failure share up to this multiple of the peers' failure share is tolerated. */
#define PEERS_FACTOR 2.0

/** Bounds of the ejection time, in milliseconds. */
#define MIN_EJECTION_MS 1000u
#define MAX_EJECTION_MS 60000u

/**
 * After this time in the closed state, in milliseconds, the next ejection lasts the minimum time
 * again.
 */
#define EJECTION_RESET_MS 60000

/** Successful probes in a row that close a half-open breaker. */
#define PROBES_TO_CLOSE 3u

/**
 * Largest share of the upstreams that may be ejected at the same time. One upstream may always be
 * ejected if another is not ejected.
 */
#define MAX_EJECTED_SHARE 0.3

void waxwing_breaker_init(struct waxwing_breaker *breaker)
{
	*breaker = (struct waxwing_breaker){ .state = WAXWING_BREAKER_CLOSED };
}

static void set_state(struct waxwing_breaker *breaker, enum waxwing_breaker_state state,
		      int64_t now_ms)
{
	breaker->state = state;
	breaker->state_since_ms = now_ms;
	breaker->failed = 0;
	breaker->total = 0;
	breaker->probe_successes = 0;
	breaker->probing = false;
}

static void eject(struct waxwing_breaker *breaker, int64_t now_ms)
{
	bool reset = breaker->state == WAXWING_BREAKER_CLOSED &&
		     now_ms - breaker->state_since_ms >= EJECTION_RESET_MS;

	if (reset || breaker->ejection_ms == 0)
		breaker->ejection_ms = MIN_EJECTION_MS;
	else
		breaker->ejection_ms = MIN(breaker->ejection_ms * 2, MAX_EJECTION_MS);
	set_state(breaker, WAXWING_BREAKER_OPEN, now_ms);
}

void waxwing_breaker_tick(struct waxwing_breaker *breaker, int64_t now_ms)
{
	if (now_ms >= waxwing_breaker_next_change_ms(breaker))
		set_state(breaker, WAXWING_BREAKER_HALF_OPEN, now_ms);
}

int64_t waxwing_breaker_next_change_ms(const struct waxwing_breaker *breaker)
{
	if (breaker->state != WAXWING_BREAKER_OPEN)
		return INT64_MAX;
	return breaker->state_since_ms + breaker->ejection_ms;
}

static void add_outcome(struct waxwing_breaker *breaker, double failed, double total)
{
	breaker->failed += failed - breaker->failed * total / WINDOW_OUTCOMES;
	breaker->total += total - breaker->total * total / WINDOW_OUTCOMES;
}

void waxwing_breaker_record_success(struct waxwing_breaker *breaker, int64_t now_ms)
{
	add_outcome(breaker, 0, 1);
	if (breaker->state != WAXWING_BREAKER_HALF_OPEN)
		return;
	breaker->probe_successes++;
	if (breaker->probe_successes >= PROBES_TO_CLOSE)
		set_state(breaker, WAXWING_BREAKER_CLOSED, now_ms);
}

static bool is_outlier(const struct waxwing_breaker *breaker, double peers_share)
{
	double tolerated = MAX(peers_share * PEERS_FACTOR, MIN_FAILURE_SHARE);

	return breaker->failed - breaker->total * tolerated >= EXCESS_FAILURES;
}

void waxwing_breaker_record_failure(struct waxwing_breaker *breaker, int64_t now_ms, double weight,
				    double peers_share, bool may_eject)
{
	add_outcome(breaker, weight, weight);
	switch (breaker->state) {
	case WAXWING_BREAKER_CLOSED:
		if (may_eject && is_outlier(breaker, peers_share))
			eject(breaker, now_ms);
		break;
	case WAXWING_BREAKER_HALF_OPEN:
		eject(breaker, now_ms);
		break;
	case WAXWING_BREAKER_OPEN:
		break;
	}
}

void waxwing_breaker_task_started(struct waxwing_breaker *breaker)
{
	breaker->probing = breaker->state == WAXWING_BREAKER_HALF_OPEN;
}

void waxwing_breaker_task_ended(struct waxwing_breaker *breaker)
{
	breaker->probing = false;
}

const char *waxwing_breaker_state_name(enum waxwing_breaker_state state)
{
	static const char *const names[] = {
		[WAXWING_BREAKER_CLOSED] = "closed",
		[WAXWING_BREAKER_OPEN] = "open",
		[WAXWING_BREAKER_HALF_OPEN] = "half-open",
	};

	return names[state];
}

bool waxwing_breaker_may_eject(size_t ejected, size_t count)
{
	size_t max = (size_t)((double)count * MAX_EJECTED_SHARE);

	return ejected < MAX(max, 1) && ejected + 1 < count;
}
