/**
 * Learns how long calls take to be answered, and derives from it how long to wait for an answer.
 *
 * Keeps a histogram of the recent answer times, at a constant cost for each answer. Times are
 * milliseconds of the caller's clock. Not thread-safe.
 */
#ifndef WAXWING_ANSWER_TIME_H
#define WAXWING_ANSWER_TIME_H

#include <stdint.h>

/** Answer times from this number of milliseconds on are not told apart. */
#define WAXWING_ANSWER_TIME_BUCKETS 96

/** Answers within one period. */
struct waxwing_answer_period {
	uint32_t counts[WAXWING_ANSWER_TIME_BUCKETS]; /**< by milliseconds; the last: all longer */
	uint32_t answered;
	uint32_t given_up; /**< calls that were given up before the longest timeout */
};

struct waxwing_answer_time {
	struct waxwing_answer_period current;
	struct waxwing_answer_period previous;
	int64_t period_start_ms;
};

/** Records an answer after @took_ms, without the time that the call asked its server to wait. */
void waxwing_answer_time_add(struct waxwing_answer_time *times, int64_t now_ms, int64_t took_ms);

/** Records a call that was given up after less than the longest timeout. */
void waxwing_answer_time_add_given_up(struct waxwing_answer_time *times, int64_t now_ms);

/**
 * Returns how long to wait for an answer, at most @longest_ms: a multiple of a high quantile of the
 * recent answer times. It is @longest_ms while few answers are known, or while so many calls are
 * given up that the server is rather slow than silent.
 */
int64_t waxwing_answer_time_timeout_ms(struct waxwing_answer_time *times, int64_t now_ms,
				       int64_t longest_ms);

#endif
