#include "bench_sim.h"

#include "bench_event.h"

#include <glib.h>

/** Run time of a task on an upstream that fails all tasks. */
#define FAILED_RUN_US 5000
/**
 * One upstream per domain fails all tasks in this interval; its ends are shares of the time until
 * the last job is sent.
 */
#define FAIL_FROM_SHARE	 0.40
#define FAIL_UNTIL_SHARE 0.45
/** When callers cancel jobs, as a share of the time until the last job is sent. */
#define CANCEL_AT_SHARE 0.60
/** Running jobs whose number is a multiple of this are cancelled. */
#define CANCEL_EVERY 3
/** A run ends this long after the last job is sent, even with jobs unanswered. */
#define MAX_DRAIN_US (INT64_C(3600) * 1000 * 1000)
/** Answered jobs between two progress reports. */
#define PROGRESS_EVERY 20000

struct sim_upstream {
	uint32_t slots;
	uint32_t used_slots;
	uint32_t domain;
	double speed;
	int64_t fails_from_us;
	int64_t fails_until_us;
	GQueue queue; /**< elements are task number + 1, so never null */
};

struct waxwing_bench_sim {
	const struct waxwing_bench_workload *workload;
	struct waxwing_bench_policy *policy;
	struct waxwing_bench_event_queue events;
	int64_t now_us;
	struct sim_upstream *upstreams;
	uint32_t upstream_count;
	struct waxwing_bench_task_result *tasks;
	struct waxwing_bench_job_result *jobs;
	uint32_t answered;
	uint32_t in_flight; /**< tasks sent whose answer has not reached the issuer */
	struct waxwing_bench_sim_counts counts;
};

static int64_t last_intended_us(const struct waxwing_bench_workload *workload)
{
	return workload->job_count ? workload->jobs[workload->job_count - 1].intended_us : 0;
}

static void create_upstreams(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_profile *profile = sim->workload->profile;
	double span_us = (double)last_intended_us(sim->workload);
	uint32_t at = 0;

	sim->upstream_count = waxwing_bench_profile_upstreams(profile);
	sim->upstreams = g_new0(struct sim_upstream, sim->upstream_count);
	for (uint32_t domain = 0; domain < profile->domains; domain++) {
		uint32_t count = profile->upstreams[domain];

		for (uint32_t i = 0; i < count; i++, at++) {
			struct sim_upstream *upstream = &sim->upstreams[at];

			upstream->slots = profile->slots;
			upstream->domain = domain;
			upstream->speed = waxwing_bench_profile_speed(profile, i, count);
			upstream->fails_from_us = WAXWING_BENCH_NEVER_US;
			if (sim->workload->faults && i == domain) {
				upstream->fails_from_us = (int64_t)(span_us * FAIL_FROM_SHARE);
				upstream->fails_until_us = (int64_t)(span_us * FAIL_UNTIL_SHARE);
			}
			g_queue_init(&upstream->queue);
		}
	}
}

static void push_event(struct waxwing_bench_sim *sim, int64_t at_us,
		       enum waxwing_bench_event_kind kind,
		       const struct waxwing_bench_message *message)
{
	waxwing_bench_event_queue_push(&sim->events, at_us, kind, message);
}

static void push_arrivals(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = sim->workload;
	struct waxwing_bench_message cancellations = { 0 };

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		struct waxwing_bench_message message = { .job = i };
		int64_t at_us = job->intended_us + WAXWING_BENCH_CLIENT_DELAY_US;

		sim->jobs[i].tasks_left = job->task_count;
		push_event(sim, at_us, WAXWING_BENCH_EVENT_JOB_ARRIVAL, &message);
		if (job->resubmit_us)
			push_event(sim, at_us + job->resubmit_us, WAXWING_BENCH_EVENT_RESUBMISSION,
				   &message);
		if (job->deadline_us != WAXWING_BENCH_NEVER_US)
			push_event(sim, at_us + job->deadline_us, WAXWING_BENCH_EVENT_DEADLINE,
				   &message);
	}
	if (workload->faults)
		push_event(sim, (int64_t)((double)last_intended_us(workload) * CANCEL_AT_SHARE),
			   WAXWING_BENCH_EVENT_CANCELLATIONS, &cancellations);
}

struct waxwing_bench_sim *waxwing_bench_sim_create(const struct waxwing_bench_workload *workload,
						   const struct waxwing_bench_policy_ops *ops)
{
	struct waxwing_bench_sim *sim = g_new0(struct waxwing_bench_sim, 1);

	sim->workload = workload;
	waxwing_bench_event_queue_init(&sim->events);
	sim->tasks = g_new0(struct waxwing_bench_task_result, workload->task_count);
	sim->jobs = g_new0(struct waxwing_bench_job_result, workload->job_count);
	create_upstreams(sim);
	push_arrivals(sim);
	sim->policy = ops->create(sim);
	return sim;
}

void waxwing_bench_sim_destroy(struct waxwing_bench_sim *sim)
{
	sim->policy->ops->destroy(sim->policy);
	for (uint32_t i = 0; i < sim->upstream_count; i++)
		g_queue_clear(&sim->upstreams[i].queue);
	waxwing_bench_event_queue_clear(&sim->events);
	g_free(sim->upstreams);
	g_free(sim->tasks);
	g_free(sim->jobs);
	g_free(sim);
}

const struct waxwing_bench_workload *waxwing_bench_sim_workload(const struct waxwing_bench_sim *sim)
{
	return sim->workload;
}

int64_t waxwing_bench_sim_now_us(const struct waxwing_bench_sim *sim)
{
	return sim->now_us;
}

bool waxwing_bench_sim_task_wanted(const struct waxwing_bench_sim *sim, uint32_t task)
{
	return sim->tasks[task].state == WAXWING_BENCH_TASK_QUEUED &&
	       sim->jobs[sim->workload->tasks[task].job].state == WAXWING_BENCH_JOB_RUNNING;
}

void waxwing_bench_sim_post_message(struct waxwing_bench_sim *sim, int64_t delay_us,
				    const struct waxwing_bench_message *message)
{
	sim->counts.control_messages += delay_us > 0;
	push_event(sim, sim->now_us + delay_us, WAXWING_BENCH_EVENT_POLICY_MESSAGE, message);
}

void waxwing_bench_sim_set_timer(struct waxwing_bench_sim *sim, int64_t at_us,
				 const struct waxwing_bench_message *message)
{
	push_event(sim, at_us, WAXWING_BENCH_EVENT_POLICY_MESSAGE, message);
}

void waxwing_bench_sim_count_unused_grant(struct waxwing_bench_sim *sim)
{
	sim->counts.unused_grants++;
}

uint32_t waxwing_bench_sim_upstreams(const struct waxwing_bench_sim *sim, uint32_t domain,
				     uint32_t *first)
{
	const struct waxwing_bench_profile *profile = sim->workload->profile;

	*first = 0;
	for (uint32_t i = 0; i < domain; i++)
		*first += profile->upstreams[i];
	return profile->upstreams[domain];
}

double waxwing_bench_sim_upstream_speed(const struct waxwing_bench_sim *sim, uint32_t upstream)
{
	return sim->upstreams[upstream].speed;
}

const struct waxwing_bench_task_result *
waxwing_bench_sim_task_result(const struct waxwing_bench_sim *sim, uint32_t task)
{
	return &sim->tasks[task];
}

const struct waxwing_bench_job_result *
waxwing_bench_sim_job_result(const struct waxwing_bench_sim *sim, uint32_t job)
{
	return &sim->jobs[job];
}

const struct waxwing_bench_sim_counts *waxwing_bench_sim_counts(const struct waxwing_bench_sim *sim)
{
	return &sim->counts;
}

/* Returns true if all tasks succeeded at the upstreams; detects partial "complete" answers. */
static bool all_succeeded(const struct waxwing_bench_sim *sim, uint32_t job)
{
	const struct waxwing_bench_job *workload_job = &sim->workload->jobs[job];

	for (uint32_t i = 0; i < workload_job->task_count; i++) {
		if (!sim->tasks[workload_job->first_task + i].succeeded)
			return false;
	}
	return true;
}

static void answer_job(struct waxwing_bench_sim *sim, uint32_t job,
		       enum waxwing_bench_job_state state)
{
	sim->jobs[job].state = state;
	sim->jobs[job].answered_us = sim->now_us + WAXWING_BENCH_CLIENT_DELAY_US;
	sim->answered++;
	if (state == WAXWING_BENCH_JOB_COMPLETE && !all_succeeded(sim, job))
		sim->counts.partial_answers++;
}

void waxwing_bench_sim_refuse_job(struct waxwing_bench_sim *sim, uint32_t job, bool admitted)
{
	if (sim->jobs[job].state != WAXWING_BENCH_JOB_RUNNING)
		return;
	if (sim->jobs[job].tasks_committed)
		answer_job(sim, job, WAXWING_BENCH_JOB_ABANDONED);
	else
		answer_job(sim, job,
			   admitted ? WAXWING_BENCH_JOB_DROPPED : WAXWING_BENCH_JOB_REFUSED);
}

/* Ends a running job and notifies its policy. */
static void abort_job(struct waxwing_bench_sim *sim, uint32_t job,
		      enum waxwing_bench_job_state state)
{
	answer_job(sim, job, state);
	sim->policy->ops->job_aborted(sim->policy, job);
}

static void handle_deadline(struct waxwing_bench_sim *sim, uint32_t job)
{
	if (sim->jobs[job].state != WAXWING_BENCH_JOB_RUNNING)
		return;
	abort_job(sim, job,
		  sim->jobs[job].tasks_committed ? WAXWING_BENCH_JOB_LATE :
						   WAXWING_BENCH_JOB_DROPPED);
}

static void cancel_jobs(struct waxwing_bench_sim *sim)
{
	for (uint32_t i = 0; i < sim->workload->job_count; i++) {
		bool arrived = sim->workload->jobs[i].intended_us + WAXWING_BENCH_CLIENT_DELAY_US <
			       sim->now_us;

		if (!arrived)
			break;
		if (sim->jobs[i].state == WAXWING_BENCH_JOB_RUNNING && i % CANCEL_EVERY == 0)
			abort_job(sim, i, WAXWING_BENCH_JOB_CANCELLED);
	}
}

void waxwing_bench_sim_start_task(struct waxwing_bench_sim *sim, uint32_t task, uint32_t upstream)
{
	struct waxwing_bench_message message = { .task = task, .upstream = upstream };

	g_assert(waxwing_bench_sim_task_wanted(sim, task));
	sim->tasks[task].state = WAXWING_BENCH_TASK_COMMITTED;
	sim->jobs[sim->workload->tasks[task].job].tasks_committed++;
	sim->in_flight++;
	push_event(sim, sim->now_us + WAXWING_BENCH_NETWORK_DELAY_US,
		   WAXWING_BENCH_EVENT_TASK_START, &message);
}

static void run_task(struct waxwing_bench_sim *sim, uint32_t task, uint32_t at)
{
	struct sim_upstream *upstream = &sim->upstreams[at];
	struct waxwing_bench_task_result *result = &sim->tasks[task];
	bool fails =
		sim->now_us >= upstream->fails_from_us && sim->now_us < upstream->fails_until_us;
	struct waxwing_bench_message message = {
		.task = task,
		.upstream = at,
		.outcome = fails ? WAXWING_SLOT_FAILED : WAXWING_SLOT_DONE,
	};

	upstream->used_slots++;
	sim->counts.starts++;
	sim->counts.failed_starts += fails;
	result->starts++;
	if (result->starts > 1)
		sim->counts.double_starts++;
	result->start_us = sim->now_us;
	result->end_us =
		sim->now_us +
		(fails ? FAILED_RUN_US :
			 (int64_t)((double)sim->workload->tasks[task].work_us / upstream->speed));
	push_event(sim, result->end_us, WAXWING_BENCH_EVENT_TASK_END, &message);
}

static void push_answer(struct waxwing_bench_sim *sim, const struct waxwing_bench_message *message)
{
	push_event(sim, sim->now_us + WAXWING_BENCH_NETWORK_DELAY_US,
		   WAXWING_BENCH_EVENT_TASK_ANSWER, message);
}

static void handle_start(struct waxwing_bench_sim *sim, const struct waxwing_bench_message *message)
{
	struct sim_upstream *upstream = &sim->upstreams[message->upstream];
	struct waxwing_bench_message busy = *message;

	if (upstream->used_slots < upstream->slots) {
		run_task(sim, message->task, message->upstream);
	} else if (sim->policy->ops->queues_at_upstream) {
		g_queue_push_tail(&upstream->queue, GUINT_TO_POINTER(message->task + 1));
	} else {
		sim->counts.busy_answers++;
		busy.outcome = WAXWING_SLOT_BUSY;
		push_answer(sim, &busy);
	}
}

static void handle_task_end(struct waxwing_bench_sim *sim,
			    const struct waxwing_bench_message *message)
{
	struct sim_upstream *upstream = &sim->upstreams[message->upstream];
	struct waxwing_bench_message ended = *message;
	struct waxwing_bench_task_result *result = &sim->tasks[message->task];

	upstream->used_slots--;
	result->succeeded = message->outcome == WAXWING_SLOT_DONE;
	ended.value = (uint32_t)((result->end_us - result->start_us) / WAXWING_BENCH_US_PER_MS);
	push_answer(sim, &ended);
	while (upstream->used_slots < upstream->slots && !g_queue_is_empty(&upstream->queue)) {
		uint32_t next = GPOINTER_TO_UINT(g_queue_pop_head(&upstream->queue)) - 1;

		run_task(sim, next, message->upstream);
	}
}

static void record_task_end(struct waxwing_bench_sim *sim, uint32_t task,
			    enum waxwing_slot_outcome outcome)
{
	uint32_t job = sim->workload->tasks[task].job;
	struct waxwing_bench_job_result *result = &sim->jobs[job];

	if (outcome == WAXWING_SLOT_BUSY) {
		sim->tasks[task].state = WAXWING_BENCH_TASK_QUEUED;
		result->tasks_committed--;
		return;
	}
	sim->tasks[task].state =
		outcome == WAXWING_SLOT_DONE ? WAXWING_BENCH_TASK_DONE : WAXWING_BENCH_TASK_FAILED;
	if (outcome == WAXWING_SLOT_DONE)
		result->tasks_left--;
	if (result->state != WAXWING_BENCH_JOB_RUNNING)
		return;
	if (outcome == WAXWING_SLOT_FAILED)
		abort_job(sim, job, WAXWING_BENCH_JOB_FAILED);
	else if (!result->tasks_left)
		answer_job(sim, job, WAXWING_BENCH_JOB_COMPLETE);
}

static void dispatch(struct waxwing_bench_sim *sim, const struct waxwing_bench_event *event)
{
	const struct waxwing_bench_message *message = &event->message;
	struct waxwing_bench_policy *policy = sim->policy;

	switch (event->kind) {
	case WAXWING_BENCH_EVENT_JOB_ARRIVAL:
		policy->ops->job_arrived(policy, message->job);
		break;
	case WAXWING_BENCH_EVENT_RESUBMISSION:
		sim->counts.resubmissions++;
		break;
	case WAXWING_BENCH_EVENT_DEADLINE:
		handle_deadline(sim, message->job);
		break;
	case WAXWING_BENCH_EVENT_TASK_START:
		handle_start(sim, message);
		break;
	case WAXWING_BENCH_EVENT_TASK_END:
		handle_task_end(sim, message);
		break;
	case WAXWING_BENCH_EVENT_TASK_ANSWER:
		sim->in_flight--;
		record_task_end(sim, message->task, (enum waxwing_slot_outcome)message->outcome);
		policy->ops->task_ended(policy, message->task, message->upstream,
					(enum waxwing_slot_outcome)message->outcome,
					message->value);
		break;
	case WAXWING_BENCH_EVENT_CANCELLATIONS:
		cancel_jobs(sim);
		break;
	case WAXWING_BENCH_EVENT_POLICY_MESSAGE:
		policy->ops->receive(policy, message);
		break;
	}
}

static void count_false_not_run(struct waxwing_bench_sim *sim)
{
	for (uint32_t i = 0; i < sim->workload->job_count; i++) {
		const struct waxwing_bench_job *job = &sim->workload->jobs[i];
		enum waxwing_bench_job_state state = sim->jobs[i].state;
		uint32_t starts = 0;

		if (state != WAXWING_BENCH_JOB_REFUSED && state != WAXWING_BENCH_JOB_DROPPED)
			continue;
		for (uint32_t task = 0; task < job->task_count; task++)
			starts += sim->tasks[job->first_task + task].starts;
		sim->counts.false_not_run += starts > 0;
	}
}

void waxwing_bench_sim_run(struct waxwing_bench_sim *sim,
			   void (*progress)(uint32_t answered, uint32_t jobs))
{
	int64_t latest_us = last_intended_us(sim->workload) + MAX_DRAIN_US;
	struct waxwing_bench_event event;
	uint32_t reported = 0;

	while (waxwing_bench_event_queue_pop(&sim->events, &event) && event.at_us < latest_us) {
		sim->now_us = event.at_us;
		sim->counts.events++;
		dispatch(sim, &event);
		if (progress && sim->answered >= reported + PROGRESS_EVERY) {
			reported = sim->answered;
			progress(reported, sim->workload->job_count);
		}
		if (sim->answered == sim->workload->job_count && !sim->in_flight)
			break;
	}
	sim->counts.unanswered = sim->workload->job_count - sim->answered;
	count_false_not_run(sim);
}
