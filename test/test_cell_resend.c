/*
 * Tests of a single cell: start orders and holds whose connection the executor closes, and orders
 * that are carried out twice.
 */
#include "cell_fixture.h"

#define EXECUTOR_CPU 16000
#define TICK_MS	     5
/* Longer than an end may wait for its acknowledgement after the answer that listed it. */
#define LONG_WAIT_MS 100
/* The sequence of calls after a start whose outcome is not known, and the answers to them. */
#define SETTLE_MS 200

static void answer_start(struct fixture *fixture, guint index, enum waxwing_start_answer answer)
{
	const struct start *start = start_at(fixture, index);

	waxwing_cell_start_answered(fixture->cell, fixture->now_ms, start->handle, &start->run_id,
				    answer, CLOCK_OFFSET_MS + fixture->now_ms);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

/* Starts the only task of a durable job on the only executor. */
static uint64_t start_task(struct fixture *fixture)
{
	uint64_t handle;

	set_up(fixture, false);
	handle = ready_executor(fixture, "a", EXECUTOR_CPU);
	offer_job(fixture, 1, 1, 1000, 50, false, true);
	store_all_records(fixture);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
	g_assert_cmpuint(fixture->recorder.starts->len, ==, 1);
	g_assert_false(start_at(fixture, 0)->new_connection);
	/* the hold that was sent for the start does not show what became of it */
	advance(fixture, TICK_MS);
	return handle;
}

/* Answers the last hold: the run of the first start has ended done. */
static void list_done(struct fixture *fixture, uint64_t handle)
{
	struct waxwing_ended_run ended = { 1, start_at(fixture, 0)->run_id, WAXWING_RUN_DONE,
					   NULL };
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.call = fixture->recorder.last_call,
		.clock_ms = CLOCK_OFFSET_MS + fixture->now_ms,
		.ended = &ended,
		.ended_count = 1,
	};

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, handle, &answer);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

static void list_nothing(struct fixture *fixture, uint64_t handle)
{
	answer_last_hold(fixture, handle);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

static void close_hold(struct fixture *fixture, uint64_t handle)
{
	struct waxwing_hold_answer closed = { .result = WAXWING_HOLD_CLOSED,
					      .call = fixture->recorder.last_call };

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, handle, &closed);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

static struct waxwing_cell_stats get_stats(const struct fixture *fixture)
{
	struct waxwing_cell_stats stats;

	waxwing_cell_get_stats(fixture->cell, fixture->now_ms, &stats);
	return stats;
}

static void assert_completed(struct fixture *fixture)
{
	store_all_records(fixture);
	query_state(fixture, 1, false);
	g_assert_cmpuint(last_state(fixture), ==, WAXWING_STATE_COMPLETED);
}

/*
 * Guards against a task that starts again after its end: its executor had carried out a start order
 * and ended the run, and refused a copy of the order as old.
 */
static void test_ended_before_answer(void)
{
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);

	answer_start(&fixture, 0, WAXWING_START_STALE_RUN);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	list_done(&fixture, handle);
	advance(&fixture, SETTLE_MS);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	assert_completed(&fixture);
	tear_down(&fixture);
}

/* A run that the executor refuses as old and does not list has not run: its task starts at once. */
static void test_never_ran(void)
{
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);

	answer_start(&fixture, 0, WAXWING_START_STALE_RUN);
	advance(&fixture, TICK_MS);
	g_assert_cmpuint(fixture.recorder.last_wait_ms, ==, 0);
	list_nothing(&fixture, handle);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpuint(start_at(&fixture, 1)->run_id.run, >, 1);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/* The executor closed an idle connection: the run starts without delay, and the executor stays in use. */
static void test_idle_connection_closed(void)
{
	struct fixture fixture;

	start_task(&fixture);
	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpuint(start_at(&fixture, 1)->run_id.run, ==, 1);
	g_assert_true(start_at(&fixture, 1)->new_connection);
	answer_start(&fixture, 1, WAXWING_START_RUNNING);
	g_assert_cmpuint(get_stats(&fixture).starts_resent, ==, 1);
	g_assert_cmpuint(get_stats(&fixture).starts_unanswered, ==, 0);
	g_assert_cmpuint(get_stats(&fixture).usable, ==, 1);
	/* the next task needs no new connection */
	offer(&fixture, 2, 1, 1000, 50, false);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	g_assert_false(start_at(&fixture, 2)->new_connection);
	tear_down(&fixture);
}

/*
 * Guards against a task that runs twice: the copy of its start order was refused, but the first
 * order had been carried out.
 */
static void test_refused_after_resend(gconstpointer data)
{
	enum waxwing_start_answer refusal = GPOINTER_TO_INT(data);
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);

	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	answer_start(&fixture, 1, refusal);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	/* a pause of the executor would hide that the task may start again */
	g_assert_cmpuint(get_stats(&fixture).runs, ==, 1);
	g_assert_cmpuint(get_stats(&fixture).waiting_tasks, ==, 0);
	advance(&fixture, TICK_MS);
	list_done(&fixture, handle);
	advance(&fixture, SETTLE_MS);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	assert_completed(&fixture);
	tear_down(&fixture);
}

/*
 * The same if no list contains the run: the first order may still arrive, so the task starts again
 * only after the run was stopped.
 */
static void test_unlisted_after_resend(gconstpointer data)
{
	enum waxwing_start_answer refusal = GPOINTER_TO_INT(data);
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);

	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	answer_start(&fixture, 1, refusal);
	advance(&fixture, TICK_MS);
	list_nothing(&fixture, handle);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	waxwing_cell_stop_answered(fixture.cell, fixture.now_ms, handle,
				   &start_at(&fixture, 0)->run_id, true);
	advance(&fixture, TICK_MS);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	list_nothing(&fixture, handle);
	advance(&fixture, SETTLE_MS * 2);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	g_assert_cmpuint(start_at(&fixture, 2)->run_id.run, >, 1);
	tear_down(&fixture);
}

/* A refusal of an order that was sent once shows that the run did not start: the task waits for no list. */
static void test_refused(void)
{
	struct fixture fixture;

	start_task(&fixture);
	ready_executor(&fixture, "b", EXECUTOR_CPU);
	answer_start(&fixture, 0, WAXWING_START_NO_CAPACITY);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 1)->executor, ==, "b");
	tear_down(&fixture);
}

/* An order is sent twice at most. */
static void test_closed_again(void)
{
	struct fixture fixture;

	start_task(&fixture);
	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	answer_start(&fixture, 1, WAXWING_START_CLOSED);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpuint(get_stats(&fixture).starts_unanswered, ==, 1);
	tear_down(&fixture);
}

/* Guards against a cancelled job of which a task starts because its order is repeated. */
static void test_cancelled(void)
{
	struct fixture fixture;

	start_task(&fixture);
	query_state(&fixture, 1, true);
	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpuint(fixture.recorder.stops->len, >=, 1);
	tear_down(&fixture);
}

/*
 * Guards against a start by an owner that has been replaced: the connection may have been closed
 * because the executor restarted, and then it accepts any token.
 */
static void test_not_owned(void)
{
	struct fixture fixture;

	start_task(&fixture);
	waxwing_cell_set_owned_until(fixture.cell, fixture.now_ms, 0);
	answer_start(&fixture, 0, WAXWING_START_CLOSED);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* The next hold follows without delay, and the executor stays in use. */
static void test_hold_closed(void)
{
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);
	uint32_t holds;

	answer_start(&fixture, 0, WAXWING_START_RUNNING);
	holds = fixture.recorder.holds;
	close_hold(&fixture, handle);
	g_assert_cmpuint(fixture.recorder.holds, ==, holds + 1);
	g_assert_true(fixture.recorder.last_hold_connects);
	g_assert_true(fixture.recorder.last_hold_extends);
	g_assert_cmpuint(get_stats(&fixture).usable, ==, 1);
	list_done(&fixture, handle);
	advance(&fixture, 2 * TICK_MS);
	g_assert_false(fixture.recorder.last_hold_connects);
	assert_completed(&fixture);
	tear_down(&fixture);
}

/*
 * Guards against ends that are lost: the connection was closed because the executor restarted, and a
 * copy of the hold acknowledged ends of the new incarnation, which are numbered from 1 again.
 */
static void test_hold_closed_by_restart(void)
{
	struct fixture fixture;
	uint64_t handle = start_task(&fixture);

	answer_start(&fixture, 0, WAXWING_START_RUNNING);
	list_done(&fixture, handle);
	store_all_records(&fixture);
	advance(&fixture, 2 * TICK_MS);
	g_assert_cmpuint(fixture.recorder.acked_upto, ==, 1);
	advance(&fixture, LONG_WAIT_MS);
	close_hold(&fixture, handle);
	g_assert_true(fixture.recorder.last_hold_connects);
	g_assert_cmpuint(fixture.recorder.acked_upto, ==, 0);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		enum waxwing_start_answer answer;
	} refusals[] = {
		{ "old", WAXWING_START_STALE_RUN },
		{ "no_capacity", WAXWING_START_NO_CAPACITY },
		{ "late", WAXWING_START_LEASE_EXPIRED },
		{ "rejected", WAXWING_START_REJECTED },
		{ "unhealthy", WAXWING_START_UNHEALTHY },
		{ "no_ticket", WAXWING_START_NO_TICKET },
		{ "unreachable", WAXWING_START_UNREACHABLE },
		{ "unknown", WAXWING_START_UNKNOWN },
	};

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/resend/ended_before_answer", test_ended_before_answer);
	g_test_add_func("/cell/resend/never_ran", test_never_ran);
	g_test_add_func("/cell/resend/idle_connection_closed", test_idle_connection_closed);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		char *listed = g_strconcat("/cell/resend/listed/", refusals[i].name, NULL);
		char *unlisted = g_strconcat("/cell/resend/unlisted/", refusals[i].name, NULL);

		g_test_add_data_func(listed, GINT_TO_POINTER(refusals[i].answer),
				     test_refused_after_resend);
		if (refusals[i].answer != WAXWING_START_STALE_RUN)
			g_test_add_data_func(unlisted, GINT_TO_POINTER(refusals[i].answer),
					     test_unlisted_after_resend);
		g_free(listed);
		g_free(unlisted);
	}
	g_test_add_func("/cell/resend/refused", test_refused);
	g_test_add_func("/cell/resend/closed_again", test_closed_again);
	g_test_add_func("/cell/resend/cancelled", test_cancelled);
	g_test_add_func("/cell/resend/not_owned", test_not_owned);
	g_test_add_func("/cell/resend/hold_closed", test_hold_closed);
	g_test_add_func("/cell/resend/hold_closed_by_restart", test_hold_closed_by_restart);
	return g_test_run();
}
