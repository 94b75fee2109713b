/**
 * How many of the fastest free slots to leave to smaller jobs than the one at hand.
 *
 * Part of the scheduler. Jobs are told apart by the work they have left, an octave a class. The slots that
 * smaller jobs' swing needs stay free, so that short work does not find them taken by long work; the part
 * follows the mix. Slots are left idle beside a queue only where some would be idle anyway.
 */
#ifndef WAXWING_SCHEDULER_RESERVE_H
#define WAXWING_SCHEDULER_RESERVE_H

#include <stdint.h>

#define WAXWING_SIZE_CLASSES 24

struct waxwing_reserve {
	uint32_t used[WAXWING_SIZE_CLASSES]; /**< slots in use by jobs of a class */
	double usual[WAXWING_SIZE_CLASSES]; /**< the same, averaged over some seconds */
	uint32_t fast
		[WAXWING_SIZE_CLASSES]; /**< fastest slots left to smaller jobs, if there are others */
	uint32_t kept[WAXWING_SIZE_CLASSES]; /**< slots left to smaller jobs even so */
	int64_t updated_ms;
};

/** The class of a job that has this much work left. */
uint8_t waxwing_reserve_class(double work_ms);

/** Averages on to a time, with so many slots in all. */
void waxwing_reserve_update(struct waxwing_reserve *reserve, int64_t now_ms, uint64_t slots);

#endif
