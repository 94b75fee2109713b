/* Tests of a single cell: durable jobs, checkpoints, long-running tasks and gangs. */
#include "cell_fixture.h"

/* Runs a durable job until its only task is done; the end is not stored yet. */
static void complete_durable_job(struct fixture *fixture)
{
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_DONE };
	uint64_t handle = ready_executor(fixture, "a", 8000);

	offer_job(fixture, 1, 1, 6000, 100, false, true);
	waxwing_cell_records_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
	advance(fixture, 10);
	answer_started(fixture, 0);
	query_state(fixture, 1, false);
	advance(fixture, 30);
	g_assert_cmpuint(last_state(fixture), ==, WAXWING_STATE_RUNNING);
	ended.run_id = start_at(fixture, 0)->run_id;
	query_state(fixture, 1, false); /* shortly before the owner learns of the end */
	advance(fixture, 5);
	answer_hold(fixture, handle, NULL, 0, &ended, 1);
}

/*
 * A state query that arrives as a job ends, or while its end is being stored, is answered with the
 * final state once that is stored. Callers ask when the last task ends and not again for a while,
 * so that an answer of "running" delays them (seen in the simulation kz-broom-orders, quiet-1).
 */
static void test_ask_as_it_ends(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	complete_durable_job(&fixture);
	query_state(&fixture, 1, false);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.states->len, ==, 1);
	waxwing_cell_records_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	g_assert_cmpuint(fixture.recorder.states->len, ==, 3);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	tear_down(&fixture);
}

/*
 * While the store is unavailable, state queries are answered with the last certain state after a
 * delay.
 */
static void test_ask_unstored(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	complete_durable_job(&fixture);
	advance(&fixture, 150);
	g_assert_cmpuint(fixture.recorder.states->len, ==, 2);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_RUNNING);
	waxwing_cell_records_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	g_assert_cmpuint(fixture.recorder.states->len, ==, 2);
	tear_down(&fixture);
}

/* The last checkpoint of a run is passed to the next run of the task. */
static void test_checkpoint(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .checkpoint = "first" };
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_STOPPED };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	g_assert_cmpstr(start_at(&fixture, 0)->checkpoint, ==, "");
	running.run_id = start_at(&fixture, 0)->run_id;
	answer_hold(&fixture, handle, &running, 1, NULL, 0);
	advance(&fixture, 10);
	/* the run is no longer listed: its last reported checkpoint is used */
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	advance(&fixture, 20);
	g_assert_cmpstr(start_at(&fixture, 1)->checkpoint, ==, "first");
	answer_started(&fixture, 1);
	ended.run_id = start_at(&fixture, 1)->run_id;
	ended.checkpoint = "second";
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	advance(&fixture, 20);
	g_assert_cmpstr(start_at(&fixture, 2)->checkpoint, ==, "second");
	tear_down(&fixture);
}

/*
 * An executor may list an end while the journal is replayed, before the job is known. Nothing
 * starts until the end is listed again. Guards against 27 double starts in a simulation of durable
 * jobs (trouble-2, seed 619809077945).
 */
static void test_ends_before_recovery(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = { 9, 0, 0, 0, 1 },
					   .end = WAXWING_RUN_DONE };
	Waxwing__JobOffer *offered = make_offer(9, 1, 6000, 100, false, true);
	Waxwing__JournalRecord accepted = WAXWING__JOURNAL_RECORD__INIT;
	uint64_t handle;

	set_up_cell(&fixture, true, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	handle = fixture.recorder.handle;
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	accepted.job = offered->job;
	waxwing_cell_replay(fixture.cell, fixture.now_ms, &accepted);
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	waxwing_cell_records_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	query_state(&fixture, 9, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	waxwing__job_offer__free_unpacked(offered, NULL);
	tear_down(&fixture);
}

static void offer_durable_job(struct fixture *fixture, uint64_t id, uint32_t count,
			      uint32_t cpu_milli)
{
	offer_job(fixture, id, count, cpu_milli, 100, false, true);
	waxwing_cell_records_stored(fixture->cell, fixture->now_ms, fixture->recorder.recorded);
}

/* Long-running tasks are restarted however they end, and are never given up after failures. */
static void test_long_running(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { 0 };
	uint64_t handle;

	set_up(&fixture, false);
	step_template.has_long_running = step_template.long_running = true;
	handle = ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	offer_durable_job(&fixture, 1, 1, 6000);
	for (guint i = 0; i < 8; i++) {
		advance(&fixture, 300);
		answer_started(&fixture, i);
		ended.number = i + 1;
		ended.run_id = start_at(&fixture, i)->run_id;
		ended.end = i % 3 ? WAXWING_RUN_FAILED : WAXWING_RUN_DONE;
		answer_hold(&fixture, start_at(&fixture, i)->handle, NULL, 0, &ended, 1);
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
		advance(&fixture, 5);
		/* a short run: the restart is delayed */
		g_assert_cmpuint(fixture.recorder.starts->len, ==, i + 1);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	step_template.has_long_running = step_template.long_running = false;
	tear_down(&fixture);
}

/* A long-running task gets capacity even though small jobs could use all that becomes free. */
static void test_long_running_gets_capacity(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { 0 };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 16000);
	offer(&fixture, 1, 40, 4000, 100, false);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 4);
	step_template.has_long_running = step_template.long_running = true;
	offer_durable_job(&fixture, 2, 1, 12000);
	step_template.has_long_running = step_template.long_running = false;
	for (guint i = 0; i < 3; i++) {
		answer_started(&fixture, i);
		ended.number = i + 1;
		ended.run_id = start_at(&fixture, i)->run_id;
		answer_hold(&fixture, handle, NULL, 0, &ended, 1);
		advance(&fixture, 10);
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 5);
	g_assert_cmpuint(start_at(&fixture, 4)->run_id.job, ==, 2);
	tear_down(&fixture);
}

/* Long-running tasks are moved off a draining executor once another has free capacity. */
static void test_long_running_drained(void)
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
	step_template.has_long_running = step_template.long_running = true;
	offer_durable_job(&fixture, 1, 1, 12000);
	step_template.has_long_running = step_template.long_running = false;
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	waxwing_cell_set_executor(fixture.cell, fixture.now_ms, &leaving);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	ready_executor(&fixture, "b", 16000);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

static void offer_gang(struct fixture *fixture, uint64_t id, uint32_t count, uint32_t cpu_milli,
		       bool same_rack)
{
	step_template.has_gang = step_template.gang = true;
	step_template.has_same_rack = step_template.same_rack = same_rack;
	offer(fixture, id, count, cpu_milli, 3000, false);
	step_template = (Waxwing__JobStep)WAXWING__JOB_STEP__INIT;
}

static void end_run_at(struct fixture *fixture, guint index, uint64_t number,
		       enum waxwing_run_end end)
{
	struct start *start = start_at(fixture, index);
	struct waxwing_ended_run ended = { .number = number, .run_id = start->run_id, .end = end };

	answer_hold(fixture, start->handle, NULL, 0, &ended, 1);
}

/* All members of a gang start at once with the same run number, or none does. */
static void test_gang_starts(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	offer(&fixture, 1, 1, 10000, 100, false);
	advance(&fixture, 10);
	offer_gang(&fixture, 2, 4, 7000, false);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	answer_started(&fixture, 0);
	end_run_at(&fixture, 0, 1, WAXWING_RUN_DONE);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 5);
	for (guint i = 1; i < 5; i++)
		g_assert_cmpuint(start_at(&fixture, i)->run_id.run, ==, 1);
	tear_down(&fixture);
}

/* When one member of a gang completes, the whole gang is done; no stop orders are sent. */
static void test_gang_ends(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	offer_gang(&fixture, 2, 4, 7000, false);
	advance(&fixture, 10);
	for (guint i = 0; i < 4; i++)
		answer_started(&fixture, i);
	end_run_at(&fixture, 2, 1, WAXWING_RUN_DONE);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/* When one member of a gang fails, the others are stopped; all restart once none is running. */
static void test_gang_breaks(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	ready_executor(&fixture, "c", 16000);
	offer_gang(&fixture, 2, 3, 7000, false);
	advance(&fixture, 10);
	for (guint i = 0; i < 3; i++)
		answer_started(&fixture, i);
	end_run_at(&fixture, 0, 1, WAXWING_RUN_FAILED);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 2);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	end_run_at(&fixture, 1, 2, WAXWING_RUN_GANG_BROKEN);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	end_run_at(&fixture, 2, 3, WAXWING_RUN_STOPPED);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 6);
	for (guint i = 3; i < 6; i++)
		g_assert_cmpuint(start_at(&fixture, i)->run_id.run, ==, 2);
	tear_down(&fixture);
}

/*
 * When an executor refuses one member of a gang, the others are stopped at once, as they would wait
 * for the refused member on their executors.
 */
static void test_gang_refused(void)
{
	struct fixture fixture;
	struct start *refused;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_gang(&fixture, 2, 2, 7000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	refused = start_at(&fixture, 1);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, refused->handle, &refused->run_id,
				    WAXWING_START_NO_CAPACITY, 0);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

/* A gang that requires a single rack waits for capacity on one until its job is due. */
static void test_gang_on_a_rack(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	next_rack = "other";
	ready_executor(&fixture, "b", 8000);
	ready_executor(&fixture, "c", 8000);
	ready_executor(&fixture, "d", 8000);
	next_rack = "rack";
	offer_gang(&fixture, 2, 3, 7000, true);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	for (guint i = 0; i < 3; i++)
		g_assert_cmpstr(start_at(&fixture, i)->executor, !=, "a");
	tear_down(&fixture);
}

/* Gangs that together exceed the capacity do not block each other by holding parts of it. */
static void test_gangs_contend(void)
{
	struct fixture fixture;
	guint done = 0;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	ready_executor(&fixture, "b", 16000);
	for (uint64_t id = 1; id <= 2; id++)
		offer_gang(&fixture, id, 3, 7000, false);
	offer(&fixture, 8, 4, 7000, 100, false);
	offer(&fixture, 9, 2, 7000, 100, false);
	/* a third gang would end after 9 s, and its caller waits for 5 s */
	offer_gang(&fixture, 3, 3, 7000, false);
	g_assert_cmpuint(verdict_at(&fixture, 0)->job, ==, 3);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	for (uint64_t number = 1; number < 40 && done < fixture.recorder.starts->len + 1;
	     number++) {
		advance(&fixture, 20);
		if (done == fixture.recorder.starts->len)
			break;
		answer_started(&fixture, done);
		end_run_at(&fixture, done++, number, WAXWING_RUN_DONE);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 5);
	for (guint i = 1; i < 5; i++)
		g_assert_cmpuint(verdict_at(&fixture, i)->outcome, ==, WAXWING_JOB_COMPLETED);
	tear_down(&fixture);
}

/*
 * Durable jobs are also refused when they cannot end in time. Otherwise all jobs that are accepted
 * in a load peak would be late: in a simulation (luachung-sched), 10% ended in time.
 */
static void test_refuses_late_durable_job(void)
{
	struct fixture fixture;
	uint32_t refused = 0;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	for (uint64_t id = 1; id <= 40; id++) {
		offer_job(&fixture, id, 4, 7000, 300, false, true);
		waxwing_cell_records_stored(fixture.cell, fixture.now_ms,
					    fixture.recorder.recorded);
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
 * Late durable jobs must still run, so new ones are refused while the backlog is large.
 * Otherwise late jobs would pile up: a simulation lost 155 to 198 jobs (hunt-585d-3).
 */
static void test_durable_backlog(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	for (uint64_t id = 1; id <= 10; id++) {
		offer_job(&fixture, id, 1, 8000, 5000, false, true);
		waxwing_cell_records_stored(fixture.cell, fixture.now_ms,
					    fixture.recorder.recorded);
		advance(&fixture, 2000);
	}
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 10);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	g_assert_cmpuint(verdict_at(&fixture, 9)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 9)->reason, ==, WAXWING_ERROR_OVERLOAD);
	g_assert_cmpuint(verdict_at(&fixture, 9)->retry_after_ms, >, 2000);
	tear_down(&fixture);
}

/*
 * A failure domain was isolated long enough that its executors' entries expired. The new owner
 * waits for all of the executors to return, as any of them may list the task's end.
 * Guards against 12 double starts of durable jobs in a simulation (luachung-sched, trouble-2).
 */
static void test_entries_come_back(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = { 9, 0, 0, 0, 1 },
					   .end = WAXWING_RUN_DONE };
	Waxwing__JobOffer *offer = make_offer(9, 1, 6000, 100, false, true);
	Waxwing__JournalRecord accepted = WAXWING__JOURNAL_RECORD__INIT;

	set_up_cell(&fixture, true, true);
	accepted.job = offer->job;
	waxwing_cell_replay(fixture.cell, fixture.now_ms, &accepted);
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	advance(&fixture, 4000);
	ready_executor(&fixture, "a", 16000);
	advance(&fixture, 1500);
	add_executor(&fixture, "b", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, &ended, 1);
	advance(&fixture, 4000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	store_all_records(&fixture);
	query_state(&fixture, 9, false);
	g_assert_cmpuint(last_state(&fixture), ==, WAXWING_STATE_COMPLETED);
	waxwing__job_offer__free_unpacked(offer, NULL);
	tear_down(&fixture);
}

/* The id of an ended job can be reused only after its state has been discarded. */
static void test_forgets_ended(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	complete_durable_job(&fixture);
	waxwing_cell_records_stored(fixture.cell, fixture.now_ms, fixture.recorder.recorded);
	advance(&fixture, 119000);
	g_assert_cmpuint(fixture.recorder.forgotten_jobs, ==, 0);
	advance(&fixture, 2000);
	g_assert_cmpuint(fixture.recorder.forgotten_jobs, ==, 1);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/ask_as_it_ends", test_ask_as_it_ends);
	g_test_add_func("/cell/ask_unstored", test_ask_unstored);
	g_test_add_func("/cell/checkpoint", test_checkpoint);
	g_test_add_func("/cell/ends_before_recovery", test_ends_before_recovery);
	g_test_add_func("/cell/lasting", test_long_running);
	g_test_add_func("/cell/lasting_gets_room", test_long_running_gets_capacity);
	g_test_add_func("/cell/lasting_leaves", test_long_running_drained);
	g_test_add_func("/cell/gang_starts", test_gang_starts);
	g_test_add_func("/cell/gang_ends", test_gang_ends);
	g_test_add_func("/cell/gang_breaks", test_gang_breaks);
	g_test_add_func("/cell/gang_refused", test_gang_refused);
	g_test_add_func("/cell/gang_on_a_rack", test_gang_on_a_rack);
	g_test_add_func("/cell/gangs_contend", test_gangs_contend);
	g_test_add_func("/cell/refuses_hopeless_kept", test_refuses_late_durable_job);
	g_test_add_func("/cell/kept_backlog", test_durable_backlog);
	g_test_add_func("/cell/entries_come_back", test_entries_come_back);
	g_test_add_func("/cell/forgets_ended", test_forgets_ended);
	return g_test_run();
}
