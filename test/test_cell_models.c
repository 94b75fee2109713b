/* One cell, order by order: jobs that must be kept, saved work, tasks that last, gangs. */
#include "cell_fixture.h"

/* A job that must be kept, whose only task has ended as done; that is not stored yet. */
static void end_kept_job(struct fixture *fixture)
{
	struct waxwing_ended_row ended = { .number = 1, .end = WAXWING_RUN_DONE };
	uint64_t life = ready_executor(fixture, "a", 8000);

	offer_job(fixture, 1, 1, 6000, 100, false, true);
	waxwing_cell_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
	run(fixture, 10);
	started(fixture, 0);
	ask(fixture, 1, false);
	run(fixture, 30);
	g_assert_cmpuint(last_told(fixture), ==, WAXWING_STATE_RUNNING);
	ended.name = start_at(fixture, 0)->name;
	ask(fixture, 1, false); /* a little before the owner hears of the end */
	run(fixture, 5);
	answer_hold(fixture, life, NULL, 0, &ended, 1);
}

/*
 * Who asks as a job ends, or while a job's end is being stored hears the end once it is, not that the job runs: callers ask
 * as the last task ends, and not again for a while (kz-broom-orders quiet-1 with all jobs kept).
 */
static void test_ask_as_it_ends(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	end_kept_job(&fixture);
	ask(&fixture, 1, false);
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.tolds->len, ==, 1);
	waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	g_assert_cmpuint(fixture.recorder.tolds->len, ==, 3);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_COMPLETED);
	tear_down(&fixture);
}

/* The store takes nothing for a while: who asks is told so much as is known for sure, in time. */
static void test_ask_unstored(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	end_kept_job(&fixture);
	run(&fixture, 150);
	g_assert_cmpuint(fixture.recorder.tolds->len, ==, 2);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_RUNNING);
	waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	g_assert_cmpuint(fixture.recorder.tolds->len, ==, 2);
	tear_down(&fixture);
}

/* What a run saved last is given to the task's next run. */
static void test_checkpoint(void)
{
	struct fixture fixture;
	struct waxwing_running_row running = { .checkpoint = "first" };
	struct waxwing_ended_row ended = { .number = 1, .end = WAXWING_RUN_STOPPED };
	uint64_t life;

	set_up(&fixture, false);
	life = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 3000, false);
	run(&fixture, 10);
	started(&fixture, 0);
	g_assert_cmpstr(start_at(&fixture, 0)->checkpoint, ==, "");
	running.name = start_at(&fixture, 0)->name;
	answer_hold(&fixture, life, &running, 1, NULL, 0);
	run(&fixture, 10);
	/* it vanishes: what was seen of it last is all that there is */
	answer_hold(&fixture, life, NULL, 0, NULL, 0);
	run(&fixture, 20);
	g_assert_cmpstr(start_at(&fixture, 1)->checkpoint, ==, "first");
	started(&fixture, 1);
	ended.name = start_at(&fixture, 1)->name;
	ended.checkpoint = "second";
	answer_hold(&fixture, life, NULL, 0, &ended, 1);
	run(&fixture, 20);
	g_assert_cmpstr(start_at(&fixture, 2)->checkpoint, ==, "second");
	tear_down(&fixture);
}

/*
 * An executor's list that came while the journal was read told of an end of a job that was not known then;
 * nothing starts before it is listed again (all jobs kept, trouble-2, seed 619809077945: TWICE 27).
 */
static void test_ends_before_recovery(void)
{
	struct fixture fixture;
	struct waxwing_ended_row ended = { .number = 1,
					   .name = { 9, 0, 0, 0, 1 },
					   .end = WAXWING_RUN_DONE };
	Waxwing__JobOffer *offered = make_offer(9, 1, 6000, 100, false, true);
	Waxwing__JournalRecord accepted = WAXWING__JOURNAL_RECORD__INIT;
	uint64_t life;

	set_up_recovering(&fixture, true, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_run(fixture.cell, fixture.now_ms);
	life = fixture.recorder.life;
	answer_hold(&fixture, life, NULL, 0, &ended, 1);
	accepted.job = offered->job;
	waxwing_cell_replay(fixture.cell, fixture.now_ms, &accepted);
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, life, NULL, 0, &ended, 1);
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	ask(&fixture, 9, false);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_COMPLETED);
	waxwing__job_offer__free_unpacked(offered, NULL);
	tear_down(&fixture);
}

static void begin_kept(struct fixture *fixture, uint64_t id, uint32_t count, uint32_t cpu_milli)
{
	offer_job(fixture, id, count, cpu_milli, 100, false, true);
	waxwing_cell_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
}

/* Tasks that last run again however they end, and are never given up for their failures. */
static void test_lasting(void)
{
	struct fixture fixture;
	struct waxwing_ended_row ended = { 0 };
	uint64_t life;

	set_up(&fixture, false);
	model.has_long_running = model.long_running = true;
	life = ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	begin_kept(&fixture, 1, 1, 6000);
	for (guint i = 0; i < 8; i++) {
		run(&fixture, 300);
		started(&fixture, i);
		ended.number = i + 1;
		ended.name = start_at(&fixture, i)->name;
		ended.end = i % 3 ? WAXWING_RUN_FAILED : WAXWING_RUN_DONE;
		answer_hold(&fixture, start_at(&fixture, i)->life, NULL, 0, &ended, 1);
		answer_hold(&fixture, life, NULL, 0, NULL, 0);
		run(&fixture, 5);
		/* it ended soon after its start */
		g_assert_cmpuint(fixture.recorder.starts->len, ==, i + 1);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	model.has_long_running = model.long_running = false;
	tear_down(&fixture);
}

/* A task that lasts gets its room although small jobs would take every bit that falls free. */
static void test_lasting_gets_room(void)
{
	struct fixture fixture;
	struct waxwing_ended_row ended = { 0 };
	uint64_t life;

	set_up(&fixture, false);
	life = ready_executor(&fixture, "a", 16000);
	offer(&fixture, 1, 40, 4000, 100, false);
	run(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 4);
	model.has_long_running = model.long_running = true;
	begin_kept(&fixture, 2, 1, 12000);
	model.has_long_running = model.long_running = false;
	for (guint i = 0; i < 3; i++) {
		started(&fixture, i);
		ended.number = i + 1;
		ended.name = start_at(&fixture, i)->name;
		answer_hold(&fixture, life, NULL, 0, &ended, 1);
		run(&fixture, 10);
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 5);
	g_assert_cmpuint(start_at(&fixture, 4)->name.job, ==, 2);
	tear_down(&fixture);
}

/* What lasts is moved off an executor that leaves, once there is room elsewhere. */
static void test_lasting_leaves(void)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	struct fixture fixture;
	struct waxwing_executor_entry leaving = {
		.id = "a",
		.address = "10.0.0.1:80",
		.service = "service",
		.zone = "zone",
		.kind = "kind",
		.rack = "rack",
		.labels = labels,
		.capacity = { 16000, 65536, 0 },
		.draining = true,
	};

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	model.has_long_running = model.long_running = true;
	begin_kept(&fixture, 1, 1, 12000);
	model.has_long_running = model.long_running = false;
	run(&fixture, 10);
	started(&fixture, 0);
	waxwing_cell_set_executor(fixture.cell, fixture.now_ms, &leaving);
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	ready_executor(&fixture, "b", 16000);
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

static void offer_gang(struct fixture *fixture, uint64_t id, uint32_t count, uint32_t cpu_milli,
		       bool same_rack)
{
	model.has_gang = model.gang = true;
	model.has_same_rack = model.same_rack = same_rack;
	offer(fixture, id, count, cpu_milli, 3000, false);
	model = (Waxwing__JobStep)WAXWING__JOB_STEP__INIT;
}

static void end_start(struct fixture *fixture, guint index, uint64_t number,
		      enum waxwing_run_end end)
{
	struct start *start = start_at(fixture, index);
	struct waxwing_ended_row ended = { .number = number, .name = start->name, .end = end };

	answer_hold(fixture, start->life, NULL, 0, &ended, 1);
}

/* All members start at once and with one number, or none does. */
static void test_gang_starts(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	offer(&fixture, 1, 1, 10000, 100, false);
	run(&fixture, 10);
	offer_gang(&fixture, 2, 4, 7000, false);
	run(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	started(&fixture, 0);
	end_start(&fixture, 0, 1, WAXWING_RUN_DONE);
	run(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 5);
	for (guint i = 1; i < 5; i++)
		g_assert_cmpuint(start_at(&fixture, i)->name.run, ==, 1);
	tear_down(&fixture);
}

/* One member's end as done is the end of all. */
static void test_gang_ends(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	offer_gang(&fixture, 2, 4, 7000, false);
	run(&fixture, 10);
	for (guint i = 0; i < 4; i++)
		started(&fixture, i);
	end_start(&fixture, 2, 1, WAXWING_RUN_DONE);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/* When one member fails the others are stopped, and all start again once none runs. */
static void test_gang_breaks(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	ready_executor(&fixture, "c", 16000);
	offer_gang(&fixture, 2, 3, 7000, false);
	run(&fixture, 10);
	for (guint i = 0; i < 3; i++)
		started(&fixture, i);
	end_start(&fixture, 0, 1, WAXWING_RUN_FAILED);
	run(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 2);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	end_start(&fixture, 1, 2, WAXWING_RUN_BROKEN);
	run(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	end_start(&fixture, 2, 3, WAXWING_RUN_STOPPED);
	run(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 6);
	for (guint i = 3; i < 6; i++)
		g_assert_cmpuint(start_at(&fixture, i)->name.run, ==, 2);
	tear_down(&fixture);
}

/* A member that was not taken leaves the others waiting at their executors: they are stopped at once. */
static void test_gang_refused(void)
{
	struct fixture fixture;
	struct start *refused;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_gang(&fixture, 2, 2, 7000, false);
	run(&fixture, 10);
	started(&fixture, 0);
	refused = start_at(&fixture, 1);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, refused->life, &refused->name,
				    WAXWING_START_NO_ROOM, 0);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

/* A gang that belongs on one rack waits for room there while that is in time. */
static void test_gang_on_a_rack(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	rack = "other";
	ready_executor(&fixture, "b", 8000);
	ready_executor(&fixture, "c", 8000);
	ready_executor(&fixture, "d", 8000);
	rack = "rack";
	offer_gang(&fixture, 2, 3, 7000, true);
	run(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	for (guint i = 0; i < 3; i++)
		g_assert_cmpstr(start_at(&fixture, i)->executor, !=, "a");
	tear_down(&fixture);
}

/* Gangs that together want more than there is do not hold parts of it from each other. */
static void test_gangs_contend(void)
{
	struct fixture fixture;
	guint done = 0;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	for (uint64_t id = 1; id <= 3; id++)
		offer_gang(&fixture, id, 3, 7000, false);
	offer(&fixture, 9, 20, 7000, 100, false);
	for (uint64_t number = 1; number < 40 && done < fixture.recorder.starts->len + 1;
	     number++) {
		run(&fixture, 20);
		if (done == fixture.recorder.starts->len)
			break;
		started(&fixture, done);
		end_start(&fixture, done++, number, WAXWING_RUN_DONE);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 4);
	for (guint i = 0; i < 4; i++)
		g_assert_cmpuint(verdict_at(&fixture, i)->outcome, ==, WAXWING_JOB_COMPLETED);
	tear_down(&fixture);
}

/*
 * Jobs that must be kept are refused too when they cannot end in time: all that were taken in a crest
 * would be late (a copy of luachung-sched with kept jobs of several steps: 10% served in time).
 */
static void test_refuses_hopeless_kept(void)
{
	struct fixture fixture;
	uint32_t refused = 0;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	for (uint64_t id = 1; id <= 40; id++) {
		offer_job(&fixture, id, 4, 7000, 300, false, true);
		waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	}
	for (guint i = 0; i < fixture.recorder.verdicts->len; i++) {
		if (verdict_at(&fixture, i)->outcome != WAXWING_JOB_REFUSED)
			continue;
		g_assert_cmpuint(verdict_at(&fixture, i)->reason, ==, WAXWING_ERROR_OVERLOAD);
		g_assert_cmpuint(verdict_at(&fixture, i)->retry_after_ms, >, 0);
		refused++;
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 40);
	g_assert_cmpuint(refused, >, 20);
	g_assert_cmpuint(refused, <, 40);
	tear_down(&fixture);
}

/*
 * Kept jobs that are late already have to be run all the same: new ones are refused while there is much of
 * them, or they would pile up (kept jobs of several steps, hunt-585d-3: LOST 155 to 198).
 */
static void test_kept_backlog(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	for (uint64_t id = 1; id <= 10; id++) {
		offer_job(&fixture, id, 1, 8000, 5000, false, true);
		waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
		run(&fixture, 2000);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 10);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	g_assert_cmpuint(verdict_at(&fixture, 9)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 9)->reason, ==, WAXWING_ERROR_OVERLOAD);
	g_assert_cmpuint(verdict_at(&fixture, 9)->retry_after_ms, >, 2000);
	tear_down(&fixture);
}

/*
 * A failure domain was cut off for so long that its executors' entries lapsed. Its new owner waits for all of them
 * to come back, not only for the first: another may list the task's end (kept jobs of several steps, trouble-2 of
 * luachung-sched: TWICE 12).
 */
static void test_entries_come_back(void)
{
	struct fixture fixture;
	struct waxwing_ended_row ended = { .number = 1,
					   .name = { 9, 0, 0, 0, 1 },
					   .end = WAXWING_RUN_DONE };
	Waxwing__JobOffer *offer = make_offer(9, 1, 6000, 100, false, true);
	Waxwing__JournalRecord accepted = WAXWING__JOURNAL_RECORD__INIT;

	set_up_recovering(&fixture, true, true);
	accepted.job = offer->job;
	waxwing_cell_replay(fixture.cell, fixture.now_ms, &accepted);
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	run(&fixture, 4000);
	ready_executor(&fixture, "a", 16000);
	run(&fixture, 1500);
	add_executor(&fixture, "b", 16000, 0);
	waxwing_cell_run(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.life, NULL, 0, &ended, 1);
	run(&fixture, 4000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	store_all(&fixture);
	ask(&fixture, 9, false);
	g_assert_cmpuint(last_told(&fixture), ==, WAXWING_STATE_COMPLETED);
	waxwing__job_offer__free_unpacked(offer, NULL);
	tear_down(&fixture);
}

/* An ended job's id is free again only when its state need not be told any more. */
static void test_forgets_ended(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	end_kept_job(&fixture);
	waxwing_cell_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	run(&fixture, 119000);
	g_assert_cmpuint(fixture.recorder.forgotten, ==, 0);
	run(&fixture, 2000);
	g_assert_cmpuint(fixture.recorder.forgotten, ==, 1);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/ask_as_it_ends", test_ask_as_it_ends);
	g_test_add_func("/cell/ask_unstored", test_ask_unstored);
	g_test_add_func("/cell/checkpoint", test_checkpoint);
	g_test_add_func("/cell/ends_before_recovery", test_ends_before_recovery);
	g_test_add_func("/cell/lasting", test_lasting);
	g_test_add_func("/cell/lasting_gets_room", test_lasting_gets_room);
	g_test_add_func("/cell/lasting_leaves", test_lasting_leaves);
	g_test_add_func("/cell/gang_starts", test_gang_starts);
	g_test_add_func("/cell/gang_ends", test_gang_ends);
	g_test_add_func("/cell/gang_breaks", test_gang_breaks);
	g_test_add_func("/cell/gang_refused", test_gang_refused);
	g_test_add_func("/cell/gang_on_a_rack", test_gang_on_a_rack);
	g_test_add_func("/cell/gangs_contend", test_gangs_contend);
	g_test_add_func("/cell/refuses_hopeless_kept", test_refuses_hopeless_kept);
	g_test_add_func("/cell/kept_backlog", test_kept_backlog);
	g_test_add_func("/cell/entries_come_back", test_entries_come_back);
	g_test_add_func("/cell/forgets_ended", test_forgets_ended);
	return g_test_run();
}
