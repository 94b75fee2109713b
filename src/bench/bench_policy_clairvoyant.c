/*
 * Reference: one queue that knows every run time, speed and end. It never leaves a free slot for
 * jobs to come, so that it is no bound.
 *
 * Jobs stand in order of the work that they have left to start. Each task in turn is planned on the
 * slot where it ends first, counting the slots that tasks before it will take; it starts when that
 * slot is free now and is held back when it is not.
 */
#include "bench_line.h"

/** Tasks planned at a time, at most. */
#define LOOK_AHEAD 300

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waxwing_bench_line_job *a = left;
	const struct waxwing_bench_line_job *b = right;

	(void)data;
	if (a->work_us != b->work_us)
		return a->work_us < b->work_us ? -1 : 1;
	return (a->job > b->job) - (a->job < b->job);
}

/* Plans the tasks of one job, the longest first; starts those whose slot is free. */
static void plan_job(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line,
		     struct waxwing_bench_line_job *job, uint32_t *budget)
{
	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_plan_free(&line->slots);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = waxwing_bench_plan_earliest(&line->slots, task);

		--*budget;
		if (waxwing_bench_plan_place(&line->slots, slot, task))
			waxwing_bench_line_started(policy, job, i);
	}
}

static void plan(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line)
{
	GSequenceIter *at = g_sequence_get_begin_iter(line->queue);
	uint32_t budget = LOOK_AHEAD;

	waxwing_bench_plan_begin(&line->slots);
	while (budget && !g_sequence_iter_is_end(at) && waxwing_bench_plan_free(&line->slots)) {
		struct waxwing_bench_line_job *job = g_sequence_get(at);
		int64_t before_us = job->work_us;

		at = g_sequence_iter_next(at);
		plan_job(policy, line, job, &budget);
		if (!job->tasks->len)
			waxwing_bench_line_forget(policy, job->job);
		else if (job->work_us != before_us)
			g_sequence_sort_changed(job->place, compare_jobs, NULL);
	}
}

static const struct waxwing_bench_line_ops clairvoyant_ops = {
	.compare = compare_jobs,
	.plan = plan,
};

static struct waxwing_bench_policy *clairvoyant_create(struct waxwing_bench_sim *sim)
{
	return waxwing_bench_line_create(sim, &waxwing_bench_policy_clairvoyant, &clairvoyant_ops);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant = {
	.name = "clairvoyant",
	.about = "one queue that knows run times, speeds and ends",
	.create = clairvoyant_create,
	.destroy = waxwing_bench_line_destroy,
	.arrive = waxwing_bench_line_arrive,
	.ended = waxwing_bench_line_ended,
	.withdraw = waxwing_bench_line_withdraw,
};
