/* One cell and a job whose steps run many times, at set times. */
#include "cell_fixture.h"

/* The time of day when the cell's clock is 0. */
#define DAY_MS	    1700000000000
#define FIRST_MS    2000 /* of the cell's clock */
#define INTERVAL_MS 100

/* Hands in a job of one task that runs @repetitions times from FIRST_MS on. */
static void begin(struct fixture *fixture, uint32_t repetitions, uint64_t interval_ms)
{
	Waxwing__JobOffer *offer = make_offer(1, 1, 1000, 50, false, true);

	offer->job->has_repetitions = offer->job->has_first_ms = offer->job->has_interval_ms = true;
	offer->job->repetitions = repetitions;
	offer->job->first_ms = DAY_MS + FIRST_MS;
	offer->job->interval_ms = interval_ms;
	waxwing_cell_set_day(fixture->cell, DAY_MS);
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, offer);
	store_all(fixture);
}

static void run_until(struct fixture *fixture, int64_t until_ms)
{
	run(fixture, until_ms - fixture->now_ms);
}

/* The run that was started as number @index ends. */
static void end_run(struct fixture *fixture, guint index, uint64_t number, enum waxwing_run_end end)
{
	struct waxwing_ended_row ended = { .number = number, .end = end };

	ended.name = start_at(fixture, index)->name;
	answer_hold(fixture, start_at(fixture, index)->life, NULL, 0, &ended, 1);
}

/* Each starts at its time, though the one before still runs; the job has ended when all have. */
static void test_on_time(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	begin(&fixture, 3, INTERVAL_MS);
	g_assert_cmpuint(waxwing_cell_waiting_of(fixture.cell, "queue"), ==, 0);
	run_until(&fixture, FIRST_MS - 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	for (guint i = 0; i < 3; i++) {
		run_until(&fixture, FIRST_MS + INTERVAL_MS * i + 15);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, i + 1);
		g_assert_cmpuint(start_at(&fixture, i)->name.occurrence, ==, i);
		g_assert_cmpuint(start_at(&fixture, i)->name.run, ==, 1);
		started(&fixture, i);
	}
	ask(&fixture, 1, false);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_RUNNING);
	for (guint i = 0; i < 3; i++)
		end_run(&fixture, 2 - i, i + 1, WAXWING_RUN_DONE);
	store_all(&fixture);
	ask(&fixture, 1, false);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_COMPLETED);
	run(&fixture, 1000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/* A task of one occurrence fails as often as its queue allows: the job has failed, and nothing starts. */
static void test_fails(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 1000);
	ready_executor(&fixture, "b", 1000);
	begin(&fixture, 50, INTERVAL_MS * 10);
	run_until(&fixture, FIRST_MS + 15);
	for (guint i = 0; i < 3; i++) {
		started(&fixture, i);
		end_run(&fixture, i, i + 1, WAXWING_RUN_FAILED);
		run(&fixture, 10);
	}
	store_all(&fixture);
	ask(&fixture, 1, false);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_FAILED);
	run(&fixture, 3000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	tear_down(&fixture);
}

/* What runs is stopped, and what is to come never starts. */
static void test_cancel(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	begin(&fixture, 50, INTERVAL_MS);
	run_until(&fixture, FIRST_MS + INTERVAL_MS + 15);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	started(&fixture, 0);
	started(&fixture, 1);
	ask(&fixture, 1, true);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 2);
	store_all(&fixture);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_CANCELLED);
	for (guint i = 0; i < 2; i++)
		end_run(&fixture, i, i + 1, WAXWING_RUN_STOPPED);
	run(&fixture, 2000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/* So many that are due at once are opened one after the other. */
static void test_bounded(void)
{
	struct fixture fixture;
	struct waxwing_cell_view view;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	begin(&fixture, 1000, 0);
	run_until(&fixture, FIRST_MS + 100);
	waxwing_cell_view(fixture.cell, fixture.now_ms, &view);
	g_assert_cmpuint(view.jobs, ==, 65); /* 64 and the whole */
	started(&fixture, 0);
	end_run(&fixture, 0, 1, WAXWING_RUN_DONE);
	run(&fixture, 20);
	waxwing_cell_view(fixture.cell, fixture.now_ms, &view);
	g_assert_cmpuint(view.jobs, ==, 65);
	tear_down(&fixture);
}

/*
 * A successor, with a snapshot and the executors' lists alone: what has ended is not run again, what runs is
 * taken over, also an occurrence whose time has not come by its clock, and the rest starts at its time.
 */
static void test_successor(void)
{
	struct fixture fixture;
	struct fixture next;
	Waxwing__JournalSegment *segment = calloc(1, sizeof(*segment));
	struct waxwing_running_row running = { 0 };

	g_assert_nonnull(segment);
	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	begin(&fixture, 4, INTERVAL_MS);
	run_until(&fixture, FIRST_MS + INTERVAL_MS + 15);
	started(&fixture, 0);
	started(&fixture, 1);
	end_run(&fixture, 0, 1, WAXWING_RUN_DONE);
	running.name = start_at(&fixture, 1)->name;
	waxwing__journal_segment__init(segment);
	waxwing_cell_snapshot(fixture.cell, segment);

	set_up_recovering(&next, true, true);
	next.now_ms = FIRST_MS + INTERVAL_MS / 2;
	waxwing_cell_set_day(next.cell, DAY_MS);
	for (size_t i = 0; i < segment->n_records; i++)
		waxwing_cell_replay(next.cell, next.now_ms, segment->records[i]);
	waxwing_cell_recovered(next.cell, next.now_ms);
	add_executor(&next, "a", 16000, 0);
	waxwing_cell_run(next.cell, next.now_ms);
	answer_hold(&next, next.recorder.life, &running, 1, NULL, 0);
	waxwing_cell_list_is_complete(next.cell);
	run_until(&next, FIRST_MS + 2 * INTERVAL_MS + 15);
	g_assert_cmpuint(next.recorder.starts->len, ==, 1);
	g_assert_cmpuint(start_at(&next, 0)->name.occurrence, ==, 2);
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
