/*
 * Baselines that queue tasks in order of arrival and send them into free slots only.
 */
#include "bench_policy.h"

#include <glib.h>

/** A queue with the slots that it may use. */
struct share {
	GQueue *lanes; /**< tasks, as task + 1 */
	uint32_t *free; /**< slots of each upstream of the domain */
	uint32_t next_lane;
	uint32_t next_upstream;
};

struct queue_policy {
	struct waxwing_bench_policy base;
	uint32_t lanes; /**< of a share */
	uint32_t shares; /**< of a domain */
	struct share *all;
};

static bool by_branch(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_fair;
}

static bool by_issuer(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_shares;
}

/* Upstreams of a domain are numbered from the fastest. */
static bool fastest_first(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_shares ||
	       policy->base.ops == &waxwing_bench_policy_fastest;
}

static uint32_t slot_share(const struct queue_policy *policy, uint32_t slot)
{
	return by_issuer(policy) ? waxwing_bench_instance_of_turn(policy->shares, slot) : 0;
}

static void create_share(struct queue_policy *policy, uint32_t domain, uint32_t number)
{
	const struct waxwing_bench_profile *profile =
		waxwing_bench_sim_workload(policy->base.sim)->profile;
	struct share *share = &policy->all[domain * policy->shares + number];
	uint32_t upstreams = profile->upstreams[domain];

	share->lanes = g_new0(GQueue, policy->lanes);
	for (uint32_t i = 0; i < policy->lanes; i++)
		g_queue_init(&share->lanes[i]);
	share->free = g_new0(uint32_t, upstreams);
	for (uint32_t i = 0; i < upstreams * profile->slots; i++) {
		if (slot_share(policy, i) == number)
			share->free[i / profile->slots]++;
	}
}

static struct waxwing_bench_policy *queue_create(struct waxwing_bench_sim *sim,
						 const struct waxwing_bench_policy_ops *ops)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct queue_policy *policy = g_new0(struct queue_policy, 1);

	policy->base.ops = ops;
	policy->base.sim = sim;
	policy->lanes = by_branch(policy) ? (uint32_t)workload->profile->branch_count : 1;
	policy->shares = by_issuer(policy) ? workload->instances : 1;
	policy->all = g_new0(struct share, (gsize)policy->shares * workload->profile->domains);
	for (uint32_t domain = 0; domain < workload->profile->domains; domain++) {
		for (uint32_t i = 0; i < policy->shares; i++)
			create_share(policy, domain, i);
	}
	return &policy->base;
}

static struct waxwing_bench_policy *fifo_create(struct waxwing_bench_sim *sim)
{
	return queue_create(sim, &waxwing_bench_policy_fifo);
}

static struct waxwing_bench_policy *fastest_create(struct waxwing_bench_sim *sim)
{
	return queue_create(sim, &waxwing_bench_policy_fastest);
}

static struct waxwing_bench_policy *fair_create(struct waxwing_bench_sim *sim)
{
	return queue_create(sim, &waxwing_bench_policy_fair);
}

static struct waxwing_bench_policy *shares_create(struct waxwing_bench_sim *sim)
{
	return queue_create(sim, &waxwing_bench_policy_shares);
}

static void queue_destroy(struct waxwing_bench_policy *base)
{
	struct queue_policy *policy = (struct queue_policy *)base;
	uint32_t domains = waxwing_bench_sim_workload(base->sim)->profile->domains;

	for (uint32_t i = 0; i < policy->shares * domains; i++) {
		for (uint32_t lane = 0; lane < policy->lanes; lane++)
			g_queue_clear(&policy->all[i].lanes[lane]);
		g_free(policy->all[i].lanes);
		g_free(policy->all[i].free);
	}
	g_free(policy->all);
	g_free(policy);
}

/* Takes the next wanted task of a lane. */
static bool lane_pop(struct queue_policy *policy, GQueue *lane, uint32_t *task)
{
	while (!g_queue_is_empty(lane)) {
		*task = GPOINTER_TO_UINT(g_queue_pop_head(lane)) - 1;
		if (waxwing_bench_sim_wanted(policy->base.sim, *task))
			return true;
	}
	return false;
}

static bool share_pop(struct queue_policy *policy, struct share *share, uint32_t *task)
{
	for (uint32_t i = 0; i < policy->lanes; i++) {
		GQueue *lane = &share->lanes[share->next_lane];

		share->next_lane = (share->next_lane + 1) % policy->lanes;
		if (lane_pop(policy, lane, task))
			return true;
	}
	return false;
}

static bool share_find_slot(const struct queue_policy *policy, struct share *share, uint32_t count,
			    uint32_t *upstream)
{
	uint32_t from = fastest_first(policy) ? 0 : share->next_upstream;

	for (uint32_t i = 0; i < count; i++) {
		*upstream = (from + i) % count;
		if (share->free[*upstream]) {
			share->next_upstream = *upstream + 1;
			return true;
		}
	}
	return false;
}

static void share_place(struct queue_policy *policy, struct share *share, uint32_t domain)
{
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(policy->base.sim, domain, &first);
	uint32_t upstream;
	uint32_t task;

	while (share_find_slot(policy, share, count, &upstream) &&
	       share_pop(policy, share, &task)) {
		share->free[upstream]--;
		waxwing_bench_sim_start(policy->base.sim, task, first + upstream);
	}
}

static struct share *share_of(struct queue_policy *policy, const struct waxwing_bench_job *job)
{
	return &policy->all[job->domain * policy->shares + job->issuer % policy->shares];
}

static void queue_arrive(struct waxwing_bench_policy *base, uint32_t number)
{
	struct queue_policy *policy = (struct queue_policy *)base;
	const struct waxwing_bench_job *job = &waxwing_bench_sim_workload(base->sim)->jobs[number];
	struct share *share = share_of(policy, job);
	GQueue *lane = &share->lanes[by_branch(policy) ? job->branch : 0];

	for (uint32_t i = 0; i < job->task_count; i++)
		g_queue_push_tail(lane, GUINT_TO_POINTER(job->first_task + i + 1));
	share_place(policy, share, job->domain);
}

static void queue_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct queue_policy *policy = (struct queue_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *job = &workload->jobs[workload->tasks[task].job];
	struct share *share = share_of(policy, job);
	uint32_t first;

	(void)outcome;
	(void)run_ms;
	waxwing_bench_sim_upstreams(base->sim, job->domain, &first);
	share->free[upstream - first]++;
	share_place(policy, share, job->domain);
}

/* Tasks no longer wanted are passed over when their turn comes. */
static void queue_withdraw(struct waxwing_bench_policy *base, uint32_t job)
{
	(void)base;
	(void)job;
}

#define QUEUE_OPS                                                                                  \
	.destroy = queue_destroy, .arrive = queue_arrive, .ended = queue_ended,                    \
	.withdraw = queue_withdraw

const struct waxwing_bench_policy_ops waxwing_bench_policy_fifo = {
	.name = "fifo",
	.about = "one queue in order of arrival, any free slot",
	.create = fifo_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_fastest = {
	.name = "fastest",
	.about = "one queue in order of arrival, fastest free slot, never holding back",
	.create = fastest_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_fair = {
	.name = "fair",
	.about = "one queue a branch in turn, any free slot",
	.create = fair_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_shares = {
	.name = "shares",
	.about = "each instance with its own queue and a fixed share of the slots, fastest first",
	.create = shares_create,
	QUEUE_OPS,
};
