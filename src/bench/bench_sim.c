#include "bench_sim.h"

#include "bench_event.h"

#include <glib.h>

/** An upstream that fails everything answers after this. */
#define FAIL_FAST_US 5000
/** When, in parts of the arrivals' span, one upstream of each domain fails everything. */
#define FAIL_FROM  0.40
#define FAIL_UNTIL 0.45
/** When a wave of cancellations comes, and the share of the running jobs that it takes. */
#define CANCEL_AT    0.60
#define CANCEL_EVERY 3
/** A run is over so long after its last arrival, whatever still waits. */
#define RUN_ON_US (INT64_C(3600) * 1000 * 1000)
/** Answered jobs between two reports of progress. */
#define PROGRESS_EVERY 20000

struct upstream {
	uint32_t slots;
	uint32_t used;
	uint32_t domain;
	double speed;
	int64_t fails_from_us;
	int64_t fails_until_us;
	GQueue waiting; /**< of task + 1 as pointer */
};

struct waxwing_bench_sim {
	const struct waxwing_bench_workload *workload;
	struct waxwing_bench_policy *policy;
	struct waxwing_bench_events events;
	int64_t now_us;
	struct upstream *upstreams;
	uint32_t upstream_count;
	struct waxwing_bench_task_run *tasks;
	struct waxwing_bench_job_run *jobs;
	uint32_t answered;
	uint32_t in_flight; /**< tasks sent whose end the issuer hasn't heard */
	struct waxwing_bench_sim_counts counts;
};

static int64_t last_arrival_us(const struct waxwing_bench_workload *workload)
{
	return workload->job_count ? workload->jobs[workload->job_count - 1].intended_us : 0;
}

static void create_upstreams(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_profile *profile = sim->workload->profile;
	double span_us = (double)last_arrival_us(sim->workload);
	uint32_t at = 0;

	sim->upstream_count = waxwing_bench_profile_upstreams(profile);
	sim->upstreams = g_new0(struct upstream, sim->upstream_count);
	for (uint32_t domain = 0; domain < profile->domains; domain++) {
		uint32_t count = profile->upstreams[domain];

		for (uint32_t i = 0; i < count; i++, at++) {
			struct upstream *upstream = &sim->upstreams[at];

			upstream->slots = profile->slots;
			upstream->domain = domain;
			upstream->speed = waxwing_bench_profile_speed(profile, i, count);
			upstream->fails_from_us = WAXWING_BENCH_NEVER_US;
			if (sim->workload->faults && i == domain) {
				upstream->fails_from_us = (int64_t)(span_us * FAIL_FROM);
				upstream->fails_until_us = (int64_t)(span_us * FAIL_UNTIL);
			}
			g_queue_init(&upstream->waiting);
		}
	}
}

static void push(struct waxwing_bench_sim *sim, int64_t at_us, enum waxwing_bench_event_kind kind,
		 const struct waxwing_bench_message *message)
{
	waxwing_bench_events_push(&sim->events, at_us, kind, message);
}

static void push_arrivals(struct waxwing_bench_sim *sim)
{
	const struct waxwing_bench_workload *workload = sim->workload;
	struct waxwing_bench_message wave = { 0 };

	for (uint32_t i = 0; i < workload->job_count; i++) {
		const struct waxwing_bench_job *job = &workload->jobs[i];
		struct waxwing_bench_message message = { .job = i };
		int64_t at_us = job->intended_us + WAXWING_BENCH_CLIENT_US;

		sim->jobs[i].left = job->task_count;
		push(sim, at_us, WAXWING_BENCH_EVENT_ARRIVE, &message);
		if (job->resubmit_us)
			push(sim, at_us + job->resubmit_us, WAXWING_BENCH_EVENT_RESUBMIT, &message);
		if (job->deadline_us != WAXWING_BENCH_NEVER_US)
			push(sim, at_us + job->deadline_us, WAXWING_BENCH_EVENT_DEADLINE, &message);
	}
	if (workload->faults)
		push(sim, (int64_t)((double)last_arrival_us(workload) * CANCEL_AT),
		     WAXWING_BENCH_EVENT_CANCEL, &wave);
}

struct waxwing_bench_sim *waxwing_bench_sim_create(const struct waxwing_bench_workload *workload,
						   const struct waxwing_bench_policy_ops *ops)
{
	struct waxwing_bench_sim *sim = g_new0(struct waxwing_bench_sim, 1);

	sim->workload = workload;
	waxwing_bench_events_init(&sim->events);
	sim->tasks = g_new0(struct waxwing_bench_task_run, workload->task_count);
	sim->jobs = g_new0(struct waxwing_bench_job_run, workload->job_count);
	create_upstreams(sim);
	push_arrivals(sim);
	sim->policy = ops->create(sim);
	return sim;
}

void waxwing_bench_sim_destroy(struct waxwing_bench_sim *sim)
{
	sim->policy->ops->destroy(sim->policy);
	for (uint32_t i = 0; i < sim->upstream_count; i++)
		g_queue_clear(&sim->upstreams[i].waiting);
	waxwing_bench_events_clear(&sim->events);
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

bool waxwing_bench_sim_wanted(const struct waxwing_bench_sim *sim, uint32_t task)
{
	return sim->tasks[task].state == WAXWING_BENCH_TASK_QUEUED &&
	       sim->jobs[sim->workload->tasks[task].job].state == WAXWING_BENCH_JOB_RUNNING;
}

void waxwing_bench_sim_post(struct waxwing_bench_sim *sim, int64_t delay_us,
			    const struct waxwing_bench_message *message)
{
	sim->counts.control_messages += delay_us > 0;
	push(sim, sim->now_us + delay_us, WAXWING_BENCH_EVENT_MESSAGE, message);
}

void waxwing_bench_sim_wake(struct waxwing_bench_sim *sim, int64_t at_us,
			    const struct waxwing_bench_message *message)
{
	push(sim, at_us, WAXWING_BENCH_EVENT_MESSAGE, message);
}

void waxwing_bench_sim_count_unused(struct waxwing_bench_sim *sim)
{
	sim->counts.unused++;
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

double waxwing_bench_sim_speed(const struct waxwing_bench_sim *sim, uint32_t upstream)
{
	return sim->upstreams[upstream].speed;
}

const struct waxwing_bench_task_run *waxwing_bench_sim_task_run(const struct waxwing_bench_sim *sim,
								uint32_t task)
{
	return &sim->tasks[task];
}

const struct waxwing_bench_job_run *waxwing_bench_sim_job_run(const struct waxwing_bench_sim *sim,
							      uint32_t job)
{
	return &sim->jobs[job];
}

const struct waxwing_bench_sim_counts *waxwing_bench_sim_counts(const struct waxwing_bench_sim *sim)
{
	return &sim->counts;
}

/* Counted from the upstreams' side: an answer that claims more than they ran is partial. */
static bool all_done(const struct waxwing_bench_sim *sim, uint32_t job)
{
	const struct waxwing_bench_job *drawn = &sim->workload->jobs[job];

	for (uint32_t i = 0; i < drawn->task_count; i++) {
		if (!sim->tasks[drawn->first_task + i].done)
			return false;
	}
	return true;
}

static void answer(struct waxwing_bench_sim *sim, uint32_t job, enum waxwing_bench_job_state state)
{
	sim->jobs[job].state = state;
	sim->jobs[job].answered_us = sim->now_us + WAXWING_BENCH_CLIENT_US;
	sim->answered++;
	if (state == WAXWING_BENCH_JOB_COMPLETE && !all_done(sim, job))
		sim->counts.partial_answers++;
}

void waxwing_bench_sim_refuse(struct waxwing_bench_sim *sim, uint32_t job, bool admitted)
{
	if (sim->jobs[job].state != WAXWING_BENCH_JOB_RUNNING)
		return;
	if (sim->jobs[job].committed)
		answer(sim, job, WAXWING_BENCH_JOB_ABANDONED);
	else
		answer(sim, job, admitted ? WAXWING_BENCH_JOB_DROPPED : WAXWING_BENCH_JOB_REFUSED);
}

/* Ends a job that its policy still works on. */
static void give_up(struct waxwing_bench_sim *sim, uint32_t job, enum waxwing_bench_job_state state)
{
	answer(sim, job, state);
	sim->policy->ops->withdraw(sim->policy, job);
}

static void deadline_passed(struct waxwing_bench_sim *sim, uint32_t job)
{
	if (sim->jobs[job].state != WAXWING_BENCH_JOB_RUNNING)
		return;
	give_up(sim, job,
		sim->jobs[job].committed ? WAXWING_BENCH_JOB_LATE : WAXWING_BENCH_JOB_DROPPED);
}

static void cancel_wave(struct waxwing_bench_sim *sim)
{
	for (uint32_t i = 0; i < sim->workload->job_count; i++) {
		bool arrived =
			sim->workload->jobs[i].intended_us + WAXWING_BENCH_CLIENT_US < sim->now_us;

		if (!arrived)
			break;
		if (sim->jobs[i].state == WAXWING_BENCH_JOB_RUNNING && i % CANCEL_EVERY == 0)
			give_up(sim, i, WAXWING_BENCH_JOB_CANCELLED);
	}
}

void waxwing_bench_sim_start(struct waxwing_bench_sim *sim, uint32_t task, uint32_t upstream)
{
	struct waxwing_bench_message message = { .task = task, .upstream = upstream };

	g_assert(waxwing_bench_sim_wanted(sim, task));
	sim->tasks[task].state = WAXWING_BENCH_TASK_COMMITTED;
	sim->jobs[sim->workload->tasks[task].job].committed++;
	sim->in_flight++;
	push(sim, sim->now_us + WAXWING_BENCH_NET_US, WAXWING_BENCH_EVENT_START, &message);
}

static void run_task(struct waxwing_bench_sim *sim, uint32_t task, uint32_t at)
{
	struct upstream *upstream = &sim->upstreams[at];
	struct waxwing_bench_task_run *run = &sim->tasks[task];
	bool fails =
		sim->now_us >= upstream->fails_from_us && sim->now_us < upstream->fails_until_us;
	struct waxwing_bench_message message = {
		.task = task,
		.upstream = at,
		.outcome = fails ? WAXWING_SLOT_FAILED : WAXWING_SLOT_DONE,
	};

	upstream->used++;
	sim->counts.starts++;
	sim->counts.failed_starts += fails;
	run->starts++;
	if (run->starts > 1)
		sim->counts.double_starts++;
	run->start_us = sim->now_us;
	run->end_us =
		sim->now_us +
		(fails ? FAIL_FAST_US :
			 (int64_t)((double)sim->workload->tasks[task].work_us / upstream->speed));
	push(sim, run->end_us, WAXWING_BENCH_EVENT_END, &message);
}

static void send_answer(struct waxwing_bench_sim *sim, const struct waxwing_bench_message *message)
{
	push(sim, sim->now_us + WAXWING_BENCH_NET_US, WAXWING_BENCH_EVENT_ANSWER, message);
}

static void start_arrived(struct waxwing_bench_sim *sim,
			  const struct waxwing_bench_message *message)
{
	struct upstream *upstream = &sim->upstreams[message->upstream];
	struct waxwing_bench_message busy = *message;

	if (upstream->used < upstream->slots) {
		run_task(sim, message->task, message->upstream);
	} else if (sim->policy->ops->queues_at_upstream) {
		g_queue_push_tail(&upstream->waiting, GUINT_TO_POINTER(message->task + 1));
	} else {
		sim->counts.busy++;
		busy.outcome = WAXWING_SLOT_BUSY;
		send_answer(sim, &busy);
	}
}

static void task_ended(struct waxwing_bench_sim *sim, const struct waxwing_bench_message *message)
{
	struct upstream *upstream = &sim->upstreams[message->upstream];
	struct waxwing_bench_message ended = *message;
	struct waxwing_bench_task_run *run = &sim->tasks[message->task];

	upstream->used--;
	run->done = message->outcome == WAXWING_SLOT_DONE;
	ended.value = (uint32_t)((run->end_us - run->start_us) / WAXWING_BENCH_US_PER_MS);
	send_answer(sim, &ended);
	while (upstream->used < upstream->slots && !g_queue_is_empty(&upstream->waiting)) {
		uint32_t next = GPOINTER_TO_UINT(g_queue_pop_head(&upstream->waiting)) - 1;

		run_task(sim, next, message->upstream);
	}
}

static void account_end(struct waxwing_bench_sim *sim, uint32_t task,
			enum waxwing_slot_outcome outcome)
{
	uint32_t job = sim->workload->tasks[task].job;
	struct waxwing_bench_job_run *run = &sim->jobs[job];

	if (outcome == WAXWING_SLOT_BUSY) {
		sim->tasks[task].state = WAXWING_BENCH_TASK_QUEUED;
		run->committed--;
		return;
	}
	sim->tasks[task].state =
		outcome == WAXWING_SLOT_DONE ? WAXWING_BENCH_TASK_DONE : WAXWING_BENCH_TASK_FAILED;
	if (outcome == WAXWING_SLOT_DONE)
		run->left--;
	if (run->state != WAXWING_BENCH_JOB_RUNNING)
		return;
	if (outcome == WAXWING_SLOT_FAILED)
		give_up(sim, job, WAXWING_BENCH_JOB_FAILED);
	else if (!run->left)
		answer(sim, job, WAXWING_BENCH_JOB_COMPLETE);
}

static void dispatch(struct waxwing_bench_sim *sim, const struct waxwing_bench_event *event)
{
	const struct waxwing_bench_message *message = &event->message;
	struct waxwing_bench_policy *policy = sim->policy;

	switch (event->kind) {
	case WAXWING_BENCH_EVENT_ARRIVE:
		policy->ops->arrive(policy, message->job);
		break;
	case WAXWING_BENCH_EVENT_RESUBMIT:
		sim->counts.resubmissions++;
		break;
	case WAXWING_BENCH_EVENT_DEADLINE:
		deadline_passed(sim, message->job);
		break;
	case WAXWING_BENCH_EVENT_START:
		start_arrived(sim, message);
		break;
	case WAXWING_BENCH_EVENT_END:
		task_ended(sim, message);
		break;
	case WAXWING_BENCH_EVENT_ANSWER:
		sim->in_flight--;
		account_end(sim, message->task, (enum waxwing_slot_outcome)message->outcome);
		policy->ops->ended(policy, message->task, message->upstream,
				   (enum waxwing_slot_outcome)message->outcome, message->value);
		break;
	case WAXWING_BENCH_EVENT_CANCEL:
		cancel_wave(sim);
		break;
	case WAXWING_BENCH_EVENT_MESSAGE:
		policy->ops->message(policy, message);
		break;
	}
}

static void check_not_run(struct waxwing_bench_sim *sim)
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
	int64_t latest_us = last_arrival_us(sim->workload) + RUN_ON_US;
	struct waxwing_bench_event event;
	uint32_t reported = 0;

	while (waxwing_bench_events_pop(&sim->events, &event) && event.at_us < latest_us) {
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
	check_not_run(sim);
}
