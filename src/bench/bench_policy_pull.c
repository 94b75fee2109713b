/*
 * Baseline: each upstream is owned by one instance, and owners pull single tasks from the queues of
 * their peers into free slots.
 *
 * Issuers tell all owners when a job arrives how many tasks they have queued and how small their first
 * job is; owners hear it a message later and ask for the smallest job that they know of. The issuer asked starts its next task on the slot,
 * or says that it has none. Smaller jobs go first; owners fill their fastest upstream first.
 */
#include "bench_policy.h"

#include <glib.h>

enum message_type {
	MESSAGE_BACKLOG, /**< issuer to owner; value: tasks queued, head: of the first job */
	MESSAGE_PULL, /**< owner to issuer, for a slot of the upstream */
	MESSAGE_TAKEN, /**< issuer to owner, as a backlog */
	MESSAGE_EMPTY, /**< issuer to owner: nothing queued for the slot of the upstream */
	MESSAGE_END, /**< issuer to owner: the slot of the upstream is free */
};

struct queued_job {
	uint32_t job;
	uint32_t next; /**< task */
	uint32_t end; /**< past the last task */
};

struct instance {
	GSequence *queue; /**< of struct queued_job, smaller jobs first */
	uint32_t *backlog; /**< of each instance of the domain, as heard */
	uint32_t *head; /**< tasks left of each one's first job, as heard */
};

struct pull_policy {
	struct waxwing_bench_policy base;
	struct instance *instances; /**< by domain and number */
	uint32_t per_domain;
	uint32_t *free; /**< slots by upstream */
	uint32_t *owner; /**< instance number by upstream */
};

static const struct waxwing_bench_workload *workload_of(const struct pull_policy *policy)
{
	return waxwing_bench_sim_workload(policy->base.sim);
}

static struct instance *instance_at(struct pull_policy *policy, uint32_t domain, uint32_t number)
{
	return &policy->instances[domain * policy->per_domain + number];
}

static struct waxwing_bench_policy *pull_create(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	uint32_t upstreams = waxwing_bench_profile_upstreams(workload->profile);
	uint32_t domains = workload->profile->domains;
	struct pull_policy *policy = g_new0(struct pull_policy, 1);

	policy->base.ops = &waxwing_bench_policy_pull;
	policy->base.sim = sim;
	policy->per_domain = workload->instances;
	policy->free = g_new0(uint32_t, upstreams);
	policy->owner = g_new0(uint32_t, upstreams);
	policy->instances = g_new0(struct instance, (gsize)domains * policy->per_domain);
	for (uint32_t i = 0; i < domains * policy->per_domain; i++) {
		policy->instances[i].queue = g_sequence_new(g_free);
		policy->instances[i].backlog = g_new0(uint32_t, policy->per_domain);
		policy->instances[i].head = g_new0(uint32_t, policy->per_domain);
	}
	for (uint32_t domain = 0; domain < domains; domain++) {
		uint32_t first;
		uint32_t count = waxwing_bench_sim_upstreams(sim, domain, &first);

		for (uint32_t i = 0; i < count; i++) {
			policy->free[first + i] = workload->profile->slots;
			policy->owner[first + i] =
				waxwing_bench_instance_of_turn(policy->per_domain, i);
		}
	}
	return &policy->base;
}

static void pull_destroy(struct waxwing_bench_policy *base)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	uint32_t domains = workload_of(policy)->profile->domains;

	for (uint32_t i = 0; i < domains * policy->per_domain; i++) {
		g_sequence_free(policy->instances[i].queue);
		g_free(policy->instances[i].backlog);
		g_free(policy->instances[i].head);
	}
	g_free(policy->instances);
	g_free(policy->free);
	g_free(policy->owner);
	g_free(policy);
}

static void pull_message(struct waxwing_bench_policy *base,
			 const struct waxwing_bench_message *message);

/* Between an issuer and an owner of one domain, either way. */
static void post(struct pull_policy *policy, const struct waxwing_bench_message *message,
		 uint32_t owner)
{
	if (message->issuer == owner)
		pull_message(&policy->base, message);
	else
		waxwing_bench_sim_post(policy->base.sim, WAXWING_BENCH_NET_US, message);
}

static gint compare_queued(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct queued_job *a = left;
	const struct queued_job *b = right;
	uint32_t left_tasks = a->end - a->next;
	uint32_t right_tasks = b->end - b->next;

	(void)data;
	if (left_tasks != right_tasks)
		return left_tasks < right_tasks ? -1 : 1;
	return (a->job > b->job) - (a->job < b->job);
}

static void tell_backlog(const struct instance *instance, struct waxwing_bench_message *message)
{
	GSequenceIter *at = g_sequence_get_begin_iter(instance->queue);

	message->value = 0;
	message->head = 0;
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		const struct queued_job *queued = g_sequence_get(at);

		message->value += queued->end - queued->next;
		if (!message->head)
			message->head = queued->end - queued->next;
	}
}

/* Takes the issuer's next wanted task. */
static bool next_task(struct pull_policy *policy, struct instance *instance, uint32_t *task)
{
	while (!g_sequence_is_empty(instance->queue)) {
		GSequenceIter *first = g_sequence_get_begin_iter(instance->queue);
		struct queued_job *queued = g_sequence_get(first);

		if (queued->next < queued->end) {
			*task = queued->next++;
			if (waxwing_bench_sim_wanted(policy->base.sim, *task))
				return true;
		} else {
			g_sequence_remove(first);
		}
	}
	return false;
}

static bool smallest_head(const struct pull_policy *policy, const struct instance *owner,
			  uint32_t *issuer)
{
	bool found = false;

	for (uint32_t i = 0; i < policy->per_domain; i++) {
		if (!owner->backlog[i] || (found && owner->head[i] >= owner->head[*issuer]))
			continue;
		*issuer = i;
		found = true;
	}
	return found;
}

/* Upstreams of a domain are numbered from the fastest. */
static bool free_upstream(const struct pull_policy *policy, uint32_t domain, uint32_t owner,
			  uint32_t *upstream)
{
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(policy->base.sim, domain, &first);

	for (uint32_t i = first; i < first + count; i++) {
		if (policy->owner[i] == owner && policy->free[i]) {
			*upstream = i;
			return true;
		}
	}
	return false;
}

static void fill_slots(struct pull_policy *policy, uint32_t domain, uint32_t number)
{
	struct instance *owner = instance_at(policy, domain, number);
	struct waxwing_bench_message message = { .type = MESSAGE_PULL, .domain = domain };

	while (smallest_head(policy, owner, &message.issuer) &&
	       free_upstream(policy, domain, number, &message.upstream)) {
		owner->backlog[message.issuer]--;
		policy->free[message.upstream]--;
		post(policy, &message, number);
	}
}

static void pulled(struct pull_policy *policy, const struct waxwing_bench_message *message)
{
	struct instance *issuer = instance_at(policy, message->domain, message->issuer);
	struct waxwing_bench_message reply = *message;
	uint32_t task;

	if (next_task(policy, issuer, &task)) {
		waxwing_bench_sim_start(policy->base.sim, task, message->upstream);
		reply.type = MESSAGE_TAKEN;
		tell_backlog(issuer, &reply);
	} else {
		waxwing_bench_sim_count_unused(policy->base.sim);
		reply.type = MESSAGE_EMPTY;
	}
	post(policy, &reply, policy->owner[message->upstream]);
}

static void pull_message(struct waxwing_bench_policy *base,
			 const struct waxwing_bench_message *message)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	uint32_t number =
		message->type == MESSAGE_BACKLOG ? message->task : policy->owner[message->upstream];
	struct instance *owner = instance_at(policy, message->domain, number);

	switch ((enum message_type)message->type) {
	case MESSAGE_PULL:
		pulled(policy, message);
		return;
	case MESSAGE_BACKLOG:
	case MESSAGE_TAKEN:
		owner->backlog[message->issuer] = message->value;
		owner->head[message->issuer] = message->head;
		break;
	case MESSAGE_EMPTY:
		owner->backlog[message->issuer] = 0;
		policy->free[message->upstream]++;
		break;
	case MESSAGE_END:
		policy->free[message->upstream]++;
		break;
	}
	fill_slots(policy, message->domain, number);
}

static void pull_arrive(struct waxwing_bench_policy *base, uint32_t number)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	const struct waxwing_bench_job *job = &workload_of(policy)->jobs[number];
	struct instance *issuer = instance_at(policy, job->domain, job->issuer);
	struct queued_job *queued = g_new(struct queued_job, 1);
	struct waxwing_bench_message message = {
		.type = MESSAGE_BACKLOG,
		.domain = job->domain,
		.issuer = job->issuer,
	};

	*queued = (struct queued_job){ number, job->first_task, job->first_task + job->task_count };
	g_sequence_insert_sorted(issuer->queue, queued, compare_queued, NULL);
	tell_backlog(issuer, &message);
	for (uint32_t i = 0; i < policy->per_domain; i++) {
		message.task = i; /* the owner that it goes to */
		post(policy, &message, i);
	}
}

static void pull_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
		       enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	const struct waxwing_bench_workload *workload = workload_of(policy);
	const struct waxwing_bench_job *job = &workload->jobs[workload->tasks[task].job];
	struct waxwing_bench_message message = {
		.type = MESSAGE_END,
		.domain = job->domain,
		.issuer = job->issuer,
		.upstream = upstream,
	};

	(void)outcome;
	(void)run_ms;
	post(policy, &message, policy->owner[upstream]);
}

/* Tasks no longer wanted are passed over when their turn comes. */
static void pull_withdraw(struct waxwing_bench_policy *base, uint32_t job)
{
	(void)base;
	(void)job;
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_pull = {
	.name = "pull",
	.about = "owners of upstreams pull single tasks from their peers' queues",
	.create = pull_create,
	.destroy = pull_destroy,
	.arrive = pull_arrive,
	.ended = pull_ended,
	.withdraw = pull_withdraw,
	.message = pull_message,
};
