/*
 * Baselines with FIFO queues that send tasks to free slots only.
 */
#include "bench_policy.h"

#include <glib.h>

/** Queues and the slots on which their tasks may run. */
struct partition {
	GQueue *queues; /**< elements are task number + 1, so never null */
	uint32_t *free_slots; /**< number of free slots, by upstream of the domain */
	uint32_t next_queue;
	uint32_t next_upstream;
};

struct queue_policy {
	struct waxwing_bench_policy base;
	uint32_t queue_count; /**< queues per partition */
	uint32_t partition_count; /**< partitions per domain */
	struct partition *partitions;
};

static bool has_branch_queues(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_fair;
}

static bool has_partitions(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_shares;
}

/*
 * Returns true if a task goes to the fastest free upstream. A domain's upstreams are numbered from
 * the fastest.
 */
static bool fastest_first(const struct queue_policy *policy)
{
	return policy->base.ops == &waxwing_bench_policy_shares ||
	       policy->base.ops == &waxwing_bench_policy_fastest;
}

static uint32_t partition_of_slot(const struct queue_policy *policy, uint32_t slot)
{
	return has_partitions(policy) ?
		       waxwing_bench_instance_at_turn(policy->partition_count, slot) :
		       0;
}

static void create_partition(struct queue_policy *policy, uint32_t domain, uint32_t number)
{
	const struct waxwing_bench_profile *profile =
		waxwing_bench_sim_workload(policy->base.sim)->profile;
	struct partition *partition =
		&policy->partitions[domain * policy->partition_count + number];
	uint32_t upstreams = profile->upstreams[domain];

	partition->queues = g_new0(GQueue, policy->queue_count);
	for (uint32_t i = 0; i < policy->queue_count; i++)
		g_queue_init(&partition->queues[i]);
	partition->free_slots = g_new0(uint32_t, upstreams);
	for (uint32_t i = 0; i < upstreams * profile->slots; i++) {
		if (partition_of_slot(policy, i) == number)
			partition->free_slots[i / profile->slots]++;
	}
}

static struct waxwing_bench_policy *queue_create(struct waxwing_bench_sim *sim,
						 const struct waxwing_bench_policy_ops *ops)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	struct queue_policy *policy = g_new0(struct queue_policy, 1);

	policy->base.ops = ops;
	policy->base.sim = sim;
	policy->queue_count =
		has_branch_queues(policy) ? (uint32_t)workload->profile->branch_count : 1;
	policy->partition_count = has_partitions(policy) ? workload->instances : 1;
	policy->partitions = g_new0(struct partition,
				    (gsize)policy->partition_count * workload->profile->domains);
	for (uint32_t domain = 0; domain < workload->profile->domains; domain++) {
		for (uint32_t i = 0; i < policy->partition_count; i++)
			create_partition(policy, domain, i);
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

	for (uint32_t i = 0; i < policy->partition_count * domains; i++) {
		for (uint32_t queue = 0; queue < policy->queue_count; queue++)
			g_queue_clear(&policy->partitions[i].queues[queue]);
		g_free(policy->partitions[i].queues);
		g_free(policy->partitions[i].free_slots);
	}
	g_free(policy->partitions);
	g_free(policy);
}

/* Removes a queue's next task that is still wanted. Returns false if there is none. */
static bool queue_pop(struct queue_policy *policy, GQueue *queue, uint32_t *task)
{
	while (!g_queue_is_empty(queue)) {
		*task = GPOINTER_TO_UINT(g_queue_pop_head(queue)) - 1;
		if (waxwing_bench_sim_task_wanted(policy->base.sim, *task))
			return true;
	}
	return false;
}

static bool partition_pop(struct queue_policy *policy, struct partition *partition, uint32_t *task)
{
	for (uint32_t i = 0; i < policy->queue_count; i++) {
		GQueue *queue = &partition->queues[partition->next_queue];

		partition->next_queue = (partition->next_queue + 1) % policy->queue_count;
		if (queue_pop(policy, queue, task))
			return true;
	}
	return false;
}

static bool partition_find_slot(const struct queue_policy *policy, struct partition *partition,
				uint32_t count, uint32_t *upstream)
{
	uint32_t from = fastest_first(policy) ? 0 : partition->next_upstream;

	for (uint32_t i = 0; i < count; i++) {
		*upstream = (from + i) % count;
		if (partition->free_slots[*upstream]) {
			partition->next_upstream = *upstream + 1;
			return true;
		}
	}
	return false;
}

static void partition_start_tasks(struct queue_policy *policy, struct partition *partition,
				  uint32_t domain)
{
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(policy->base.sim, domain, &first);
	uint32_t upstream;
	uint32_t task;

	while (partition_find_slot(policy, partition, count, &upstream) &&
	       partition_pop(policy, partition, &task)) {
		partition->free_slots[upstream]--;
		waxwing_bench_sim_start_task(policy->base.sim, task, first + upstream);
	}
}

static struct partition *partition_of_job(struct queue_policy *policy,
					  const struct waxwing_bench_job *job)
{
	return &policy->partitions[job->domain * policy->partition_count +
				   job->issuer % policy->partition_count];
}

static void queue_job_arrived(struct waxwing_bench_policy *base, uint32_t number)
{
	struct queue_policy *policy = (struct queue_policy *)base;
	const struct waxwing_bench_job *job = &waxwing_bench_sim_workload(base->sim)->jobs[number];
	struct partition *partition = partition_of_job(policy, job);
	GQueue *queue = &partition->queues[has_branch_queues(policy) ? job->branch : 0];

	for (uint32_t i = 0; i < job->task_count; i++)
		g_queue_push_tail(queue, GUINT_TO_POINTER(job->first_task + i + 1));
	partition_start_tasks(policy, partition, job->domain);
}

static void queue_task_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			     enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct queue_policy *policy = (struct queue_policy *)base;
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(base->sim);
	const struct waxwing_bench_job *job = &workload->jobs[workload->tasks[task].job];
	struct partition *partition = partition_of_job(policy, job);
	uint32_t first;

	(void)outcome;
	(void)run_ms;
	waxwing_bench_sim_upstreams(base->sim, job->domain, &first);
	partition->free_slots[upstream - first]++;
	partition_start_tasks(policy, partition, job->domain);
}

/* Does nothing: queue_pop() skips tasks that are no longer wanted. */
static void queue_job_aborted(struct waxwing_bench_policy *base, uint32_t job)
{
	(void)base;
	(void)job;
}

#define QUEUE_OPS                                                                                  \
	.destroy = queue_destroy, .job_arrived = queue_job_arrived,                                \
	.task_ended = queue_task_ended, .job_aborted = queue_job_aborted

const struct waxwing_bench_policy_ops waxwing_bench_policy_fifo = {
	.name = "fifo",
	.description = "one queue in order of arrival, any free slot",
	.create = fifo_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_fastest = {
	.name = "fastest",
	.description = "one queue in order of arrival, fastest free slot, never holding back",
	.create = fastest_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_fair = {
	.name = "fair",
	.description = "one queue per branch, served round robin; any free slot",
	.create = fair_create,
	QUEUE_OPS,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_shares = {
	.name = "shares",
	.description =
		"each instance with its own queue and a fixed share of the slots, fastest first",
	.create = shares_create,
	QUEUE_OPS,
};
