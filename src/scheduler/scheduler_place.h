/**
 * Placement: picks the next task and the free slot to start it in, if starting now is better than
 * waiting.
 *
 * Internal to the scheduler. Examines branches by fair share and their jobs by rank, a bounded
 * number of each.
 */
#ifndef WAXWING_SCHEDULER_PLACE_H
#define WAXWING_SCHEDULER_PLACE_H

#include "scheduler_queue.h"
#include "scheduler_slots.h"

/** A job whose next task starts and the upstream that it starts on. */
struct waxwing_placement {
	struct waxwing_queue_job *job;
	struct waxwing_slot_upstream *upstream;
};

/**
 * Finds the next task to start and its upstream.
 *
 * Returns false when no task is to start now. Sets *any_waiting when a task waits although a slot
 * is free.
 */
bool waxwing_find_placement(struct waxwing_queue *queue, const struct waxwing_slots *slots,
			    struct waxwing_placement *placement, bool *any_waiting);

#endif
