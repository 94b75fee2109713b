#include "breaker.h"

#include <glib.h>

/** Outcomes that a breaker remembers. */
#define WINDOW 64.0

/** Failures beyond what the peers would have had, for an ejection. */
#define EXCESS_FAILURES 4.0

/** Share of failures that is always let pass. */
#define LEAST_SHARE 0.02

/** An outlier fails this many times as often as its peers. */
#define PEERS_FACTOR 2.0

/** Pauses, in milliseconds. */
#define PAUSE_FIRST_MS 1000u
#define PAUSE_MOST_MS  60000u

/** After this time without an ejection, in milliseconds, pauses start small again. */
#define CALM_MS 60000

/** Successes in a row that close a half-open breaker. */
#define TRIES 3u

/** Most of the upstreams that may be ejected at once; one may always, beside another. */
#define MOST_EJECTED_SHARE 0.3

void waxwing_breaker_init(struct waxwing_breaker *breaker)
{
	*breaker = (struct waxwing_breaker){ .state = WAXWING_BREAKER_CLOSED };
}

static void enter(struct waxwing_breaker *breaker, enum waxwing_breaker_state state, int64_t now_ms)
{
	breaker->state = state;
	breaker->changed_ms = now_ms;
	breaker->failed = 0;
	breaker->total = 0;
	breaker->tried = 0;
	breaker->trying = false;
}

static void open(struct waxwing_breaker *breaker, int64_t now_ms)
{
	bool calm =
		breaker->state == WAXWING_BREAKER_CLOSED && now_ms - breaker->changed_ms >= CALM_MS;

	if (calm || breaker->pause_ms == 0)
		breaker->pause_ms = PAUSE_FIRST_MS;
	else
		breaker->pause_ms = MIN(breaker->pause_ms * 2, PAUSE_MOST_MS);
	enter(breaker, WAXWING_BREAKER_OPEN, now_ms);
}

void waxwing_breaker_tick(struct waxwing_breaker *breaker, int64_t now_ms)
{
	if (now_ms >= waxwing_breaker_next(breaker))
		enter(breaker, WAXWING_BREAKER_HALF_OPEN, now_ms);
}

int64_t waxwing_breaker_next(const struct waxwing_breaker *breaker)
{
	if (breaker->state != WAXWING_BREAKER_OPEN)
		return INT64_MAX;
	return breaker->changed_ms + breaker->pause_ms;
}

static void count(struct waxwing_breaker *breaker, double failed, double total)
{
	breaker->failed += failed - breaker->failed * total / WINDOW;
	breaker->total += total - breaker->total * total / WINDOW;
}

void waxwing_breaker_succeeded(struct waxwing_breaker *breaker, int64_t now_ms)
{
	count(breaker, 0, 1);
	if (breaker->state != WAXWING_BREAKER_HALF_OPEN)
		return;
	breaker->tried++;
	if (breaker->tried >= TRIES)
		enter(breaker, WAXWING_BREAKER_CLOSED, now_ms);
}

static bool is_outlier(const struct waxwing_breaker *breaker, double peers_share)
{
	double usual = MAX(peers_share * PEERS_FACTOR, LEAST_SHARE);

	return breaker->failed - breaker->total * usual >= EXCESS_FAILURES;
}

void waxwing_breaker_failed(struct waxwing_breaker *breaker, int64_t now_ms, double weight,
			    double peers_share, bool may_eject)
{
	count(breaker, weight, weight);
	switch (breaker->state) {
	case WAXWING_BREAKER_CLOSED:
		if (may_eject && is_outlier(breaker, peers_share))
			open(breaker, now_ms);
		break;
	case WAXWING_BREAKER_HALF_OPEN:
		open(breaker, now_ms);
		break;
	case WAXWING_BREAKER_OPEN:
		break;
	}
}

void waxwing_breaker_start(struct waxwing_breaker *breaker)
{
	breaker->trying = breaker->state == WAXWING_BREAKER_HALF_OPEN;
}

void waxwing_breaker_end(struct waxwing_breaker *breaker)
{
	breaker->trying = false;
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
	size_t most = (size_t)((double)count * MOST_EJECTED_SHARE);

	return ejected < MAX(most, 1) && ejected + 1 < count;
}
