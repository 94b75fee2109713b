#include "scheduler_reserve.h"

#include <glib.h>
#include <math.h>

/** Time constant of the average use of slots, in milliseconds. */
#define AVERAGE_MS 5000.0

/**
 * Slots reserved for variation of the load, as a multiple of the square root of the average use.
 */
#define VARIATION_FACTOR 0.7

/**
 * NEXT_JOB_SLOTS are reserved for the next smaller job. Such a job is expected only if smaller jobs
 * use more than MIN_MEAN_USED slots on average.
 */
#define NEXT_JOB_SLOTS 2.0
#define MIN_MEAN_USED  0.05

/** Slots are reserved only for jobs that are smaller by at least this many classes. */
#define MIN_CLASS_DISTANCE 3

/** Large jobs leave free at most this share of the slots that are idle on average. */
#define MAX_IDLE_SHARE 0.5

uint8_t waxwing_reserve_class(double work_ms)
{
	double octave = log2(MAX(work_ms, 1));

	return (uint8_t)MIN(octave, WAXWING_SIZE_CLASSES - 1);
}

static uint32_t slots_to_reserve(double mean_used)
{
	if (mean_used <= MIN_MEAN_USED)
		return 0;
	return (uint32_t)(NEXT_JOB_SLOTS + VARIATION_FACTOR * sqrt(mean_used));
}

void waxwing_reserve_update(struct waxwing_reserve *reserve, int64_t now_ms, uint64_t slots)
{
	double elapsed_ms = (double)(now_ms - reserve->updated_ms);
	double share = 1 - exp(-elapsed_ms / AVERAGE_MS);
	double smaller = 0; /* average use by jobs smaller by at least MIN_CLASS_DISTANCE */
	double all = 0;
	uint32_t idle;

	if (elapsed_ms <= 0)
		return;
	reserve->updated_ms = now_ms;
	for (size_t i = 0; i < WAXWING_SIZE_CLASSES; i++) {
		reserve->mean_used[i] += share * (reserve->used[i] - reserve->mean_used[i]);
		reserve->skip_fastest[i] = slots_to_reserve(smaller);
		all += reserve->mean_used[i];
		if (i + 1 >= MIN_CLASS_DISTANCE)
			smaller += reserve->mean_used[i + 1 - MIN_CLASS_DISTANCE];
	}
	idle = (uint32_t)(MAX((double)slots - all, 0) * MAX_IDLE_SHARE);
	for (size_t i = 0; i < WAXWING_SIZE_CLASSES; i++)
		reserve->keep_free[i] = MIN(reserve->skip_fastest[i], idle);
}
