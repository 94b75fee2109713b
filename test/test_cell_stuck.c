/* Tests of a single cell: tasks that wait although executors that can run them are idle. */
#include "cell_fixture.h"

static void fail_run(struct fixture *fixture, uint64_t handle, guint start, uint64_t number)
{
	struct waxwing_ended_run ended = { .number = number,
					   .run_id = start_at(fixture, start)->run_id,
					   .end = WAXWING_RUN_FAILED };

	answer_started(fixture, start);
	advance(fixture, 600);
	answer_hold(fixture, handle, NULL, 0, &ended, 1);
}

/*
 * Guards against tasks that never start again: the only executor that can run them failed them
 * once.
 */
static void test_failed_on_only_executor(gconstpointer kind)
{
	const char *name = kind;
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 16000);
	step_template.has_long_running = step_template.long_running = strcmp(name, "lasting") == 0;
	step_template.has_gang = step_template.gang = strcmp(name, "gang") == 0;
	offer_job(&fixture, 1, 1, 1000, 100, false, true);
	step_template = (Waxwing__JobStep)WAXWING__JOB_STEP__INIT;
	store_all_records(&fixture);
	advance(&fixture, 20);
	for (guint failures = 1; failures <= 2; failures++) {
		g_assert_cmpuint(fixture.recorder.starts->len, ==, failures);
		fail_run(&fixture, handle, failures - 1, failures);
		for (int i = 0; i < 30; i++) {
			store_all_records(&fixture);
			advance(&fixture, 100);
			if (fixture.recorder.starts->len == failures)
				answer_hold(&fixture, handle, NULL, 0, NULL, 0);
		}
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/* A task that failed starts on another executor, even if it is slower or gets free a little later. */
static void test_failed_prefers_other(void)
{
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 16000);
	offer_job(&fixture, 1, 1, 1000, 100, false, true);
	store_all_records(&fixture);
	advance(&fixture, 20);
	fail_run(&fixture, handle, 0, 1);
	ready_executor(&fixture, "b", 16000);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 1)->executor, ==, "b");
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/cell/stuck/failed_on_only_executor/task", "task",
			     test_failed_on_only_executor);
	g_test_add_data_func("/cell/stuck/failed_on_only_executor/lasting", "lasting",
			     test_failed_on_only_executor);
	g_test_add_data_func("/cell/stuck/failed_on_only_executor/gang", "gang",
			     test_failed_on_only_executor);
	g_test_add_func("/cell/stuck/failed_prefers_other", test_failed_prefers_other);
	return g_test_run();
}
