/**
 * Occupancy of the slots of one domain, for policies that know all run times, speeds and
 * completion times.
 *
 * Part of the clairvoyant policies. Holds two times for each slot: when the next task can be sent
 * after the started tasks, and when after the planned tasks as well. Times are in simulation time.
 * Not thread-safe.
 */
#ifndef WAXWING_BENCH_SLOT_PLAN_H
#define WAXWING_BENCH_SLOT_PLAN_H

#include "bench_sim.h"

#include <glib.h>

struct waxwing_bench_slot_plan {
	struct waxwing_bench_sim *sim; /**< simulation that owns the slots */
	uint32_t first_upstream;
	uint32_t slot_count;
	int64_t *free_at_us; /**< by slot: when the next task can be sent */
	int64_t *planned_free_us; /**< by slot: when the next task can follow the planned ones */
	uint32_t *last_task; /**< by slot: last started task; valid if free_at_us is above 0 */
};

void waxwing_bench_slot_plan_init(struct waxwing_bench_slot_plan *plan,
				  struct waxwing_bench_sim *sim, uint32_t domain);
void waxwing_bench_slot_plan_clear(struct waxwing_bench_slot_plan *plan);

/** Discards the planned tasks. */
void waxwing_bench_slot_plan_reset(struct waxwing_bench_slot_plan *plan);

/** Number of slots that can take a task now. */
uint32_t waxwing_bench_slot_plan_count_free(const struct waxwing_bench_slot_plan *plan);

int64_t waxwing_bench_slot_plan_run_us(const struct waxwing_bench_slot_plan *plan, uint32_t slot,
				       uint32_t task);

/** Time at which the task would end on the slot, after the tasks planned there. */
int64_t waxwing_bench_slot_plan_end_us(const struct waxwing_bench_slot_plan *plan, uint32_t slot,
				       uint32_t task);

/** Slot where the task would end first. */
uint32_t waxwing_bench_slot_plan_earliest_slot(const struct waxwing_bench_slot_plan *plan,
					       uint32_t task);

/** Starts the task if the slot is free, or else plans it there. Returns true if it was started. */
bool waxwing_bench_slot_plan_assign(struct waxwing_bench_slot_plan *plan, uint32_t slot,
				    uint32_t task);

/** Numbers (uint32_t) of a job's tasks in ascending order of work. Free with g_array_free(). */
GArray *waxwing_bench_tasks_by_work(const struct waxwing_bench_workload *workload,
				    const struct waxwing_bench_job *job);

/** Marks the task's slot as free. Call when the issuer receives the task's answer. */
void waxwing_bench_slot_plan_task_ended(struct waxwing_bench_slot_plan *plan, uint32_t task);

#endif
