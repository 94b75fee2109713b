/*
 * Reference: one queue that knows every run time, speed and end, and aims at one multiple of the ideal
 * response for every job. What it reaches can be reached by knowing; what it misses proves nothing.
 *
 * Jobs stand in order of when they are due. Each task in turn goes to the slowest free slot where it still
 * ends in time, so that fast ones stay free for what needs them; if there is none, it waits for the slot
 * in use where it ends in time and that is the slowest. When a job cannot be in time any more, the job with
 * most work to start up to it in the line is given twice the multiple.
 */
#include "bench_line.h"

/** Tasks planned at a time, at most. */
#define LOOK_AHEAD 400

/** Multiple of the ideal response that is aimed at. */
#define STRETCH 2.45

/** Fastest slots that only tasks up to so much work are given. */
#define KEPT_SLOTS 8
#define SHORT_US   300000

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_line_job *a = left;
	const struct waxwing_bench_line_job *b = right;

	(void)data;
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us ? -1 : 1;
	return (a->job > b->job) - (a->job < b->job);
}

/* The slowest slot where the task ends in time, of those free now if there is one; slots if none. */
static uint32_t slowest_in_time(const struct waxwing_bench_plan *slots, uint32_t task,
				int64_t due_us)
{
	int64_t now_us = waxwing_bench_sim_now_us(slots->sim);
	uint32_t planned = slots->slots;
	int64_t work_us = waxwing_bench_sim_workload(slots->sim)->tasks[task].work_us;
	uint32_t first = work_us > SHORT_US ? KEPT_SLOTS : 0;

	for (uint32_t slot = slots->slots; slot-- > first;) {
		if (waxwing_bench_plan_end_us(slots, slot, task) + WAXWING_BENCH_NET_US > due_us)
			continue;
		if (slots->plan_us[slot] <= now_us)
			return slot;
		if (planned == slots->slots)
			planned = slot;
	}
	return planned;
}

/* Plans the job's tasks, the longest first; false when one would end too late. */
static bool plan_job(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line,
		     struct waxwing_bench_line_job *job, uint32_t *budget)
{
	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_plan_free(&line->slots);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = slowest_in_time(&line->slots, task, job->due_us);

		--*budget;
		if (slot == line->slots.slots)
			return false;
		if (waxwing_bench_plan_place(&line->slots, slot, task))
			waxwing_bench_line_started(policy, job, i);
	}
	return true;
}

static void set_due(const struct waxwing_bench_line_policy *policy,
		    struct waxwing_bench_line_job *job, double stretch)
{
	const struct waxwing_bench_job *drawn =
		&waxwing_bench_sim_workload(policy->base.sim)->jobs[job->job];

	job->stretch = stretch;
	job->due_us = drawn->intended_us + (int64_t)(stretch * (double)drawn->ideal_us) -
		      WAXWING_BENCH_CLIENT_US;
}

/* Puts off the job with most work to start, of those up to the late one. */
static void put_off(const struct waxwing_bench_line_policy *policy,
		    const struct waxwing_bench_line *line, struct waxwing_bench_line_job *late)
{
	GSequenceIter *at = g_sequence_get_begin_iter(line->queue);
	struct waxwing_bench_line_job *largest = late;

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		struct waxwing_bench_line_job *job = g_sequence_get(at);

		if (job->work_us > largest->work_us)
			largest = job;
		if (job == late)
			break;
	}
	set_due(policy, largest, largest->stretch * 2);
	g_sequence_sort_changed(largest->place, compare_jobs, NULL);
}

/* Plans the line once; false when a job was put off and the plan is to be made again. */
static bool plan_once(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line)
{
	GSequenceIter *at = g_sequence_get_begin_iter(line->queue);
	uint32_t budget = LOOK_AHEAD;

	waxwing_bench_plan_begin(&line->slots);
	while (budget && !g_sequence_iter_is_end(at) && waxwing_bench_plan_free(&line->slots)) {
		struct waxwing_bench_line_job *job = g_sequence_get(at);

		at = g_sequence_iter_next(at);
		if (!plan_job(policy, line, job, &budget)) {
			put_off(policy, line, job);
			return false;
		}
		if (!job->tasks->len)
			waxwing_bench_line_forget(policy, job->job);
	}
	return true;
}

static void prepare(const struct waxwing_bench_line_policy *policy,
		    struct waxwing_bench_line_job *job)
{
	set_due(policy, job, STRETCH);
}

static void plan(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line)
{
	while (!plan_once(policy, line))
		;
}

static const struct waxwing_bench_line_ops due_ops = {
	.compare = compare_jobs,
	.prepare = prepare,
	.plan = plan,
};

static struct waxwing_bench_policy *due_create(struct waxwing_bench_sim *sim)
{
	return waxwing_bench_line_create(sim, &waxwing_bench_policy_due, &due_ops);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_due = {
	.name = "due",
	.about = "one queue that knows all and aims at 2.45 ideals for every job",
	.create = due_create,
	.destroy = waxwing_bench_line_destroy,
	.arrive = waxwing_bench_line_arrive,
	.ended = waxwing_bench_line_ended,
	.withdraw = waxwing_bench_line_withdraw,
};
