#include "bench_plan.h"

#include <glib.h>
#include <string.h>

void waxwing_bench_plan_init(struct waxwing_bench_plan *plan, struct waxwing_bench_sim *sim,
			     uint32_t domain)
{
	plan->sim = sim;
	plan->slots = waxwing_bench_sim_upstreams(sim, domain, &plan->first);
	plan->slots *= waxwing_bench_sim_workload(sim)->profile->slots;
	plan->free_us = g_new0(int64_t, plan->slots);
	plan->plan_us = g_new0(int64_t, plan->slots);
	plan->holder = g_new0(uint32_t, plan->slots);
}

void waxwing_bench_plan_clear(struct waxwing_bench_plan *plan)
{
	g_free(plan->free_us);
	g_free(plan->plan_us);
	g_free(plan->holder);
}

void waxwing_bench_plan_begin(struct waxwing_bench_plan *plan)
{
	memcpy(plan->plan_us, plan->free_us, plan->slots * sizeof(*plan->plan_us));
}

uint32_t waxwing_bench_plan_free(const struct waxwing_bench_plan *plan)
{
	int64_t now_us = waxwing_bench_sim_now_us(plan->sim);
	uint32_t count = 0;

	for (uint32_t i = 0; i < plan->slots; i++)
		count += plan->plan_us[i] <= now_us;
	return count;
}

static uint32_t upstream_of(const struct waxwing_bench_plan *plan, uint32_t slot)
{
	return plan->first + slot / waxwing_bench_sim_workload(plan->sim)->profile->slots;
}

int64_t waxwing_bench_plan_run_us(const struct waxwing_bench_plan *plan, uint32_t slot,
				  uint32_t task)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(plan->sim);
	double speed = waxwing_bench_sim_speed(plan->sim, upstream_of(plan, slot));

	return (int64_t)((double)workload->tasks[task].work_us / speed);
}

int64_t waxwing_bench_plan_end_us(const struct waxwing_bench_plan *plan, uint32_t slot,
				  uint32_t task)
{
	return MAX(plan->plan_us[slot], waxwing_bench_sim_now_us(plan->sim)) +
	       waxwing_bench_plan_run_us(plan, slot, task);
}

uint32_t waxwing_bench_plan_earliest(const struct waxwing_bench_plan *plan, uint32_t task)
{
	int64_t best_us = INT64_MAX;
	uint32_t best = 0;

	for (uint32_t slot = 0; slot < plan->slots; slot++) {
		int64_t end_us;

		if (plan->plan_us[slot] >= best_us)
			continue;
		end_us = waxwing_bench_plan_end_us(plan, slot, task);
		if (end_us < best_us) {
			best_us = end_us;
			best = slot;
		}
	}
	return best;
}

bool waxwing_bench_plan_place(struct waxwing_bench_plan *plan, uint32_t slot, uint32_t task)
{
	int64_t now_us = waxwing_bench_sim_now_us(plan->sim);
	bool start = plan->plan_us[slot] <= now_us;

	plan->plan_us[slot] =
		waxwing_bench_plan_end_us(plan, slot, task) + 2 * WAXWING_BENCH_NET_US;
	if (!start)
		return false;
	plan->free_us[slot] = plan->plan_us[slot];
	plan->holder[slot] = task;
	waxwing_bench_sim_start(plan->sim, task, upstream_of(plan, slot));
	return true;
}

void waxwing_bench_plan_ended(struct waxwing_bench_plan *plan, uint32_t task)
{
	/* a slot may have its next task already, sent at the very end that was foreseen */
	for (uint32_t slot = 0; slot < plan->slots; slot++) {
		if (plan->holder[slot] == task && plan->free_us[slot] > 0)
			plan->free_us[slot] = waxwing_bench_sim_now_us(plan->sim);
	}
}

static gint compare_tasks(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_task *tasks = data;
	int64_t a = tasks[*(const uint32_t *)left].work_us;
	int64_t b = tasks[*(const uint32_t *)right].work_us;

	return (a > b) - (a < b);
}

GArray *waxwing_bench_plan_tasks(const struct waxwing_bench_workload *workload,
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
