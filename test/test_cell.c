/* Tests of a single cell: placement, leases and takeover by a new owner. */
#include "cell_fixture.h"

/* Starts never exceed an executor's capacity; a hold follows the first start at once. */
static void test_capacity(void)
{
	struct fixture fixture;
	uint64_t handle;
	uint32_t holds;
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_DONE };

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 16000);
	holds = fixture.recorder.holds;
	offer(&fixture, 1, 4, 7000, 100, false);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpuint(fixture.recorder.holds, ==, holds + 1);
	answer_started(&fixture, 0);
	answer_started(&fixture, 1);
	ended.run_id = start_at(&fixture, 0)->run_id;
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	g_assert_cmpuint(fixture.recorder.acked_upto, ==, 1);
	tear_down(&fixture);
}

/*
 * A run that is still being stopped when its job is offered again must end before the task
 * restarts.
 */
static void test_offered_while_stopped(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 0, 0, 3 } };
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = running.run_id,
					   .end = WAXWING_RUN_STOPPED };
	uint64_t handle;

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	add_executor(&fixture, "b", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	handle = fixture.recorder.handle;
	answer_hold(&fixture, handle, &running, 1, NULL, 0);
	answer_hold(&fixture, handle - 1, NULL, 0, NULL, 0);
	for (int i = 0; !fixture.recorder.stops->len && i < 200; i++) {
		answer_hold(&fixture, handle, &running, 1, NULL, 0);
		advance(&fixture, 10);
	}
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	offer(&fixture, 9, 1, 6000, 100, true);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpuint(start_at(&fixture, 0)->run_id.run, >, 3);
	tear_down(&fixture);
}

/*
 * A former owner that cannot reach its successor still sends orders to executors that have not seen
 * the new token. Guards against a task that ran twice in a simulation: its issuer offered the job
 * again to the new owner while the former owner started it (luachung-sched, trouble-2, at 41.1 s).
 */
static void test_former_owner_goes_on(void)
{
	struct fixture fixture;

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	add_executor(&fixture, "b", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, NULL, 0);
	advance(&fixture, MAX_LEASE_MS + 200);
	offer(&fixture, 9, 1, 6000, 3000, true);
	/*
	 * the former owner may have received the issuer's last message just now: the former owner
	 * stops the job 650 ms later, or the lease expires if it cannot
	 */
	advance(&fixture, MAX_LEASE_MS + 600);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	advance(&fixture, 300);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* A run that a former owner started continues, and its end counts. */
static void test_adopts(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 0, 0, 1 } };
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = running.run_id,
					   .end = WAXWING_RUN_DONE };

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	offer(&fixture, 9, 1, 6000, 100, true);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, &ended, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: a caller had submitted its job again after its node, the
 * former owner, was lost. The successor adopted the job's run, but refused the job for load as not
 * run, so that its issuer offered it to another cell.
 */
static void test_adopted_not_refused(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 0, 0, 1 } };

	set_up(&fixture, true);
	add_executor(&fixture, "a", 8000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	advance(&fixture, 500); /* a new owner refuses no jobs for load at first */
	next_age_ms = 4000; /* too late for a new job */
	offer(&fixture, 8, 1, 6000, 100, false);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	offer(&fixture, 9, 2, 6000, 100, false);
	next_age_ms = 0;
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	tear_down(&fixture);
}

/* Tasks on an executor that does not answer are not restarted until all its leases have expired. */
static void test_unresponsive_executor(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer no_answer = { .result = WAXWING_HOLD_NO_ANSWER };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	ready_executor(&fixture, "b", 8000);
	waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &no_answer);
	/* the executor's clock may be 2% slow, so the lease may last longer than MAX_LEASE_MS */
	for (int ms = 0; ms < 1000; ms += 50) {
		advance(&fixture, 50);
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &no_answer);
		g_assert_false(fixture.recorder.last_hold_extends);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	}
	advance(&fixture, 400);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 1)->executor, ==, "b");
	g_assert_cmpuint(start_at(&fixture, 1)->run_id.run, ==, 2);
	tear_down(&fixture);
}

/*
 * A run whose lease was assumed to have expired had completed while its executor did not answer.
 * The task is done, and its other run is stopped. Guards against acknowledging that end and
 * starting the task again (/node/mix, seed 175).
 */
static void test_done_after_lapse(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer no_answer = { .result = WAXWING_HOLD_NO_ANSWER };
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_DONE };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	ready_executor(&fixture, "b", 8000);
	for (int ms = 0; ms < 1400; ms += 50) {
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &no_answer);
		advance(&fixture, 50);
	}
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	answer_started(&fixture, 1);
	ended.run_id = start_at(&fixture, 0)->run_id;
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	g_assert_cmpuint(g_array_index(fixture.recorder.stops, struct waxwing_run_id, 0).run, ==,
			 2);
	tear_down(&fixture);
}

/*
 * Failed runs whose lease was assumed to have expired count towards the allowed failures, once
 * each. Otherwise a task could fail more often than its queue allows.
 */
static void test_failed_after_lapse(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer no_answer = { .result = WAXWING_HOLD_NO_ANSWER };
	struct waxwing_ended_run ended[3] = { 0 };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	ready_executor(&fixture, "b", 8000);
	for (int ms = 0; ms < 1400; ms += 50) {
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &no_answer);
		advance(&fixture, 50);
	}
	answer_started(&fixture, 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(ended); i++) {
		ended[i].number = i + 1;
		ended[i].run_id = start_at(&fixture, 0)->run_id;
		ended[i].end = WAXWING_RUN_FAILED;
	}
	answer_hold(&fixture, handle, NULL, 0, ended, 3);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	/* with two more failed runs of former owners the task reaches the maximum of 3 */
	for (uint32_t i = 0; i < 2; i++) {
		ended[i].number = i + 4;
		ended[i].run_id.run = i + 7;
	}
	answer_hold(&fixture, handle, NULL, 0, ended, 2);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_FAILED);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

/*
 * A former owner's records of the end of a step may be lost with that owner while a run of the next
 * step continues. That run is adopted, and its end counts even if it is reported before the ends of
 * the earlier step. Guards against 27 double starts of durable jobs in a simulation (trouble-1,
 * seed 171944698768).
 */
static void test_adopts_later_step(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 1, 0, 1 } };
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = running.run_id,
					   .end = WAXWING_RUN_DONE };
	uint64_t handle;

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	handle = fixture.recorder.handle;
	offer_two_steps = true;
	offer(&fixture, 9, 1, 6000, 100, true);
	offer_two_steps = false;
	answer_hold(&fixture, handle, &running, 1, NULL, 0);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	ended.number = 2;
	ended.run_id.step = 0;
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	advance(&fixture, 400);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	tear_down(&fixture);
}

/*
 * An owner that took over while partitioned from all executors waits until all of them list their
 * runs, not only the first that answers after the partition. Guards against a double start
 * (/node/mix, seed 81).
 */
static void test_lists_after_partition(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer no_answer = { .result = WAXWING_HOLD_NO_ANSWER };
	struct waxwing_ended_run ended = { .number = 1,
					   .run_id = { 9, 0, 0, 0, 1 },
					   .end = WAXWING_RUN_DONE };
	uint64_t first;
	uint64_t second;

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	first = fixture.recorder.handle;
	add_executor(&fixture, "b", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	second = fixture.recorder.handle;
	offer(&fixture, 9, 1, 6000, 3000, true);
	for (int ms = 0; ms < 2500; ms += 100) {
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, first, &no_answer);
		waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, second, &no_answer);
		advance(&fixture, 100);
	}
	answer_hold(&fixture, first, NULL, 0, NULL, 0);
	advance(&fixture, 300);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, second, NULL, 0, &ended, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_COMPLETED);
	tear_down(&fixture);
}

/*
 * A start without an answer is stopped once a list does not show it; its task waits until the run
 * can no longer start.
 */
static void test_start_unanswered(void)
{
	struct fixture fixture;
	struct start *first;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 1000, false);
	advance(&fixture, 10);
	first = start_at(&fixture, 0);
	ready_executor(&fixture, "b", 8000);
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, handle, &first->run_id,
				    WAXWING_START_UNKNOWN, 0);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	answer_last_hold(&fixture, handle);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	advance(&fixture, 100);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	first = start_at(&fixture, 0);
	waxwing_cell_stop_answered(fixture.cell, fixture.now_ms, handle, &first->run_id, true);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	advance(&fixture, STOP_MS + 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	/* a hold that was sent after the stop deadline does not list the run */
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	advance(&fixture, 20);
	answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/*
 * A job was started, and stopped because its issuer was silent. When the issuer offers it again
 * after its verdict was discarded, the cell must not say that it has not run.
 */
static void test_forgotten_job(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_STOPPED };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 100, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	waxwing_cell_stop_issuer_jobs(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF);
	ended.run_id = start_at(&fixture, 0)->run_id;
	answer_hold(&fixture, handle, NULL, 0, &ended, 1);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	advance(&fixture, 6500);
	next_age_ms = 6510;
	offer(&fixture, 1, 1, 6000, 100, false);
	next_age_ms = 0;
	advance(&fixture, 1000);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_GIVEN_UP);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	tear_down(&fixture);
}

/* While no executor can be used, jobs are refused at once, so that another cell can take them. */
static void test_no_usable_executor(void)
{
	static const struct waxwing_hold_answer no_answer = { .result = WAXWING_HOLD_NO_ANSWER };
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, handle, &no_answer);
	offer(&fixture, 1, 1, 6000, 1000, false);
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 1);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 0)->reason, ==, WAXWING_ERROR_OVERLOAD);
	g_assert_cmpuint(verdict_at(&fixture, 0)->retry_after_ms, >, 0);
	tear_down(&fixture);
}

/*
 * A start order that is delayed on its way is not listed yet. Neither its task nor its capacity is
 * free before the stop order was answered, however many lists of runs leave it out.
 */
static void test_start_delayed(bool caller_leaves)
{
	struct fixture fixture;
	struct start *first;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 1000, false);
	advance(&fixture, 10);
	first = start_at(&fixture, 0);
	if (caller_leaves) {
		waxwing_cell_withdraw(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF, 1);
		offer(&fixture, 2, 1, 6000, 1000, false);
	} else {
		ready_executor(&fixture, "b", 8000);
		waxwing_cell_start_answered(fixture.cell, fixture.now_ms, handle, &first->run_id,
					    WAXWING_START_UNKNOWN, 0);
		advance(&fixture, 5);
		answer_last_hold(&fixture, handle);
	}
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	for (int lists = 0; lists < 5; lists++) {
		advance(&fixture, 20);
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	}
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	first = start_at(&fixture, 0);
	waxwing_cell_stop_answered(fixture.cell, fixture.now_ms, handle, &first->run_id, true);
	for (int lists = 0; lists < 5; lists++) {
		advance(&fixture, STOP_MS);
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	}
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/*
 * Guards against a job that runs though its caller was told that it did not: another copy of a
 * durable job's offer arrived after the job was refused, and was accepted
 * (/node_resubmit/mix, seed 3066). A later submission is accepted.
 */
static void test_repeated_offer_refused(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	next_age_ms = 50;
	offer_job(&fixture, 1, 1, 6000, 1000, false, true);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	ready_executor(&fixture, "a", 8000);
	fixture.now_ms += 10;
	offer_job(&fixture, 1, 1, 6000, 1000, false, true);
	g_assert_cmpuint(verdict_at(&fixture, 1)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(fixture.recorder.recorded, ==, 0);
	fixture.now_ms += 200;
	offer_job(&fixture, 1, 1, 6000, 1000, false, true);
	next_age_ms = 0;
	g_assert_cmpuint(fixture.recorder.recorded, ==, 1);
	tear_down(&fixture);
}

/*
 * A job that another issuer has offered since has a caller that waits: the first issuer's
 * withdrawal, which may arrive late, has no effect.
 */
static void test_withdrawn_by_former_issuer(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	offer(&fixture, 1, 1, 6000, 1000, false);
	advance(&fixture, 10);
	waxwing_cell_offer(fixture.cell, fixture.now_ms, 5,
			   make_offer(1, 1, 6000, 1000, false, false));
	waxwing_cell_withdraw(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF, 1);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 0);
	waxwing_cell_withdraw(fixture.cell, fixture.now_ms, 5, 1);
	g_assert_cmpuint(fixture.recorder.stops->len, ==, 1);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: the executor's clock ran 2% slow and was last read long ago,
 * so a start order that arrived late was granted a lease that lasted longer than the owner waited.
 */
static void test_lease_of_slow_clock(void)
{
	struct fixture fixture;
	int64_t idle_ms = 4500;
	int64_t clock_ms;
	int64_t read_ms;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	read_ms = fixture.now_ms;
	advance(&fixture, idle_ms);
	offer(&fixture, 1, 1, 6000, 1000, false);
	advance(&fixture, 10);
	clock_ms = CLOCK_OFFSET_MS + read_ms + (int64_t)(0.98 * (double)(fixture.now_ms - read_ms));
	g_assert_cmpint(start_at(&fixture, 0)->lease_expiry_ms, <=, clock_ms + MAX_LEASE_MS);
	g_assert_cmpint(start_at(&fixture, 0)->lease_expiry_ms, >, clock_ms + MAX_LEASE_MS - 100);
	tear_down(&fixture);
}

/* The clocks of idle executors are read from time to time, so that leases keep their length. */
static void test_idle_clock_refresh(void)
{
	struct fixture fixture;
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	for (int i = 0; i < 20; i++) {
		uint32_t holds = fixture.recorder.holds;

		advance(&fixture, 6000);
		g_assert_cmpuint(fixture.recorder.holds, ==, holds + 1);
		answer_hold(&fixture, handle, NULL, 0, NULL, 0);
	}
	offer(&fixture, 1, 1, 6000, 1000, false);
	advance(&fixture, 10);
	g_assert_cmpint(start_at(&fixture, 0)->lease_expiry_ms, >,
			CLOCK_OFFSET_MS + fixture.now_ms + MAX_LEASE_MS - 100);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: an issuer was lost, and the owner extended the leases of its
 * jobs until it noticed, just before the executor became unreachable. The runs went on while the
 * callers had submitted their jobs again. An issuer's jobs have ended 1300 ms after it was lost.
 */
static void test_lease_of_lost_issuer(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 1, 0, 0, 0, 1 } };
	uint64_t handle;
	int64_t lost_ms;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	waxwing_cell_issuer_heard(fixture.cell, 5, fixture.now_ms);
	waxwing_cell_offer(fixture.cell, fixture.now_ms, 5,
			   make_offer(1, 1, 6000, 3000, false, false));
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	waxwing_cell_issuer_heard(fixture.cell, 5, fixture.now_ms);
	lost_ms = fixture.now_ms;
	for (int i = 0; i < 30; i++) {
		advance(&fixture, 20);
		answer_hold(&fixture, handle, &running, 1, NULL, 0);
		g_assert_cmpint(fixture.recorder.last_until_ms, <=,
				CLOCK_OFFSET_MS + lost_ms + 250 + MAX_LEASE_MS);
	}
	waxwing_cell_issuer_heard(fixture.cell, 5, fixture.now_ms);
	advance(&fixture, 20);
	answer_hold(&fixture, handle, &running, 1, NULL, 0);
	advance(&fixture, 20);
	g_assert_cmpint(fixture.recorder.last_until_ms, >,
			CLOCK_OFFSET_MS + fixture.now_ms + MAX_LEASE_MS - 50);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: a run of an issuer that was quiet got the longer lease that
 * its executor had been granted for another run.
 */
static void test_start_beside_longer_lease(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 2, 0, 0, 0, 1 } };
	uint64_t handle;

	set_up(&fixture, false);
	handle = ready_executor(&fixture, "a", 8000);
	waxwing_cell_issuer_heard(fixture.cell, 6, fixture.now_ms);
	waxwing_cell_offer(fixture.cell, fixture.now_ms, 6,
			   make_offer(2, 1, 3000, 3000, false, false));
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	waxwing_cell_issuer_heard(fixture.cell, 5, fixture.now_ms);
	for (int i = 0; i < 30; i++) {
		advance(&fixture, 20);
		waxwing_cell_issuer_heard(fixture.cell, 6, fixture.now_ms);
		answer_hold(&fixture, handle, &running, 1, NULL, 0);
	}
	waxwing_cell_offer(fixture.cell, fixture.now_ms, 5,
			   make_offer(1, 1, 3000, 3000, false, false));
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	waxwing_cell_issuer_heard(fixture.cell, 5, fixture.now_ms);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: a successor extended the leases of runs whose job nobody had
 * offered to it, as the former owner was the job's issuer (/node_resubmit/mix, seed 518).
 */
static void test_lease_of_unknown_run(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 9, 0, 0, 0, 1 } };
	uint64_t handle;

	set_up(&fixture, true);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	handle = fixture.recorder.handle;
	for (int i = 0; i < 10; i++) {
		answer_hold(&fixture, handle, &running, 1, NULL, 0);
		advance(&fixture, 20);
		g_assert_false(fixture.recorder.last_hold_extends);
	}
	offer(&fixture, 9, 1, 6000, 100, true);
	answer_hold(&fixture, handle, &running, 1, NULL, 0);
	advance(&fixture, 20);
	g_assert_true(fixture.recorder.last_hold_extends);
	tear_down(&fixture);
}

static void test_delayed_start_of_task(void)
{
	test_start_delayed(false);
}

static void test_delayed_start_of_left_job(void)
{
	test_start_delayed(true);
}

/*
 * A restart of an executor under the same id ends its runs, and its ends are numbered from 1 again.
 */
static void test_new_incarnation(void)
{
	struct fixture fixture;
	struct waxwing_running_run running = { .run_id = { 2, 0, 0, 0, 1 } };

	set_up(&fixture, false);
	fixture.started_ms = 100;
	add_executor(&fixture, "a", 16000, 100);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	answer_hold(&fixture, fixture.recorder.handle, NULL, 0, NULL, 0);
	offer(&fixture, 1, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 0);
	fixture.started_ms = 200;
	add_executor(&fixture, "a", 16000, 200);
	/*
	 * this run starts on the new incarnation before the owner knows of that incarnation: it
	 * must not end with the runs of the previous one
	 */
	offer(&fixture, 2, 1, 6000, 3000, false);
	advance(&fixture, 10);
	answer_started(&fixture, 1);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	advance(&fixture, 10);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	advance(&fixture, 10);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	advance(&fixture, 10);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 3);
	g_assert_cmpuint(start_at(&fixture, 2)->run_id.job, ==, 1);
	g_assert_cmpuint(start_at(&fixture, 2)->run_id.run, ==, 2);
	g_assert_cmpuint(fixture.recorder.acked_upto, ==, 0);
	tear_down(&fixture);
}

/*
 * A job that cannot end in time is refused at once, with a retry delay; other jobs are not delayed.
 */
static void test_refuses_late_job(void)
{
	struct fixture fixture;
	uint32_t refused = 0;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	for (uint64_t id = 1; id <= 40; id++)
		offer(&fixture, id, 4, 7000, 300, false);
	for (guint i = 0; i < fixture.recorder.verdicts->len; i++) {
		g_assert_cmpuint(verdict_at(&fixture, i)->outcome, ==, WAXWING_JOB_REFUSED);
		g_assert_cmpuint(verdict_at(&fixture, i)->reason, ==, WAXWING_ERROR_OVERLOAD);
		g_assert_cmpuint(verdict_at(&fixture, i)->retry_after_ms, >, 0);
		refused++;
	}
	g_assert_cmpuint(refused, >, 20);
	g_assert_cmpuint(refused, <, 40);
	tear_down(&fixture);
}

static void test_never_fits(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer(&fixture, 1, 1, 17000, 100, false);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpuint(verdict_at(&fixture, 0)->reason, ==, WAXWING_ERROR_NO_UPSTREAM);
	tear_down(&fixture);
}

static void test_fenced(void)
{
	struct fixture fixture;
	struct waxwing_hold_answer fenced = { .result = WAXWING_HOLD_FENCED };

	set_up(&fixture, false);
	add_executor(&fixture, "a", 16000, 0);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	waxwing_cell_hold_answered(fixture.cell, fixture.now_ms, fixture.recorder.handle, &fenced);
	g_assert_cmpuint(fixture.recorder.fenced, ==, 1);
	tear_down(&fixture);
}

/*
 * Guards against two runs of one task: all runs of owners that released the cell are known, but not
 * those of an owner before them, which had lost the cell and may still serve the job's issuer.
 */
static void test_earlier_owner(void)
{
	static const uint64_t former_tokens[] = { 2, 4 };
	static const bool waits[] = { true, false };

	for (size_t i = 0; i < G_N_ELEMENTS(former_tokens); i++) {
		struct fixture fixture;
		Waxwing__JobOffer *job = make_offer(8, 1, 1000, 2000, true, false);

		set_up_cell(&fixture, true, true);
		waxwing_cell_recovered(fixture.cell, fixture.now_ms);
		waxwing_cell_set_list_complete(fixture.cell);
		ready_executor(&fixture, "a", 16000);
		job->has_former_token = true;
		job->former_token = former_tokens[i];
		waxwing_cell_offer(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF, job);
		advance(&fixture, 100);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, waits[i] ? 0 : 1);
		advance(&fixture, waxwing_cell_orders_expire_ms(MAX_LEASE_MS));
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
		tear_down(&fixture);
	}
}

/*
 * An executor that is not in the platform's list is asked for the runs of a former owner and gets
 * no new ones, until it is listed again.
 */
static void test_unlisted_executor(void)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	struct waxwing_executor_entry entry = { "u",	"10.0.0.2:80", "service", "zone",
						"kind", "rack",	       labels,	  { 0 },
						0,	false,	       0 };
	struct waxwing_running_run running = { .run_id = { .job = 8, .run = 1 } };
	struct fixture fixture;

	set_up_cell(&fixture, true, true);
	waxwing_cell_recovered(fixture.cell, fixture.now_ms);
	waxwing_cell_add_unlisted_executor(fixture.cell, fixture.now_ms, &entry);
	waxwing_cell_set_list_complete(fixture.cell);
	offer(&fixture, 8, 2, 1000, 2000, true);
	waxwing_cell_advance(fixture.cell, fixture.now_ms);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	answer_hold(&fixture, fixture.recorder.handle, &running, 1, NULL, 0);
	advance(&fixture, 20);
	/* task 0 runs, and no executor may start task 1 */
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	add_executor(&fixture, "u", 16000, 0);
	advance(&fixture, 3000);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpuint(start_at(&fixture, 0)->run_id.index, ==, 1);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/capacity", test_capacity);
	g_test_add_func("/cell/offered_while_stopped", test_offered_while_stopped);
	g_test_add_func("/cell/former_owner_goes_on", test_former_owner_goes_on);
	g_test_add_func("/cell/adopts", test_adopts);
	g_test_add_func("/cell/silent_executor", test_unresponsive_executor);
	g_test_add_func("/cell/done_after_lapse", test_done_after_lapse);
	g_test_add_func("/cell/failed_after_lapse", test_failed_after_lapse);
	g_test_add_func("/cell/adopts_later_step", test_adopts_later_step);
	g_test_add_func("/cell/lists_after_a_cut", test_lists_after_partition);
	g_test_add_func("/cell/start_unanswered", test_start_unanswered);
	g_test_add_func("/cell/forgotten_job", test_forgotten_job);
	g_test_add_func("/cell/no_usable_executor", test_no_usable_executor);
	g_test_add_func("/cell/start_delayed/task", test_delayed_start_of_task);
	g_test_add_func("/cell/start_delayed/left_job", test_delayed_start_of_left_job);
	g_test_add_func("/cell/withdrawn_by_former_issuer", test_withdrawn_by_former_issuer);
	g_test_add_func("/cell/lease_of_slow_clock", test_lease_of_slow_clock);
	g_test_add_func("/cell/idle_clock_refresh", test_idle_clock_refresh);
	g_test_add_func("/cell/adopted_not_refused", test_adopted_not_refused);
	g_test_add_func("/cell/lease_of_lost_issuer", test_lease_of_lost_issuer);
	g_test_add_func("/cell/start_beside_longer_lease", test_start_beside_longer_lease);
	g_test_add_func("/cell/repeated_offer_refused", test_repeated_offer_refused);
	g_test_add_func("/cell/lease_of_unknown_run", test_lease_of_unknown_run);
	g_test_add_func("/cell/new_life", test_new_incarnation);
	g_test_add_func("/cell/refuses_hopeless", test_refuses_late_job);
	g_test_add_func("/cell/never_fits", test_never_fits);
	g_test_add_func("/cell/fenced", test_fenced);
	g_test_add_func("/cell/earlier_owner", test_earlier_owner);
	g_test_add_func("/cell/unlisted_executor", test_unlisted_executor);
	return g_test_run();
}
