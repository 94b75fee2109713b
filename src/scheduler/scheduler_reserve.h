/**
 * Reservation of free slots for smaller jobs.
 *
 * Internal to the scheduler. Jobs are classified by their remaining work, one class per power of
 * two. To keep short tasks from waiting behind long ones, a job leaves slots free for jobs that are
 * several classes smaller. The number of these slots covers the variation of the smaller jobs' load
 * and is computed from their average use of slots. Slots stay idle while tasks are queued only if
 * some slots are idle on average.
 */
#ifndef WAXWING_SCHEDULER_RESERVE_H
#define WAXWING_SCHEDULER_RESERVE_H

#include <stdint.h>

#define WAXWING_SIZE_CLASSES 24

struct waxwing_reserve {
	uint32_t used[WAXWING_SIZE_CLASSES]; /**< slots in use by jobs of each class */
	double mean_used[WAXWING_SIZE_CLASSES]; /**< moving average of @used over some seconds */
	/**
	 * Number of the fastest free slots that a job of the class skips while slower ones are
	 * free.
	 */
	uint32_t skip_fastest[WAXWING_SIZE_CLASSES];
	/**
	 * Number of free slots, slow ones excluded, that a job of the class leaves free even if it
	 * must wait.
	 */
	uint32_t keep_free[WAXWING_SIZE_CLASSES];
	int64_t updated_ms; /**< time of the last update */
};

/** Returns the class of a job with this much remaining work. */
uint8_t waxwing_reserve_class(double work_ms);

/** Updates the averages and reservations; @slots is the number of all slots. */
void waxwing_reserve_update(struct waxwing_reserve *reserve, int64_t now_ms, uint64_t slots);

#endif
