#include "bench_job_queue.h"

static void queued_job_free(void *data)
{
	struct waxwing_bench_queued_job *job = data;

	g_array_free(job->tasks, TRUE);
	g_free(job);
}

struct waxwing_bench_policy *
waxwing_bench_job_queue_create(struct waxwing_bench_sim *sim,
			       const struct waxwing_bench_policy_ops *base,
			       const struct waxwing_bench_job_queue_ops *ops)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct waxwing_bench_job_queue_policy *policy =
		g_new0(struct waxwing_bench_job_queue_policy, 1);

	policy->base.ops = base;
	policy->base.sim = sim;
	policy->ops = ops;
	policy->jobs = g_new0(struct waxwing_bench_queued_job *, workload->job_count);
	policy->queues = g_new0(struct waxwing_bench_job_queue, workload->profile->domains);
	for (uint32_t i = 0; i < workload->profile->domains; i++) {
		policy->queues[i].jobs = g_sequence_new(queued_job_free);
		waxwing_bench_slot_plan_init(&policy->queues[i].plan, sim, i);
	}
	return &policy->base;
}

void waxwing_bench_job_queue_destroy(struct waxwing_bench_policy *base)
{
	struct waxwing_bench_job_queue_policy *policy =
		(struct waxwing_bench_job_queue_policy *)base;
	uint32_t domains = waxwing_bench_sim_workload(base->sim)->profile->domains;

	for (uint32_t i = 0; i < domains; i++) {
		g_sequence_free(policy->queues[i].jobs);
		waxwing_bench_slot_plan_clear(&policy->queues[i].plan);
	}
	g_free(policy->queues);
	g_free(policy->jobs);
	g_free(policy);
}

void waxwing_bench_job_queue_remove_task(const struct waxwing_bench_job_queue_policy *policy,
					 struct waxwing_bench_queued_job *job, guint index)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	uint32_t task = g_array_index(job->tasks, uint32_t, index);

	job->work_us -= workload->tasks[task].work_us;
	g_array_remove_index(job->tasks, index);
}

void waxwing_bench_job_queue_remove(struct waxwing_bench_job_queue_policy *policy, uint32_t number)
{
	struct waxwing_bench_queued_job *job = policy->jobs[number];

	if (!job)
		return;
	policy->jobs[number] = NULL;
	g_sequence_remove(job->iter);
}

void waxwing_bench_job_queue_job_arrived(struct waxwing_bench_policy *base, uint32_t number)
{
	struct waxwing_bench_job_queue_policy *policy =
		(struct waxwing_bench_job_queue_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *workload_job = &workload->jobs[number];
	struct waxwing_bench_job_queue *queue = &policy->queues[workload_job->domain];
	struct waxwing_bench_queued_job *job = g_new0(struct waxwing_bench_queued_job, 1);

	job->number = number;
	job->work_us = workload_job->work_us;
	if (policy->ops->prepare)
		policy->ops->prepare(policy, job);
	job->tasks = waxwing_bench_tasks_by_work(workload, workload_job);
	policy->jobs[number] = job;
	job->iter = g_sequence_insert_sorted(queue->jobs, job, policy->ops->compare, NULL);
	policy->ops->start_tasks(policy, queue);
}

void waxwing_bench_job_queue_task_ended(struct waxwing_bench_policy *base, uint32_t task,
					uint32_t upstream, enum waxwing_slot_outcome outcome,
					uint32_t run_ms)
{
	struct waxwing_bench_job_queue_policy *policy =
		(struct waxwing_bench_job_queue_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	struct waxwing_bench_job_queue *queue =
		&policy->queues[workload->jobs[workload->tasks[task].job].domain];

	(void)upstream;
	(void)outcome;
	(void)run_ms;
	waxwing_bench_slot_plan_task_ended(&queue->plan, task);
	policy->ops->start_tasks(policy, queue);
}

void waxwing_bench_job_queue_job_aborted(struct waxwing_bench_policy *base, uint32_t job)
{
	waxwing_bench_job_queue_remove((struct waxwing_bench_job_queue_policy *)base, job);
}
