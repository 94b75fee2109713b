/*
 * Tests of a single cell: an owner whose ownership is not confirmed any more, and executors that may
 * have lost the token of its successor in a restart.
 */
#include "cell_fixture.h"

#define EXECUTOR_CPU 16000
/* Longer than an executor's last answer counts while the ownership is not confirmed. */
#define PAUSE_MS 600
/* Entries are back in the list within 2 s; reading them takes up to 500 ms. */
#define ENTRIES_WAIT_MS 2500

static void set_unconfirmed(struct fixture *fixture)
{
	waxwing_cell_set_owned_until(fixture->cell, fixture->now_ms, 0);
}

static void set_confirmed(struct fixture *fixture)
{
	waxwing_cell_set_owned_until(fixture->cell, fixture->now_ms, fixture->now_ms + 1000);
}

static void accept_durable_job(struct fixture *fixture, uint64_t id)
{
	offer_job(fixture, id, 1, 1000, 50, false, true);
	store_all_records(fixture);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

/* After a pause, an executor is called, without extending leases, before a task starts there. */
static void test_pause(void)
{
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", EXECUTOR_CPU);
	fixture.now_ms += PAUSE_MS;
	set_unconfirmed(&fixture);
	fixture.recorder.holds = 0;
	offer(&fixture, 1, 1, 1000, 50, false);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(fixture.recorder.holds, ==, 1);
	g_assert_false(fixture.recorder.last_hold_extends);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* The answer to a call that was sent before the pause does not count. */
static void test_answer_from_before_pause(void)
{
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	add_executor(&fixture, "a", EXECUTOR_CPU, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	handle = fixture.recorder.handle;
	fixture.now_ms += PAUSE_MS;
	set_unconfirmed(&fixture);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	offer(&fixture, 1, 1, 1000, 50, false);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	tear_down(&fixture);
}

/*
 * A durable task starts on an executor that has restarted once a successor would have called it, or
 * once the ownership is confirmed.
 */
static void test_restarted(gconstpointer confirms)
{
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	fixture.started_ms = 1;
	handle = ready_executor(&fixture, "a", EXECUTOR_CPU);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	set_unconfirmed(&fixture);
	fixture.started_ms = 2;
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	accept_durable_job(&fixture, 1);
	for (int ms = 0; ms < ENTRIES_WAIT_MS; ms += 5) {
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
		if (confirms && ms > ENTRIES_WAIT_MS / 2)
			break;
		advance(&fixture, 5);
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	}
	if (confirms)
		set_confirmed(&fixture);
	advance(&fixture, 10);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/*
 * Guards against an end that no owner hears of: a former owner acknowledged ends of its successor's
 * runs on an executor that had restarted.
 */
static void test_foreign_end(void)
{
	struct fixture fixture;
	struct waxwing_ended_run row = { .number = 1,
					 .run_id = { .job = 77, .run = 9 },
					 .end = WAXWING_RUN_DONE };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", EXECUTOR_CPU);
	set_unconfirmed(&fixture);
	for (int i = 0; i < 20; i++) {
		answer_hold(&fixture, handle, NULL, 0, &row, 1);
		advance(&fixture, 10);
		g_assert_cmpuint(fixture.recorder.acked_upto, ==, 0);
	}
	set_confirmed(&fixture);
	answer_hold(&fixture, handle, NULL, 0, &row, 1);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.acked_upto, ==, 1);
	tear_down(&fixture);
}

/*
 * Guards against ends that are taken for old ones: an executor restarted while its time of day was
 * behind that of its former start, and its restart was not noticed.
 */
static void test_restarted_with_earlier_time(void)
{
	struct fixture fixture;
	struct waxwing_ended_run row = { .number = 1, .end = WAXWING_RUN_DONE };
	uint64_t handle;

	set_up(&fixture, false);
	fixture.started_ms = 5;
	handle = ready_executor(&fixture, "a", EXECUTOR_CPU);
	for (uint64_t job = 1; job <= 2; job++) {
		offer(&fixture, job, 1, 1000, 50, false);
		waxwing_cell_advance(fixture.cell, fixture.now_ms);
		answer_started(&fixture, (guint)job - 1);
		advance(&fixture, 50);
		row.run_id = start_at(&fixture, (guint)job - 1)->run_id;
		answer_hold(&fixture, handle, NULL, 0, &row, 1);
		advance(&fixture, 20);
		g_assert_cmpuint(fixture.recorder.verdicts->len, ==, job);
		fixture.started_ms = 3;
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
		advance(&fixture, 20);
	}
	tear_down(&fixture);
}

static void answer_hold_fenced(struct fixture *fixture)
{
	struct waxwing_hold_answer answer = { .result = WAXWING_HOLD_FENCED,
					      .call = fixture->recorder.last_call };

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, fixture->recorder.handle,
				   &answer);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
}

/*
 * Guards against an owner that gives up its cell because an executor rejects orders with a token that
 * this owner has replaced itself, when its entry was removed and stored again.
 */
static void test_own_newer_token(void)
{
	struct fixture fixture;
	const struct start *start;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", EXECUTOR_CPU);
	accept_durable_job(&fixture, 1);
	advance(&fixture, 5);
	start = start_at(&fixture, 0);
	waxwing_cell_set_token(fixture.cell, 9);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, start->handle, &start->run_id,
				    WAXWING_START_FENCED, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	fixture.recorder.holds = 0;
	answer_hold_fenced(&fixture);
	g_assert_cmpuint(fixture.recorder.fenced, ==, 0);
	g_assert_cmpuint(fixture.recorder.holds, ==, 1);
	answer_hold_fenced(&fixture);
	g_assert_cmpuint(fixture.recorder.fenced, ==, 1);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/fence/pause", test_pause);
	g_test_add_func("/cell/fence/answer_from_before_pause", test_answer_from_before_pause);
	g_test_add_data_func("/cell/fence/restarted", NULL, test_restarted);
	g_test_add_data_func("/cell/fence/restarted_confirmed", "", test_restarted);
	g_test_add_func("/cell/fence/foreign_end", test_foreign_end);
	g_test_add_func("/cell/fence/restarted_with_earlier_time",
			test_restarted_with_earlier_time);
	g_test_add_func("/cell/fence/own_newer_token", test_own_newer_token);
	return g_test_run();
}
