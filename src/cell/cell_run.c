#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/* Interval between stop orders for one run. */
#define STOP_RETRY_MS 250
/* How long an executor gets no new runs after a start met no capacity, an error or no answer. */
#define EXECUTOR_BACKOFF_MS 300
/*
 * Weight in the circuit breaker of a start that failed or was not answered, relative to a failed
 * task.
 */
#define START_FAILURE_WEIGHT 1.0
/* A call that is lost this soon after another one was answered does not put an executor out of use. */
#define HEARD_RECENTLY_MS 1000
/* Weight of one executor's speed in the moving average of its hardware kind. */
#define KIND_LEARNING_RATE 0.05
/* Increment of a task's run number after its executor rejected it as too old. */
#define STALE_RUN_INCREMENT 4

static void capacity_add(struct waxwing_capacity *sum, const struct waxwing_capacity *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_mb += part->mem_mb;
	sum->gpu += part->gpu;
}

static void capacity_subtract(struct waxwing_capacity *sum, const struct waxwing_capacity *part)
{
	sum->cpu_milli -= part->cpu_milli;
	sum->mem_mb -= part->mem_mb;
	sum->gpu -= part->gpu;
}

static void allocate(struct executor *executor, const struct waxwing_capacity *needs)
{
	capacity_add(&executor->allocated, needs);
	executor->load->allocated_milli += needs->cpu_milli;
}

struct cell_run *run_create(struct waxwing_cell *cell, struct executor *executor,
			    const struct waxwing_run_id *id, const struct waxwing_capacity *needs)
{
	struct cell_run *run = g_new0(struct cell_run, 1);

	run->id = *id;
	run->executor = executor;
	run->needs = *needs;
	run->far_factor = 1;
	allocate(executor, needs);
	g_ptr_array_add(executor->runs, run);
	cell->runs++;
	return run;
}

void run_free(struct waxwing_cell *cell, struct cell_run *run)
{
	struct executor *executor = run->executor;

	capacity_subtract(&executor->allocated, &run->needs);
	executor->load->allocated_milli -= run->needs.cpu_milli;
	g_ptr_array_remove_fast(executor->runs, run);
	if (!executor->runs->len)
		executor->lease_ms = cell->options.max_lease_ms;
	if (!run->job && run->first_seen_ms)
		executor->unknown_runs--;
	waxwing_breaker_task_ended(&executor->breaker);
	waxwing_warmup_ended(&executor->warmup, run->done);
	cell->runs--;
	g_free(run);
}

bool run_matches(const struct cell_run *run, const struct waxwing_run_id *id)
{
	return run->id.job == id->job && run->id.step == id->step && run->id.index == id->index &&
	       run->id.run == id->run && run->id.occurrence == id->occurrence;
}

struct cell_run *run_find(const struct executor *executor, const struct waxwing_run_id *id)
{
	for (guint i = 0; i < executor->runs->len; i++) {
		struct cell_run *run = executor->runs->pdata[i];

		if (run_matches(run, id))
			return run;
	}
	return NULL;
}

void run_adopt(struct waxwing_cell *cell, struct cell_run *run, struct cell_job *job)
{
	struct task *task = &job->steps[run->id.step].tasks[run->id.index];

	if (task->state == TASK_ASSIGNED || task->state == TASK_DONE || job->ended) {
		task->last_run = MAX(task->last_run, run->id.run);
		return; /* the run stays without a job, and is stopped */
	}
	/* the former owner started it, so the earlier steps have completed */
	if (task->state == TASK_BLOCKED)
		job_task_ready(cell, job, run->id.step, run->id.index);
	job_set_begun(job);
	run->executor->unknown_runs--;
	run->first_seen_ms = 0;
	run->job = job;
	run->needs = step_needs(job->steps[run->id.step].spec);
	run->far_factor = step_far_factor(cell, run->executor, job, run->id.step);
	allocate(run->executor, &run->needs);
	task->last_run = MAX(task->last_run, run->id.run);
	task->run = run;
	job_task_assigned(cell, job, run->id.step, run->id.index);
	waxwing_event("run_adopted", "job=%016llx step=%u index=%u run=%u executor=%s",
		      (unsigned long long)job->id, run->id.step, run->id.index, run->id.run,
		      run->executor->id);
}

void run_stop(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	struct waxwing_order_target target;

	run->state = RUN_STOPPING;
	run->list_deadline_ms = 0;
	run->next_stop_ms = now_ms + STOP_RETRY_MS;
	executor_target(cell, run->executor, &target);
	cell->options.ops->stop(cell->options.data, &target, &run->id);
}

static void learn_run_time(const struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	const Waxwing__JobStep *step = run->job->steps[run->id.step].spec;
	double ran_ms = (double)MAX(now_ms - run->started_ms, 1);
	struct waxwing_speed_estimate *speed = &run->executor->speed;
	struct waxwing_speed_estimate of_kind = run->executor->kind->speed;

	if (!near_learn(cell, run, &ran_ms))
		return;
	waxwing_estimate_learn(&run->job->queue->ratio, speed,
			       ran_ms / step_estimate_ms(step) * RATIO_SCALE);
	/* the kind's speed is the initial speed of executors added later */
	of_kind.log_speed += KIND_LEARNING_RATE * (speed->log_speed - of_kind.log_speed);
	of_kind.value += KIND_LEARNING_RATE * (speed->value - of_kind.value);
	run->executor->kind->speed = of_kind;
}

static void log_end(const struct cell_run *run, enum waxwing_run_end end, int64_t now_ms)
{
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };

	if (end == WAXWING_RUN_DONE)
		return;
	waxwing_event("run_ended",
		      "job=%016llx step=%u index=%u run=%u executor=%s how=%s ran_ms=%lld",
		      (unsigned long long)run->id.job, run->id.step, run->id.index, run->id.run,
		      run->executor->id, names[end], (long long)(now_ms - run->started_ms));
}

void run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
	       int64_t now_ms)
{
	struct cell_job *job = run->job;
	struct executor *executor = run->executor;
	struct waxwing_run_id id = run->id;
	bool long_running = run_is_long_running(run);

	log_end(run, end, now_ms);
	cell->done += end == WAXWING_RUN_DONE;
	cell->failed += end == WAXWING_RUN_FAILED;
	cell->lapsed += end == WAXWING_RUN_LAPSED;
	run->done = end == WAXWING_RUN_DONE;
	if (job && end == WAXWING_RUN_DONE && !long_running) {
		/* the speed of a backfill task depends on the other tasks on its executor */
		if (!job->steps[id.step].spec->fills && run->cold)
			cold_learn_factor(run, now_ms);
		else if (!job->steps[id.step].spec->fills)
			learn_run_time(cell, run, now_ms);
		waxwing_breaker_record_success(&executor->breaker, now_ms);
	}
	if (job)
		run_task(run)->run = NULL;
	if (long_running && !job->ended)
		long_running_ended(cell, run, end, now_ms);
	run_free(cell, run);
	if (end == WAXWING_RUN_FAILED)
		executor_add_failure(cell, executor, now_ms, 1);
	if (!job)
		return;
	job->assigned_tasks--;
	if (job->ended) {
		job->steps[id.step].tasks[id.index].state = TASK_DONE;
		job_free_if_unused(cell, job);
	} else if (long_running) {
		return;
	} else if (end == WAXWING_RUN_DONE) {
		job_task_done(cell, job, id.step, id.index, now_ms);
	} else if (end == WAXWING_RUN_FAILED) {
		job_run_failed(cell, job, &id, executor, now_ms);
	} else {
		job_task_ready(cell, job, id.step, id.index);
	}
}

/* Makes a task ready again after its run ended without a result. */
static void requeue_task(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			 uint32_t index)
{
	job->assigned_tasks--;
	if (job->ended)
		job_free_if_unused(cell, job);
	else
		job_task_ready(cell, job, step, index);
}

/* Discards a run that did not start, and makes its task ready again. */
static void discard_unstarted(struct waxwing_cell *cell, struct cell_run *run)
{
	struct cell_job *job = run->job;
	uint32_t step = run->id.step;
	uint32_t index = run->id.index;

	if (job)
		run_task(run)->run = NULL;
	run_free(cell, run);
	if (job)
		requeue_task(cell, job, step, index);
}

/* Returns true if the executor has answered the order, whether it started the run or not. */
static bool is_answer(enum waxwing_start_answer answer)
{
	return answer != WAXWING_START_UNKNOWN && answer != WAXWING_START_UNREACHABLE &&
	       answer != WAXWING_START_CLOSED;
}

static void learn_answer_time(struct waxwing_cell *cell, const struct cell_run *run, int64_t now_ms,
			      enum waxwing_start_answer answer)
{
	int64_t took_ms = now_ms - run->start_sent_ms;

	if (!run->start_sent_ms)
		return;
	if (is_answer(answer))
		waxwing_answer_time_add(&cell->answer_time, now_ms, took_ms);
	else if (answer == WAXWING_START_UNKNOWN && took_ms < WAXWING_START_TIMEOUT_MS)
		waxwing_answer_time_add_given_up(&cell->answer_time, now_ms);
}

/* Asks for a list that shows what became of a run whose start was not answered. */
static void ask_for_list(struct cell_run *run)
{
	struct executor *executor = run->executor;

	run->list_after_call = executor->last_call;
	executor->list_after_call = executor->last_call;
	executor->list_wanted = true;
	executor->hold_requested = true;
}

static void log_refusal(const struct cell_run *run, const char *why)
{
	waxwing_event("start_refused",
		      "job=%016llx step=%u index=%u run=%u executor=%s why=%s resent=%d",
		      (unsigned long long)run->id.job, run->id.step, run->id.index, run->id.run,
		      run->executor->id, why, run->start_resent);
}

/* Expects a list with the end of a run that its executor has stopped, or has refused as old. */
static void await_end(const struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms)
{
	run->stop_deadline_ms = now_ms + cell->options.stop_ms + REMOTE_TIME_MARGIN_MS;
	if (run->start_lost)
		ask_for_list(run);
	run->executor->hold_requested = true;
}

/*
 * The run is not running and will not start, but it may have run: its order may have been carried
 * out before, and its end is then listed.
 */
static void handle_stale_start(const struct waxwing_cell *cell, struct cell_run *run,
			       int64_t now_ms)
{
	log_refusal(run, "old");
	if (run->job)
		run_task(run)->last_run += STALE_RUN_INCREMENT;
	run->state = RUN_STOPPING;
	run->start_lost = true;
	run->list_deadline_ms = 0;
	await_end(cell, run, now_ms);
}

/*
 * The run may have started, or may start later. It is stopped unless a list shows that it runs. The
 * members of a gang are all stopped at once.
 */
static void handle_lost_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms,
			      bool gang)
{
	struct executor *executor = run->executor;
	bool heard = now_ms - executor->last_heard_ms < HEARD_RECENTLY_MS;

	cell->starts_unanswered++;
	waxwing_event("start_unanswered",
		      "job=%016llx step=%u index=%u run=%u executor=%s heard=%d",
		      (unsigned long long)run->id.job, run->id.step, run->id.index, run->id.run,
		      executor->id, heard);
	run->start_lost = true;
	if (heard) {
		executor_call_lost(cell, executor, now_ms);
	} else {
		executor_add_failure(cell, executor, now_ms, START_FAILURE_WEIGHT);
		executor->backoff_until_ms = now_ms + EXECUTOR_BACKOFF_MS;
		cell->last_lost_ms = now_ms;
	}
	if (gang || executor->unresponsive || run->state == RUN_STOPPING) {
		run_stop(cell, run, now_ms);
		return;
	}
	run->list_deadline_ms = now_ms + waxwing_answer_time_timeout_ms(&cell->answer_time, now_ms,
									WAXWING_HOLD_TIMEOUT_MS);
	ask_for_list(run);
}

/*
 * The executor refused the start order. This shows that the run did not start, unless the order was
 * sent twice.
 */
static void handle_refused_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms,
				 const char *why, bool gang)
{
	log_refusal(run, why);
	if (run->start_resent)
		handle_lost_start(cell, run, now_ms, gang);
	else
		discard_unstarted(cell, run);
}

void waxwing_cell_start_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				 const struct waxwing_run_id *id, enum waxwing_start_answer answer,
				 int64_t clock_ms)
{
	struct executor *executor = cell_find_executor(cell, handle);
	struct cell_run *run = executor ? run_find(executor, id) : NULL;
	struct cell_job *gang_of = NULL;

	if (!executor)
		return;
	executor_set_clock(executor, now_ms, clock_ms);
	if (is_answer(answer))
		executor->last_heard_ms = now_ms;
	if (run)
		learn_answer_time(cell, run, now_ms, answer);
	if (!run || (run->state != RUN_STARTING && run->state != RUN_STOPPING))
		return;
	if (answer == WAXWING_START_CLOSED && run_resend_start(cell, run, now_ms))
		return;
	if (run->job && !run->job->ended && run->job->steps[id->step].spec->gang &&
	    answer != WAXWING_START_RUNNING)
		gang_of = run->job;
	switch (answer) {
	case WAXWING_START_RUNNING:
		if (run->job)
			job_set_begun(run->job);
		run->start_unconfirmed = false;
		run->started_ms = now_ms;
		if (run->state == RUN_STARTING)
			run->state = RUN_RUNNING;
		break;
	case WAXWING_START_NO_CAPACITY:
		executor->backoff_until_ms = now_ms + EXECUTOR_BACKOFF_MS;
		executor->hold_requested = true;
		handle_refused_start(cell, run, now_ms, "room", gang_of != NULL);
		break;
	case WAXWING_START_STALE_RUN:
		handle_stale_start(cell, run, now_ms);
		break;
	case WAXWING_START_LEASE_EXPIRED:
		handle_refused_start(cell, run, now_ms, "late", gang_of != NULL);
		break;
	case WAXWING_START_NO_TICKET:
		if (run->job)
			permits_drop(run->job, run->id.step, executor);
		handle_refused_start(cell, run, now_ms, "ticket", gang_of != NULL);
		break;
	case WAXWING_START_FENCED:
		if (run->start_token < cell->options.fencing_token)
			handle_refused_start(cell, run, now_ms, "fence", gang_of != NULL);
		else
			cell->options.ops->fenced(cell->options.data, executor->id);
		break;
	case WAXWING_START_REJECTED:
	case WAXWING_START_UNHEALTHY:
		executor_add_failure(cell, executor, now_ms, START_FAILURE_WEIGHT);
		executor->backoff_until_ms = now_ms + EXECUTOR_BACKOFF_MS;
		handle_refused_start(cell, run, now_ms,
				     answer == WAXWING_START_REJECTED ? "rejected" : "unhealthy",
				     gang_of != NULL);
		break;
	case WAXWING_START_OTHER_INCARNATION:
		executor->removed = true;
		log_refusal(run, "other_life");
		discard_unstarted(cell, run);
		break;
	case WAXWING_START_UNREACHABLE:
		executor_add_failure(cell, executor, now_ms, START_FAILURE_WEIGHT);
		executor->backoff_until_ms = now_ms + EXECUTOR_BACKOFF_MS;
		executor->hold_requested = true;
		handle_refused_start(cell, run, now_ms, "unreachable", gang_of != NULL);
		break;
	case WAXWING_START_CLOSED:
	case WAXWING_START_UNKNOWN:
		handle_lost_start(cell, run, now_ms, gang_of != NULL);
		break;
	}
	/* the other members cannot proceed without this one */
	if (gang_of)
		gang_stop(cell, gang_of, id->step, now_ms);
}

void waxwing_cell_stop_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				const struct waxwing_run_id *id, bool answered)
{
	struct executor *executor = cell_find_executor(cell, handle);
	struct cell_run *run = executor ? run_find(executor, id) : NULL;

	if (executor && answered)
		executor->last_heard_ms = now_ms;
	if (!run || run->state != RUN_STOPPING)
		return;
	/* the scan repeats the stop order until the lease has expired */
	if (!answered && !run->stop_deadline_ms && !run->stop_resent &&
	    now_ms - executor->last_heard_ms < HEARD_RECENTLY_MS) {
		run->stop_resent = true;
		run->next_stop_ms = now_ms;
	}
	if (!answered || run->stop_deadline_ms)
		return;
	/*
	 * The run ends within stop_ms, and a later start of it is rejected. If it ran, a hold lists
	 * its end; if it never ran, the first hold sent after that time does not list it. A run
	 * that no list has shown before has not run if a hold sent from now on does not list it.
	 */
	run->start_unconfirmed = false;
	run->started_ms = now_ms + cell->options.stop_ms;
	await_end(cell, run, now_ms);
}

/* Detaches a run from its task. The run keeps its allocation until the executor lists its end. */
static void detach_from_task(struct cell_run *run)
{
	run_task(run)->run = NULL;
	run->job = NULL;
}

/*
 * Gives up a run because another run of the task, or of its gang, has completed.
 * @ends_itself: the executor ends the run without a stop order.
 */
void run_abandon(struct waxwing_cell *cell, struct cell_run *run, bool ends_itself, int64_t now_ms)
{
	run->job->assigned_tasks--;
	detach_from_task(run);
	if (run->state == RUN_STOPPING)
		return;
	if (!ends_itself) {
		run_stop(cell, run, now_ms);
		return;
	}
	run->state = RUN_STOPPING;
	run->next_stop_ms = now_ms + STOP_RETRY_MS;
}

/* Makes the task of a stopped run ready again, before the executor lists the run's end. */
void run_release_task(struct waxwing_cell *cell, struct cell_run *run)
{
	struct cell_job *job = run->job;

	waxwing_event("run_released", "job=%016llx step=%u index=%u run=%u executor=%s",
		      (unsigned long long)run->id.job, run->id.step, run->id.index, run->id.run,
		      run->executor->id);
	detach_from_task(run);
	requeue_task(cell, job, run->id.step, run->id.index);
}
