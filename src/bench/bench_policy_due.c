/*
 * Reference: one queue that knows all run times, speeds and completion times, and aims at the same
 * multiple of the ideal response time for every job. A response time that it reaches is feasible
 * with full knowledge; one that it misses may still be feasible.
 *
 * Jobs are ordered by due time. Each task in turn goes to the slowest free slot where it ends by
 * then, so that fast slots stay free for tasks that need them. If no free slot is fast enough, the
 * task is planned on the slowest busy slot where it ends by then. If a job would end too late, the
 * job with the most work left, among that job and those ahead of it in the queue, gets a later due
 * time: its stretch is doubled.
 */
#include "bench_job_queue.h"

/** Maximum number of tasks considered in one planning pass. */
#define MAX_PLANNED_TASKS 400

/** Target response time, as a multiple of the ideal response time. */
#define TARGET_STRETCH 2.45

/** The fastest slots are reserved for tasks with at most SHORT_TASK_US of work. */
#define RESERVED_SLOTS 8
#define SHORT_TASK_US  300000

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_queued_job *a = left;
	const struct waxwing_bench_queued_job *b = right;

	(void)data;
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	return (a->number > b->number) - (a->number < b->number);
}

/*
 * Finds the slowest slot where the task ends by @due_us, preferring slots that are free now.
 * Returns slot_count if there is none.
 */
static uint32_t find_slot(const struct waxwing_bench_slot_plan *plan, uint32_t task, int64_t due_us)
{
	int64_t now_us = waxwing_bench_sim_now_us(plan->sim);
	uint32_t planned = plan->slot_count;
	int64_t work_us = waxwing_bench_sim_workload(plan->sim)->tasks[task].work_us;
	uint32_t first = work_us > SHORT_TASK_US ? RESERVED_SLOTS : 0;

	for (uint32_t slot = plan->slot_count; slot-- > first;) {
		if (waxwing_bench_slot_plan_end_us(plan, slot, task) +
			    WAXWING_BENCH_NETWORK_DELAY_US >
		    due_us)
			continue;
		if (plan->planned_free_us[slot] <= now_us)
			return slot;
		if (planned == plan->slot_count)
			planned = slot;
	}
	return planned;
}

/* Plans or starts a job's tasks, longest first. Returns false if one would end too late. */
static bool plan_job(struct waxwing_bench_job_queue_policy *policy,
		     struct waxwing_bench_job_queue *queue, struct waxwing_bench_queued_job *job,
		     uint32_t *budget)
{
	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_slot_plan_count_free(&queue->plan);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = find_slot(&queue->plan, task, job->due_us);

		--*budget;
		if (slot == queue->plan.slot_count)
			return false;
		if (waxwing_bench_slot_plan_assign(&queue->plan, slot, task))
			waxwing_bench_job_queue_remove_task(policy, job, i);
	}
	return true;
}

static void set_stretch(const struct waxwing_bench_job_queue_policy *policy,
			struct waxwing_bench_queued_job *job, double stretch)
{
	const struct waxwing_bench_job *workload_job =
		&waxwing_bench_sim_workload(policy->base.sim)->jobs[job->number];

	job->stretch = stretch;
	job->due_us = workload_job->intended_us +
		      (int64_t)(stretch * (double)workload_job->ideal_us) -
		      WAXWING_BENCH_CLIENT_DELAY_US;
}

/*
 * Doubles the stretch of the job with the most work left among the late job and those ahead of it.
 */
static void relax_largest(const struct waxwing_bench_job_queue_policy *policy,
			  const struct waxwing_bench_job_queue *queue,
			  struct waxwing_bench_queued_job *late)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->jobs);
	struct waxwing_bench_queued_job *largest = late;

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		struct waxwing_bench_queued_job *job = g_sequence_get(at);

		if (job->work_us > largest->work_us)
			largest = job;
		if (job == late)
			break;
	}
	set_stretch(policy, largest, largest->stretch * 2);
	g_sequence_sort_changed(largest->iter, compare_jobs, NULL);
}

/* Makes one planning pass. Returns false if a stretch changed and the pass must be repeated. */
static bool try_start_tasks(struct waxwing_bench_job_queue_policy *policy,
			    struct waxwing_bench_job_queue *queue)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->jobs);
	uint32_t budget = MAX_PLANNED_TASKS;

	waxwing_bench_slot_plan_reset(&queue->plan);
	while (budget && !g_sequence_iter_is_end(at) &&
	       waxwing_bench_slot_plan_count_free(&queue->plan)) {
		struct waxwing_bench_queued_job *job = g_sequence_get(at);

		at = g_sequence_iter_next(at);
		if (!plan_job(policy, queue, job, &budget)) {
			relax_largest(policy, queue, job);
			return false;
		}
		if (!job->tasks->len)
			waxwing_bench_job_queue_remove(policy, job->number);
	}
	return true;
}

static void prepare(const struct waxwing_bench_job_queue_policy *policy,
		    struct waxwing_bench_queued_job *job)
{
	set_stretch(policy, job, TARGET_STRETCH);
}

static void start_tasks(struct waxwing_bench_job_queue_policy *policy,
			struct waxwing_bench_job_queue *queue)
{
	while (!try_start_tasks(policy, queue))
		;
}

static const struct waxwing_bench_job_queue_ops due_ops = {
	.compare = compare_jobs,
	.prepare = prepare,
	.start_tasks = start_tasks,
};

static struct waxwing_bench_policy *due_create(struct waxwing_bench_sim *sim)
{
	return waxwing_bench_job_queue_create(sim, &waxwing_bench_policy_due, &due_ops);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_due = {
	.name = "due",
	.description =
		"one queue that knows run times, speeds and ends, and aims at 2.45 times the ideal",
	.create = due_create,
	.destroy = waxwing_bench_job_queue_destroy,
	.job_arrived = waxwing_bench_job_queue_job_arrived,
	.task_ended = waxwing_bench_job_queue_task_ended,
	.job_aborted = waxwing_bench_job_queue_job_aborted,
};
