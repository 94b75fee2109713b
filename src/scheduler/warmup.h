/**
 * Slow start and rate limit of an upstream that is slow for a while after its start (cold).
 *
 * While an upstream is cold, the number of tasks in flight there is limited: one at first, and one
 * more for each task that ended done, so that the limit doubles with each round. If a rate is set,
 * starts are also at least 1 / rate apart. No span, wherever it begins, then has more starts than
 * its length times the rate, plus one. A window of a fixed length would allow its whole allowance
 * at one instant. There is no limit once the upstream is warm.
 *
 * All functions take constant time. Times are milliseconds of the caller's clock. Not thread-safe.
 */
#ifndef WAXWING_WARMUP_H
#define WAXWING_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

/** Initialised with waxwing_warmup_init(). */
struct waxwing_warmup {
	int64_t cold_until_ms; /**< INT64_MIN: not known to have been cold */
	uint32_t limit; /**< tasks that may be in flight while cold */
	uint32_t in_flight;
	int64_t interval_ms; /**< shortest time between two starts while cold; 0: no rate is set */
	int64_t last_start_ms; /**< INT64_MIN: none */
	int64_t previous_start_ms; /**< the start before that */
};

/** Initialises a warm upstream. */
void waxwing_warmup_init(struct waxwing_warmup *warmup);

/**
 * The upstream has restarted: what was known of its warm-up and of its starts no longer applies.
 * Tasks in flight remain until they are reported as ended.
 */
void waxwing_warmup_restarted(struct waxwing_warmup *warmup);

/** Sets the rate of starts while cold, in thousandths per second; 0: no limit. */
void waxwing_warmup_set_rate(struct waxwing_warmup *warmup, uint32_t milli_starts_per_s);

/**
 * Sets until when the upstream is cold, as it reports it at @now_ms; at most @now_ms: it is warm.
 * An earlier time than before takes precedence. A slightly later one is ignored, since reports
 * arrive with varying delays. A much later one is a new cold phase, which begins with one task.
 */
void waxwing_warmup_set_cold(struct waxwing_warmup *warmup, int64_t now_ms, int64_t until_ms);

static inline bool waxwing_warmup_is_cold(const struct waxwing_warmup *warmup, int64_t now_ms)
{
	return now_ms < warmup->cold_until_ms;
}

/** Returns when the next task may start, as far as is known now; at most @now_ms: now. */
int64_t waxwing_warmup_next_start_ms(const struct waxwing_warmup *warmup, int64_t now_ms);

static inline bool waxwing_warmup_may_start(const struct waxwing_warmup *warmup, int64_t now_ms)
{
	return waxwing_warmup_next_start_ms(warmup, now_ms) <= now_ms;
}

/** Records a start, or a task that someone else has started before. */
void waxwing_warmup_started(struct waxwing_warmup *warmup, int64_t now_ms);

/** Assumes that someone else has started a task, which is not in flight any more. */
void waxwing_warmup_assume_start(struct waxwing_warmup *warmup, int64_t now_ms);

/**
 * The task of the last call of waxwing_warmup_started() was not sent, and does not count against the
 * rate. Its end is still to be reported.
 */
void waxwing_warmup_withdrawn(struct waxwing_warmup *warmup);

/** Records the end of a task. @done: it ran to its end, so the upstream can bear one more. */
void waxwing_warmup_ended(struct waxwing_warmup *warmup, bool done);

#endif
