#include "scheduler_reserve.h"

#include <glib.h>
#include <math.h>

/** Time over which the use of slots is averaged, in milliseconds. */
#define AVERAGE_MS 5000.0

/** Slots left for the swing of smaller jobs, in square roots of what they usually use. */
#define SWING 0.7

/** Slots left for the next smaller job, and least use that makes one likely, in slots. */
#define NEXT_JOB  2.0
#define LEAST_USE 0.05

/** Classes by which a job is smaller for slots to be left to it. */
#define FAR_SMALLER 3

/** Most of the usually idle slots that are kept from large jobs. */
#define KEPT_SHARE 0.5

uint8_t waxwing_reserve_class(double work_ms)
{
	double octave = log2(MAX(work_ms, 1));

	return (uint8_t)MIN(octave, WAXWING_SIZE_CLASSES - 1);
}

static uint32_t swing(double usual)
{
	if (usual <= LEAST_USE)
		return 0;
	return (uint32_t)(NEXT_JOB + SWING * sqrt(usual));
}

void waxwing_reserve_update(struct waxwing_reserve *reserve, int64_t now_ms, uint64_t slots)
{
	double past_ms = (double)(now_ms - reserve->updated_ms);
	double share = 1 - exp(-past_ms / AVERAGE_MS);
	double smaller = 0; /* use by jobs far smaller than the class */
	double all = 0;
	uint32_t idle;

	if (past_ms <= 0)
		return;
	reserve->updated_ms = now_ms;
	for (size_t i = 0; i < WAXWING_SIZE_CLASSES; i++) {
		reserve->usual[i] += share * (reserve->used[i] - reserve->usual[i]);
		reserve->fast[i] = swing(smaller);
		all += reserve->usual[i];
		if (i + 1 >= FAR_SMALLER)
			smaller += reserve->usual[i + 1 - FAR_SMALLER];
	}
	idle = (uint32_t)(MAX((double)slots - all, 0) * KEPT_SHARE);
	for (size_t i = 0; i < WAXWING_SIZE_CLASSES; i++)
		reserve->kept[i] = MIN(reserve->fast[i], idle);
}
