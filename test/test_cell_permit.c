/* Tests of a single cell with steps that an outside service permits only some executors to run. */
#include "cell_fixture.h"

#define VALID_MS 3000

static void offer_job_with_permits(struct fixture *fixture, uint64_t id, uint32_t count,
				   bool durable)
{
	Waxwing__JobOffer *offer = make_offer(id, count, 6000, 100, false, durable);

	offer->job->has_permits_needed = offer->job->permits_needed = true;
	offer->job->has_permit_base_ms = offer->job->has_permit_each_ms = true;
	offer->job->permit_base_ms = 20;
	offer->job->permit_each_ms = 2;
	offer->job->allowance_ms = 2 * VALID_MS; /* the job is not given up while it waits */
	waxwing_cell_offer(fixture->cell, fixture->now_ms, WAXWING_ISSUER_SELF, offer);
	advance(fixture, 10);
}

static void offer_transient_job(struct fixture *fixture, uint64_t id, uint32_t count)
{
	offer_job_with_permits(fixture, id, count, false);
}

/* Answers the last permit query: only @good may run the step; null: no executor may. */
static void answer_permit_query(struct fixture *fixture, const char *good, const char *ticket)
{
	const struct recorder *recorder = &fixture->recorder;
	struct waxwing_permit_query query = recorder->last_query;
	const char *ids[G_N_ELEMENTS(recorder->query_ids)];
	struct waxwing_permit row = { good, ticket };
	struct waxwing_permit_answer answer = { .answered = true,
						.permits = &row,
						.permit_count = good != NULL,
						.valid_ms = VALID_MS };

	for (size_t i = 0; i < query.count; i++)
		ids[i] = recorder->query_ids[i];
	query.executors = ids;
	query.handles = recorder->query_handles;
	waxwing_cell_permits_answered(fixture->cell, fixture->now_ms, &query, &answer);
	advance(fixture, 5);
}

/*
 * A step runs only on the permitted executor, with its ticket, and waits for capacity there;
 * permits for the other executors are not queried again.
 */
static void test_runs_where_allowed(void)
{
	struct fixture fixture;
	struct waxwing_ended_run ended = { .number = 1, .end = WAXWING_RUN_DONE };

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	ready_executor(&fixture, "b", 8000);
	offer_transient_job(&fixture, 1, 2);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 1);
	g_assert_cmpuint(fixture.recorder.last_query.count, ==, 2);
	g_assert_cmpuint(fixture.recorder.last_query.timeout_ms, >, 24);
	answer_permit_query(&fixture, "b", "t1");
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 1);
	g_assert_cmpstr(start_at(&fixture, 0)->executor, ==, "b");
	g_assert_cmpstr(start_at(&fixture, 0)->ticket, ==, "t1");
	advance(&fixture, 100);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 1);
	answer_started(&fixture, 0);
	ended.run_id = start_at(&fixture, 0)->run_id;
	answer_hold(&fixture, start_at(&fixture, 0)->handle, NULL, 0, &ended, 1);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	g_assert_cmpstr(start_at(&fixture, 1)->executor, ==, "b");
	g_assert_cmpstr(start_at(&fixture, 1)->ticket, ==, "t1");
	tear_down(&fixture);
}

/* A new ticket is queried after an executor rejected the last one, or after its expiry. */
static void test_asks_again(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 8000);
	offer_transient_job(&fixture, 1, 1);
	answer_permit_query(&fixture, "a", "t1");
	waxwing_cell_start_answered(fixture.cell, fixture.now_ms, start_at(&fixture, 0)->handle,
				    &start_at(&fixture, 0)->run_id, WAXWING_START_NO_TICKET, 0);
	advance(&fixture, 5);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 2);
	answer_permit_query(&fixture, "a", "t2");
	g_assert_cmpstr(start_at(&fixture, 1)->ticket, ==, "t2");
	answer_started(&fixture, 1);
	offer_transient_job(&fixture, 2, 1);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 3);
	g_assert_cmpuint(fixture.recorder.last_query.job, ==, 2);
	answer_permit_query(&fixture, "a", "t3"); /* "a" has no free capacity yet */
	advance(&fixture, VALID_MS);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 4);
	g_assert_cmpuint(fixture.recorder.starts->len, ==, 2);
	tear_down(&fixture);
}

/* Permit queries are sent one at a time; a query without an answer is repeated after a delay. */
static void test_in_turn(void)
{
	struct fixture fixture;
	struct waxwing_permit_answer none = { .answered = false };

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_transient_job(&fixture, 1, 1);
	offer_transient_job(&fixture, 2, 1);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 1);
	waxwing_cell_permits_answered(fixture.cell, fixture.now_ms, &fixture.recorder.last_query,
				      &none);
	advance(&fixture, 50);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 1);
	advance(&fixture, 60);
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 2);
	g_assert_cmpuint(fixture.recorder.last_query.job, ==, 1);
	answer_permit_query(&fixture, "a", "t1");
	g_assert_cmpuint(fixture.recorder.permit_queries, ==, 3);
	g_assert_cmpuint(fixture.recorder.last_query.job, ==, 2);
	tear_down(&fixture);
}

/* If no executor is permitted, the job is refused before it is accepted or started. */
static void test_none_allowed(void)
{
	for (int durable = 0; durable < 2; durable++) {
		struct fixture fixture;

		set_up(&fixture, false);
		ready_executor(&fixture, "a", 16000);
		offer_job_with_permits(&fixture, 1, 1, durable);
		answer_permit_query(&fixture, NULL, NULL);
		advance(&fixture, 20);
		g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_REFUSED);
		g_assert_cmpuint(verdict_at(&fixture, 0)->reason, ==, WAXWING_ERROR_NO_UPSTREAM);
		g_assert_cmpuint(fixture.recorder.recorded, ==, 0);
		g_assert_cmpuint(fixture.recorder.starts->len, ==, 0);
		tear_down(&fixture);
	}
}

/* A durable job is accepted once each of its steps has a permitted executor. */
static void test_durable(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_two_steps = true;
	offer_job_with_permits(&fixture, 1, 1, true);
	offer_two_steps = false;
	answer_permit_query(&fixture, "a", "t1");
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.last_query.step, ==, 1);
	g_assert_cmpuint(fixture.recorder.recorded, ==, 0);
	store_all_records(&fixture); /* must not accept this job, whose record is not written yet */
	g_assert_cmpuint(fixture.recorder.verdicts->len, ==, 0);
	answer_permit_query(&fixture, "a", "t2");
	advance(&fixture, 20);
	g_assert_cmpuint(fixture.recorder.recorded, ==, 1);
	store_all_records(&fixture);
	advance(&fixture, 10);
	g_assert_cmpuint(verdict_at(&fixture, 0)->outcome, ==, WAXWING_JOB_STORED);
	g_assert_cmpstr(start_at(&fixture, 0)->ticket, ==, "t1");
	tear_down(&fixture);
}

/* A permit answer that arrives after the end of its job is ignored. */
static void test_late_answer(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	ready_executor(&fixture, "a", 16000);
	offer_transient_job(&fixture, 1, 1);
	waxwing_cell_withdraw(fixture.cell, fixture.now_ms, WAXWING_ISSUER_SELF, 1);
	answer_permit_query(&fixture, "a", "t1");
	advance(&fixture, 100);
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
	g_test_add_func("/cell/permit/kept", test_durable);
	g_test_add_func("/cell/permit/late_answer", test_late_answer);
	return g_test_run();
}
