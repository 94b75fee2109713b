/* A cell whose failure domain is evacuated: what still starts, and what its jobs are answered. */
#include "cell_fixture.h"

#define START_MS 1000

static void evacuate(struct fixture *fixture, int64_t start_ms)
{
	waxwing_cell_set_evacuated(fixture->cell, fixture->now_ms, true,
				   fixture->now_ms + start_ms);
}

static void end_run(struct fixture *fixture, guint start, enum waxwing_run_end end)
{
	const struct start *row = start_at(fixture, start);
	struct waxwing_ended_run ended = { .number = start + 1, .run_id = row->run_id, .end = end };

	answer_hold(fixture, row->handle, NULL, 0, &ended, 1);
}

/*
 * Jobs accepted before an evacuation start until its limit and not later, running tasks are not
 * stopped, and a job of which nothing was started is refused, so that its issuer moves it.
 */
static void test_queued_refused(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 6000);
	offer(&fixture, 1, 1, 6000, 100, false);
	offer(&fixture, 2, 1, 6000, 100, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	evacuate(&fixture, 100);
	offer(&fixture, 3, 1, 100, 300, false);
	g_assert_cmpuint(verdict_at(&fixture, 0)->job, ==, 3);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 0)->reason, ==, WAXWING_ERROR_NO_UPSTREAM);
	g_assert_cmpuint(verdict_at(&fixture, 0)->retry_after_ms, ==, 1000);
	advance(&fixture, 80);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	advance(&fixture, 40);
	g_assert_cmpuint(verdict_at(&fixture, 1)->job, ==, 2);
	g_assert_cmpuint(verdict_at(&fixture, 1)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 1)->reason, ==, WAXWING_ERROR_NO_UPSTREAM);
	end_run(&fixture, 0, WAXWING_RUN_DONE);
	g_assert_cmpuint(verdict_at(&fixture, 2)->outcome, ==, WAXWING_JOB_COMPLETED);
	advance(&fixture, 100);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/*
 * A job accepted before still starts within the time that a recent order leaves, which a repeated
 * order does not extend.
 */
static void test_starts_until(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 6000);
	offer(&fixture, 1, 1, 6000, 300, false);
	evacuate(&fixture, 100);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	answer_started(&fixture, 0);
	offer_job(&fixture, 2, 1, 6000, 300, true, false);
	evacuate(&fixture, START_MS);
	advance(&fixture, 95);
	end_run(&fixture, 0, WAXWING_RUN_DONE);
	advance(&fixture, 3000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* A job that has begun but cannot continue is given up once its runs have ended, not before. */
static void test_begun_given_up(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_two_steps = true;
	offer(&fixture, 1, 2, 6000, 300, false);
	offer_two_steps = false;
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	evacuate(&fixture, 0);
	end_run(&fixture, 0, WAXWING_RUN_DONE);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	end_run(&fixture, 1, WAXWING_RUN_DONE);
	advance(&fixture, 50);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_GIVEN_UP);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/*
 * A job that a former owner may have started is never reported as not run: it continues if it has a
 * run, and is given up otherwise.
 */
static void test_former_runs(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 0, 0, 1 } };
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = running.run_id,
					   .end = WAXWING_RUN_DONE };

	set_up(&fixture, true);
	evacuate(&fixture, 0);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	offer(&fixture, 9, 1, 6000, 100, true);
	offer(&fixture, 8, 1, 6000, 3000, true);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, &ended, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->job, ==, 9);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	advance(&fixture, 5000);
	g_assert_cmpuint(verdict_at(&fixture, 1)->job, ==, 8);
	g_assert_cmpuint(verdict_at(&fixture, 1)->outcome, ==, WAXWING_JOB_GIVEN_UP);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	tear_down(&fixture);
}

/* A durable job that was accepted before stays and runs once the order is withdrawn. */
static void test_durable_waits(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 6000);
	offer_job(&fixture, 1, 1, 6000, 300, false, true);
	evacuate(&fixture, 0);
	store_all_records(&fixture);
	advance(&fixture, 2000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	query_state(&fixture, 1, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_QUEUED);
	offer_job(&fixture, 2, 1, 6000, 300, false, true);
	g_assert_cmpuint(verdict_at(&fixture, 1)->job, ==, 2);
	g_assert_cmpuint(verdict_at(&fixture, 1)->outcome, ==, WAXWING_JOB_REFUSED);
	waxwing_cell_set_evacuated(fixture.cell, fixture.now_ms, false, 0);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, NULL, 0);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* An owner that does not know yet whether its domain is evacuated starts nothing. */
static void test_starts_held(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 6000);
	waxwing_cell_set_starts_held(fixture.cell, true);
	offer(&fixture, 1, 1, 6000, 300, false);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	waxwing_cell_set_starts_held(fixture.cell, false);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell_evacuation/queued_refused", test_queued_refused);
	g_test_add_func("/cell_evacuation/starts_until", test_starts_until);
	g_test_add_func("/cell_evacuation/begun_given_up", test_begun_given_up);
	g_test_add_func("/cell_evacuation/former_runs", test_former_runs);
	g_test_add_func("/cell_evacuation/durable_waits", test_durable_waits);
	g_test_add_func("/cell_evacuation/starts_held", test_starts_held);
	return g_test_run();
}
