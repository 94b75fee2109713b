/*
 * The scheduler under test, one per domain: without message delay to any issuer (central), or on
 * the first entry instance, one network delay away from the others (cell).
 */
#include "bench_policy.h"

#include "scheduler.h"

#include <glib.h>
#include <stdio.h>

/** Size of an upstream's name, with the terminating null. */
#define MAX_NAME_BYTES 16

enum cell_message_type {
	MESSAGE_OFFER, /**< issuer to scheduler: a new job */
	MESSAGE_GRANT, /**< scheduler to issuer: start the task on the upstream */
	MESSAGE_REFUSAL, /**< scheduler to issuer: job refused; value: 1 if it was admitted */
	MESSAGE_SLOT_END, /**< issuer to scheduler: the slot of the task is free */
	MESSAGE_WITHDRAWAL, /**< issuer to scheduler: the job was aborted */
	MESSAGE_TIMER, /**< a timer of the scheduler expires */
};

struct cell {
	struct waxwing_scheduler *scheduler;
	int64_t wake_ms; /**< when the earliest pending timer expires; INT64_MAX: none */
};

struct cell_policy {
	struct waxwing_bench_policy base;
	struct cell *cells;
	char (*names)[MAX_NAME_BYTES]; /**< upstreams' names, by upstream number */
};

static int64_t now_ms(const struct cell_policy *policy)
{
	return waxwing_bench_sim_now_us(policy->base.sim) / WAXWING_BENCH_US_PER_MS;
}

static const struct waxwing_bench_job *job_by_number(const struct cell_policy *policy,
						     uint32_t number)
{
	return &waxwing_bench_sim_workload(policy->base.sim)->jobs[number];
}

static const struct waxwing_bench_job *job_of_task(const struct cell_policy *policy, uint32_t task)
{
	return job_by_number(policy, waxwing_bench_sim_workload(policy->base.sim)->tasks[task].job);
}

static struct waxwing_job_key job_key(const struct cell_policy *policy, uint32_t number)
{
	return (struct waxwing_job_key){ .issuer = job_by_number(policy, number)->issuer + 1,
					 .job = number };
}

static struct waxwing_str upstream_name(const struct cell_policy *policy, uint32_t upstream)
{
	return waxwing_str(policy->names[upstream]);
}

static void set_branches(struct cell_policy *policy, struct waxwing_scheduler *scheduler)
{
	const struct waxwing_bench_profile *profile =
		waxwing_bench_sim_workload(policy->base.sim)->profile;

	for (size_t i = 0; i < profile->branch_count; i++) {
		struct waxwing_branch_policy branch = {
			.branch = waxwing_str(profile->branches[i].name),
			.weight = 1,
			.declared_ms = profile->branches[i].declared_ms,
		};

		waxwing_scheduler_set_branch(scheduler, 0, &branch);
	}
}

static void create_cell(struct cell_policy *policy, uint32_t domain)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	bool remote = policy->base.ops == &waxwing_bench_policy_cell;
	struct waxwing_scheduler_options options = {
		.seed = workload->seed,
		.round_trip_ms = remote ? 1 : 0,
	};
	struct cell *cell = &policy->cells[domain];
	uint32_t first;
	uint32_t count = waxwing_bench_sim_upstreams(policy->base.sim, domain, &first);

	cell->scheduler = waxwing_scheduler_create(&options);
	cell->wake_ms = INT64_MAX;
	set_branches(policy, cell->scheduler);
	for (uint32_t i = first; i < first + count; i++)
		waxwing_scheduler_set_upstream(cell->scheduler, 0, upstream_name(policy, i),
					       workload->profile->slots, WAXWING_UPSTREAM_LIVE);
}

static struct waxwing_bench_policy *create_policy(struct waxwing_bench_sim *sim,
						  const struct waxwing_bench_policy_ops *ops)
{
	const struct waxwing_bench_profile *profile = waxwing_bench_sim_workload(sim)->profile;
	uint32_t upstreams = waxwing_bench_profile_upstreams(profile);
	struct cell_policy *policy = g_new0(struct cell_policy, 1);

	policy->base.ops = ops;
	policy->base.sim = sim;
	policy->names = g_malloc0_n(upstreams, MAX_NAME_BYTES);
	for (uint32_t i = 0; i < upstreams; i++)
		snprintf(policy->names[i], MAX_NAME_BYTES, "%u", i);
	policy->cells = g_new0(struct cell, profile->domains);
	for (uint32_t i = 0; i < profile->domains; i++)
		create_cell(policy, i);
	return &policy->base;
}

static struct waxwing_bench_policy *central_create(struct waxwing_bench_sim *sim)
{
	return create_policy(sim, &waxwing_bench_policy_central);
}

static struct waxwing_bench_policy *cell_create(struct waxwing_bench_sim *sim)
{
	return create_policy(sim, &waxwing_bench_policy_cell);
}

static void cell_destroy(struct waxwing_bench_policy *base)
{
	struct cell_policy *policy = (struct cell_policy *)base;
	uint32_t domains = waxwing_bench_sim_workload(base->sim)->profile->domains;

	for (uint32_t i = 0; i < domains; i++)
		waxwing_scheduler_destroy(policy->cells[i].scheduler);
	g_free(policy->cells);
	g_free(policy->names);
	g_free(policy);
}

static void handle_message(struct waxwing_bench_policy *base,
			   const struct waxwing_bench_message *message);

/* Sends a message between the scheduler and an issuer, in either direction. */
static void send_message(struct cell_policy *policy, struct waxwing_bench_message *message)
{
	const struct waxwing_bench_job *job = job_by_number(policy, message->job);
	bool remote = policy->base.ops == &waxwing_bench_policy_cell && job->issuer != 0;

	message->domain = job->domain;
	if (remote)
		waxwing_bench_sim_post_message(policy->base.sim, WAXWING_BENCH_NETWORK_DELAY_US,
					       message);
	else
		handle_message(&policy->base, message);
}

static void set_timer(struct cell_policy *policy, uint32_t domain)
{
	struct cell *cell = &policy->cells[domain];
	int64_t wake_ms = waxwing_scheduler_next_wake(cell->scheduler);
	struct waxwing_bench_message message = { .type = MESSAGE_TIMER, .domain = domain };

	if (wake_ms >= cell->wake_ms || wake_ms == INT64_MAX)
		return;
	cell->wake_ms = MAX(wake_ms, now_ms(policy) + 1);
	waxwing_bench_sim_set_timer(policy->base.sim, cell->wake_ms * WAXWING_BENCH_US_PER_MS,
				    &message);
}

static void take_actions(struct cell_policy *policy, uint32_t domain)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	struct cell *cell = &policy->cells[domain];
	struct waxwing_action action;

	while (waxwing_scheduler_next_action(cell->scheduler, now_ms(policy), &action)) {
		struct waxwing_bench_message message = { .job = (uint32_t)action.key.job };

		if (action.kind == WAXWING_ACTION_GRANT) {
			uint64_t upstream = 0;

			waxwing_str_to_u64(action.upstream, 10, &upstream);
			message.type = MESSAGE_GRANT;
			message.task = workload->jobs[message.job].first_task + action.task;
			message.upstream = (uint32_t)upstream;
		} else {
			message.type = MESSAGE_REFUSAL;
			message.value = true;
		}
		send_message(policy, &message);
	}
	set_timer(policy, domain);
}

static void offer_job(struct cell_policy *policy, uint32_t number)
{
	const struct waxwing_bench_workload *workload =
		waxwing_bench_sim_workload(policy->base.sim);
	const struct waxwing_bench_job *job = job_by_number(policy, number);
	struct waxwing_bench_message refusal = { .type = MESSAGE_REFUSAL, .job = number };
	uint32_t *declared_ms = g_new(uint32_t, job->task_count);
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_offer offer = {
		.key = job_key(policy, number),
		.branch = waxwing_str(workload->profile->branches[job->branch].name),
		.task_count = job->task_count,
		.admitted_ms = (job->intended_us + WAXWING_BENCH_CLIENT_DELAY_US) /
			       WAXWING_BENCH_US_PER_MS,
		.deadline_ms = INT64_MAX,
		.declared_ms = declared_ms,
	};

	if (job->deadline_us != WAXWING_BENCH_NEVER_US)
		offer.deadline_ms = offer.admitted_ms + job->deadline_us / WAXWING_BENCH_US_PER_MS;
	for (uint32_t i = 0; i < job->task_count; i++)
		declared_ms[i] = workload->tasks[job->first_task + i].declared_ms;
	if (waxwing_scheduler_offer(policy->cells[job->domain].scheduler, now_ms(policy), &offer,
				    &error) != WAXWING_OK)
		send_message(policy, &refusal);
	g_free(declared_ms);
}

static void handle_grant(struct cell_policy *policy, const struct waxwing_bench_message *message)
{
	struct waxwing_bench_message slot_end = *message;

	if (waxwing_bench_sim_task_wanted(policy->base.sim, message->task)) {
		waxwing_bench_sim_start_task(policy->base.sim, message->task, message->upstream);
		return;
	}
	waxwing_bench_sim_count_unused_grant(policy->base.sim);
	slot_end.type = MESSAGE_SLOT_END;
	slot_end.outcome = WAXWING_SLOT_UNUSED;
	send_message(policy, &slot_end);
}

static void handle_slot_end(struct cell_policy *policy, const struct waxwing_bench_message *message)
{
	const struct waxwing_bench_job *job = job_of_task(policy, message->task);

	waxwing_scheduler_slot_ended(policy->cells[job->domain].scheduler, now_ms(policy),
				     job_key(policy, message->job), message->task - job->first_task,
				     upstream_name(policy, message->upstream),
				     (enum waxwing_slot_outcome)message->outcome, message->value);
}

static void handle_message(struct waxwing_bench_policy *base,
			   const struct waxwing_bench_message *message)
{
	struct cell_policy *policy = (struct cell_policy *)base;
	struct cell *cell = &policy->cells[message->domain];

	switch ((enum cell_message_type)message->type) {
	case MESSAGE_GRANT:
		handle_grant(policy, message);
		return;
	case MESSAGE_REFUSAL:
		waxwing_bench_sim_refuse_job(base->sim, message->job, message->value);
		return;
	case MESSAGE_OFFER:
		offer_job(policy, message->job);
		break;
	case MESSAGE_SLOT_END:
		handle_slot_end(policy, message);
		break;
	case MESSAGE_WITHDRAWAL:
		waxwing_scheduler_withdraw(cell->scheduler, now_ms(policy),
					   job_key(policy, message->job));
		break;
	case MESSAGE_TIMER:
		cell->wake_ms = INT64_MAX;
		break;
	}
	take_actions(policy, message->domain);
}

static void cell_job_arrived(struct waxwing_bench_policy *base, uint32_t job)
{
	struct waxwing_bench_message message = { .type = MESSAGE_OFFER, .job = job };

	send_message((struct cell_policy *)base, &message);
}

static void cell_task_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			    enum waxwing_slot_outcome outcome, uint32_t run_ms)
{
	struct waxwing_bench_message message = {
		.type = MESSAGE_SLOT_END,
		.job = waxwing_bench_sim_workload(base->sim)->tasks[task].job,
		.task = task,
		.upstream = upstream,
		.outcome = outcome,
		.value = run_ms,
	};

	send_message((struct cell_policy *)base, &message);
}

static void cell_job_aborted(struct waxwing_bench_policy *base, uint32_t job)
{
	struct waxwing_bench_message message = { .type = MESSAGE_WITHDRAWAL, .job = job };

	send_message((struct cell_policy *)base, &message);
}

const struct waxwing_bench_policy_ops waxwing_bench_policy_central = {
	.name = "central",
	.description = "the scheduler without message delay to any issuer",
	.create = central_create,
	.destroy = cell_destroy,
	.job_arrived = cell_job_arrived,
	.task_ended = cell_task_ended,
	.job_aborted = cell_job_aborted,
	.receive = handle_message,
};

const struct waxwing_bench_policy_ops waxwing_bench_policy_cell = {
	.name = "cell",
	.description =
		"the scheduler on one entry instance of each domain; others reach it by messages",
	.create = cell_create,
	.destroy = cell_destroy,
	.job_arrived = cell_job_arrived,
	.task_ended = cell_task_ended,
	.job_aborted = cell_job_aborted,
	.receive = handle_message,
};
