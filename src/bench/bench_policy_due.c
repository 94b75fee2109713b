/*
 * Reference: one queue that knows every run time, speed and end, and aims at one multiple of the ideal
 * response for every job. What it reaches can be reached by knowing; what it misses proves nothing.
 *
 * Jobs stand in order of when they are due. Each task in turn goes to the slowest free slot where it still
 * ends in time, so that fast ones stay free for what needs them; if there is none, it waits for the slot
 * in use where it ends in time and that is the slowest. When a job cannot be in time any more, the job with
 * most work to start up to it in the line is given twice the multiple.
 */
#include "bench_plan.h"
#include "bench_policy.h"

#include <glib.h>

/** Tasks planned at a time, at most. */
#define LOOK_AHEAD 400

/** Multiple of the ideal response that is aimed at. */
#define STRETCH 2.45

/** Fastest slots that only tasks up to so much work are given. */
#define KEPT_SLOTS 8
#define SHORT_US   300000

struct due_job {
	uint32_t job;
	double stretch; /**< multiple of the ideal response at which it is due */
	int64_t due_us; /**< for the last end to be heard at the issuer */
	int64_t work_us; /**< not started */
	GArray *tasks; /**< numbers, the longest last */
	GSequenceIter *place;
};

struct due_domain {
	GSequence *queue; /**< of struct due_job */
	struct waxwing_bench_plan slots;
};

struct due_policy {
	struct waxwing_bench_policy base;
	struct due_domain *domains;
	struct due_job **jobs;
};

static void due_job_free(void *data)
{
	struct due_job *job = data;

	g_array_free(job->tasks, TRUE);
	g_free(job);
}

static struct waxwing_bench_policy *due_create(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct due_policy *policy = g_new0(struct due_policy, 1);

	policy->base.ops = &waxwing_bench_policy_due;
	policy->base.sim = sim;
	policy->jobs = g_new0(struct due_job *, workload->job_count);
	policy->domains = g_new0(struct due_domain, workload->profile->domains);
	for (uint32_t i = 0; i < workload->profile->domains; i++) {
		policy->domains[i].queue = g_sequence_new(due_job_free);
		waxwing_bench_plan_init(&policy->domains[i].slots, sim, i);
	}
	return &policy->base;
}

static void due_destroy(struct waxwing_bench_policy *base)
{
	struct due_policy *policy = (struct due_policy *)base;

	for (uint32_t i = 0; i < waxwing_bench_sim_workload(base->sim)->profile->domains; i++) {
		g_sequence_free(policy->domains[i].queue);
		waxwing_bench_plan_clear(&policy->domains[i].slots);
	}
	g_free(policy->domains);
	g_free(policy->jobs);
	g_free(policy);
}

static gint compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct due_job *a = left;
	const struct due_job *b = right;

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

static void started(struct due_policy *policy, struct due_job *job, guint index)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	uint32_t task = g_array_index(job->tasks, uint32_t, index);

	job->work_us -= workload->tasks[task].work_us;
	g_array_remove_index(job->tasks, index);
}

/* Plans the job's tasks, the longest first; false when one would end too late. */
static bool plan_job(struct due_policy *policy, struct due_domain *domain, struct due_job *job,
		     uint32_t *budget)
{
	for (guint i = job->tasks->len;
	     i-- > 0 && *budget && waxwing_bench_plan_free(&domain->slots);) {
		uint32_t task = g_array_index(job->tasks, uint32_t, i);
		uint32_t slot = slowest_in_time(&domain->slots, task, job->due_us);

		--*budget;
		if (slot == domain->slots.slots)
			return false;
		if (waxwing_bench_plan_place(&domain->slots, slot, task))
			started(policy, job, i);
	}
	return true;
}

static void forget(struct due_policy *policy, uint32_t number)
{
	struct due_job *job = policy->jobs[number];

	if (!job)
		return;
	policy->jobs[number] = NULL;
	g_sequence_remove(job->place);
}

static void set_due(const struct due_policy *policy, struct due_job *job, double stretch)
{
	const struct waxwing_bench_job *drawn =
		&waxwing_bench_sim_workload(policy->base.sim)->jobs[job->job];

	job->stretch = stretch;
	job->due_us = drawn->intended_us + (int64_t)(stretch * (double)drawn->ideal_us) -
		      WAXWING_BENCH_CLIENT_US;
}

/* Puts off the job with most work to start, of those up to the late one. */
static void put_off(const struct due_policy *policy, const struct due_domain *domain,
		    struct due_job *late)
{
	GSequenceIter *at = g_sequence_get_begin_iter(domain->queue);
	struct due_job *largest = late;

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		struct due_job *job = g_sequence_get(at);

		if (job->work_us > largest->work_us)
			largest = job;
		if (job == late)
			break;
	}
	set_due(policy, largest, largest->stretch * 2);
	g_sequence_sort_changed(largest->place, compare_jobs, NULL);
}

/* Plans the line once; false when a job was put off and the plan is to be made again. */
static bool plan_once(struct due_policy *policy, struct due_domain *domain)
{
	GSequenceIter *at = g_sequence_get_begin_iter(domain->queue);
	uint32_t budget = LOOK_AHEAD;

	waxwing_bench_plan_begin(&domain->slots);
	while (budget && !g_sequence_iter_is_end(at) && waxwing_bench_plan_free(&domain->slots)) {
		struct due_job *job = g_sequence_get(at);

		at = g_sequence_iter_next(at);
		if (!plan_job(policy, domain, job, &budget)) {
			put_off(policy, domain, job);
			return false;
		}
		if (!job->tasks->len)
			forget(policy, job->job);
	}
	return true;
}

static void plan(struct due_policy *policy, uint32_t number)
{
	while (!plan_once(policy, &policy->domains[number]))
		;
}

static void due_arrive(struct waxwing_bench_policy *base, uint32_t number)
{
	struct due_policy *policy = (struct due_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *drawn = &workload->jobs[number];
	struct due_job *job = g_new0(struct due_job, 1);

	job->job = number;
	job->work_us = drawn->work_us;
	set_due(policy, job, STRETCH);
	job->tasks = waxwing_bench_plan_tasks(workload, drawn);
	policy->jobs[number] = job;
	job->place = g_sequence_insert_sorted(policy->domains[drawn->domain].queue, job,
					      compare_jobs, NULL);
	plan(policy, drawn->domain);
}

static void due_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
		      enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct due_policy *policy = (struct due_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	uint32_t number = workload->jobs[workload->tasks[task].job].domain;

	(void)upstream;
	(void)outcome;
	(void)run_ms;
	waxwing_bench_plan_ended(&policy->domains[number].slots, task);
	plan(policy, number);
}

static void due_withdraw(struct waxwing_bench_policy *base, uint32_t job)
{
	forget((struct due_policy *)base, job);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_due = {
	.name = "due",
	.about = "one queue that knows all and aims at 2.45 ideals for every job",
	.create = due_create,
	.destroy = due_destroy,
	.arrive = due_arrive,
	.ended = due_ended,
	.withdraw = due_withdraw,
};
