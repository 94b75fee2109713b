/* One cell and steps that only some executors may run, as an outside service says. */
#include "cell_fixture.h"

#define VALID_MS 3000

static void hand_in(struct fixture *fixture, uint64_t id, uint32_t count, bool kept)
{
	Waxwing__JobOffer *offer = make_offer(id, count, 6000, 100, false, kept);

	offer->job->has_permits_needed = offer->job->permits_needed = true;
	offer->job->has_permit_base_ms = offer->job->has_permit_each_ms = true;
	offer->job->permit_base_ms = 20;
	offer->job->permit_each_ms = 2;
	offer->job->allowance_ms = 2 * VALID_MS; /* it is not given up while it waits */
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, offer);
	run(fixture, 10);
}

static void offer_permitted(struct fixture *fixture, uint64_t id, uint32_t count)
{
	hand_in(fixture, id, count, false);
}

/* Answers the last question: @good alone may run the step; null: none may. */
static void answer_question(struct fixture *fixture, const char *good, const char *ticket)
{
	const struct recorder *recorder = &fixture->recorder;
	struct waxwing_permit_question question = recorder->asked;
	const char *ids[G_N_ELEMENTS(recorder->asked_ids)];
	struct waxwing_permit_row row = { good, ticket };
	struct waxwing_permit_answer answer = {
		.answered = true, .good = &row, .good_count = good != NULL, .valid_ms = VALID_MS
	};

	for (size_t i = 0; i < question.count; i++)
		ids[i] = recorder->asked_ids[i];
	question.executors = ids;
	question.lives = recorder->asked_lives;
	waxwing_cell_permits_answered(fixture->cell, fixture->now_ms, &question, &answer);
	run(fixture, 5);
}

/* A step runs where it may, with its ticket, and waits there for room; the others are not asked about again. */
static void test_runs_where_allowed(void)
{
	struct fixture fixture;
	struct waxwing_ended_row ended = { .number = 1, .end = WAXWING_RUN_DONE };

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_permitted(&fixture, 1, 2);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(fixture.recorder.questions, ==, 1);
	g_assert_cmpuint(fixture.recorder.asked.count, ==, 2);
	g_assert_cmpuint(fixture.recorder.asked.timeout_ms, >, 24);
	answer_question(&fixture, "b", "t1");
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpstr(start_at(&fixture, 0)->executor, ==, "b");
	g_assert_cmpstr(start_at(&fixture, 0)->ticket, ==, "t1");
	run(&fixture, 100);
	g_assert_cmpuint(fixture.recorder.questions, ==, 1);
	started(&fixture, 0);
	ended.name = start_at(&fixture, 0)->name;
	answer_hold(&fixture, start_at(&fixture, 0)->life, NULL, 0, &ended, 1);
	run(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 1)->executor, ==, "b");
	g_assert_cmpstr(start_at(&fixture, 1)->ticket, ==, "t1");
	tear_down(&fixture);
}

/* A ticket that its executor does not take, or that has run out, is asked for again. */
static void test_asks_again(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	offer_permitted(&fixture, 1, 1);
	answer_question(&fixture, "a", "t1");
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, start_at(&fixture, 0)->life,
				    &start_at(&fixture, 0)->name, WAXWING_START_NO_TICKET, 0);
	run(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.questions, ==, 2);
	answer_question(&fixture, "a", "t2");
	g_assert_cmpstr(start_at(&fixture, 1)->ticket, ==, "t2");
	started(&fixture, 1);
	offer_permitted(&fixture, 2, 1);
	g_assert_cmpuint(fixture.recorder.questions, ==, 3);
	g_assert_cmpuint(fixture.recorder.asked.job, ==, 2);
	answer_question(&fixture, "a", "t3"); /* there is no room for it yet */
	run(&fixture, VALID_MS);
	g_assert_cmpuint(fixture.recorder.questions, ==, 4);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/* The service takes one question at a time; one that is not answered is put again a little later. */
static void test_in_turn(void)
{
	struct fixture fixture;
	struct waxwing_permit_answer none = { .answered = false };

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_permitted(&fixture, 1, 1);
	offer_permitted(&fixture, 2, 1);
	g_assert_cmpuint(fixture.recorder.questions, ==, 1);
	waxwing_cell_permits_answered(fixture.cell, fixture.now_ms, &fixture.recorder.asked, &none);
	run(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.questions, ==, 1);
	run(&fixture, 60);
	g_assert_cmpuint(fixture.recorder.questions, ==, 2);
	g_assert_cmpuint(fixture.recorder.asked.job, ==, 1);
	answer_question(&fixture, "a", "t1");
	g_assert_cmpuint(fixture.recorder.questions, ==, 3);
	g_assert_cmpuint(fixture.recorder.asked.job, ==, 2);
	tear_down(&fixture);
}

/* Where no executor may run it, a job is refused before anything of it is accepted or started. */
static void test_none_allowed(void)
{
	for (int kept = 0; kept < 2; kept++) {
		struct fixture fixture;

		set_up(&fixture, false);
		ready_executor(&fixture, "a", 16000);
		hand_in(&fixture, 1, 1, kept);
		answer_question(&fixture, NULL, NULL);
		run(&fixture, 20);
		g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
		g_assert_cmpuint(verdict_at(&fixture, 0)->reason, ==, WAXWING_ERROR_NO_UPSTREAM);
		g_assert_cmpuint(fixture.recorder.recorded, ==, 0);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
		tear_down(&fixture);
	}
}

/* A job that must be kept is accepted once each of its steps has an executor. */
static void test_kept(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	two_steps = true;
	hand_in(&fixture, 1, 1, true);
	two_steps = false;
	answer_question(&fixture, "a", "t1");
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.asked.step, ==, 1);
	g_assert_cmpuint(fixture.recorder.recorded, ==, 0);
	store_all(&fixture); /* of other jobs */
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	answer_question(&fixture, "a", "t2");
	run(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.recorded, ==, 1);
	store_all(&fixture);
	run(&fixture, 10);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	g_assert_cmpstr(start_at(&fixture, 0)->ticket, ==, "t1");
	tear_down(&fixture);
}

/* An answer that comes after its job's end is of no use, and does no harm. */
static void test_late_answer(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_permitted(&fixture, 1, 1);
	waxwing_cell_withdraw(fixture.cell, fixture.now_ms, 1);
	answer_question(&fixture, "a", "t1");
	run(&fixture, 100);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	tear_down(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cell/permit/runs_where_allowed", test_runs_where_allowed);
	g_test_add_func("/cell/permit/asks_again", test_asks_again);
	g_test_add_func("/cell/permit/in_turn", test_in_turn);
	g_test_add_func("/cell/permit/none_allowed", test_none_allowed);
	g_test_add_func("/cell/permit/kept", test_kept);
	g_test_add_func("/cell/permit/late_answer", test_late_answer);
	return g_test_run();
}
