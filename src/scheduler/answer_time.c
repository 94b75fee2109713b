#include "answer_time.h"

#include <glib.h>

/** Length of a period, in milliseconds. The current and the previous period are taken together. */
#define PERIOD_MS 5000
/** Number of answers below which the longest timeout applies. */
#define MIN_ANSWERS 50
/** Largest share of answers that may take longer than the quantile. */
#define SLOWER_SHARE	0.01
#define QUANTILE_FACTOR 4
/** Shortest timeout: pauses of either process are not taken for lost answers. */
#define MIN_TIMEOUT_MS 40
/**
 * If calls were given up this often, relative to answered ones, the answers have become slower than
 * the timeout. Measured shares of lost answers are about 0.06.
 */
#define MAX_GIVEN_UP_SHARE 0.2

static void start_period(struct waxwing_answer_time *times, int64_t now_ms)
{
	int64_t passed_ms = now_ms - times->period_start_ms;

	if (passed_ms < PERIOD_MS)
		return;
	times->previous =
		passed_ms < 2 * PERIOD_MS ? times->current : (struct waxwing_answer_period){ 0 };
	times->current = (struct waxwing_answer_period){ 0 };
	times->period_start_ms = now_ms;
}

void waxwing_answer_time_add(struct waxwing_answer_time *times, int64_t now_ms, int64_t took_ms)
{
	start_period(times, now_ms);
	times->current.counts[CLAMP(took_ms, 0, WAXWING_ANSWER_TIME_BUCKETS - 1)]++;
	times->current.answered++;
}

void waxwing_answer_time_add_given_up(struct waxwing_answer_time *times, int64_t now_ms)
{
	start_period(times, now_ms);
	times->current.given_up++;
}

int64_t waxwing_answer_time_timeout_ms(struct waxwing_answer_time *times, int64_t now_ms,
				       int64_t longest_ms)
{
	uint32_t answered;
	uint32_t slower = 0;
	int64_t quantile_ms = WAXWING_ANSWER_TIME_BUCKETS - 1;

	start_period(times, now_ms);
	answered = times->current.answered + times->previous.answered;
	if (answered < MIN_ANSWERS ||
	    times->current.given_up + times->previous.given_up > answered * MAX_GIVEN_UP_SHARE)
		return longest_ms;
	for (; quantile_ms > 0; quantile_ms--) {
		slower += times->current.counts[quantile_ms] + times->previous.counts[quantile_ms];
		if (slower > answered * SLOWER_SHARE)
			break;
	}
	/* longer answer times are not told apart */
	if (quantile_ms == WAXWING_ANSWER_TIME_BUCKETS - 1)
		return longest_ms;
	return MIN(MAX(quantile_ms * QUANTILE_FACTOR, MIN_TIMEOUT_MS), longest_ms);
}
