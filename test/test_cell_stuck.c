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
		/* no task may wait for 3 s while an executor that can run it is idle */
		for (int i = 0; i < 29; i++) {
			store_all_records(&fixture);
			advance(&fixture, 100);
			if (fixture.recorder.starts->len == failures)
				answer_hold(&fixture, handle, NULL, 0, NULL, 0);
		}
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/* The same, while another job has a run on that executor, for whose end the task must not wait. */
static void test_failed_on_busy_executor(void)
{
	struct fixture fixture;
	struct waxwing_running_run other;
	struct waxwing_ended_run failed = { .number = 1, .end = WAXWING_RUN_FAILED };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 16000);
	offer_job(&fixture, 1, 1, 1000, 4000, false, true);
	store_all_records(&fixture);
	advance(&fixture, 10);
	offer_job(&fixture, 2, 1, 1000, 8000, false, true);
	store_all_records(&fixture);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	other = (struct waxwing_running_run){ start_at(&fixture, 0)->run_id, NULL };
	failed.run_id = start_at(&fixture, 1)->run_id;
	advance(&fixture, 500);
	answer_hold(&fixture, handle, &other, 1, &failed, 1);
	for (int i = 0; i < 27; i++) {
		store_all_records(&fixture);
		advance(&fixture, 100);
		if (fixture.recorder.starts->len == 2)
			answer_hold(&fixture, handle, &other, 1, NULL, 0);
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

#define EXECUTORS 4

static void offer_durable_gang(struct fixture *fixture, uint64_t id, uint32_t count,
			       uint32_t cpu_milli)
{
	step_template.has_gang = step_template.gang = true;
	offer_job(fixture, id, count, cpu_milli, 1000, false, true);
	step_template = (Waxwing__JobStep)WAXWING__JOB_STEP__INIT;
	store_all_records(fixture);
}

static guint count_starts(const struct fixture *fixture, uint64_t job)
{
	guint count = 0;

	for (guint i = 0; i < fixture->recorder.starts->len; i++)
		count += g_array_index(fixture->recorder.starts, struct start, i).run_id.job == job;
	return count;
}

static const char *const ids[EXECUTORS] = { "a", "b", "c", "d" };

/*
 * Four runs fill the first executors. A gang that needs all executors and a job that needs three of
 * them are offered, and are past their due times when the runs on the first three executors end.
 */
static void set_up_waiting_gang(struct fixture *fixture, uint64_t *handles, int usable)
{
	set_up(fixture, false);
	for (int i = 0; i < usable; i++)
		handles[i] = ready_executor(fixture, ids[i], 32000);
	for (int i = usable; i < EXECUTORS; i++)
		add_executor(fixture, ids[i], 32000, 0);
	offer_job(fixture, 1, (uint32_t)usable, 30000, 100, false, true);
	store_all_records(fixture);
	advance(fixture, 10);
	g_assert_cmpuint(count_starts(fixture, 1), ==, usable);
	for (int i = 0; i < usable; i++)
		answer_started(fixture, (guint)i);
	offer_durable_gang(fixture, 2, EXECUTORS, 30000);
	advance(fixture, 100);
	offer_job(fixture, 3, 3, 14000, 1500, false, true);
	store_all_records(fixture);
	for (guint i = 0; i < fixture->recorder.verdicts->len; i++)
		g_assert_cmpuint(verdict_at(fixture, i)->outcome, ==, WAXWING_JOB_STORED);
}

/* All executors answer that their run of job 1 goes on, or has ended if @ended. */
static void list_runs(struct fixture *fixture, const uint64_t *handles, int from, int to,
		      bool ended)
{
	for (int i = from; i < to; i++)
		for (guint k = 0; k < EXECUTORS && k < fixture->recorder.starts->len; k++) {
			struct waxwing_running_run running = { start_at(fixture, k)->run_id, NULL };
			struct waxwing_ended_run end = { 1, running.run_id, WAXWING_RUN_DONE,
							 NULL };

			if (start_at(fixture, k)->handle == handles[i])
				answer_hold(fixture, handles[i], &running, ended ? 0 : 1, &end,
					    ended ? 1 : 0);
		}
}

static void advance_listing(struct fixture *fixture, const uint64_t *handles, int from, int to,
			    int64_t ms)
{
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += 100) {
		advance(fixture, 100);
		list_runs(fixture, handles, from, to, false);
	}
}

/*
 * Guards against jobs that wait for ever behind a gang that is too wide for the executors that are
 * left: it kept these executors reserved.
 */
static void test_gang_too_wide(void)
{
	uint64_t handles[EXECUTORS] = { 0 };
	struct fixture fixture;

	set_up_waiting_gang(&fixture, handles, EXECUTORS - 1);
	advance_listing(&fixture, handles, 0, EXECUTORS - 1, 6000);
	list_runs(&fixture, handles, 0, EXECUTORS - 1, true);
	advance(&fixture, 100);
	g_assert_cmpuint(count_starts(&fixture, 3), ==, 3);
	tear_down(&fixture);
}

/*
 * One of the executors that a gang needs is not freed, since its run goes on and on. Jobs that are
 * served after the gang get the other executors meanwhile.
 */
static void test_gang_waits_for_run(void)
{
	uint64_t handles[EXECUTORS];
	struct fixture fixture;

	set_up_waiting_gang(&fixture, handles, EXECUTORS);
	advance_listing(&fixture, handles, 0, EXECUTORS, 6000);
	list_runs(&fixture, handles, 0, EXECUTORS - 1, true);
	advance_listing(&fixture, handles, EXECUTORS - 1, EXECUTORS, 6000);
	g_assert_cmpuint(count_starts(&fixture, 3), ==, 3);
	g_assert_cmpuint(count_starts(&fixture, 2), ==, 0);
	tear_down(&fixture);
}

struct busy_run {
	int64_t end_ms; /* 0: it has ended */
	int executor;
};

/* Ends the executor's runs that are due, and lists the others. */
static void end_due_runs(struct fixture *fixture, const GArray *runs, int executor, uint64_t handle,
			 uint64_t *last_number)
{
	GArray *running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_run));
	GArray *ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));

	for (guint i = 0; i < runs->len; i++) {
		struct busy_run *run = &g_array_index(runs, struct busy_run, i);
		struct waxwing_running_run row = { start_at(fixture, i)->run_id, NULL };
		struct waxwing_ended_run end = { 0, row.run_id, WAXWING_RUN_DONE, NULL };

		if (run->executor != executor || !run->end_ms)
			continue;
		if (fixture->now_ms < run->end_ms) {
			g_array_append_val(running, row);
			continue;
		}
		run->end_ms = 0;
		end.number = ++*last_number;
		g_array_append_val(ended, end);
	}
	answer_hold(fixture, handle, (struct waxwing_running_run *)running->data, running->len,
		    (struct waxwing_ended_run *)ended->data, ended->len);
	g_array_free(running, TRUE);
	g_array_free(ended, TRUE);
}

/* A gang that can be placed starts although jobs that need less room keep coming. */
static void test_gang_not_starved(void)
{
	struct fixture fixture;
	uint64_t handles[EXECUTORS];
	uint64_t last_numbers[EXECUTORS] = { 0 };
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct busy_run));
	uint64_t job = 10;

	set_up(&fixture, false);
	for (int i = 0; i < EXECUTORS; i++)
		handles[i] = ready_executor(&fixture, ids[i], 32000);
	for (int ms = 0; ms < 3000 && !count_starts(&fixture, 2); ms += 20) {
		if (ms == 200)
			offer_durable_gang(&fixture, 2, EXECUTORS, 30000);
		offer_job(&fixture, job++, 2, 10000, 100, false, true);
		store_all_records(&fixture);
		advance(&fixture, 20);
		while (runs->len < fixture.recorder.starts->len) {
			struct busy_run run = { fixture.now_ms + 100,
						start_at(&fixture, runs->len)->executor[0] - 'a' };

			answer_started(&fixture, runs->len);
			g_array_append_val(runs, run);
		}
		for (int i = 0; i < EXECUTORS; i++)
			end_due_runs(&fixture, runs, i, handles[i], &last_numbers[i]);
	}
	g_assert_cmpuint(count_starts(&fixture, 2), ==, EXECUTORS);
	g_array_free(runs, TRUE);
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
	g_test_add_func("/cell/stuck/failed_on_busy_executor", test_failed_on_busy_executor);
	g_test_add_func("/cell/stuck/failed_prefers_other", test_failed_prefers_other);
	g_test_add_func("/cell/stuck/gang_too_wide", test_gang_too_wide);
	g_test_add_func("/cell/stuck/gang_waits_for_run", test_gang_waits_for_run);
	g_test_add_func("/cell/stuck/gang_not_starved", test_gang_not_starved);
	return g_test_run();
}
