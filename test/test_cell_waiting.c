/* Tests of a single cell: which jobs count as waiting. */
#include "cell_fixture.h"

#define EXECUTOR_CPU 16000
/* Longer than all leases last. */
#define LEASES_OUT_MS 1200

static uint32_t count_waiting(struct fixture *fixture)
{
	return waxwing_cell_waiting_jobs(fixture->cell, "queue");
}

static uint32_t state_of(struct fixture *fixture, uint64_t job)
{
	query_state(fixture, job, false);
	advance(fixture, 30);
	return last_state(fixture);
}

static uint64_t set_up_started_job(struct fixture *fixture)
{
	uint64_t handle;

	set_up(fixture, false);
	handle = ready_executor(fixture, "a", EXECUTOR_CPU);
	offer_job(fixture, 1, 1, 1000, 5000, false, true);
	store_all_records(fixture);
	waxwing_cell_advance(fixture->cell, fixture->now_ms);
	g_assert_cmpuint(fixture->recorder.starts->len, ==, 1);
	return handle;
}

/*
 * Guards against jobs that nobody counts as waiting: a job counted as begun once a start order was
 * sent, also if the start turned out not to have happened (review/10).
 */
static void test_start_refused(gconstpointer data)
{
	struct fixture fixture;
	const struct start *start;

	set_up_started_job(&fixture);
	start = start_at(&fixture, 0);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, start->handle, &start->run_id,
				    (enum waxwing_start_answer)GPOINTER_TO_INT(data), 0);
	g_assert_cmpuint(count_waiting(&fixture), ==, 1);
	g_assert_cmpuint(state_of(&fixture, 1), ==, WAXWING_STATE_QUEUED);
	tear_down(&fixture);
}

/* The same with a start that is not answered, on an executor that stays silent. */
static void test_start_lapsed(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer silence = { .result = WAXWING_HOLD_NO_ANSWER };
	const struct start *start;
	uint64_t handle = set_up_started_job(&fixture);

	start = start_at(&fixture, 0);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, handle, &start->run_id,
				    WAXWING_START_UNKNOWN, 0);
	for (int ms = 0; ms < LEASES_OUT_MS; ms += 100) {
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &silence);
		advance(&fixture, 100);
	}
	g_assert_cmpuint(count_waiting(&fixture), ==, 1);
	g_assert_cmpuint(state_of(&fixture, 1), ==, WAXWING_STATE_QUEUED);
	tear_down(&fixture);
}

static void test_started(void)
{
	struct fixture fixture;

	set_up_started_job(&fixture);
	answer_started(&fixture, 0);
	g_assert_cmpuint(count_waiting(&fixture), ==, 0);
	g_assert_cmpuint(state_of(&fixture, 1), ==, WAXWING_STATE_RUNNING);
	tear_down(&fixture);
}

/* The answer to the start was lost; a list shows the run, or its end. */
static void test_listed(gconstpointer ended)
{
	struct fixture fixture;
	uint64_t handle = set_up_started_job(&fixture);
	struct waxwing_running_run running = { .run_id = start_at(&fixture, 0)->run_id };
	struct waxwing_ended_run failed = { .number = 1,
					    .run_id = running.run_id,
					    .end = WAXWING_RUN_FAILED };

	answer_hold(&fixture, handle, &running, ended ? 0 : 1, &failed, ended ? 1 : 0);
	g_assert_cmpuint(count_waiting(&fixture), ==, 0);
	tear_down(&fixture);
}

/* A job that is cancelled before it has begun, and one that runs when it is cancelled. */
static void test_cancelled(gconstpointer running)
{
	struct fixture fixture;

	set_up_started_job(&fixture);
	if (running)
		answer_started(&fixture, 0);
	query_state(&fixture, 1, true);
	g_assert_cmpuint(count_waiting(&fixture), ==, 0);
	answer_started(&fixture, 0);
	g_assert_cmpuint(count_waiting(&fixture), ==, 0);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		enum waxwing_start_answer answer;
	} refusals[] = {
		{ "/cell/waiting/unreachable", WAXWING_START_UNREACHABLE },
		{ "/cell/waiting/no_capacity", WAXWING_START_NO_CAPACITY },
		{ "/cell/waiting/lease_expired", WAXWING_START_LEASE_EXPIRED },
		{ "/cell/waiting/unhealthy", WAXWING_START_UNHEALTHY },
		{ "/cell/waiting/rejected", WAXWING_START_REJECTED },
		{ "/cell/waiting/other_incarnation", WAXWING_START_OTHER_INCARNATION },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		g_test_add_data_func(refusals[i].path, GINT_TO_POINTER(refusals[i].answer),
				     test_start_refused);
	g_test_add_func("/cell/waiting/lapsed", test_start_lapsed);
	g_test_add_func("/cell/waiting/started", test_started);
	g_test_add_data_func("/cell/waiting/listed/running", NULL, test_listed);
	g_test_add_data_func("/cell/waiting/listed/ended", "", test_listed);
	g_test_add_data_func("/cell/waiting/cancelled/waiting", NULL, test_cancelled);
	g_test_add_data_func("/cell/waiting/cancelled/running", "", test_cancelled);
	return g_test_run();
}
