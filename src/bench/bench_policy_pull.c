/*
 * Baseline: each upstream is owned by one instance, and owners pull single tasks from the queues
 * of all instances into free slots.
 *
 * When a job arrives, its issuer tells all owners how many tasks it has queued and the size of its
 * first job. Jobs with fewer queued tasks come first. An owner pulls from the issuer with the
 * smallest first job, as last reported, and fills its fastest upstream first. The issuer starts its
 * next task on the free slot, or answers that no task is queued.
 */
#include "bench_policy.h"

#include <glib.h>

enum pull_message_type {
	MESSAGE_BACKLOG, /**< issuer to owner; value: queued tasks; head_tasks: in first job */
	MESSAGE_PULL, /**< owner to issuer: a slot of the upstream is free */
	MESSAGE_TAKEN, /**< issuer to owner: a task was started; same values as MESSAGE_BACKLOG */
	MESSAGE_EMPTY, /**< issuer to owner: no task is queued for the upstream's free slot */
	MESSAGE_SLOT_END, /**< issuer to owner: a slot of the upstream is free again */
};

struct queued_job {
	uint32_t job;
	uint32_t next_task;
	uint32_t end_task; /**< one past the last task */
};

struct pull_instance {
	GSequence *queue; /**< of struct queued_job, those with fewer queued tasks first */
	uint32_t *backlog; /**< queued tasks by instance of the domain, as last reported */
	uint32_t *head_tasks; /**< queued tasks of each instance's first job, as last reported */
};

struct pull_policy {
	struct waxwing_bench_policy base;
	struct pull_instance *instances; /**< by domain, then instance */
	uint32_t instances_per_domain;
	uint32_t *free_slots; /**< free slots by upstream */
	uint32_t *owner; /**< owning instance by upstream */
};

static const struct waxwing_bench_workload *workload_of(const struct pull_policy *policy)
{
	return waxwing_bench_sim_workload(policy->base.sim);
}

static struct pull_instance *instance_at(struct pull_policy *policy, uint32_t domain,
					 uint32_t number)
{
	return &policy->instances[domain * policy->instances_per_domain + number];
}

static struct waxwing_bench_policy *pull_create(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = waxwing_bench_sim_workload(sim);
	uint32_t upstreams = waxwing_bench_profile_upstreams(workload->profile);
	uint32_t domains = workload->profile->domains;
	struct pull_policy *policy = g_new0(struct pull_policy, 1);

	policy->base.ops = &waxwing_bench_policy_pull;
	policy->base.sim = sim;
	policy->instances_per_domain = workload->instances;
	policy->free_slots = g_new0(uint32_t, upstreams);
	policy->owner = g_new0(uint32_t, upstreams);
	policy->instances =
		g_new0(struct pull_instance, (gsize)domains * policy->instances_per_domain);
	for (uint32_t i = 0; i < domains * policy->instances_per_domain; i++) {
		policy->instances[i].queue = g_sequence_new(g_free);
		policy->instances[i].backlog = g_new0(uint32_t, policy->instances_per_domain);
		policy->instances[i].head_tasks = g_new0(uint32_t, policy->instances_per_domain);
	}
	for (uint32_t domain = 0; domain < domains; domain++) {
		uint32_t first;
		uint32_t count = waxwing_bench_sim_upstreams(sim, domain, &first);

		for (uint32_t i = 0; i < count; i++) {
			policy->free_slots[first + i] = workload->profile->slots;
			policy->owner[first + i] =
				waxwing_bench_instance_at_turn(policy->instances_per_domain, i);
		}
	}
	return &policy->base;
}

static void pull_destroy(struct waxwing_bench_policy *base)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	uint32_t domains = workload_of(policy)->profile->domains;

	for (uint32_t i = 0; i < domains * policy->instances_per_domain; i++) {
		g_sequence_free(policy->instances[i].queue);
		g_free(policy->instances[i].backlog);
		g_free(policy->instances[i].head_tasks);
	}
	g_free(policy->instances);
	g_free(policy->free_slots);
	g_free(policy->owner);
	g_free(policy);
}

static void pull_receive(struct waxwing_bench_policy *base,
			 const struct waxwing_bench_message *message);

/* Sends a message between an issuer and an owner of one domain, in either direction. */
static void send_message(struct pull_policy *policy, const struct waxwing_bench_message *message,
			 uint32_t owner)
{
	if (message->issuer == owner)
		pull_receive(&policy->base, message);
	else
		waxwing_bench_sim_post_message(policy->base.sim, WAXWING_BENCH_NETWORK_DELAY_US,
					       message);
}

static gint compare_queued(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct queued_job *a = left;
	const struct queued_job *b = right;
	uint32_t left_tasks = a->end_task - a->next_task;
	uint32_t right_tasks = b->end_task - b->next_task;

	(void)data;
	if (left_tasks != right_tasks)
		return left_tasks < right_tasks ? -1 : 1;
	return (a->job > b->job) - (a->job < b->job);
}

static void fill_backlog(const struct pull_instance *instance,
			 struct waxwing_bench_message *message)
{
	GSequenceIter *at = g_sequence_get_begin_iter(instance->queue);

	message->value = 0;
	message->head_tasks = 0;
	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
		const struct queued_job *queued = g_sequence_get(at);

		message->value += queued->end_task - queued->next_task;
		if (!message->head_tasks)
			message->head_tasks = queued->end_task - queued->next_task;
	}
}

/* Removes the issuer's next task that is still wanted. Returns false if there is none. */
static bool pop_task(struct pull_policy *policy, struct pull_instance *instance, uint32_t *task)
{
	while (!g_sequence_is_empty(instance->queue)) {
		GSequenceIter *first = g_sequence_get_begin_iter(instance->queue);
		struct queued_job *queued = g_sequence_get(first);

		if (queued->next_task < queued->end_task) {
			*task = queued->next_task++;
			if (waxwing_bench_sim_task_wanted(policy->base.sim, *task))
				return true;
		} else {
			g_sequence_remove(first);
		}
	}
	return false;
}

static bool find_smallest_head(const struct pull_policy *policy, const struct pull_instance *owner,
			       uint32_t *issuer)
{
	bool found = false;

	for (uint32_t i = 0; i < policy->instances_per_domain; i++) {
		if (!owner->backlog[i] ||
		    (found && owner->head_tasks[i] >= owner->head_tasks[*issuer]))
			continue;
		*issuer = i;
		found = true;
	}
	return found;
}

/* Finds the owner's fastest upstream with a free slot; upstreams are numbered from the fastest. */
static bool find_free_upstream(const struct pull_policy *policy, uint32_t domain, uint32_t owner,
			       uint32_t *upstream)
{
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(policy->base.sim, domain, &first);

	for (uint32_t i = first; i < first + count; i++) {
		if (policy->owner[i] == owner && policy->free_slots[i]) {
			*upstream = i;
			return true;
		}
	}
	return false;
}

static void pull_tasks(struct pull_policy *policy, uint32_t domain, uint32_t number)
{
	struct pull_instance *owner = instance_at(policy, domain, number);
	struct waxwing_bench_message message = { .type = MESSAGE_PULL, .domain = domain };

	while (find_smallest_head(policy, owner, &message.issuer) &&
	       find_free_upstream(policy, domain, number, &message.upstream)) {
		owner->backlog[message.issuer]--;
		policy->free_slots[message.upstream]--;
		send_message(policy, &message, number);
	}
}

static void handle_pull(struct pull_policy *policy, const struct waxwing_bench_message *message)
{
	struct pull_instance *issuer = instance_at(policy, message->domain, message->issuer);
	struct waxwing_bench_message reply = *message;
	uint32_t task;

	if (pop_task(policy, issuer, &task)) {
		waxwing_bench_sim_start_task(policy->base.sim, task, message->upstream);
		reply.type = MESSAGE_TAKEN;
		fill_backlog(issuer, &reply);
	} else {
		waxwing_bench_sim_count_unused_grant(policy->base.sim);
		reply.type = MESSAGE_EMPTY;
	}
	send_message(policy, &reply, policy->owner[message->upstream]);
}

static void pull_receive(struct waxwing_bench_policy *base,
			 const struct waxwing_bench_message *message)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	uint32_t number =
		message->type == MESSAGE_BACKLOG ? message->task : policy->owner[message->upstream];
	struct pull_instance *owner = instance_at(policy, message->domain, number);

	switch ((enum pull_message_type)message->type) {
	case MESSAGE_PULL:
		handle_pull(policy, message);
		return;
	case MESSAGE_BACKLOG:
	case MESSAGE_TAKEN:
		owner->backlog[message->issuer] = message->value;
		owner->head_tasks[message->issuer] = message->head_tasks;
		break;
	case MESSAGE_EMPTY:
		owner->backlog[message->issuer] = 0;
		policy->free_slots[message->upstream]++;
		break;
	case MESSAGE_SLOT_END:
		policy->free_slots[message->upstream]++;
		break;
	}
	pull_tasks(policy, message->domain, number);
}

static void pull_job_arrived(struct waxwing_bench_policy *base, uint32_t number)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	const struct waxwing_bench_job *job = &workload_of(policy)->jobs[number];
	struct pull_instance *issuer = instance_at(policy, job->domain, job->issuer);
	struct queued_job *queued = g_new(struct queued_job, 1);
	struct waxwing_bench_message message = {
		.type = MESSAGE_BACKLOG,
		.domain = job->domain,
		.issuer = job->issuer,
	};

	*queued = (struct queued_job){ number, job->first_task, job->first_task + job->task_count };
	g_sequence_insert_sorted(issuer->queue, queued, compare_queued, NULL);
	fill_backlog(issuer, &message);
	for (uint32_t i = 0; i < policy->instances_per_domain; i++) {
		message.task = i; /* the owner that receives the message */
		send_message(policy, &message, i);
	}
}

static void pull_task_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			    enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct pull_policy *policy = (struct pull_policy *)base;
	const struct waxwing_bench_workload *workload = workload_of(policy);
	const struct waxwing_bench_job *job = &workload->jobs[workload->tasks[task].job];
	struct waxwing_bench_message message = {
		.type = MESSAGE_SLOT_END,
		.domain = job->domain,
		.issuer = job->issuer,
		.upstream = upstream,
	};

	(void)outcome;
	(void)run_ms;
	send_message(policy, &message, policy->owner[upstream]);
}

/* Does nothing: pop_task() skips tasks that are no longer wanted. */
static void pull_job_aborted(struct waxwing_bench_policy *base, uint32_t job)
{
	(void)base;
	(void)job;
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_pull = {
	.name = "pull",
	.description = "owners of upstreams pull single tasks from their peers' queues",
	.create = pull_create,
	.destroy = pull_destroy,
	.job_arrived = pull_job_arrived,
	.task_ended = pull_task_ended,
	.job_aborted = pull_job_aborted,
	.receive = pull_receive,
};
