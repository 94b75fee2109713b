/** The executors of the world in virtual time, which check each start. Part of node_world.h. */
#ifndef WAXWING_TEST_NODE_WORLD_EXECUTORS_H
#define WAXWING_TEST_NODE_WORLD_EXECUTORS_H

#include "node_world_permits.h"
#include "node_world_types.h"

enum executor_kind {
	EXECUTOR_START,
	EXECUTOR_STOP,
	EXECUTOR_HOLD,
};

struct executor_call {
	struct world *world;
	int node;
	uint64_t incarnation;
	int executor;
	enum executor_kind kind;
	struct waxwing_run_name name;
	char ticket[64];
	uint64_t token;
	int64_t until_ms;
	uint64_t acked_upto;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	int64_t waits_until_ms;
	int64_t life_ms; /* start of the life that it was sent to: it dies with it */
	bool unanswered;
	bool late;
	void (*start_done)(void *data, enum waxwing_start_answer answer, int64_t clock_ms);
	void (*stop_done)(void *data, bool answered);
	void (*hold_done)(void *data, const struct waxwing_hold_answer *answer);
	void *data;
	/* what it answers */
	enum waxwing_start_answer start_answer;
	enum waxwing_hold_end hold_end;
	int64_t clock_ms;
	int64_t born_ms;
	GArray *running;
	GArray *ended;
};

static int64_t executor_clock(const struct world *world, const struct world_executor *executor)
{
	return (int64_t)((double)world_now(world) * executor->pace) + executor->offset_ms;
}

static void executor_reply_now(struct world *world, void *data)
{
	struct executor_call *call = data;
	struct world_node *at = node_alive(world, call->node, call->incarnation);
	struct waxwing_hold_answer answer = { .end = call->hold_end };

	if (at && hold_back(at, executor_reply_now, call))
		return;
	if (at && call->kind == EXECUTOR_START)
		call->start_done(call->data, call->start_answer, call->clock_ms);
	if (at && call->kind == EXECUTOR_STOP)
		call->stop_done(call->data, !call->unanswered);
	if (at && call->kind == EXECUTOR_HOLD) {
		answer.clock_ms = call->clock_ms;
		answer.born_ms = call->born_ms;
		if (call->running) {
			answer.running = (const struct waxwing_running_row *)call->running->data;
			answer.running_count = call->running->len;
			answer.ended = (const struct waxwing_ended_row *)call->ended->data;
			answer.ended_count = call->ended->len;
		}
		call->hold_done(call->data, &answer);
	}
	if (at)
		waxwing_node_settle(at->node);
	else
		g_free(call->data); /* the order, of a node that is gone */
	if (call->running)
		g_array_free(call->running, TRUE);
	if (call->ended)
		g_array_free(call->ended, TRUE);
	g_free(call);
}

static bool executor_reached(const struct world *world, const struct executor_call *call)
{
	const struct world_executor *executor = &world->executors[call->executor];

	return !executor->dark && !executor->cut && executor->born_ms == call->life_ms &&
	       zones_meet(world, world->nodes[call->node].zone, executor->zone);
}

static void executor_answer(struct executor_call *call)
{
	struct world *world = call->world;
	const struct world_executor *executor = &world->executors[call->executor];

	if (call->late) {
		/* its sender was told long ago that there is no answer */
		if (call->running)
			g_array_free(call->running, TRUE);
		if (call->ended)
			g_array_free(call->ended, TRUE);
		g_free(call);
		return;
	}
	call->clock_ms = executor_clock(world, executor);
	call->born_ms = executor->born_ms;
	if (!executor_reached(world, call)) {
		call->unanswered = true;
		call->start_answer = WAXWING_START_UNKNOWN;
		call->hold_end = WAXWING_HOLD_NO_ANSWER;
		call->clock_ms = 0;
		world_later(world, call->timeout_ms, executor_reply_now, call);
		return;
	}
	world_later(world, WAY_MS, executor_reply_now, call);
}

static bool same_task(const struct waxwing_run_name *a, const struct waxwing_run_name *b)
{
	return a->job == b->job && a->occurrence == b->occurrence && a->step == b->step &&
	       a->index == b->index;
}

/* True when the run is not higher than one that was stopped or ended there. */
static bool is_old(const struct world_executor *executor, const struct waxwing_run_name *name)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_row *row =
			&g_array_index(executor->ended, struct waxwing_ended_row, i);

		if (same_task(&row->name, name) && row->name.run >= name->run)
			return true;
	}
	return false;
}

static void answer_holds(struct world *world, struct world_executor *executor);

static void add_ended(const struct world *world, struct world_executor *executor,
		      const struct waxwing_ended_row *row)
{
	int64_t now_ms = world_now(world);

	g_array_append_vals(executor->ended, row, 1);
	g_array_append_val(executor->ended_ms, now_ms);
}

static void executor_end(struct world *world, struct world_executor *executor, guint index,
			 enum waxwing_run_end end)
{
	struct executor_run run = g_array_index(executor->runs, struct executor_run, index);
	struct waxwing_ended_row row = { .number = ++executor->last_end,
					 .name = run.name,
					 .end = end };
	struct client_job *job = g_hash_table_lookup(world->jobs, &run.name.job);

	g_array_remove_index_fast(executor->runs, index);
	add_ended(world, executor, &row);
	if (job && end == WAXWING_RUN_DONE)
		job->done++;
	answer_holds(world, executor);
}

/* What is running where the violation is, for whoever looks for its cause. */
static void world_violation_at(struct world *world, const char *rule,
			       const struct waxwing_run_name *name,
			       const struct world_executor *executor)
{
	if (!world->violations) {
		g_test_message("%s at %lld ms at %s, token %llu: start of %llu.%u run %u", rule,
			       (long long)world_now(world), executor->id,
			       (unsigned long long)executor->token, (unsigned long long)name->job,
			       name->index, name->run);
		for (guint i = 0; i < executor->runs->len; i++) {
			const struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, i);

			g_test_message("runs there: %llu.%u run %u, started %lld",
				       (unsigned long long)run->name.job, run->name.index,
				       run->name.run, (long long)run->started_ms);
		}
	}
	world_violation(world, rule, name->job, name->index);
}

static bool is_early(const struct world *world, const struct client_job *job,
		     const struct waxwing_run_name *name)
{
	int64_t due_ms = job->first_ms + name->occurrence * INTERVAL_MS;
	int64_t early_ms = EARLY_MS + (world->day_jumped ? EARLY_JUMPED_MS : 0);

	return name->occurrence >= job->repetitions || world_now(world) + early_ms < due_ms;
}

static void check_start(struct world *world, struct world_executor *executor,
			const struct waxwing_run_name *name)
{
	struct client_job *job = g_hash_table_lookup(world->jobs, &name->job);

	world->starts++;
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *other = &world->executors[i];

		for (guint k = 0; !other->dark && k < other->runs->len; k++)
			if (same_task(&g_array_index(other->runs, struct executor_run, k).name,
				      name))
				world_violation_at(world, "TWICE", name, other);
	}
	if ((executor->runs->len + 1) * 6000 > EXECUTOR_CPU)
		world_violation_at(world, "LIMIT", name, executor);
	if (job && job->kept && (job->noted >> task_slot(name) & 1))
		world_violation_at(world, "TWICE after its end", name, executor);
	if (job && job->state == CLIENT_REFUSED)
		world_violation(world, "REFUSED", name->job, name->index);
	if (job && job->repetitions && is_early(world, job, name))
		world_violation(world, "ORDER", name->job, name->occurrence);
	if (job && job->repetitions && name->run == 1)
		world->latest_ms =
			MAX(world->latest_ms,
			    world_now(world) - MAX(job->first_ms + name->occurrence * INTERVAL_MS,
						   job->sent_ms));
	if (job) {
		job->started = true;
		job->last_start_ms[task_slot(name)] = world_now(world);
	}
}

static enum waxwing_start_answer take_start(struct world *world, struct world_executor *executor,
					    const struct executor_call *call)
{
	struct client_job *job = g_hash_table_lookup(world->jobs, &call->name.job);
	struct executor_run run = { .name = call->name, .started_ms = world_now(world) };

	if (call->token < executor->token)
		return WAXWING_START_FENCED;
	executor->token = call->token;
	if (call->until_ms <= executor_clock(world, executor))
		return WAXWING_START_LATE;
	for (guint i = 0; i < executor->runs->len; i++)
		if (same_task(&g_array_index(executor->runs, struct executor_run, i).name,
			      &call->name))
			return WAXWING_START_RUNS;
	if (is_old(executor, &call->name))
		return WAXWING_START_OLD;
	if (job && job->permitted &&
	    !ticket_is_good(world, call->ticket, call->name.job, executor->id))
		return WAXWING_START_NO_TICKET;
	executor->lease_until_ms =
		MAX(executor->lease_until_ms,
		    MIN(call->until_ms, executor_clock(world, executor) + LEASE_MOST_MS));
	check_start(world, executor, &call->name);
	run.ends_ms = world_now(world) + (int64_t)((job ? job->work_ms : 50) / executor->speed);
	g_array_append_val(executor->runs, run);
	return WAXWING_START_RUNS;
}

static void take_stop(struct world *world, struct world_executor *executor,
		      const struct executor_call *call)
{
	struct waxwing_ended_row row = { .name = call->name, .end = WAXWING_RUN_STOPPED };

	if (call->token < executor->token)
		return;
	executor->token = call->token;
	for (guint i = 0; i < executor->runs->len; i++) {
		if (!same_task(&g_array_index(executor->runs, struct executor_run, i).name,
			       &call->name))
			continue;
		g_array_index(executor->runs, struct executor_run, i).stops_ms =
			world_now(world) + STOP_MS;
		return;
	}
	/* a run that is not there yet is rejected later; this end is listed nowhere */
	add_ended(world, executor, &row);
}

static void fill_lists(const struct world_executor *executor, struct executor_call *call)
{
	call->running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_row));
	call->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_row));
	for (guint i = 0; i < executor->runs->len; i++) {
		struct waxwing_running_row row = {
			.name = g_array_index(executor->runs, struct executor_run, i).name
		};

		g_array_append_val(call->running, row);
	}
	for (guint i = 0; i < executor->ended->len; i++) {
		struct waxwing_ended_row row =
			g_array_index(executor->ended, struct waxwing_ended_row, i);

		if (row.number > executor->forgotten_upto)
			g_array_append_val(call->ended, row);
	}
}

static bool has_new_end(const struct world_executor *executor)
{
	return executor->last_end > executor->forgotten_upto;
}

static void answer_holds(struct world *world, struct world_executor *executor)
{
	for (guint i = executor->holds->len; i-- > 0;) {
		struct executor_call *call = executor->holds->pdata[i];

		if (!has_new_end(executor) && world_now(world) < call->waits_until_ms)
			continue;
		g_ptr_array_remove_index_fast(executor->holds, i);
		fill_lists(executor, call);
		call->hold_end = WAXWING_HOLD_ANSWERED;
		executor_answer(call);
	}
}

/* The task must not have been started since, nor be started again. */
static void note_done(struct world *world, const struct world_executor *executor, guint index)
{
	const struct waxwing_ended_row *row =
		&g_array_index(executor->ended, struct waxwing_ended_row, index);
	int64_t ended_ms = g_array_index(executor->ended_ms, int64_t, index);
	struct client_job *job = g_hash_table_lookup(world->jobs, &row->name.job);

	if (!job || executor->lapsed_ms >= ended_ms)
		return;
	if (job->kept && job->last_start_ms[task_slot(&row->name)] > ended_ms)
		world_violation_at(world, "TWICE before its end was noted", &row->name, executor);
	job->noted |= 1ULL << task_slot(&row->name);
}

static void note_acked(struct world *world, const struct world_executor *executor,
		       uint64_t acked_upto)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_row *row =
			&g_array_index(executor->ended, struct waxwing_ended_row, i);

		if (row->number > executor->forgotten_upto && row->number <= acked_upto &&
		    row->end == WAXWING_RUN_DONE)
			note_done(world, executor, i);
	}
}

static void take_hold(struct world *world, struct world_executor *executor,
		      struct executor_call *call)
{
	if (call->token < executor->token) {
		call->hold_end = WAXWING_HOLD_FENCED;
		executor_answer(call);
		return;
	}
	executor->token = call->token;
	note_acked(world, executor, call->acked_upto);
	executor->forgotten_upto =
		MAX(executor->forgotten_upto, MIN(call->acked_upto, executor->last_end));
	if (call->until_ms)
		executor->lease_until_ms =
			MAX(executor->lease_until_ms,
			    MIN(call->until_ms, executor_clock(world, executor) + LEASE_MOST_MS));
	call->waits_until_ms = world_now(world) + call->wait_ms;
	g_ptr_array_add(executor->holds, call);
	answer_holds(world, executor);
}

static void executor_arrived(struct world *world, void *data)
{
	struct executor_call *call = data;
	struct world_executor *executor = &world->executors[call->executor];

	if (!executor_reached(world, call) && !call->late) {
		executor_answer(call);
		return;
	}
	if (executor->dark || executor->born_ms != call->life_ms) {
		executor_answer(call);
		return;
	}
	switch (call->kind) {
	case EXECUTOR_START:
		call->start_answer = take_start(world, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_STOP:
		take_stop(world, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_HOLD:
		take_hold(world, executor, call);
		break;
	}
}

/* A copy of the order that the network keeps and delivers later; its sender hears nothing. */
static void make_late(struct executor_call *call)
{
	struct world *world = call->world;
	struct executor_call *late = g_memdup2(call, sizeof(*call));

	late->late = true;
	world_later(world, 2000 + (int64_t)(g_rand_double(world->random) * 8000), executor_arrived,
		    late);
	call->unanswered = true;
	call->start_answer = WAXWING_START_UNKNOWN;
	call->hold_end = WAXWING_HOLD_NO_ANSWER;
	world_later(world, call->timeout_ms, executor_reply_now, call);
}

static struct executor_call *executor_call(struct waxwing_executors *executors,
					   enum executor_kind kind,
					   const struct waxwing_order_target *target,
					   uint32_t timeout_ms)
{
	struct world_node *at =
		(struct world_node *)((char *)executors - offsetof(struct world_node, executors));
	struct executor_call *call = g_new0(struct executor_call, 1);

	call->world = at->world;
	call->node = at->index;
	call->incarnation = at->incarnation;
	call->kind = kind;
	call->executor = atoi(target->id + 1);
	call->token = target->fencing_token;
	call->life_ms = at->world->executors[call->executor].born_ms;
	call->timeout_ms = timeout_ms;
	return call;
}

static void executor_send(struct executor_call *call)
{
	if (world_chance(call->world, call->world->late_share))
		make_late(call);
	else
		world_later(call->world, WAY_MS, executor_arrived, call);
}

static void fake_start(struct waxwing_executors *executors,
		       const struct waxwing_executor_start *start)
{
	struct executor_call *call =
		executor_call(executors, EXECUTOR_START, start->target, start->timeout_ms);

	call->name = start->order->name;
	call->until_ms = start->order->until_ms;
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

	call->name = *stop->name;
	call->stop_done = stop->done;
	call->data = stop->data;
	executor_send(call);
}

static void fake_hold(struct waxwing_executors *executors, const struct waxwing_executor_hold *hold)
{
	struct executor_call *call = executor_call(executors, EXECUTOR_HOLD, hold->target,
						   hold->timeout_ms + hold->wait_ms);

	call->until_ms = hold->until_ms;
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

static void list_executor(struct world *world, struct world_executor *executor);

static void run_executors(struct world *world)
{
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		if (executor_clock(world, executor) >= executor->lease_until_ms)
			executor->lapsed_ms = world_now(world);
		for (guint k = executor->runs->len; k-- > 0 && !executor->dark;) {
			struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, k);

			if (executor_clock(world, executor) >= executor->lease_until_ms)
				executor_end(world, executor, k, WAXWING_RUN_LAPSED);
			else if (world_now(world) >= run->ends_ms)
				executor_end(world, executor, k, WAXWING_RUN_DONE);
			else if (run->stops_ms && world_now(world) >= run->stops_ms)
				executor_end(world, executor, k, WAXWING_RUN_STOPPED);
		}
		if (!executor->dark)
			answer_holds(world, executor);
		if (executor->relist_ms && world_now(world) >= executor->relist_ms &&
		    !world->store_down) {
			executor->relist_ms = 0;
			list_executor(world, executor);
		}
	}
}

/* Everything there ends, and nothing of it is remembered. */
static void executor_crash(struct world *world, struct world_executor *executor)
{
	g_array_set_size(executor->runs, 0);
	g_array_set_size(executor->ended, 0);
	g_array_set_size(executor->ended_ms, 0);
	executor->last_end = 0;
	executor->forgotten_upto = 0;
	executor->token = 0;
	executor->lease_until_ms = 0;
	executor->born_ms = 1 + world_now(world);
	executor->offset_ms = g_rand_int_range(world->random, -5000, 500000);
	while (executor->holds->len) {
		struct executor_call *call =
			g_ptr_array_steal_index_fast(executor->holds, executor->holds->len - 1);

		call->hold_end = WAXWING_HOLD_NO_ANSWER;
		call->unanswered = true;
		if (call->late)
			g_free(call);
		else
			world_later(world, WAY_MS, executor_reply_now, call);
	}
}

#endif
