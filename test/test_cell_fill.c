/* Tests of a single cell with backfill tasks and serving tasks. */
#include "cell_fixture.h"

static void offer_durable_step(struct fixture *fixture, uint64_t id, uint32_t count,
			       uint32_t cpu_milli, bool fills, uint32_t target_ms)
{
	Waxwing__JobOffer *offer = make_offer(id, count, cpu_milli, 1000, false, true);

	offer->job->steps[0]->has_fills = offer->job->steps[0]->has_target_ms = true;
	offer->job->steps[0]->fills = fills;
	offer->job->steps[0]->target_ms = target_ms;
	offer->job->steps[0]->has_long_running = offer->job->steps[0]->long_running = target_ms;
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, offer);
	store_all_records(fixture);
	advance(fixture, 20);
}

/* Backfill tasks take no capacity from other tasks and are spread over unused CPU. */
static void test_takes_no_capacity(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_durable_step(&fixture, 1, 2, 4000, true, 0);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 0)->executor, !=, start_at(&fixture, 1)->executor);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	offer(&fixture, 2, 2, 8000, 100, false);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 4);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	/* no unused CPU is left */
	offer_durable_step(&fixture, 3, 1, 4000, true, 0);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 4);
	tear_down(&fixture);
}

/*
 * Backfill tasks are not started on an executor with a serving task, and are preempted by a serving
 * task that fits nowhere else.
 */
static void test_keeps_apart(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_STOPPED };

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_durable_step(&fixture, 1, 1, 2000, false, 40);
	answer_started(&fixture, 0);
	offer_durable_step(&fixture, 2, 1, 1000, true, 0);
	answer_started(&fixture, 1);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 0)->executor, !=, start_at(&fixture, 1)->executor);
	/* fits on the executor of the first serving task */
	offer_durable_step(&fixture, 3, 1, 6000, false, 40);
	g_assert_cmpstr(start_at(&fixture, 2)->executor, ==, start_at(&fixture, 0)->executor);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	/* fits only on the executor of the backfill task */
	offer_durable_step(&fixture, 4, 1, 4000, false, 40);
	g_assert_cmpstr(start_at(&fixture, 3)->executor, ==, start_at(&fixture, 1)->executor);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	ended.run_id = start_at(&fixture, 1)->run_id;
	answer_hold(&fixture, start_at(&fixture, 1)->handle, NULL, 0, &ended, 1);
	advance(&fixture, 500);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 4);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/fill/takes_no_room", test_takes_no_capacity);
	g_test_add_func("/cell/fill/keeps_apart", test_keeps_apart);
	return g_test_run();
}
