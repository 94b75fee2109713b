#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

/* A run that is still listed this long after its stop deadline gets another stop order. */
#define STOP_OVERDUE_MS 500
/* Interval between holds to an executor that does not answer. */
#define NO_ANSWER_RETRY_MS 200
/*
 * Delay of the next hold while records of ends are being stored: the executor would list these ends
 * again at once.
 */
#define STORE_WAIT_MS 8
/*
 * Ends are acknowledged only within this time after an answer that listed them. An executor that
 * has restarted in between numbers its ends from 1 again, and would discard ends that the owner has
 * not received.
 */
#define MAX_ACK_DELAY_MS 30
/*
 * Age at which the clock of an idle executor is read again. Leases are shorter by up to 2% of that
 * age, see executor_extend_lease().
 */
#define CLOCK_REFRESH_MS 5000
/*
 * The same while the ownership is not confirmed and has_durable_work(). A successor starts durable
 * jobs again after waxwing_cell_orders_expire_ms(). By then, this owner must have been rejected by
 * an executor that the successor uses, and its last leases must have expired.
 */
#define UNCONFIRMED_REFRESH_MS 250
/* How long an executor waits before it answers a hold while the leases there are not extended. */
#define UNKNOWN_RUNS_WAIT_MS 50
/* Weight in the circuit breaker of an unanswered hold, relative to a failed task. */
#define NO_ANSWER_WEIGHT 1.0

/* Returns true if executors have runs of durable jobs, or ends that were not acknowledged. */
static bool has_durable_work(const struct waxwing_cell *cell)
{
	for (guint i = 0; i < cell->executors->len; i++) {
		const struct executor *executor = cell->executors->pdata[i];

		if (executor->processed_upto > executor->acked_upto)
			return true;
		for (guint k = 0; k < executor->runs->len; k++) {
			const struct cell_run *run = executor->runs->pdata[k];

			if (run->job && run->job->durable)
				return true;
		}
	}
	return false;
}

static bool hold_is_due(const struct executor *executor, int64_t now_ms, int64_t refresh_ms)
{
	if (executor->hold_in_flight || now_ms < executor->next_hold_ms)
		return false;
	if (executor->hold_requested || executor->runs->len || executor->unresponsive)
		return true;
	if (!executor->removed && now_ms - executor->hold_sent_ms >= refresh_ms)
		return true;
	return executor->processed_upto > executor->acked_upto;
}

/*
 * An end may be acknowledged once the journal records that it caused are stored. The owner that has
 * started a foreign run must hear of its end.
 */
static bool is_ackable(const struct waxwing_cell *cell, const struct pending_ack *ack,
		       int64_t now_ms)
{
	return ack->record_number <= cell->stored_upto &&
	       (!ack->foreign || cell_is_owned(cell, now_ms));
}

static void update_ackable_ends(const struct waxwing_cell *cell, struct executor *executor,
				int64_t now_ms)
{
	guint ready = 0;

	while (ready < executor->pending_acks->len &&
	       is_ackable(cell, &g_array_index(executor->pending_acks, struct pending_ack, ready),
			  now_ms))
		executor->ackable_upto =
			g_array_index(executor->pending_acks, struct pending_ack, ready++)
				.end_number;
	if (ready)
		g_array_remove_range(executor->pending_acks, 0, ready);
}

static void send_hold(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	struct waxwing_order_target target;
	bool responsive = executor->answered && !executor->unresponsive;
	/* the executor may have runs of a successor, whose leases must not be extended */
	bool may_extend =
		cell_is_owned(cell, now_ms) || executor_accepted_recently(executor, now_ms);
	int64_t until_ms =
		responsive && may_extend ? executor_extend_lease(cell, executor, now_ms) : 0;
	bool list_now; /* answer at once: ends must be listed again before their acknowledgement */
	bool fresh;
	uint32_t wait_ms = executor->unknown_runs ? UNKNOWN_RUNS_WAIT_MS : HOLD_WAIT_MS;

	executor->hold_in_flight = true;
	executor->hold_requested = false;
	executor->hold_sent_ms = now_ms;
	update_ackable_ends(cell, executor, now_ms);
	fresh = now_ms - executor->last_answer_ms <= MAX_ACK_DELAY_MS;
	executor->acking_upto = fresh ? executor->ackable_upto : executor->acked_upto;
	executor_target(cell, executor, &target);
	list_now = !fresh && executor->ackable_upto > executor->acked_upto;
	/* numbers are not acknowledged twice: a new incarnation may have restarted at 1 */
	cell->options.ops->hold(
		cell->options.data, &target, until_ms,
		executor->acking_upto > executor->acked_upto ? executor->acking_upto : 0,
		responsive && may_extend && executor->runs->len && !list_now ? wait_ms : 0);
}

void cell_send_holds(struct waxwing_cell *cell, int64_t now_ms)
{
	int64_t refresh_ms = !cell_is_owned(cell, now_ms) && has_durable_work(cell) ?
				     UNCONFIRMED_REFRESH_MS :
				     CLOCK_REFRESH_MS;

	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		if (hold_is_due(executor, now_ms, refresh_ms))
			send_hold(cell, executor, now_ms);
	}
}

static void handle_ended(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			 const struct waxwing_ended_run *row)
{
	struct cell_run *run = run_find(executor, &row->run_id);
	struct cell_job *job = cell_find_run_job(cell, &row->run_id, now_ms);
	bool tracked = run && run->job;
	struct pending_ack ack;

	if (row->number <= executor->processed_upto)
		return;
	executor->processed_upto = row->number;
	if (job) {
		job_set_begun(job);
		task_set_checkpoint(checkpoint_task(job, row->run_id.step, row->run_id.index),
				    row->checkpoint);
	}
	if (run)
		run_ended(cell, run, row->end, now_ms);
	/* untracked run: a former owner started it, or its lease was assumed to have expired */
	if (!tracked && job && row->end == WAXWING_RUN_DONE)
		job_task_done(cell, job, row->run_id.step, row->run_id.index, now_ms);
	else if (!tracked && job && row->end == WAXWING_RUN_FAILED)
		job_run_failed(cell, job, &row->run_id, executor, now_ms);
	ack = (struct pending_ack){ row->number, cell->last_record, !run && !job };
	g_array_append_val(executor->pending_acks, ack);
}

static void handle_running(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			   const struct waxwing_running_run *row)
{
	struct cell_run *run = run_find(executor, &row->run_id);
	struct cell_job *job = cell_find_run_job(cell, &row->run_id, now_ms);

	if (!run) {
		/* the run's needs are unknown until its job is offered */
		struct waxwing_capacity needs = { 0 };

		run = run_create(cell, executor, &row->run_id, &needs);
		run->state = RUN_RUNNING;
		run->started_ms = now_ms;
		run->first_seen_ms = now_ms;
		executor->unknown_runs++;
		cold_run_added(cell, run, now_ms);
		if (job)
			run_adopt(cell, run, job);
	}
	if (run->job) {
		job_set_begun(run->job);
		task_set_checkpoint(checkpoint_task(run->job, run->id.step, run->id.index),
				    row->checkpoint);
	}
	run->start_unconfirmed = false;
	if (run->state == RUN_STARTING) {
		run->state = RUN_RUNNING;
		run->started_ms = now_ms;
	}
	/* overdue: the next scan repeats the stop order */
	if (run->state == RUN_STOPPING && run->stop_deadline_ms &&
	    now_ms - run->stop_deadline_ms >= STOP_OVERDUE_MS)
		run->stop_deadline_ms = 0;
}

static bool is_listed(const struct waxwing_hold_answer *answer, const struct cell_run *run)
{
	for (size_t i = 0; i < answer->running_count; i++)
		if (run_matches(run, &answer->running[i].run_id))
			return true;
	return false;
}

/* Ends runs that started before the hold was sent but that its answer does not list. */
static void end_missing_runs(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			     const struct waxwing_hold_answer *answer)
{
	for (guint i = executor->runs->len; i-- > 0;) {
		struct cell_run *run = executor->runs->pdata[i];

		if (!run->start_unconfirmed && run->started_ms < executor->hold_sent_ms &&
		    !is_listed(answer, run)) {
			waxwing_event("run_vanished", "executor=%s job=%016llx run=%u",
				      executor->id, (unsigned long long)run->id.job, run->id.run);
			run_ended(cell, run, WAXWING_RUN_LAPSED, now_ms);
		}
	}
}

static void handle_no_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	if (!executor->unresponsive) {
		executor->unresponsive = true;
		waxwing_event("executor_silent", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor_add_failure(cell, executor, now_ms, NO_ANSWER_WEIGHT);
	}
	executor->hold_requested = true;
	executor->next_hold_ms = now_ms + NO_ANSWER_RETRY_MS;
}

static void handle_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			  const struct waxwing_hold_answer *answer)
{
	if (executor->unresponsive) {
		waxwing_event("executor_back", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor->unresponsive = false;
	}
	executor_set_clock(executor, now_ms, answer->clock_ms);
	executor->answered = true;
	executor->acked_upto = MAX(executor->acked_upto, executor->acking_upto);
	/* ends refer to jobs that are known only after the replay; they are listed again */
	for (size_t i = 0; i < answer->ended_count && !cell->options.recovering; i++)
		handle_ended(cell, executor, now_ms, &answer->ended[i]);
	for (size_t i = 0; i < answer->running_count; i++)
		handle_running(cell, executor, now_ms, &answer->running[i]);
	/* a run that neither list contains may have ended */
	executor->ends_truncated = answer->ends_truncated;
	if (!answer->ends_truncated)
		end_missing_runs(cell, executor, now_ms, answer);
	update_ackable_ends(cell, executor, now_ms);
	executor->next_hold_ms = now_ms + (executor->pending_acks->len ? STORE_WAIT_MS : 0);
	executor->last_answer_ms = now_ms;
	executor->accepted_ms = executor->hold_sent_ms;
	executor->runs_listed |= !cell->options.recovering && !answer->ends_truncated;
	if (executor->runs_listed && !cell->first_runs_listed_ms)
		cell->first_runs_listed_ms = now_ms;
	if (cell->options.recovering && answer->ended_count)
		executor->hold_requested = true;
}

void waxwing_cell_hold_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				const struct waxwing_hold_answer *answer)
{
	struct executor *executor = cell_find_executor(cell, handle);

	if (!executor)
		return;
	executor->hold_in_flight = false;
	/* an earlier time, too: the executor's clock may have been set back */
	if (answer->result == WAXWING_HOLD_ANSWERED && answer->started_ms &&
	    answer->started_ms != executor->started_ms) {
		if (executor->started_ms)
			executor_reset(executor, now_ms);
		cold_executor_restarted(cell, executor, answer->started_ms, now_ms);
		executor->started_ms = answer->started_ms;
	}
	switch (answer->result) {
	case WAXWING_HOLD_ANSWERED:
		handle_answer(cell, executor, now_ms, answer);
		break;
	case WAXWING_HOLD_FENCED:
		cell->options.ops->fenced(cell->options.data, executor->id);
		break;
	case WAXWING_HOLD_OTHER_INCARNATION:
		/* the addressed incarnation has ended, and all its runs with it */
		waxwing_event("executor_gone", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor->removed = true;
		while (executor->runs->len)
			run_ended(cell, executor->runs->pdata[0], WAXWING_RUN_LAPSED, now_ms);
		executor->leases_expire_ms = 0;
		break;
	case WAXWING_HOLD_NO_ANSWER:
		handle_no_answer(cell, executor, now_ms);
		break;
	}
}
