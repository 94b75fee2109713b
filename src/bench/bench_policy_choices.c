/*
 * Baseline: power of two choices. Each issuer immediately sends a task to the less loaded of two
 * random upstreams, counting only its own tasks; upstreams queue.
 */
#include "bench_policy.h"

#include <glib.h>

struct choices_policy {
	struct waxwing_bench_policy base;
	GRand *rand;
	uint32_t *outstanding; /**< number of unanswered tasks, by issuer, then upstream */
	uint32_t upstreams;
};

static struct waxwing_bench_policy *choices_create(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct choices_policy *policy = g_new0(struct choices_policy, 1);

	policy->base.ops = &waxwing_bench_policy_two_choices;
	policy->base.sim = sim;
	policy->rand = g_rand_new_with_seed((guint32)workload->seed);
	policy->upstreams = waxwing_bench_profile_upstreams(workload->profile);
	policy->outstanding = g_new0(uint32_t, (gsize)workload->instances * policy->upstreams);
	return &policy->base;
}

static void choices_destroy(struct waxwing_bench_policy *base)
{
	struct choices_policy *policy = (struct choices_policy *)base;

	g_rand_free(policy->rand);
	g_free(policy->outstanding);
	g_free(policy);
}

static uint32_t *outstanding(struct choices_policy *policy, uint32_t issuer, uint32_t upstream)
{
	return &policy->outstanding[issuer * policy->upstreams + upstream];
}

static void choices_job_arrived(struct waxwing_bench_policy *base, uint32_t number)
{
	struct choices_policy *policy = (struct choices_policy *)base;
	const struct waxwing_bench_job *job = &waxwing_bench_sim_workload(base->sim)->jobs[number];
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(base->sim, job->domain, &first);

	for (uint32_t i = 0; i < job->task_count; i++) {
		uint32_t a = first + (uint32_t)g_rand_int_range(policy->rand, 0, (gint32)count);
		uint32_t b = first + (uint32_t)g_rand_int_range(policy->rand, 0, (gint32)count);

		if (*outstanding(policy, job->issuer, b) < *outstanding(policy, job->issuer, a))
			a = b;
		++*outstanding(policy, job->issuer, a);
		waxwing_bench_sim_start_task(base->sim, job->first_task + i, a);
	}
}

static void choices_task_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			       enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct choices_policy *policy = (struct choices_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);

	(void)outcome;
	(void)run_ms;
	--*outstanding(policy, workload->jobs[workload->tasks[task].job].issuer, upstream);
}

/* Does nothing: all tasks were sent when the job arrived. */
static void choices_job_aborted(struct waxwing_bench_policy *base, uint32_t job)
{
	(void)base;
	(void)job;
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_two_choices = {
	.name = "two-choices",
	.description =
		"the less loaded of two random upstreams by the issuer's count; upstreams queue",
	.queues_at_upstream = true,
	.create = choices_create,
	.destroy = choices_destroy,
	.job_arrived = choices_job_arrived,
	.task_ended = choices_task_ended,
	.job_aborted = choices_job_aborted,
};
