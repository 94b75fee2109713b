/**
 * The slots of one domain as a policy sees them that knows every run time, speed and end.
 *
 * Part of the clairvoyant policies. A plan says when each slot takes its next start: truly, and with what
 * is planned on top for tasks that are still held back. Times are those of the sim. Not thread-safe.
 */
#ifndef WAXWING_BENCH_PLAN_H
#define WAXWING_BENCH_PLAN_H

#include "bench_sim.h"

#include <glib.h>

struct waxwing_bench_plan {
	struct waxwing_bench_sim *sim; /**< not owned */
	uint32_t first; /**< upstream */
	uint32_t slots;
	int64_t *free_us; /**< when a start can be sent to each slot */
	int64_t *plan_us; /**< the same, with the planned tasks */
	uint32_t *holder; /**< task last started on each slot */
};

void waxwing_bench_plan_init(struct waxwing_bench_plan *plan, struct waxwing_bench_sim *sim,
			     uint32_t domain);
void waxwing_bench_plan_clear(struct waxwing_bench_plan *plan);

/** Forgets what was planned for tasks that are held back. */
void waxwing_bench_plan_begin(struct waxwing_bench_plan *plan);

/** Slots that take a start now. */
uint32_t waxwing_bench_plan_free(const struct waxwing_bench_plan *plan);

int64_t waxwing_bench_plan_run_us(const struct waxwing_bench_plan *plan, uint32_t slot,
				  uint32_t task);

/** When the task would end on the slot, after what is planned there. */
int64_t waxwing_bench_plan_end_us(const struct waxwing_bench_plan *plan, uint32_t slot,
				  uint32_t task);

/** The slot where the task ends first. */
uint32_t waxwing_bench_plan_earliest(const struct waxwing_bench_plan *plan, uint32_t task);

/** Starts the task if the slot is free, or plans it there; true when it was started. */
bool waxwing_bench_plan_place(struct waxwing_bench_plan *plan, uint32_t slot, uint32_t task);

/** Numbers of a job's tasks (uint32_t), the longest last; g_array_free(). */
GArray *waxwing_bench_plan_tasks(const struct waxwing_bench_workload *workload,
				 const struct waxwing_bench_job *job);

/** The issuer heard the end of a task that was started on an upstream. */
void waxwing_bench_plan_ended(struct waxwing_bench_plan *plan, uint32_t task);

#endif
