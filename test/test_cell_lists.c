/* Tests of a single cell: lists of runs that are not whole. */
#include "cell_fixture.h"

#define TASKS 900
/* As documented by the platform. */
#define MAX_LISTED_ENDS 500

/* An executor that runs what it is told to, and lists its ends 500 at a time. */
struct fake_executor {
	struct fixture *fixture;
	uint64_t handle;
	guint seen_starts; /* starts up to this one were taken */
	GArray *running; /* struct waxwing_running_run */
	GArray *ended; /* struct waxwing_ended_run, numbered from 1 */
};

static void take_starts(struct fake_executor *executor)
{
	GArray *starts = executor->fixture->recorder.starts;

	for (; executor->seen_starts < starts->len; executor->seen_starts++) {
		struct waxwing_running_run row = {
			.run_id = g_array_index(starts, struct start, executor->seen_starts).run_id
		};

		answer_started(executor->fixture, executor->seen_starts);
		g_array_append_val(executor->running, row);
	}
}

static void end_all_runs(struct fake_executor *executor)
{
	for (guint i = 0; i < executor->running->len; i++) {
		struct waxwing_ended_run row = {
			.number = executor->ended->len + 1,
			.run_id = g_array_index(executor->running, struct waxwing_running_run, i)
					  .run_id,
			.end = WAXWING_RUN_DONE,
		};

		g_array_append_val(executor->ended, row);
	}
	g_array_set_size(executor->running, 0);
}

static void list_runs(struct fake_executor *executor)
{
	struct fixture *fixture = executor->fixture;
	guint acked = (guint)fixture->recorder.acked_upto;
	guint count = MIN(executor->ended->len - acked, MAX_LISTED_ENDS);
	struct waxwing_hold_answer answer = {
		.result = WAXWING_HOLD_ANSWERED,
		.clock_ms = CLOCK_OFFSET_MS + fixture->now_ms,
		.running = (const struct waxwing_running_run *)executor->running->data,
		.running_count = executor->running->len,
		.ended = (const struct waxwing_ended_run *)executor->ended->data + acked,
		.ended_count = count,
		.ends_truncated = count == MAX_LISTED_ENDS,
	};

	waxwing_cell_hold_answered(fixture->cell, fixture->now_ms, executor->handle, &answer);
}

static struct fake_executor create_executor(struct fixture *fixture, uint32_t cpu_milli)
{
	return (struct fake_executor){
		.fixture = fixture,
		.handle = ready_executor(fixture, "a", cpu_milli),
		.running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_run)),
		.ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run)),
	};
}

static void free_executor(struct fake_executor *executor)
{
	g_array_free(executor->running, TRUE);
	g_array_free(executor->ended, TRUE);
}

static void assert_started_once(const struct fixture *fixture)
{
	GHashTable *tasks = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < fixture->recorder.starts->len; i++)
		g_assert_true(g_hash_table_add(
			tasks,
			GUINT_TO_POINTER(g_array_index(fixture->recorder.starts, struct start, i)
						 .run_id.index +
					 1)));
	g_hash_table_destroy(tasks);
}

/*
 * Guards against thousands of second runs: while the store is down, ends are not acknowledged, and
 * runs whose ends are beyond the first 500 are in neither list. They counted as lapsed.
 */
static void test_ends_beyond_list(void)
{
	struct fixture fixture;
	struct fake_executor executor;

	set_up(&fixture, false);
	executor = create_executor(&fixture, 16000);
	offer_job(&fixture, 1, TASKS, 16000 / TASKS, 50, false, true);
	store_all_records(&fixture);
	advance(&fixture, 20);
	take_starts(&executor);
	g_assert_cmpuint(executor.running->len, ==, TASKS);
	advance(&fixture, 50);
	end_all_runs(&executor);
	for (int i = 0; i < 100; i++) {
		list_runs(&executor);
		advance(&fixture, 50);
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, TASKS);
	for (int i = 0; i < 20; i++) {
		store_all_records(&fixture);
		list_runs(&executor);
		advance(&fixture, 10);
	}
	assert_started_once(&fixture);
	query_state(&fixture, 1, false);
	store_all_records(&fixture);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	free_executor(&executor);
	tear_down(&fixture);
}

/*
 * While ends cannot be stored, an executor gets no more runs of durable jobs once its list of ends
 * is half full, and none at all before the list is full. Runs start again when the store is back.
 */
static void test_ends_gather(void)
{
	struct fixture fixture;
	struct fake_executor executor;
	uint64_t best_effort = 100;

	set_up(&fixture, false);
	executor = create_executor(&fixture, 16000);
	offer_job(&fixture, 1, TASKS, 1600, 50, false, true);
	store_all_records(&fixture);
	for (int i = 0; i < 100; i++) {
		advance(&fixture, 10);
		take_starts(&executor);
		end_all_runs(&executor);
		list_runs(&executor);
	}
	g_assert_cmpuint(executor.ended->len, >=, MAX_LISTED_ENDS / 2);
	g_assert_cmpuint(executor.ended->len, <=, MAX_LISTED_ENDS / 2 + 10);
	for (int i = 0; i < 300; i++) {
		offer(&fixture, best_effort++, 1, 1600, 50, false);
		advance(&fixture, 10);
		take_starts(&executor);
		end_all_runs(&executor);
		list_runs(&executor);
	}
	g_assert_cmpuint(executor.ended->len, >, MAX_LISTED_ENDS / 2 + 100);
	g_assert_cmpuint(executor.ended->len, <, MAX_LISTED_ENDS);
	for (int i = 0; i < 400; i++) {
		store_all_records(&fixture);
		list_runs(&executor);
		advance(&fixture, 10);
		take_starts(&executor);
		end_all_runs(&executor);
	}
	query_state(&fixture, 1, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	free_executor(&executor);
	tear_down(&fixture);
}

/* A new owner has not seen all ends of a former owner's runs until it has read the whole list. */
static void test_successor_reads_all_ends(void)
{
	struct fixture fixture;
	struct fake_executor executor;
	struct waxwing_ended_run row = { .end = WAXWING_RUN_DONE };

	set_up_cell(&fixture, true, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	executor = (struct fake_executor){
		.fixture = &fixture,
		.handle = fixture.recorder.handle,
		.running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_run)),
		.ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run)),
	};
	for (uint32_t i = 0; i < MAX_LISTED_ENDS + 1; i++) {
		row.number = i + 1;
		row.run_id = (struct waxwing_run_id){ i < MAX_LISTED_ENDS ? 5 : 1, 0, 0, 0, 1 };
		g_array_append_val(executor.ended, row);
	}
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	waxwing_cell_set_list_complete(fixture.cell);
	offer(&fixture, 1, 1, 1000, 4000, true);
	list_runs(&executor);
	/* ends are acknowledged only right after they were listed */
	for (int i = 0; i < 60; i++) {
		advance(&fixture, 50);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	}
	for (int i = 0; i < 20 && !fixture.recorder.verdicts->len; i++) {
		list_runs(&executor);
		advance(&fixture, 10);
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	free_executor(&executor);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/lists/ends_beyond_list", test_ends_beyond_list);
	g_test_add_func("/cell/lists/ends_gather", test_ends_gather);
	g_test_add_func("/cell/lists/successor_reads_all_ends", test_successor_reads_all_ends);
	return g_test_run();
}
