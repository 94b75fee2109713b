#include "bench_line.h"

static void job_free(void *data)
{
	struct waxwing_bench_line_job *job = data;

	g_array_free(job->tasks, TRUE);
	g_free(job);
}

struct waxwing_bench_policy *waxwing_bench_line_create(struct waxwing_bench_sim *sim,
						       const struct waxwing_bench_policy_ops *base,
						       const struct waxwing_bench_line_ops *ops)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct waxwing_bench_line_policy *policy = g_new0(struct waxwing_bench_line_policy, 1);

	policy->base.ops = base;
	policy->base.sim = sim;
	policy->ops = ops;
	policy->jobs = g_new0(struct waxwing_bench_line_job *, workload->job_count);
	policy->lines = g_new0(struct waxwing_bench_line, workload->profile->domains);
	for (uint32_t i = 0; i < workload->profile->domains; i++) {
		policy->lines[i].queue = g_sequence_new(job_free);
		waxwing_bench_plan_init(&policy->lines[i].slots, sim, i);
	}
	return &policy->base;
}

void waxwing_bench_line_destroy(struct waxwing_bench_policy *base)
{
	struct waxwing_bench_line_policy *policy = (struct waxwing_bench_line_policy *)base;
	uint32_t domains = waxwing_bench_sim_workload(base->sim)->profile->domains;

	for (uint32_t i = 0; i < domains; i++) {
		g_sequence_free(policy->lines[i].queue);
		waxwing_bench_plan_clear(&policy->lines[i].slots);
	}
	g_free(policy->lines);
	g_free(policy->jobs);
	g_free(policy);
}

void waxwing_bench_line_started(const struct waxwing_bench_line_policy *policy,
				struct waxwing_bench_line_job *job, guint index)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	uint32_t task = g_array_index(job->tasks, uint32_t, index);

	job->work_us -= workload->tasks[task].work_us;
	g_array_remove_index(job->tasks, index);
}

void waxwing_bench_line_forget(struct waxwing_bench_line_policy *policy, uint32_t number)
{
	struct waxwing_bench_line_job *job = policy->jobs[number];

	if (!job)
		return;
	policy->jobs[number] = NULL;
	g_sequence_remove(job->place);
}

void waxwing_bench_line_arrive(struct waxwing_bench_policy *base, uint32_t number)
{
	struct waxwing_bench_line_policy *policy = (struct waxwing_bench_line_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *drawn = &workload->jobs[number];
	struct waxwing_bench_line *line = &policy->lines[drawn->domain];
	struct waxwing_bench_line_job *job = g_new0(struct waxwing_bench_line_job, 1);

	job->job = number;
	job->work_us = drawn->work_us;
	if (policy->ops->prepare)
		policy->ops->prepare(policy, job);
	job->tasks = waxwing_bench_plan_tasks(workload, drawn);
	policy->jobs[number] = job;
	job->place = g_sequence_insert_sorted(line->queue, job, policy->ops->compare, NULL);
	policy->ops->plan(policy, line);
}

void waxwing_bench_line_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			      enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct waxwing_bench_line_policy *policy = (struct waxwing_bench_line_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	struct waxwing_bench_line *line =
		&policy->lines[workload->jobs[workload->tasks[task].job].domain];

	(void)upstream;
	(void)outcome;
	(void)run_ms;
	waxwing_bench_plan_ended(&line->slots, task);
	policy->ops->plan(policy, line);
}

void waxwing_bench_line_withdraw(struct waxwing_bench_policy *base, uint32_t job)
{
	waxwing_bench_line_forget((struct waxwing_bench_line_policy *)base, job);
}
