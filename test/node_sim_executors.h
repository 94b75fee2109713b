/** Simulated executors, which check each start. Part of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_EXECUTORS_H
#define WAXWING_TEST_NODE_SIM_EXECUTORS_H

#include "node_sim_permits.h"
#include "node_sim_types.h"

/* Largest delay of an answer that is slow but not given up. */
#define MAX_SLOW_ANSWER_MS 300
/* Of the calls whose connection is closed first, those that are carried out nevertheless. */
#define LATE_COPY_SHARE 0.3
/* Longest delay of these calls. */
#define MAX_LATE_COPY_MS 400
/* Longest time from a call to the end of its connection; runs may end in it. */
#define MAX_CLOSE_DELAY_MS 60

enum executor_order_kind {
	EXECUTOR_START,
	EXECUTOR_STOP,
	EXECUTOR_HOLD,
};

struct executor_call {
	struct cluster_sim *sim;
	int host_index;
	uint64_t incarnation;
	int executor;
	enum executor_order_kind kind;
	struct waxwing_run_id run_id;
	char ticket[64];
	uint64_t token;
	int64_t until_ms;
	uint64_t acked_upto;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	int64_t hold_until_ms;
	/*
	 * start time of the executor process that the call was sent to; the call is lost if that
	 * process has ended
	 */
	int64_t target_started_ms;
	bool unanswered;
	bool delivered_late;
	void (*start_done)(void *data, enum waxwing_start_answer answer, int64_t clock_ms);
	void (*stop_done)(void *data, bool answered);
	void (*hold_done)(void *data, const struct waxwing_hold_answer *answer);
	void *data;
	/* answer of the executor: */
	enum waxwing_start_answer start_answer;
	enum waxwing_hold_result hold_result;
	int64_t clock_ms;
	int64_t started_ms;
	GArray *running;
	GArray *ended;
};

static int64_t executor_clock(const struct cluster_sim *sim, const struct sim_executor *executor)
{
	return (int64_t)((double)sim_now(sim) * executor->clock_rate) + executor->clock_offset_ms;
}

static void executor_deliver_answer(struct cluster_sim *sim, void *data)
{
	struct executor_call *call = data;
	struct sim_host *host = find_live_host(sim, call->host_index, call->incarnation);
	struct waxwing_hold_answer answer = { .result = call->hold_result };

	if (host && defer_if_frozen(host, executor_deliver_answer, call))
		return;
	if (host && call->kind == EXECUTOR_START)
		call->start_done(call->data, call->start_answer, call->clock_ms);
	if (host && call->kind == EXECUTOR_STOP)
		call->stop_done(call->data, !call->unanswered);
	if (host && call->kind == EXECUTOR_HOLD) {
		answer.clock_ms = call->clock_ms;
		answer.started_ms = call->started_ms;
		if (call->running) {
			answer.running = (const struct waxwing_running_run *)call->running->data;
			answer.running_count = call->running->len;
			answer.ended = (const struct waxwing_ended_run *)call->ended->data;
			answer.ended_count = call->ended->len;
		}
		call->hold_done(call->data, &answer);
	}
	if (host)
		waxwing_node_process_events(host->node);
	else
		g_free(call->data); /* the order of a node that is no longer running */
	if (call->running)
		g_array_free(call->running, TRUE);
	if (call->ended)
		g_array_free(call->ended, TRUE);
	g_free(call);
}

static bool is_executor_reachable(const struct cluster_sim *sim, const struct executor_call *call)
{
	const struct sim_executor *executor = &sim->executors[call->executor];

	return !executor->powered_off && !executor->isolated &&
	       !executor->isolated_from[call->host_index] &&
	       executor->started_ms == call->target_started_ms &&
	       zones_connected(sim, sim->hosts[call->host_index].zone, executor->zone);
}

/* Closes the connection of a call instead of answering it, before the call is given up. */
static void close_call(struct executor_call *call)
{
	int32_t max_delay_ms = MIN(MAX_CLOSE_DELAY_MS, (int32_t)call->timeout_ms);

	call->start_answer = WAXWING_START_CLOSED;
	call->hold_result = WAXWING_HOLD_CLOSED;
	call->clock_ms = 0;
	sim_schedule(call->sim, g_rand_int_range(call->sim->random, NETWORK_DELAY_MS, max_delay_ms),
		     executor_deliver_answer, call);
}

static bool is_to_be_closed(const struct executor_call *call)
{
	struct cluster_sim *sim = call->sim;

	/* no numbers are drawn in tests without closed connections, so that their seeds still hold */
	return sim->closed_call_share > 0 && call->kind != EXECUTOR_STOP &&
	       sim_chance(sim, sim->closed_call_share);
}

static void executor_answer(struct executor_call *call)
{
	struct cluster_sim *sim = call->sim;
	const struct sim_executor *executor = &sim->executors[call->executor];
	int64_t delay_ms = NETWORK_DELAY_MS;

	if (call->delivered_late) {
		/* The sender's call has already timed out. */
		if (call->running)
			g_array_free(call->running, TRUE);
		if (call->ended)
			g_array_free(call->ended, TRUE);
		g_free(call);
		return;
	}
	call->clock_ms = executor_clock(sim, executor);
	call->started_ms = executor->started_ms;
	if (!is_executor_reachable(sim, call) || executor->loses_answers ||
	    sim_chance(sim, sim->lost_answer_share)) {
		call->unanswered = true;
		call->start_answer = WAXWING_START_UNKNOWN;
		call->hold_result = WAXWING_HOLD_NO_ANSWER;
		call->clock_ms = 0;
		sim_schedule(sim, call->timeout_ms, executor_deliver_answer, call);
		return;
	}
	if (is_to_be_closed(call)) {
		close_call(call);
		return;
	}
	/* less than the caller's timeout; other answers may overtake it */
	if (call->kind == EXECUTOR_HOLD && sim_chance(sim, sim->slow_answer_share))
		delay_ms += g_rand_int_range(sim->random, 5, MAX_SLOW_ANSWER_MS);
	sim_schedule(sim, delay_ms, executor_deliver_answer, call);
}

static bool same_task(const struct waxwing_run_id *a, const struct waxwing_run_id *b)
{
	return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step &&
	       a->index == b->index;
}

/*
 * Returns true if this or a later run of the task has already ended or been stopped on @executor.
 */
static bool is_superseded(const struct sim_executor *executor, const struct waxwing_run_id *run_id)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_run *row =
			&g_array_index(executor->ended, struct waxwing_ended_run, i);

		if (same_task(&row->run_id, run_id) && row->run_id.run >= run_id->run)
			return true;
	}
	return false;
}

static void answer_holds(struct cluster_sim *sim, struct sim_executor *executor);

static void add_ended(const struct cluster_sim *sim, struct sim_executor *executor,
		      const struct waxwing_ended_run *row)
{
	int64_t now_ms = sim_now(sim);

	g_array_append_vals(executor->ended, row, 1);
	g_array_append_val(executor->ended_at_ms, now_ms);
}

static void record_end(struct cluster_sim *sim, const struct waxwing_run_id *run_id,
		       enum waxwing_run_end end)
{
	struct client_job *job = find_client(sim, run_id);

	if (job && end == WAXWING_RUN_DONE) {
		job->completed_tasks++;
		job->done_tasks |= 1ULL << task_bit_index(run_id);
	}
	if (job && end == WAXWING_RUN_FAILED)
		job->failures[task_bit_index(run_id)]++;
}

static void end_run(struct cluster_sim *sim, struct sim_executor *executor, guint index,
		    enum waxwing_run_end end)
{
	struct executor_run run = g_array_index(executor->runs, struct executor_run, index);
	struct waxwing_ended_run row = { .number = ++executor->last_end_number,
					 .run_id = run.run_id,
					 .end = end };

	g_array_remove_index_fast(executor->runs, index);
	add_ended(sim, executor, &row);
	record_end(sim, &run.run_id, end);
	answer_holds(sim, executor);
}

/* Logs the executor's runs at the first violation, for debugging. */
static void report_start_violation(struct cluster_sim *sim, const char *rule,
				   const struct waxwing_run_id *run_id,
				   const struct sim_executor *executor)
{
	if (!sim->violations) {
		g_test_message("%s at %lld ms at %s, token %llu: start of %llu.%u run %u", rule,
			       (long long)sim_now(sim), executor->id,
			       (unsigned long long)executor->token, (unsigned long long)run_id->job,
			       run_id->index, run_id->run);
		for (guint i = 0; i < executor->runs->len; i++) {
			const struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, i);

			g_test_message("running there: %llu.%u run %u, started at %lld ms",
				       (unsigned long long)run->run_id.job, run->run_id.index,
				       run->run_id.run, (long long)run->started_ms);
		}
	}
	sim_report_violation(sim, rule, run_id->job, run_id->index);
}

static bool is_early(const struct cluster_sim *sim, const struct client_job *job,
		     const struct waxwing_run_id *run_id)
{
	int64_t due_ms = job->first_ms + run_id->occurrence * OCCURRENCE_INTERVAL_MS;
	int64_t early_ms = MAX_EARLY_MS + (sim->day_jumped ? MAX_EARLY_JUMPED_MS : 0);

	return run_id->occurrence >= job->repetitions || sim_now(sim) + early_ms < due_ms;
}

/* Returns true if a task of the step before has not ended as done. */
static bool is_out_of_order(const struct client_job *job, const struct waxwing_run_id *run_id)
{
	struct waxwing_run_id before = *run_id;

	if (!run_id->step)
		return false;
	before.step--;
	for (before.index = 0; before.index < job->tasks; before.index++)
		if (!(job->done_tasks >> task_bit_index(&before) & 1))
			return true;
	return false;
}

static void check_durable_start(struct cluster_sim *sim, const struct client_job *job,
				const struct waxwing_run_id *run_id,
				const struct sim_executor *executor)
{
	uint32_t bit = task_bit_index(run_id);

	if (job->acked_tasks >> bit & 1)
		report_start_violation(sim, "TWICE, after an acknowledged end", run_id, executor);
	if (is_out_of_order(job, run_id))
		report_start_violation(sim, "ORDER, step", run_id, executor);
	if (job->acked_failures[bit] >= MAX_ATTEMPTS)
		report_start_violation(sim, "BUDGET", run_id, executor);
	if (job->cancelled_ms && sim_now(sim) - job->cancelled_ms > CANCEL_MS)
		report_start_violation(sim, "UNASKED, cancelled", run_id, executor);
}

static void check_start(struct cluster_sim *sim, struct sim_executor *executor,
			const struct waxwing_run_id *run_id)
{
	struct client_job *job = find_client(sim, run_id);

	sim->starts++;
	sim->zone_starts[executor->zone]++;
	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *other = &sim->executors[i];

		for (guint k = 0; !other->powered_off && k < other->runs->len; k++)
			if (same_task(&g_array_index(other->runs, struct executor_run, k).run_id,
				      run_id))
				report_start_violation(sim, "TWICE", run_id, other);
	}
	if ((executor->runs->len + 1) * 6000 > EXECUTOR_CPU_MILLI)
		report_start_violation(sim, "LIMIT", run_id, executor);
	if (job && job->durable)
		check_durable_start(sim, job, run_id, executor);
	if (job && job->state == CLIENT_REFUSED)
		sim_report_violation(sim, "REFUSED", run_id->job, run_id->index);
	if (job && job->repetitions && is_early(sim, job, run_id))
		sim_report_violation(sim, "ORDER", run_id->job, run_id->occurrence);
	if (job && job->repetitions && run_id->run == 1)
		sim->max_start_delay_ms =
			MAX(sim->max_start_delay_ms,
			    sim_now(sim) -
				    MAX(job->first_ms + run_id->occurrence * OCCURRENCE_INTERVAL_MS,
					job->submitted_ms));
	if (job) {
		job->started = true;
		job->last_start_ms[task_bit_index(run_id)] = sim_now(sim);
	}
}

static enum waxwing_start_answer handle_start(struct cluster_sim *sim,
					      struct sim_executor *executor,
					      const struct executor_call *call)
{
	struct client_job *job = find_client(sim, &call->run_id);
	struct executor_run run = { .run_id = call->run_id, .started_ms = sim_now(sim) };

	if (call->token < executor->token)
		return WAXWING_START_FENCED;
	executor->token = call->token;
	if (sim->refused_start_share > 0 && sim_chance(sim, sim->refused_start_share))
		return WAXWING_START_UNHEALTHY;
	if (call->until_ms <= executor_clock(sim, executor))
		return WAXWING_START_LEASE_EXPIRED;
	for (guint i = 0; i < executor->runs->len; i++)
		if (same_task(&g_array_index(executor->runs, struct executor_run, i).run_id,
			      &call->run_id))
			return WAXWING_START_RUNNING;
	if (is_superseded(executor, &call->run_id))
		return WAXWING_START_STALE_RUN;
	if (job && job->permits_needed &&
	    !is_ticket_valid(sim, call->ticket, call->run_id.job, executor->id))
		return WAXWING_START_NO_TICKET;
	executor->lease_expires_ms =
		MAX(executor->lease_expires_ms,
		    MIN(call->until_ms, executor_clock(sim, executor) + MAX_LEASE_MS));
	check_start(sim, executor, &call->run_id);
	executor->last_start_ms = sim_now(sim);
	if (sim->run_started)
		sim->run_started(sim, call->host_index, executor->zone);
	run.done_ms = sim_now(sim) + (int64_t)((job ? job->work_ms : 50) / executor->speed);
	g_array_append_val(executor->runs, run);
	return WAXWING_START_RUNNING;
}

static void handle_stop(struct cluster_sim *sim, struct sim_executor *executor,
			const struct executor_call *call)
{
	struct waxwing_ended_run row = { .run_id = call->run_id, .end = WAXWING_RUN_STOPPED };

	if (call->token < executor->token)
		return;
	executor->token = call->token;
	for (guint i = 0; i < executor->runs->len; i++) {
		if (!same_task(&g_array_index(executor->runs, struct executor_run, i).run_id,
			       &call->run_id))
			continue;
		g_array_index(executor->runs, struct executor_run, i).stop_done_ms =
			sim_now(sim) + STOP_MS;
		return;
	}
	/*
	 * The order to start the run may arrive later and is then rejected; the run's end is not
	 * reported.
	 */
	add_ended(sim, executor, &row);
}

static void fill_hold_answer(const struct sim_executor *executor, struct executor_call *call)
{
	call->running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_run));
	call->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));
	for (guint i = 0; i < executor->runs->len; i++) {
		struct waxwing_running_run row = {
			.run_id = g_array_index(executor->runs, struct executor_run, i).run_id
		};

		g_array_append_val(call->running, row);
	}
	for (guint i = 0; i < executor->ended->len; i++) {
		struct waxwing_ended_run row =
			g_array_index(executor->ended, struct waxwing_ended_run, i);

		if (row.number > executor->acked_upto)
			g_array_append_val(call->ended, row);
	}
}

static bool has_new_end(const struct sim_executor *executor)
{
	return executor->last_end_number > executor->acked_upto;
}

static void answer_holds(struct cluster_sim *sim, struct sim_executor *executor)
{
	for (guint i = executor->pending_holds->len; i-- > 0;) {
		struct executor_call *call = executor->pending_holds->pdata[i];

		if (!has_new_end(executor) && sim_now(sim) < call->hold_until_ms)
			continue;
		g_ptr_array_remove_index_fast(executor->pending_holds, i);
		fill_hold_answer(executor, call);
		call->hold_result = WAXWING_HOLD_ANSWERED;
		executor_answer(call);
	}
}

/*
 * Checks that the task was not started after its acknowledged end, and records the end so that
 * later starts are detected.
 */
static void record_acked_end(struct cluster_sim *sim, const struct sim_executor *executor,
			     guint index)
{
	const struct waxwing_ended_run *row =
		&g_array_index(executor->ended, struct waxwing_ended_run, index);
	int64_t ended_ms = g_array_index(executor->ended_at_ms, int64_t, index);
	struct client_job *job = find_client(sim, &row->run_id);

	if (!job || executor->last_expiry_ms >= ended_ms)
		return;
	if (row->end == WAXWING_RUN_DONE && job->durable &&
	    job->last_start_ms[task_bit_index(&row->run_id)] > ended_ms)
		report_start_violation(sim, "TWICE, before the end was acknowledged", &row->run_id,
				       executor);
	if (row->end == WAXWING_RUN_DONE)
		job->acked_tasks |= 1ULL << task_bit_index(&row->run_id);
	else
		job->acked_failures[task_bit_index(&row->run_id)]++;
}

static void record_acked_ends(struct cluster_sim *sim, const struct sim_executor *executor,
			      uint64_t acked_upto)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_run *row =
			&g_array_index(executor->ended, struct waxwing_ended_run, i);

		if (row->number > executor->acked_upto && row->number <= acked_upto &&
		    (row->end == WAXWING_RUN_DONE || row->end == WAXWING_RUN_FAILED))
			record_acked_end(sim, executor, i);
	}
}

static void handle_hold(struct cluster_sim *sim, struct sim_executor *executor,
			struct executor_call *call)
{
	if (call->token < executor->token) {
		call->hold_result = WAXWING_HOLD_FENCED;
		executor_answer(call);
		return;
	}
	executor->token = call->token;
	record_acked_ends(sim, executor, call->acked_upto);
	executor->acked_upto =
		MAX(executor->acked_upto, MIN(call->acked_upto, executor->last_end_number));
	if (call->until_ms)
		executor->lease_expires_ms =
			MAX(executor->lease_expires_ms,
			    MIN(call->until_ms, executor_clock(sim, executor) + MAX_LEASE_MS));
	call->hold_until_ms = sim_now(sim) + call->wait_ms;
	g_ptr_array_add(executor->pending_holds, call);
	answer_holds(sim, executor);
}

static void executor_call_arrived(struct cluster_sim *sim, void *data)
{
	struct executor_call *call = data;
	struct sim_executor *executor = &sim->executors[call->executor];

	if (!is_executor_reachable(sim, call) && !call->delivered_late) {
		executor_answer(call);
		return;
	}
	if (executor->powered_off || executor->started_ms != call->target_started_ms) {
		executor_answer(call);
		return;
	}
	switch (call->kind) {
	case EXECUTOR_START:
		call->start_answer = handle_start(sim, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_STOP:
		handle_stop(sim, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_HOLD:
		handle_hold(sim, executor, call);
		break;
	}
}

/* Delays an order by @delay_ms; the sender gets no answer. */
static void delay_order(struct executor_call *call, int64_t delay_ms)
{
	struct cluster_sim *sim = call->sim;
	struct executor_call *late = g_memdup2(call, sizeof(*call));

	late->delivered_late = true;
	sim_schedule(sim, delay_ms, executor_call_arrived, late);
	call->unanswered = true;
	call->start_answer = WAXWING_START_UNKNOWN;
	call->hold_result = WAXWING_HOLD_NO_ANSWER;
	sim_schedule(sim, call->timeout_ms, executor_deliver_answer, call);
}

/* The connection is closed before the order is carried out, which may still happen later. */
static void close_before_arrival(struct executor_call *call)
{
	struct cluster_sim *sim = call->sim;
	struct executor_call *late;

	if (sim_chance(sim, LATE_COPY_SHARE)) {
		late = g_memdup2(call, sizeof(*call));
		late->delivered_late = true;
		sim_schedule(sim, g_rand_int_range(sim->random, 1, MAX_LATE_COPY_MS),
			     executor_call_arrived, late);
	}
	close_call(call);
}

static struct executor_call *executor_call(struct waxwing_executors *executors,
					   enum executor_order_kind kind,
					   const struct waxwing_order_target *target,
					   uint32_t timeout_ms)
{
	struct sim_host *host =
		(struct sim_host *)((char *)executors - offsetof(struct sim_host, executors));
	struct executor_call *call = g_new0(struct executor_call, 1);

	call->sim = host->sim;
	call->host_index = host->index;
	call->incarnation = host->incarnation;
	call->kind = kind;
	call->executor = atoi(target->id + 1);
	call->token = target->fencing_token;
	call->target_started_ms = host->sim->executors[call->executor].started_ms;
	call->timeout_ms = timeout_ms;
	return call;
}

static void executor_send(struct executor_call *call)
{
	struct cluster_sim *sim = call->sim;

	if (sim_chance(sim, sim->late_order_share))
		delay_order(call, 2000 + (int64_t)(g_rand_double(sim->random) * 8000));
	else if (sim_chance(sim, sim->delayed_order_share))
		delay_order(call, g_rand_int_range(sim->random, 150, 950));
	else if (is_to_be_closed(call))
		close_before_arrival(call);
	else
		sim_schedule(call->sim, NETWORK_DELAY_MS, executor_call_arrived, call);
}

static void fake_start(struct waxwing_executors *executors,
		       const struct waxwing_executor_start *start)
{
	struct executor_call *call =
		executor_call(executors, EXECUTOR_START, start->target, start->timeout_ms);

	call->run_id = start->order->run_id;
	call->until_ms = start->order->lease_expiry_ms;
	if (start->order->ticket)
		g_strlcpy(call->ticket, start->order->ticket, sizeof(call->ticket));
	call->start_done = start->done;
	call->data = start->data;
	executor_send(call);
}

static void fake_stop(struct waxwing_executors *executors, const struct waxwing_executor_stop *stop)
{
	struct executor_call *call =
		executor_call(executors, EXECUTOR_STOP, stop->target, stop->timeout_ms);

	call->run_id = *stop->run_id;
	call->stop_done = stop->done;
	call->data = stop->data;
	executor_send(call);
}

static void fake_hold(struct waxwing_executors *executors, const struct waxwing_executor_hold *hold)
{
	struct executor_call *call = executor_call(executors, EXECUTOR_HOLD, hold->target,
						   hold->timeout_ms + hold->wait_ms);

	call->until_ms = hold->lease_until_ms;
	call->acked_upto = hold->acked_upto;
	call->wait_ms = hold->wait_ms;
	call->hold_done = hold->done;
	call->data = hold->data;
	executor_send(call);
}

static const struct waxwing_executor_ops fake_executor_ops = {
	.start = fake_start,
	.stop = fake_stop,
	.hold = fake_hold,
};

static void put_executor_entry(struct cluster_sim *sim, struct sim_executor *executor);

static void run_executors(struct cluster_sim *sim)
{
	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *executor = &sim->executors[i];

		if (executor_clock(sim, executor) >= executor->lease_expires_ms)
			executor->last_expiry_ms = sim_now(sim);
		for (guint k = executor->runs->len; k-- > 0 && !executor->powered_off;) {
			struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, k);

			if (executor_clock(sim, executor) >= executor->lease_expires_ms)
				end_run(sim, executor, k, WAXWING_RUN_LAPSED);
			else if (sim_now(sim) >= run->done_ms)
				end_run(sim, executor, k,
					sim_chance(sim, sim->task_failure_share) ?
						WAXWING_RUN_FAILED :
						WAXWING_RUN_DONE);
			else if (run->stop_done_ms && sim_now(sim) >= run->stop_done_ms)
				end_run(sim, executor, k, WAXWING_RUN_STOPPED);
		}
		if (!executor->powered_off)
			answer_holds(sim, executor);
		if (executor->relist_ms && sim_now(sim) >= executor->relist_ms &&
		    !sim->store_down) {
			executor->relist_ms = 0;
			put_executor_entry(sim, executor);
		}
	}
}

/* Restarts an executor, which loses all its runs and records. */
static G_GNUC_UNUSED void restart_executor(struct cluster_sim *sim, struct sim_executor *executor)
{
	g_array_set_size(executor->runs, 0);
	g_array_set_size(executor->ended, 0);
	g_array_set_size(executor->ended_at_ms, 0);
	executor->last_end_number = 0;
	executor->acked_upto = 0;
	executor->token = 0;
	executor->lease_expires_ms = 0;
	executor->started_ms = 1 + sim_now(sim);
	executor->clock_offset_ms = g_rand_int_range(sim->random, -5000, 500000);
	while (executor->pending_holds->len) {
		struct executor_call *call = g_ptr_array_steal_index_fast(
			executor->pending_holds, executor->pending_holds->len - 1);

		call->hold_result = WAXWING_HOLD_NO_ANSWER;
		call->unanswered = true;
		if (call->delivered_late)
			g_free(call);
		else
			sim_schedule(sim, NETWORK_DELAY_MS, executor_deliver_answer, call);
	}
}

#endif
