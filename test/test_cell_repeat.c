/* Tests of a single cell with a job that repeats at set times. */
#include "cell_fixture.h"

/* Wall-clock time when the cell's clock is 0. */
#define DAY_OFFSET_MS 1700000000000
#define FIRST_MS      2000 /* start of the first occurrence, on the cell's clock */
#define INTERVAL_MS   100

/* Offers a job with one task that runs @repetitions times, starting at FIRST_MS. */
static void offer_repeating_job(struct fixture *fixture, uint32_t repetitions, uint64_t interval_ms)
{
	Waxwing__JobOffer *offer = make_offer(1, 1, 1000, 50, false, true);

	offer->job->has_repetitions = offer->job->has_first_ms = offer->job->has_interval_ms = true;
	offer->job->repetitions = repetitions;
	offer->job->first_ms = DAY_OFFSET_MS + FIRST_MS;
	offer->job->interval_ms = interval_ms;
	waxwing_cell_set_wall_clock_offset(fixture->cell, DAY_OFFSET_MS);
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, offer);
	store_all_records(fixture);
}

static void run_until(struct fixture *fixture, int64_t until_ms)
{
	advance(fixture, until_ms - fixture->now_ms);
}

/* Ends the run of start order @index; @number is the number of the end on its executor. */
static void end_run(struct fixture *fixture, guint index, uint64_t number, enum waxwing_run_end end)
{
	struct waxwing_ended_run ended = { .number = number, .end = end };

	ended.run_id = start_at(fixture, index)->run_id;
	answer_hold(fixture, start_at(fixture, index)->handle, NULL, 0, &ended, 1);
}

/*
 * Each occurrence starts at its start time, even if the previous one is still running; the job
 * completes with the last occurrence.
 */
static void test_on_time(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_repeating_job(&fixture, 3, INTERVAL_MS);
	g_assert_cmpuint(waxwing_cell_waiting_jobs(fixture.cell, "queue"), ==, 0);
	run_until(&fixture, FIRST_MS - 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	for (guint i = 0; i < 3; i++) {
		run_until(&fixture, FIRST_MS + INTERVAL_MS * i + 15);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, i + 1);
		g_assert_cmpuint(start_at(&fixture, i)->run_id.occurrence, ==, i);
		g_assert_cmpuint(start_at(&fixture, i)->run_id.run, ==, 1);
		answer_started(&fixture, i);
	}
	query_state(&fixture, 1, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_RUNNING);
	for (guint i = 0; i < 3; i++)
		end_run(&fixture, 2 - i, i + 1, WAXWING_RUN_DONE);
	store_all_records(&fixture);
	query_state(&fixture, 1, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	advance(&fixture, 1000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/*
 * When a task of one occurrence reaches the maximum failures, the job fails and starts nothing
 * more.
 */
static void test_fails(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 1000);
	ready_executor(&fixture, "b", 1000);
	offer_repeating_job(&fixture, 50, INTERVAL_MS * 10);
	run_until(&fixture, FIRST_MS + 15);
	for (guint i = 0; i < 3; i++) {
		answer_started(&fixture, i);
		end_run(&fixture, i, i + 1, WAXWING_RUN_FAILED);
		advance(&fixture, 10);
	}
	store_all_records(&fixture);
	query_state(&fixture, 1, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_FAILED);
	advance(&fixture, 3000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/* Cancelling a job stops its runs; later occurrences never start. */
static void test_cancel(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_repeating_job(&fixture, 50, INTERVAL_MS);
	run_until(&fixture, FIRST_MS + INTERVAL_MS + 15);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	query_state(&fixture, 1, true);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 2);
	store_all_records(&fixture);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_CANCELLED);
	for (guint i = 0; i < 2; i++)
		end_run(&fixture, i, i + 1, WAXWING_RUN_STOPPED);
	advance(&fixture, 2000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/* The number of open occurrences is bounded when many are due at once. */
static void test_bounded(void)
{
	struct fixture fixture;
	struct waxwing_cell_stats stats;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	offer_repeating_job(&fixture, 1000, 0);
	run_until(&fixture, FIRST_MS + 100);
	waxwing_cell_get_stats(fixture.cell, fixture.now_ms, &stats);
	g_assert_cmpuint(stats.jobs, ==, 65); /* 64 occurrences and the job itself */
	answer_started(&fixture, 0);
	end_run(&fixture, 0, 1, WAXWING_RUN_DONE);
	advance(&fixture, 20);
	waxwing_cell_get_stats(fixture.cell, fixture.now_ms, &stats);
	g_assert_cmpuint(stats.jobs, ==, 65);
	tear_down(&fixture);
}

/*
 * A successor that has only a snapshot and the executors' lists does not repeat occurrences that
 * have ended, adopts those that run, even if its clock is behind their start time, and starts the
 * remaining ones at their start times.
 */
static void test_successor(void)
{
	struct fixture fixture;
	struct fixture next;
	Waxwing__JournalSegment *segment = calloc(1, sizeof(*segment));
	struct waxwing_running_run running = { 0 };

	g_assert_nonnull(segment);
	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_repeating_job(&fixture, 4, INTERVAL_MS);
	run_until(&fixture, FIRST_MS + INTERVAL_MS + 15);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	end_run(&fixture, 0, 1, WAXWING_RUN_DONE);
	running.run_id = start_at(&fixture, 1)->run_id;
	waxwing__journal_segment__init(segment);
	waxwing_cell_snapshot(fixture.cell, segment);

	set_up_cell(&next, true, true);
	next.now_ms = FIRST_MS + INTERVAL_MS / 2;
	waxwing_cell_set_wall_clock_offset(next.cell, DAY_OFFSET_MS);
	for (size_t i = 0; i < segment->n_records; i++)
		waxwing_cell_replay(next.cell, next.now_ms, segment->records[i]);
	waxwing_cell_recovered(next.cell, next.now_ms);
	add_executor(&next, "a", 16000, 0);
	waxwing_cell_advance(next.cell, next.now_ms);
	answer_hold(&next, next.recorder.handle, &running, 1, NULL, 0);
	waxwing_cell_set_list_complete(next.cell);
	run_until(&next, FIRST_MS + 2 * INTERVAL_MS + 15);
	g_assert_cmpuint(next.recorder.starts->len, ==, 1);
	g_assert_cmpuint(start_at(&next, 0)->run_id.occurrence, ==, 2);
	g_assert_cmpuint(next.recorder.stops->len, ==, 0);
	waxwing__journal_segment__free_unpacked(segment, NULL);
	tear_down(&fixture);
	tear_down(&next);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/repeat/on_time", test_on_time);
	g_test_add_func("/cell/repeat/fails", test_fails);
	g_test_add_func("/cell/repeat/cancel", test_cancel);
	g_test_add_func("/cell/repeat/bounded", test_bounded);
	g_test_add_func("/cell/repeat/successor", test_successor);
	return g_test_run();
}
