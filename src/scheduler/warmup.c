#include "warmup.h"

#include <glib.h>

/** Interval in milliseconds at a rate of one thousandth per second. */
#define MILLI_RATE_INTERVAL_MS 1000000

/**
 * A reported end of the cold phase that is later than the known one by at most this is a delayed
 * report. Longer than the interval of reports (1,500 ms) and the time to read one.
 */
#define REPORT_DELAY_MS 2000

void waxwing_warmup_init(struct waxwing_warmup *warmup)
{
	*warmup = (struct waxwing_warmup){ 0 };
	waxwing_warmup_restarted(warmup);
}

void waxwing_warmup_restarted(struct waxwing_warmup *warmup)
{
	warmup->cold_until_ms = INT64_MIN;
	warmup->limit = 1;
	warmup->last_start_ms = INT64_MIN;
	warmup->previous_start_ms = INT64_MIN;
}

void waxwing_warmup_set_rate(struct waxwing_warmup *warmup, uint32_t milli_starts_per_s)
{
	/* rounded up: the rate is not exceeded */
	warmup->interval_ms = milli_starts_per_s ?
				      ((int64_t)MILLI_RATE_INTERVAL_MS + milli_starts_per_s - 1) /
					      milli_starts_per_s :
				      0;
}

void waxwing_warmup_set_cold(struct waxwing_warmup *warmup, int64_t now_ms, int64_t until_ms)
{
	bool was_cold = waxwing_warmup_is_cold(warmup, now_ms);

	if (until_ms <= now_ms) {
		warmup->cold_until_ms = MIN(warmup->cold_until_ms, now_ms);
		return;
	}
	if (warmup->cold_until_ms != INT64_MIN && until_ms > warmup->cold_until_ms &&
	    until_ms - warmup->cold_until_ms <= REPORT_DELAY_MS)
		return;
	warmup->cold_until_ms = until_ms;
	if (!was_cold)
		warmup->limit = 1;
}

int64_t waxwing_warmup_next_start_ms(const struct waxwing_warmup *warmup, int64_t now_ms)
{
	int64_t next_ms = now_ms;

	if (!waxwing_warmup_is_cold(warmup, now_ms))
		return now_ms;
	if (warmup->in_flight >= warmup->limit)
		return warmup->cold_until_ms;
	if (warmup->interval_ms && warmup->last_start_ms != INT64_MIN)
		next_ms = MAX(next_ms, warmup->last_start_ms + warmup->interval_ms);
	return MIN(next_ms, warmup->cold_until_ms);
}

void waxwing_warmup_started(struct waxwing_warmup *warmup, int64_t now_ms)
{
	warmup->in_flight++;
	waxwing_warmup_assume_start(warmup, now_ms);
}

void waxwing_warmup_assume_start(struct waxwing_warmup *warmup, int64_t now_ms)
{
	warmup->previous_start_ms = warmup->last_start_ms;
	warmup->last_start_ms = now_ms;
}

void waxwing_warmup_withdrawn(struct waxwing_warmup *warmup)
{
	warmup->last_start_ms = warmup->previous_start_ms;
}

void waxwing_warmup_ended(struct waxwing_warmup *warmup, bool done)
{
	warmup->in_flight--;
	if (done && warmup->limit < UINT32_MAX)
		warmup->limit++;
}
