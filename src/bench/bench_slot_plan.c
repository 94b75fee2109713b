#include "bench_slot_plan.h"

#include <glib.h>
#include <string.h>

void waxwing_bench_slot_plan_init(struct waxwing_bench_slot_plan *plan,
				  struct waxwing_bench_sim *sim, uint32_t domain)
{
	plan->sim = sim;
	plan->slot_count = waxwing_bench_sim_upstreams(sim, domain, &plan->first_upstream);
	plan->slot_count *= waxwing_bench_sim_workload(sim)->profile->slots;
	plan->free_at_us = g_new0(int64_t, plan->slot_count);
	plan->planned_free_us = g_new0(int64_t, plan->slot_count);
	plan->last_task = g_new0(uint32_t, plan->slot_count);
}

void waxwing_bench_slot_plan_clear(struct waxwing_bench_slot_plan *plan)
{
	g_free(plan->free_at_us);
	g_free(plan->planned_free_us);
	g_free(plan->last_task);
}

void waxwing_bench_slot_plan_reset(struct waxwing_bench_slot_plan *plan)
{
	memcpy(plan->planned_free_us, plan->free_at_us,
	       plan->slot_count * sizeof(*plan->planned_free_us));
}

uint32_t waxwing_bench_slot_plan_count_free(const struct waxwing_bench_slot_plan *plan)
{
	int64_t now_us = waxwing_bench_sim_now_us(plan->sim);
	uint32_t count = 0;

	for (uint32_t i = 0; i < plan->slot_count; i++)
		count += plan->planned_free_us[i] <= now_us;
	return count;
}

static uint32_t upstream_of(const struct waxwing_bench_slot_plan *plan, uint32_t slot)
{
	return plan->first_upstream + slot / waxwing_bench_sim_workload(plan->sim)->profile->slots;
}

int64_t waxwing_bench_slot_plan_run_us(const struct waxwing_bench_slot_plan *plan, uint32_t slot,
				       uint32_t task)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(plan->sim);
	double speed = waxwing_bench_sim_upstream_speed(plan->sim, upstream_of(plan, slot));

	return (int64_t)((double)workload->tasks[task].work_us / speed);
}

int64_t waxwing_bench_slot_plan_end_us(const struct waxwing_bench_slot_plan *plan, uint32_t slot,
				       uint32_t task)
{
	return MAX(plan->planned_free_us[slot], waxwing_bench_sim_now_us(plan->sim)) +
	       waxwing_bench_slot_plan_run_us(plan, slot, task);
}

uint32_t waxwing_bench_slot_plan_earliest_slot(const struct waxwing_bench_slot_plan *plan,
					       uint32_t task)
{
	int64_t best_us = INT64_MAX;
	uint32_t best = 0;

	for (uint32_t slot = 0; slot < plan->slot_count; slot++) {
		int64_t end_us;

		if (plan->planned_free_us[slot] >= best_us)
			continue;
		end_us = waxwing_bench_slot_plan_end_us(plan, slot, task);
		if (end_us < best_us) {
			best_us = end_us;
			best = slot;
		}
	}
	return best;
}

bool waxwing_bench_slot_plan_assign(struct waxwing_bench_slot_plan *plan, uint32_t slot,
				    uint32_t task)
{
	int64_t now_us = waxwing_bench_sim_now_us(plan->sim);
	bool start = plan->planned_free_us[slot] <= now_us;

	plan->planned_free_us[slot] = waxwing_bench_slot_plan_end_us(plan, slot, task) +
				      2 * WAXWING_BENCH_NETWORK_DELAY_US;
	if (!start)
		return false;
	plan->free_at_us[slot] = plan->planned_free_us[slot];
	plan->last_task[slot] = task;
	waxwing_bench_sim_start_task(plan->sim, task, upstream_of(plan, slot));
	return true;
}

void waxwing_bench_slot_plan_task_ended(struct waxwing_bench_slot_plan *plan, uint32_t task)
{
	/* matches no slot if the slot's next task was started before this answer was processed */
	for (uint32_t slot = 0; slot < plan->slot_count; slot++) {
		if (plan->last_task[slot] == task && plan->free_at_us[slot] > 0)
			plan->free_at_us[slot] = waxwing_bench_sim_now_us(plan->sim);
	}
}

static gint compare_tasks(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_task *tasks = data;
	int64_t a = tasks[*(const uint32_t *)left].work_us;
	int64_t b = tasks[*(const uint32_t *)right].work_us;

	return (a > b) - (a < b);
}

GArray *waxwing_bench_tasks_by_work(const struct waxwing_bench_workload *workload,
				    const struct waxwing_bench_job *job)
{
	GArray *tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < job->task_count; i++) {
		uint32_t task = job->first_task + i;

		g_array_append_val(tasks, task);
	}
	g_array_sort_with_data(tasks, compare_tasks, workload->tasks);
	return tasks;
}
