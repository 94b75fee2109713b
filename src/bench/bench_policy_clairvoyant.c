/*
 * Reference: one queue that knows all run times, speeds and completion times. Other policies may
 * still do better, since it never keeps a free slot for jobs that have yet to arrive.
 *
 * Jobs are ordered by the work of their tasks not started. Each task in turn is planned on the
 * slot where it ends first, after the tasks planned before it. It starts if that slot is free now;
 * otherwise it waits.
 */
#include "bench_job_queue.h"

/** Maximum number of tasks considered in one planning pass. */
#define MAX_PLANNED_TASKS 300

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_queued_job *a = left;
	const struct waxwing_bench_queued_job *b = right;

	(void)data;
	if (a->work_us != b->work_us)
		return a->work_us < b->work_us ? -1 : 1;
	return (a->number > b->number) - (a->number < b->number);
}

/* Plans a job's tasks, longest first; starts those whose planned slot is free. */
static void plan_job(struct waxwing_bench_job_queue_policy *policy,
		     struct waxwing_bench_job_queue *queue, struct waxwing_bench_queued_job *job,
		     uint32_t *budget)
{
	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_slot_plan_count_free(&queue->plan);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = waxwing_bench_slot_plan_earliest_slot(&queue->plan, task);

		--*budget;
		if (waxwing_bench_slot_plan_assign(&queue->plan, slot, task))
			waxwing_bench_job_queue_remove_task(policy, job, i);
	}
}

static void start_tasks(struct waxwing_bench_job_queue_policy *policy,
			struct waxwing_bench_job_queue *queue)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->jobs);
	uint32_t budget = MAX_PLANNED_TASKS;

	waxwing_bench_slot_plan_reset(&queue->plan);
	while (budget && !g_sequence_iter_is_end(at) &&
	       waxwing_bench_slot_plan_count_free(&queue->plan)) {
		struct waxwing_bench_queued_job *job = g_sequence_get(at);
		int64_t before_us = job->work_us;

		at = g_sequence_iter_next(at);
		plan_job(policy, queue, job, &budget);
		if (!job->tasks->len)
			waxwing_bench_job_queue_remove(policy, job->number);
		else if (job->work_us != before_us)
			g_sequence_sort_changed(job->iter, compare_jobs, NULL);
	}
}

static const struct waxwing_bench_job_queue_ops clairvoyant_ops = {
	.compare = compare_jobs,
	.start_tasks = start_tasks,
};

static struct waxwing_bench_policy *clairvoyant_create(struct waxwing_bench_sim *sim)
{
	return waxwing_bench_job_queue_create(sim, &waxwing_bench_policy_clairvoyant,
					      &clairvoyant_ops);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant = {
	.name = "clairvoyant",
	.description = "one queue that knows run times, speeds and ends",
	.create = clairvoyant_create,
	.destroy = waxwing_bench_job_queue_destroy,
	.job_arrived = waxwing_bench_job_queue_job_arrived,
	.task_ended = waxwing_bench_job_queue_task_ended,
	.job_aborted = waxwing_bench_job_queue_job_aborted,
};
