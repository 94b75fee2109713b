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

/*
 * If holds were not considered for this time, the process was paused: answers may have come that it
 * has not read yet. No holds are hedged before it has had this time to read them.
 */
#define OWNER_PAUSE_MS 30

/* For this time after a call was lost, ends that are overdue are asked for. */
#define LOSSES_RECENT_MS 5000
/* A run is overdue this long after its expected end. */
#define END_OVERDUE_MS 30
/* After this time, the run takes longer than expected: its end is not taken for hidden. */
#define END_HIDDEN_MAX_MS 500
/* Shortest interval at which an executor is asked for overdue ends. */
#define END_ASK_INTERVAL_MS 60

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

static const struct hold_call *regular_call(const struct executor *executor)
{
	return &executor->calls[executor->regular_call];
}

/* Returns true if the call was sent before another one was answered, when @last_call was the last. */
static bool sent_by(const struct hold_call *call, uint64_t last_call)
{
	return !call->in_order && call->number <= last_call;
}

/* Returns true if the call is overdue and a later answer shows that the executor is there. */
static bool call_is_lost(const struct executor *executor, const struct hold_call *call,
			 int64_t now_ms)
{
	return now_ms >= call->overdue_ms && executor->last_call_at_answer >= call->number;
}

static bool other_call_in_flight(const struct executor *executor)
{
	return executor->calls[1 - executor->regular_call].in_flight;
}

/* Returns true if the next regular hold has to wait for an outstanding call. */
static bool hold_must_wait(const struct executor *executor, int64_t now_ms)
{
	const struct hold_call *call = regular_call(executor);

	/* if it was lost, the hedge decides whether the executor is unresponsive */
	if (!call->in_flight)
		return other_call_in_flight(executor) &&
		       executor->last_call_at_answer < call->number;
	return other_call_in_flight(executor) || !call_is_lost(executor, call, now_ms);
}

static bool hold_is_due(const struct executor *executor, int64_t now_ms, int64_t refresh_ms)
{
	if (hold_must_wait(executor, now_ms) || now_ms < executor->next_hold_ms)
		return false;
	if (executor->hold_requested || executor->runs->len || executor->unresponsive)
		return true;
	if (!executor->removed && now_ms - regular_call(executor)->sent_ms >= refresh_ms)
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

/* Returns true if a list is wanted and no call was sent for it. */
static bool list_is_due(const struct executor *executor)
{
	return executor->list_wanted && executor->last_call <= executor->list_after_call;
}

static bool run_is_overdue(const struct cell_run *run, int64_t now_ms)
{
	double late_ms;

	if (!run->job || run->job->ended || run->state != RUN_RUNNING || run_is_long_running(run))
		return false;
	late_ms = (double)(now_ms - run->started_ms) -
		  step_work_ms(run->job, run->job->steps[run->id.step].spec) /
			  run->executor->speed.value;
	return late_ms >= END_OVERDUE_MS && late_ms < END_HIDDEN_MAX_MS;
}

/* Returns true if a run should have ended and the answer that lists its end may be lost. */
static bool end_may_be_hidden(const struct waxwing_cell *cell, const struct executor *executor,
			      int64_t now_ms)
{
	if (!cell->last_lost_ms || now_ms - cell->last_lost_ms >= LOSSES_RECENT_MS)
		return false;
	if (now_ms - MAX(executor->last_answer_ms, executor->last_hedge_ms) < END_ASK_INTERVAL_MS)
		return false;
	for (guint i = 0; i < executor->runs->len; i++)
		if (run_is_overdue(executor->runs->pdata[i], now_ms))
			return true;
	return false;
}

/* Returns true if the executor may have lost the regular hold, and another one may go out. */
static bool hedge_is_due(const struct waxwing_cell *cell, const struct executor *executor,
			 int64_t now_ms)
{
	const struct hold_call *call = regular_call(executor);

	/* an executor that is out of use already is called at intervals */
	if (!call->in_flight || other_call_in_flight(executor) || executor->unresponsive)
		return false;
	if (call->may_hedge && now_ms >= call->overdue_ms)
		return !call_is_lost(executor, call, now_ms);
	return list_is_due(executor) || end_may_be_hidden(cell, executor, now_ms);
}

/* Returns a free record for the next call. */
static struct hold_call *begin_call(struct waxwing_cell *cell, struct executor *executor,
				    int64_t now_ms, bool hedge, uint32_t wait_ms)
{
	int64_t timeout_ms =
		waxwing_answer_time_timeout_ms(&cell->answer_time, now_ms, WAXWING_HOLD_TIMEOUT_MS);
	struct hold_call *call;

	if (!hedge && regular_call(executor)->in_flight)
		executor->regular_call = 1 - executor->regular_call;
	call = &executor->calls[hedge ? 1 - executor->regular_call : executor->regular_call];
	*call = (struct hold_call){
		.hedge = hedge,
		.number = ++executor->last_call,
		.in_flight = true,
		.may_hedge = !hedge && timeout_ms < WAXWING_HOLD_TIMEOUT_MS,
		.sent_ms = now_ms,
		.overdue_ms = now_ms + wait_ms + timeout_ms,
		.wait_ms = wait_ms,
		.token = cell->options.fencing_token,
		.acking_upto = executor->acked_upto,
	};
	return call;
}

/* Extends the leases on an executor; returns true if its answer may be delayed. */
static bool extend_leases(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			  int64_t *until_ms)
{
	/* the executor may have runs of a successor, whose leases must not be extended */
	bool may_extend =
		executor->answered && !executor->unresponsive &&
		(cell_is_owned(cell, now_ms) || executor_accepted_recently(executor, now_ms));

	*until_ms = may_extend ? executor_extend_lease(cell, executor, now_ms) : 0;
	return may_extend && executor->runs->len;
}

static void send_hold(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	struct waxwing_order_target target;
	int64_t until_ms;
	bool may_wait = extend_leases(cell, executor, now_ms, &until_ms);
	/* answer at once: a list is awaited, or ends must be listed again to be acknowledged */
	bool list_now;
	bool fresh;
	uint32_t wait_ms = executor->unknown_runs ? UNKNOWN_RUNS_WAIT_MS : HOLD_WAIT_MS;
	struct hold_call *call;

	executor->hold_requested = false;
	update_ackable_ends(cell, executor, now_ms);
	fresh = now_ms - executor->last_answer_ms <= MAX_ACK_DELAY_MS;
	list_now =
		list_is_due(executor) || (!fresh && executor->ackable_upto > executor->acked_upto);
	call = begin_call(cell, executor, now_ms, false, may_wait && !list_now ? wait_ms : 0);
	if (fresh)
		call->acking_upto = executor->ackable_upto;
	executor_target(cell, executor, &target);
	target.new_connection = executor->connection_closed;
	executor->connection_closed = false;
	/* numbers are not acknowledged twice: a new incarnation may have restarted at 1 */
	cell->options.ops->hold(cell->options.data, &target, call->number, until_ms,
				call->acking_upto > executor->acked_upto ? call->acking_upto : 0,
				call->wait_ms);
}

/* Sends a second hold while the regular one is outstanding. It acknowledges no ends. */
static void send_hedge(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms)
{
	struct waxwing_order_target target;
	int64_t until_ms;
	const struct hold_call *call;

	extend_leases(cell, executor, now_ms, &until_ms);
	call = begin_call(cell, executor, now_ms, true, 0);
	cell->holds_hedged++;
	executor->last_hedge_ms = now_ms;
	executor_target(cell, executor, &target);
	cell->options.ops->hold(cell->options.data, &target, call->number, until_ms, 0, 0);
}

void cell_send_holds(struct waxwing_cell *cell, int64_t now_ms)
{
	int64_t refresh_ms = !cell_is_owned(cell, now_ms) && has_durable_work(cell) ?
				     UNCONFIRMED_REFRESH_MS :
				     CLOCK_REFRESH_MS;

	if (now_ms - cell->last_holds_ms >= OWNER_PAUSE_MS)
		cell->hedge_after_ms = now_ms + OWNER_PAUSE_MS;
	cell->last_holds_ms = now_ms;
	for (guint i = 0; i < cell->executors->len; i++) {
		struct executor *executor = cell->executors->pdata[i];

		if (hold_is_due(executor, now_ms, refresh_ms))
			send_hold(cell, executor, now_ms);
		else if (now_ms >= cell->hedge_after_ms && hedge_is_due(cell, executor, now_ms))
			send_hedge(cell, executor, now_ms);
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
	cell->starts_confirmed += run->start_lost && run->state == RUN_STARTING;
	run->start_unconfirmed = false;
	run->start_lost = false;
	run->list_deadline_ms = 0;
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

/* Returns true if the run is known to have ended or never to have run, as the call's answer lacks it. */
static bool is_gone(const struct cell_run *run, const struct hold_call *call)
{
	/* the stop was answered before the call was sent, and a later start is rejected */
	if (run->start_lost && run->stop_deadline_ms && call->number > run->list_after_call)
		return true;
	return !run->start_unconfirmed && run->started_ms < call->sent_ms;
}

/* Ends runs that started before the hold was sent but that its answer does not list. */
static void end_missing_runs(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			     const struct hold_call *call, const struct waxwing_hold_answer *answer)
{
	for (guint i = executor->runs->len; i-- > 0;) {
		struct cell_run *run = executor->runs->pdata[i];

		if (is_listed(answer, run))
			continue;
		if (is_gone(run, call)) {
			waxwing_event("run_vanished", "executor=%s job=%016llx run=%u",
				      executor->id, (unsigned long long)run->id.job, run->id.run);
			run_ended(cell, run, WAXWING_RUN_LAPSED, now_ms);
		} else if (run->list_deadline_ms && call->number > run->list_after_call) {
			run_stop(cell, run, now_ms);
		}
	}
}

/* Replaces a hold that did not take effect, or may not have done so. */
static void request_next_hold(struct executor *executor, int64_t now_ms)
{
	executor->hold_requested = true;
	executor->next_hold_ms = now_ms;
	if (executor->list_wanted)
		executor->list_after_call = executor->last_call; /* ask again */
}

/*
 * The executor closed an idle connection when the hold was sent on it. The next hold is a new call
 * rather than a copy: if the executor has restarted, it must not acknowledge ends of the former
 * incarnation.
 */
static void handle_closed(struct executor *executor, int64_t now_ms)
{
	executor->connection_closed = true;
	request_next_hold(executor, now_ms);
}

static void handle_no_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			     const struct hold_call *call)
{
	bool others_in_flight = executor_hold_in_flight(executor);

	cell->last_lost_ms = now_ms;
	if (others_in_flight || sent_by(call, executor->last_call_at_answer)) {
		executor_call_lost(cell, executor, now_ms);
		executor->hold_requested = true;
		return;
	}
	if (!executor->unresponsive) {
		executor->unresponsive = true;
		waxwing_event("executor_silent", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor_add_failure(cell, executor, now_ms, NO_ANSWER_WEIGHT);
	}
	executor->hold_requested = true;
	executor->next_hold_ms = now_ms + NO_ANSWER_RETRY_MS;
}

/*
 * Processes the executor's state, which is not older than the last one that was received: its runs,
 * and its clock.
 */
static void handle_state(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			 const struct hold_call *call, const struct waxwing_hold_answer *answer)
{
	if (call->number > executor->list_after_call)
		executor->list_wanted = false;
	executor->last_call_at_state = executor->last_call;
	executor->state_clock_ms = answer->clock_ms;
	executor_set_clock(executor, now_ms, answer->clock_ms);
	for (size_t i = 0; i < answer->running_count; i++)
		handle_running(cell, executor, now_ms, &answer->running[i]);
	/* a run that neither list contains may have ended */
	executor->ends_truncated = answer->ends_truncated;
	if (!answer->ends_truncated)
		end_missing_runs(cell, executor, now_ms, call, answer);
	executor->last_answer_ms = now_ms;
	executor->runs_listed |= !cell->options.recovering && !answer->ends_truncated;
	if (executor->runs_listed && !cell->first_runs_listed_ms)
		cell->first_runs_listed_ms = now_ms;
}

/*
 * Returns true if the answer may show an earlier state than the last one that was received. The
 * clock of an answer to a call sent after that one is not compared: it is later in any case.
 */
static bool is_outdated(const struct executor *executor, const struct hold_call *call,
			const struct waxwing_hold_answer *answer)
{
	return sent_by(call, executor->last_call_at_state) &&
	       answer->clock_ms <= executor->state_clock_ms;
}

static void handle_answer(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			  const struct hold_call *call, const struct waxwing_hold_answer *answer)
{
	struct hold_call *regular = &executor->calls[executor->regular_call];
	bool outdated = is_outdated(executor, call, answer);
	uint64_t processed_upto = executor->processed_upto;

	if (executor->unresponsive) {
		waxwing_event("executor_back", "executor=%s runs=%u", executor->id,
			      executor->runs->len);
		executor->unresponsive = false;
	}
	executor->answered = true;
	executor->acked_upto = MAX(executor->acked_upto, call->acking_upto);
	/* ends refer to jobs that are known only after the replay; they are listed again */
	for (size_t i = 0; i < answer->ended_count && !cell->options.recovering; i++)
		handle_ended(cell, executor, now_ms, &answer->ended[i]);
	if (!outdated)
		handle_state(cell, executor, now_ms, call, answer);
	else if (executor->list_wanted)
		executor->list_after_call = executor->last_call; /* ask again */
	update_ackable_ends(cell, executor, now_ms);
	executor->next_hold_ms = now_ms + (executor->pending_acks->len ? STORE_WAIT_MS : 0);
	executor->accepted_ms = MAX(executor->accepted_ms, call->sent_ms);
	/* an end should have been answered by the regular hold at once */
	if (call->hedge && executor->processed_upto > processed_upto)
		regular->overdue_ms =
			MIN(regular->overdue_ms,
			    now_ms + waxwing_answer_time_timeout_ms(&cell->answer_time, now_ms,
								    WAXWING_HOLD_TIMEOUT_MS));
	if (cell->options.recovering && answer->ended_count)
		executor->hold_requested = true;
}

static void learn_answer_time(struct waxwing_cell *cell, const struct hold_call *call,
			      int64_t now_ms)
{
	int64_t took_ms = now_ms - call->sent_ms;

	/* if it was answered before the end of its wait, it is not known how long it waited */
	if (!call->wait_ms || took_ms >= call->wait_ms)
		waxwing_answer_time_add(&cell->answer_time, now_ms, took_ms - call->wait_ms);
}

static struct hold_call *find_call(struct executor *executor, uint64_t number)
{
	if (!number)
		return &executor->calls[executor->regular_call];
	for (size_t i = 0; i < G_N_ELEMENTS(executor->calls); i++)
		if (executor->calls[i].number == number && executor->calls[i].in_flight)
			return &executor->calls[i];
	return NULL;
}

/*
 * Resets what is known of the executor if another incarnation has answered. Returns false if the
 * answer is of an earlier incarnation, which was overtaken by one of the present.
 */
static bool check_incarnation(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			      const struct hold_call *call,
			      const struct waxwing_hold_answer *answer)
{
	/* an earlier time, too: the executor's clock may have been set back */
	if (!answer->started_ms || answer->started_ms == executor->started_ms)
		return true;
	if (executor->started_ms && sent_by(call, executor->last_call_at_state))
		return false;
	if (executor->started_ms)
		executor_reset(executor, now_ms);
	cold_executor_restarted(cell, executor, answer->started_ms, now_ms);
	executor->started_ms = answer->started_ms;
	return true;
}

void waxwing_cell_hold_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				const struct waxwing_hold_answer *answer)
{
	struct executor *executor = cell_find_executor(cell, handle);
	struct hold_call *record = executor ? find_call(executor, answer->call) : NULL;
	struct hold_call sent;
	const struct hold_call *call = &sent;

	if (!record)
		return;
	sent = *record;
	record->in_flight = false;
	if (!answer->call)
		sent.in_order = true;
	if (answer->result != WAXWING_HOLD_NO_ANSWER && answer->result != WAXWING_HOLD_CLOSED) {
		if (call->in_flight)
			learn_answer_time(cell, call, now_ms);
		executor->last_call_at_answer = executor->last_call;
		executor->last_heard_ms = now_ms;
		cell->hedges_answered += call->hedge && regular_call(executor)->in_flight;
	}
	switch (answer->result) {
	case WAXWING_HOLD_ANSWERED:
		if (check_incarnation(cell, executor, now_ms, call, answer))
			handle_answer(cell, executor, now_ms, call, answer);
		break;
	case WAXWING_HOLD_FENCED:
		if (call->token < cell->options.fencing_token)
			request_next_hold(executor, now_ms);
		else
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
	case WAXWING_HOLD_CLOSED:
		handle_closed(executor, now_ms);
		break;
	case WAXWING_HOLD_NO_ANSWER:
		handle_no_answer(cell, executor, now_ms, call);
		break;
	}
}
