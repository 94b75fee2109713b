/**
 * Placement: which queued task goes to which free slot, or that all of them had better wait.
 *
 * Part of the scheduler. Branches are looked at by fair share, jobs by rank, and only so many of them.
 */
#ifndef WAXWING_SCHEDULER_PLACE_H
#define WAXWING_SCHEDULER_PLACE_H

#include "scheduler_queue.h"
#include "scheduler_slots.h"

/** A job's next task and where it goes. */
struct waxwing_placement {
	struct waxwing_queue_job *job;
	struct waxwing_slot_upstream *upstream;
};

/**
 * Finds the next task to start and its upstream.
 *
 * Returns false when nothing is to start now; *held says whether a task waits though a slot is free.
 */
bool waxwing_place(struct waxwing_queue *queue, const struct waxwing_slots *slots,
		   struct waxwing_placement *placement, bool *held);

#endif
