/*
 * Reference: one queue that knows every run time, speed and end. It never leaves a free slot for
 * jobs to come, so that it is no bound.
 *
 * Jobs stand in order of the work that they have left to start. Each task in turn is planned on the
 * slot where it ends first, counting the slots that tasks before it will take; it starts when that
 * slot is free now and is held back when it is not.
 */
#include "bench_plan.h"
#include "bench_policy.h"

#include <glib.h>

/** Tasks planned at a time, at most. */
#define LOOK_AHEAD 300

struct waiting_job {
	uint32_t job;
	int64_t work_us; /**< not started */
	GArray *tasks; /**< numbers, the longest last */
	GSequenceIter *place;
};

struct domain_plan {
	GSequence *queue; /**< of struct waiting_job */
	struct waxwing_bench_plan slots;
};

struct clairvoyant_policy {
	struct waxwing_bench_policy base;
	struct domain_plan *domains;
	struct waiting_job **jobs;
};

static void waiting_job_free(void *data)
{
	struct waiting_job *job = data;

	g_array_free(job->tasks, TRUE);
	g_free(job);
}

static struct waxwing_bench_policy *clairvoyant_create(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	const struct waxwing_bench_profile *profile = workload->profile;
	struct clairvoyant_policy *policy = g_new0(struct clairvoyant_policy, 1);

	policy->base.ops = &waxwing_bench_policy_clairvoyant;
	policy->base.sim = sim;
	policy->jobs = g_new0(struct waiting_job *, workload->job_count);
	policy->domains = g_new0(struct domain_plan, profile->domains);
	for (uint32_t i = 0; i < profile->domains; i++) {
		struct domain_plan *domain = &policy->domains[i];

		domain->queue = g_sequence_new(waiting_job_free);
		waxwing_bench_plan_init(&domain->slots, sim, i);
	}
	return &policy->base;
}

static void clairvoyant_destroy(struct waxwing_bench_policy *base)
{
	struct clairvoyant_policy *policy = (struct clairvoyant_policy *)base;
	uint32_t domains = waxwing_bench_sim_workload(base->sim)->profile->domains;

	for (uint32_t i = 0; i < domains; i++) {
		g_sequence_free(policy->domains[i].queue);
		waxwing_bench_plan_clear(&policy->domains[i].slots);
	}
	g_free(policy->domains);
	g_free(policy->jobs);
	g_free(policy);
}

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct waiting_job *a = left;
	const struct waiting_job *b = right;

	(void)data;
	if (a->work_us != b->work_us)
		return a->work_us < b->work_us ? -1 : 1;
	return (a->job > b->job) - (a->job < b->job);
}

/* Plans the tasks of one job, the longest first; starts those whose slot is free. */
static void plan_job(struct clairvoyant_policy *policy, struct domain_plan *domain,
		     struct waiting_job *job, uint32_t *budget)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);

	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_plan_free(&domain->slots);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = waxwing_bench_plan_earliest(&domain->slots, task);

		--*budget;
		if (!waxwing_bench_plan_place(&domain->slots, slot, task))
			continue;
		job->work_us -= workload->tasks[task].work_us;
		g_array_remove_index(job->tasks, i);
	}
}

static void forget(struct clairvoyant_policy *policy, uint32_t number)
{
	struct waiting_job *job = policy->jobs[number];

	if (!job)
		return;
	policy->jobs[number] = NULL;
	g_sequence_remove(job->place);
}

static void plan(struct clairvoyant_policy *policy, uint32_t number)
{
	struct domain_plan *domain = &policy->domains[number];
	GSequenceIter *at = g_sequence_get_begin_iter(domain->queue);
	uint32_t budget = LOOK_AHEAD;

	waxwing_bench_plan_begin(&domain->slots);
	while (budget && !g_sequence_iter_is_end(at) && waxwing_bench_plan_free(&domain->slots)) {
		struct waiting_job *job = g_sequence_get(at);
		int64_t before_us = job->work_us;

		at = g_sequence_iter_next(at);
		plan_job(policy, domain, job, &budget);
		if (!job->tasks->len)
			forget(policy, job->job);
		else if (job->work_us != before_us)
			g_sequence_sort_changed(job->place, compare_jobs, NULL);
	}
}

static void clairvoyant_arrive(struct waxwing_bench_policy *base, uint32_t number)
{
	struct clairvoyant_policy *policy = (struct clairvoyant_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *drawn = &workload->jobs[number];
	struct waiting_job *job = g_new0(struct waiting_job, 1);

	job->job = number;
	job->work_us = drawn->work_us;
	job->tasks = waxwing_bench_plan_tasks(workload, drawn);
	policy->jobs[number] = job;
	job->place = g_sequence_insert_sorted(policy->domains[drawn->domain].queue, job,
					      compare_jobs, NULL);
	plan(policy, drawn->domain);
}

static void clairvoyant_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			      enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct clairvoyant_policy *policy = (struct clairvoyant_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	uint32_t number = workload->jobs[workload->tasks[task].job].domain;

	(void)upstream;
	(void)outcome;
	(void)run_ms;
	waxwing_bench_plan_ended(&policy->domains[number].slots, task);
	plan(policy, number);
}

static void clairvoyant_withdraw(struct waxwing_bench_policy *base, uint32_t job)
{
	forget((struct clairvoyant_policy *)base, job);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant = {
	.name = "clairvoyant",
	.about = "one queue that knows run times, speeds and ends",
	.create = clairvoyant_create,
	.destroy = clairvoyant_destroy,
	.arrive = clairvoyant_arrive,
	.ended = clairvoyant_ended,
	.withdraw = clairvoyant_withdraw,
};
