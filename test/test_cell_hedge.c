/* Tests of a single cell: calls to executors whose answers are lost, late or out of order. */
#include "cell_fixture.h"

#define EXECUTORS 4
/* How long an executor waits before it answers a hold, and the shortest timeout after that. */
#define WAIT_MS	   250
#define TIMEOUT_MS 40
/* Largest delay of a call that is due: the interval at which the fixture advances. */
#define TICK_MS 5
/* Time after which a hold that was not answered is given up. */
#define GIVE_UP_MS (WAIT_MS + WAXWING_HOLD_TIMEOUT_MS)
/* Time in which the answers of EXECUTORS executors are enough for a short timeout. */
#define LEARNING_MS 4500

struct call {
	int executor;
	uint64_t number;
	uint64_t acked_upto;
	int64_t until_ms;
	uint32_t wait_ms;
	int64_t sent_ms;
	bool answered;
};

struct fake {
	struct waxwing_running_run runs[8];
	size_t run_count;
	struct waxwing_ended_run ended[8];
	size_t ended_count;
	bool silent;
	uint64_t handle;
};

struct cluster {
	struct fixture fixture;
	struct fake executors[EXECUTORS];
	GArray *calls; /* struct call, in the order in which they were sent */
	int64_t answer_ms; /* how long an executor takes to answer, after the wait */
};

static struct cluster *current;

static void take_hold(void *data, const struct waxwing_order_target *target, uint64_t call,
		      int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	struct call row = {
		.executor = target->id[0] - 'a',
		.number = call,
		.acked_upto = acked_upto,
		.until_ms = until_ms,
		.wait_ms = wait_ms,
		.sent_ms = current->fixture.now_ms,
	};

	record_hold(data, target, call, until_ms, acked_upto, wait_ms);
	current->executors[row.executor].handle = target->handle;
	g_array_append_val(current->calls, row);
}

static struct call *call_at(const struct cluster *cluster, guint index)
{
	return &g_array_index(cluster->calls, struct call, index);
}

/* Returns the executor's latest call; null: it has none. */
static struct call *last_call(const struct cluster *cluster, int executor)
{
	for (guint i = cluster->calls->len; i-- > 0;)
		if (call_at(cluster, i)->executor == executor)
			return call_at(cluster, i);
	return NULL;
}

/* Returns the executor's only outstanding call. */
static const struct call *outstanding_call(const struct cluster *cluster, int executor)
{
	const struct call *found = NULL;

	for (guint i = 0; i < cluster->calls->len; i++) {
		const struct call *call = call_at(cluster, i);

		if (call->executor != executor || call->answered)
			continue;
		g_assert_null(found);
		found = call;
	}
	g_assert_nonnull(found);
	return found;
}

/* Answers a call with the state that the executor has now. */
static void answer_now(struct cluster *cluster, struct call *call)
{
	const struct fake *executor = &cluster->executors[call->executor];
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.call = call->number,
		.clock_ms = CLOCK_OFFSET_MS + cluster->fixture.now_ms,
		.running = executor->runs,
		.running_count = executor->run_count,
		.ended = executor->ended,
		.ended_count = executor->ended_count,
	};

	call->answered = true;
	waxwing_cell_hold_answered(cluster->fixture.cell, cluster->fixture.now_ms, executor->handle,
				   &answer);
}

static void lose(struct cluster *cluster, struct call *call)
{
	struct waxwing_hold_answer silence = { .result = WAXWING_HOLD_NO_ANSWER,
					       .call = call->number };

	call->answered = true;
	waxwing_cell_hold_answered(cluster->fixture.cell, cluster->fixture.now_ms,
				   cluster->executors[call->executor].handle, &silence);
}

/* Answers the calls that are due. Those of silent executors are given up in time. */
static void answer_due(struct cluster *cluster)
{
	for (guint i = 0; i < cluster->calls->len; i++) {
		struct call *call = call_at(cluster, i);
		int64_t age_ms = cluster->fixture.now_ms - call->sent_ms - call->wait_ms;
		bool silent = cluster->executors[call->executor].silent;

		if (call->answered)
			continue;
		if (silent && age_ms >= WAXWING_HOLD_TIMEOUT_MS)
			lose(cluster, call);
		else if (!silent && age_ms >= cluster->answer_ms)
			answer_now(cluster, call);
	}
}

static void run_cluster(struct cluster *cluster, int64_t ms)
{
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += TICK_MS) {
		advance(&cluster->fixture, TICK_MS);
		answer_due(cluster);
	}
}

static struct waxwing_cell_stats get_stats(struct cluster *cluster)
{
	struct waxwing_cell_stats stats;

	waxwing_cell_get_stats(cluster->fixture.cell, cluster->fixture.now_ms, &stats);
	return stats;
}

/* Confirms the starts from @first on; the runs last until the test ends them. */
static void confirm_starts(struct cluster *cluster, guint first)
{
	for (guint i = first; i < cluster->fixture.recorder.starts->len; i++) {
		struct fake *executor =
			&cluster->executors[start_at(&cluster->fixture, i)->executor[0] - 'a'];

		executor->runs[executor->run_count++] =
			(struct waxwing_running_run){ start_at(&cluster->fixture, i)->run_id,
						      NULL };
		answer_started(&cluster->fixture, i);
	}
}

/* Ends a run of an executor. */
static void end_run(struct cluster *cluster, int executor, size_t index)
{
	struct fake *fake = &cluster->executors[executor];

	fake->ended[fake->ended_count] =
		(struct waxwing_ended_run){ fake->ended_count + 1, fake->runs[index].run_id,
					    WAXWING_RUN_DONE, NULL };
	fake->ended_count++;
	fake->runs[index] = fake->runs[--fake->run_count];
}

/* Starts a long task on each executor, and answers holds until the usual answer time is known. */
static void set_up_cluster(struct cluster *cluster, const struct waxwing_cell_ops *ops,
			   int64_t answer_ms)
{
	static const char *const ids[] = { "a", "b", "c", "d" };

	*cluster = (struct cluster){ .answer_ms = answer_ms };
	current = cluster;
	cluster->calls = g_array_new(FALSE, FALSE, sizeof(struct call));
	set_up_with_ops(&cluster->fixture, ops);
	for (int i = 0; i < EXECUTORS; i++)
		add_executor(&cluster->fixture, ids[i], 16000, 0);
	run_cluster(cluster, 2 * answer_ms + 100);
	offer(&cluster->fixture, 1, EXECUTORS, 10000, 60000, false);
	advance(&cluster->fixture, TICK_MS);
	g_assert_cmpuint(cluster->fixture.recorder.starts->len, ==, EXECUTORS);
	confirm_starts(cluster, 0);
	run_cluster(cluster, LEARNING_MS);
}

static struct waxwing_cell_ops hedge_ops(void)
{
	struct waxwing_cell_ops ops = recording_ops;

	ops.hold = take_hold;
	return ops;
}

static void tear_down_cluster(struct cluster *cluster)
{
	g_array_free(cluster->calls, TRUE);
	tear_down(&cluster->fixture);
}

/* Runs the cluster until executor a has just got a regular hold; returns its index. */
static guint await_hold(struct cluster *cluster)
{
	guint before = cluster->calls->len;

	for (int i = 0; i < 100; i++) {
		run_cluster(cluster, TICK_MS);
		for (guint k = before; k < cluster->calls->len; k++)
			if (call_at(cluster, k)->executor == 0)
				return k;
	}
	g_assert_not_reached();
}

/*
 * Guards against an executor that is out of use, and ends that are not known, for 800 ms because
 * one hold was lost.
 */
static void test_lost_hold(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	guint lost;

	set_up_cluster(&cluster, &ops, 2);
	lost = await_hold(&cluster);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, 0);
	call_at(&cluster, lost)->answered = true; /* not by the loop */
	end_run(&cluster, 0, 0);
	run_cluster(&cluster, WAIT_MS + TIMEOUT_MS + 3 * TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).done, ==, 1);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, 1);
	g_assert_cmpuint(get_stats(&cluster).hedges_answered, ==, 1);
	run_cluster(&cluster, GIVE_UP_MS - WAIT_MS - TIMEOUT_MS - 3 * TICK_MS);
	lose(&cluster, call_at(&cluster, lost));
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	/* the end was acknowledged by a regular hold, after an answer that listed it */
	g_assert_cmpuint(last_call(&cluster, 0)->acked_upto, ==, 1);
	tear_down_cluster(&cluster);
}

/* An executor is out of use once both calls were not answered, and not before. */
static void test_both_lost(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;

	set_up_cluster(&cluster, &ops, 2);
	await_hold(&cluster);
	cluster.executors[0].silent = true;
	run_cluster(&cluster, GIVE_UP_MS + TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	run_cluster(&cluster, TIMEOUT_MS + TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS - 1);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, 1);
	tear_down_cluster(&cluster);
}

/*
 * Guards against a run that is taken for ended, or an ended one for running, because an answer was
 * overtaken by a newer one.
 */
static void test_overtaken(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	struct fake before;
	struct waxwing_hold_answer late = { .result = WAXWING_HOLD_ANSWERED };
	guint first;

	set_up_cluster(&cluster, &ops, 2);
	first = await_hold(&cluster);
	call_at(&cluster, first)->answered = true; /* not by the loop */
	before = cluster.executors[0];
	late.call = call_at(&cluster, first)->number;
	late.clock_ms = CLOCK_OFFSET_MS + cluster.fixture.now_ms;
	late.running = before.runs;
	late.running_count = before.run_count;
	/* a new run starts and the old one ends; the second hold shows both */
	offer(&cluster.fixture, 2, EXECUTORS, 1000, 5000, false);
	advance(&cluster.fixture, TICK_MS);
	confirm_starts(&cluster, EXECUTORS);
	end_run(&cluster, 0, 0);
	run_cluster(&cluster, WAIT_MS + TIMEOUT_MS + 2 * TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).hedges_answered, ==, 1);
	g_assert_cmpuint(get_stats(&cluster).runs, ==, 2 * EXECUTORS - 1);
	waxwing_cell_hold_answered(cluster.fixture.cell, cluster.fixture.now_ms,
				   cluster.executors[0].handle, &late);
	g_assert_cmpuint(get_stats(&cluster).runs, ==, 2 * EXECUTORS - 1);
	g_assert_cmpuint(get_stats(&cluster).lapsed, ==, 0);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	run_cluster(&cluster, 2 * GIVE_UP_MS);
	g_assert_cmpuint(get_stats(&cluster).lapsed, ==, 0);
	tear_down_cluster(&cluster);
}

/*
 * Guards against a run that is taken for missing because a hold that was sent before its start was
 * answered after another one was sent.
 */
static void test_missing_by_own_call(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	struct waxwing_hold_answer answer = { .result = WAXWING_HOLD_ANSWERED };
	struct fake before;
	guint first;

	set_up_cluster(&cluster, &ops, 2);
	first = await_hold(&cluster);
	before = cluster.executors[0];
	call_at(&cluster, first)->answered = true;
	offer(&cluster.fixture, 2, EXECUTORS, 1000, 5000, false);
	advance(&cluster.fixture, TICK_MS);
	confirm_starts(&cluster, EXECUTORS);
	cluster.executors[0].silent = true;
	run_cluster(&cluster, WAIT_MS + TIMEOUT_MS + 2 * TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, 1);
	/* the first hold is answered, as it was before the run started */
	answer.call = call_at(&cluster, first)->number;
	answer.clock_ms = CLOCK_OFFSET_MS + cluster.fixture.now_ms;
	answer.running = before.runs;
	answer.running_count = before.run_count;
	waxwing_cell_hold_answered(cluster.fixture.cell, cluster.fixture.now_ms,
				   cluster.executors[0].handle, &answer);
	g_assert_cmpuint(get_stats(&cluster).lapsed, ==, 0);
	tear_down_cluster(&cluster);
}

/* Guards against a flood of second calls when the owner is cut off from all executors. */
static void test_all_silent(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	guint before;

	set_up_cluster(&cluster, &ops, 2);
	for (int i = 0; i < EXECUTORS; i++)
		cluster.executors[i].silent = true;
	run_cluster(&cluster, GIVE_UP_MS + WAIT_MS);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, EXECUTORS);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, 0);
	before = cluster.calls->len;
	run_cluster(&cluster, 2200);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, EXECUTORS);
	/* each is given up after 350 ms, and followed by the next after 200 ms */
	g_assert_cmpuint(cluster.calls->len - before, <=, 4 * EXECUTORS);
	tear_down_cluster(&cluster);
}

/* Guards against slow answers that are taken for lost ones. */
static void test_slow(gconstpointer slows_down)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	uint64_t hedged;

	set_up_cluster(&cluster, &ops, slows_down ? 2 : 60);
	if (slows_down) {
		cluster.answer_ms = 60;
		run_cluster(&cluster, 1000);
	}
	hedged = get_stats(&cluster).holds_hedged;
	g_assert_cmpuint(hedged, <=, slows_down ? EXECUTORS : 0);
	run_cluster(&cluster, 5000);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, hedged);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	tear_down_cluster(&cluster);
}

/* Guards against a hedge for each executor when the owner itself was paused. */
static void test_owner_paused(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;

	set_up_cluster(&cluster, &ops, 2);
	cluster.fixture.now_ms += WAIT_MS + TIMEOUT_MS;
	run_cluster(&cluster, 1000);
	g_assert_cmpuint(get_stats(&cluster).holds_hedged, ==, 0);
	tear_down_cluster(&cluster);
}

/*
 * Guards against ends that are known late: while calls are lost, an executor is asked once a run
 * should have ended, not when its hold is overdue.
 */
static void test_hidden_end(gconstpointer losses)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	int64_t started_ms;
	guint lost;

	set_up_cluster(&cluster, &ops, 2);
	offer(&cluster.fixture, 2, EXECUTORS, 1000, 1000, false);
	advance(&cluster.fixture, TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, 2 * EXECUTORS);
	confirm_starts(&cluster, EXECUTORS);
	started_ms = cluster.fixture.now_ms;
	lost = await_hold(&cluster);
	if (losses) {
		call_at(&cluster, lost)->answered = true;
		run_cluster(&cluster, GIVE_UP_MS);
		lose(&cluster, call_at(&cluster, lost));
		lost = await_hold(&cluster);
	}
	/* before any run has ended, 1.45 times the estimate is expected */
	while (cluster.fixture.now_ms < started_ms + 1400)
		lost = await_hold(&cluster);
	call_at(&cluster, lost)->answered = true;
	end_run(&cluster, 0, 1);
	run_cluster(&cluster, 130);
	g_assert_cmpuint(get_stats(&cluster).done, ==, losses ? 1 : 0);
	run_cluster(&cluster, WAIT_MS + TIMEOUT_MS);
	g_assert_cmpuint(get_stats(&cluster).done, ==, 1);
	tear_down_cluster(&cluster);
}

/* Starts one more task, whose start is not answered; returns its executor. */
static int lose_start(struct cluster *cluster, bool executed)
{
	struct start *start;
	struct fake *executor;

	offer(&cluster->fixture, 2, 1, 1000, 60000, false);
	advance(&cluster->fixture, TICK_MS);
	g_assert_cmpuint(cluster->fixture.recorder.starts->len, ==, EXECUTORS + 1);
	start = start_at(&cluster->fixture, EXECUTORS);
	executor = &cluster->executors[start->executor[0] - 'a'];
	if (executed)
		executor->runs[executor->run_count++] =
			(struct waxwing_running_run){ start->run_id, NULL };
	run_cluster(cluster, TIMEOUT_MS);
	waxwing_cell_start_answered(cluster->fixture.cell, cluster->fixture.now_ms, start->handle,
				    &start->run_id, WAXWING_START_UNKNOWN, 0);
	return start->executor[0] - 'a';
}

static void answer_stop(struct cluster *cluster)
{
	const struct start *start = start_at(&cluster->fixture, EXECUTORS);

	waxwing_cell_stop_answered(cluster->fixture.cell, cluster->fixture.now_ms, start->handle,
				   &start->run_id, true);
}

/* Guards against a run that is stopped, and an executor out of use, because an answer was lost. */
static void test_start_executed(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;

	set_up_cluster(&cluster, &ops, 2);
	lose_start(&cluster, true);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	run_cluster(&cluster, 4 * TICK_MS);
	g_assert_cmpuint(get_stats(&cluster).starts_confirmed, ==, 1);
	run_cluster(&cluster, 1000);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 0);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 1);
	g_assert_cmpuint(get_stats(&cluster).runs, ==, EXECUTORS + 1);
	tear_down_cluster(&cluster);
}

/* Guards against a task that waits for 80 ms after its stop, although a list shows that it is free. */
static void test_start_not_executed(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;

	set_up_cluster(&cluster, &ops, 2);
	lose_start(&cluster, false);
	run_cluster(&cluster, 4 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 1);
	/* until the stop was answered, the start may still be carried out */
	run_cluster(&cluster, 200);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 1);
	answer_stop(&cluster);
	run_cluster(&cluster, 5 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 2);
	g_assert_cmpuint(get_stats(&cluster).usable, ==, EXECUTORS);
	tear_down_cluster(&cluster);
}

/* Guards against two runs: the start was carried out between the list and the stop. */
static void test_start_before_stop(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	struct fake *executor;

	set_up_cluster(&cluster, &ops, 2);
	executor = &cluster.executors[lose_start(&cluster, false)];
	run_cluster(&cluster, 4 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 1);
	executor->runs[executor->run_count++] =
		(struct waxwing_running_run){ start_at(&cluster.fixture, EXECUTORS)->run_id, NULL };
	answer_stop(&cluster);
	run_cluster(&cluster, STOP_MS - 2 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 1);
	executor->run_count--;
	executor->ended[executor->ended_count++] =
		(struct waxwing_ended_run){ 1, start_at(&cluster.fixture, EXECUTORS)->run_id,
					    WAXWING_RUN_STOPPED, NULL };
	run_cluster(&cluster, WAIT_MS + TIMEOUT_MS);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 2);
	tear_down_cluster(&cluster);
}

/* Guards against two runs: a hold that was sent before the stop was answered lists too early. */
static void test_list_before_stop(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	struct waxwing_hold_answer early = { .result = WAXWING_HOLD_ANSWERED };
	const struct call *regular;
	int executor;

	set_up_cluster(&cluster, &ops, 2);
	executor = lose_start(&cluster, false);
	run_cluster(&cluster, 4 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 1);
	cluster.executors[executor].silent = true;
	regular = outstanding_call(&cluster, executor);
	answer_stop(&cluster);
	early.call = regular->number;
	early.clock_ms = CLOCK_OFFSET_MS + cluster.fixture.now_ms + 1;
	early.running = cluster.executors[executor].runs;
	early.running_count = cluster.executors[executor].run_count;
	waxwing_cell_hold_answered(cluster.fixture.cell, cluster.fixture.now_ms,
				   cluster.executors[executor].handle, &early);
	run_cluster(&cluster, STOP_MS);
	g_assert_cmpuint(cluster.fixture.recorder.starts->len, ==, EXECUTORS + 1);
	tear_down_cluster(&cluster);
}

/* A start whose list is not answered either is stopped. */
static void test_list_lost(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;

	set_up_cluster(&cluster, &ops, 2);
	cluster.executors[lose_start(&cluster, false)].silent = true;
	run_cluster(&cluster, TIMEOUT_MS - TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 0);
	run_cluster(&cluster, 4 * TICK_MS);
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 1);
	tear_down_cluster(&cluster);
}

/* A stop whose answer is lost is repeated at once, and then at the usual interval. */
static void test_stop_lost(void)
{
	struct waxwing_cell_ops ops = hedge_ops();
	struct cluster cluster;
	const struct start *start;

	set_up_cluster(&cluster, &ops, 2);
	lose_start(&cluster, false);
	run_cluster(&cluster, 4 * TICK_MS);
	for (guint stops = 1; stops <= 2; stops++) {
		g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, stops);
		run_cluster(&cluster, TIMEOUT_MS);
		start = start_at(&cluster.fixture, EXECUTORS);
		waxwing_cell_stop_answered(cluster.fixture.cell, cluster.fixture.now_ms,
					   start->handle, &start->run_id, false);
		run_cluster(&cluster, 3 * TICK_MS);
	}
	g_assert_cmpuint(cluster.fixture.recorder.stops->len, ==, 2);
	tear_down_cluster(&cluster);
}

/* Starts wait for their answers as long as 50 answers, one to a hold, have shown to be enough. */
static void test_start_timeout(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 64000);
	offer(&fixture, 1, 60, 1000, 60000, false);
	advance(&fixture, TICK_MS);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 60);
	fixture.now_ms += 15;
	for (guint i = 0; i < 60; i++) {
		g_assert_cmpint(waxwing_cell_answer_timeout_ms(fixture.cell, fixture.now_ms,
							       WAXWING_START_TIMEOUT_MS),
				==, i < 49 ? WAXWING_START_TIMEOUT_MS : 60);
		answer_started(&fixture, i);
	}
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/hedge/lost_hold", test_lost_hold);
	g_test_add_func("/cell/hedge/both_lost", test_both_lost);
	g_test_add_func("/cell/hedge/overtaken", test_overtaken);
	g_test_add_func("/cell/hedge/missing_by_own_call", test_missing_by_own_call);
	g_test_add_func("/cell/hedge/all_silent", test_all_silent);
	g_test_add_data_func("/cell/hedge/slow/always", NULL, test_slow);
	g_test_add_data_func("/cell/hedge/slow/later", "later", test_slow);
	g_test_add_data_func("/cell/hedge/hidden_end/losses", "losses", test_hidden_end);
	g_test_add_data_func("/cell/hedge/hidden_end/none", NULL, test_hidden_end);
	g_test_add_func("/cell/hedge/start_executed", test_start_executed);
	g_test_add_func("/cell/hedge/start_not_executed", test_start_not_executed);
	g_test_add_func("/cell/hedge/start_before_stop", test_start_before_stop);
	g_test_add_func("/cell/hedge/list_before_stop", test_list_before_stop);
	g_test_add_func("/cell/hedge/list_lost", test_list_lost);
	g_test_add_func("/cell/hedge/stop_lost", test_stop_lost);
	g_test_add_func("/cell/hedge/start_timeout", test_start_timeout);
	g_test_add_func("/cell/hedge/owner_paused", test_owner_paused);
	return g_test_run();
}
