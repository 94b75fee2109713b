#include "breaker.h"

#include <glib.h>

static void record_failure(struct waxwing_breaker *breaker, int64_t now_ms, double peers_share)
{
	waxwing_breaker_record_failure(breaker, now_ms, 1, peers_share, true);
}

static unsigned int failures_until_open(struct waxwing_breaker *breaker, double peers_share)
{
	for (unsigned int i = 1; i <= 1000; i++) {
		record_failure(breaker, 0, peers_share);
		if (breaker->state == WAXWING_BREAKER_OPEN)
			return i;
	}
	return 0;
}

static void test_ejects_outlier(void)
{
	struct waxwing_breaker breaker;

	waxwing_breaker_init(&breaker);
	g_assert_cmpuint(failures_until_open(&breaker, 0), <=, 6);
	waxwing_breaker_init(&breaker);
	g_assert_cmpuint(failures_until_open(&breaker, 0.6), ==, 0);
	waxwing_breaker_init(&breaker);
	for (int i = 0; i < 1000; i++)
		waxwing_breaker_record_failure(&breaker, 0, 1, 0, false);
	g_assert_cmpint(breaker.state, ==, WAXWING_BREAKER_CLOSED);
}

/* An upstream that fails as often as its peers, at any share, is hardly ever ejected. */
static void test_equal_peers(void)
{
	for (int share = 0; share <= 10; share++) {
		struct waxwing_breaker breaker;
		int ejections = 0;

		waxwing_breaker_init(&breaker);
		for (int i = 0; i < 5000; i++) {
			if (g_test_rand_int_range(0, 100) < share * 10)
				record_failure(&breaker, i, share / 10.0);
			else
				waxwing_breaker_record_success(&breaker, i);
			ejections += breaker.state == WAXWING_BREAKER_OPEN;
			if (breaker.state == WAXWING_BREAKER_OPEN)
				waxwing_breaker_init(&breaker);
		}
		g_assert_cmpint(ejections, <=, 10);
	}
}

/* An upstream that fails a tenth of its tasks is ejected if its peers have no failures. */
static void test_partial_failure(void)
{
	struct waxwing_breaker breaker;
	int i;

	waxwing_breaker_init(&breaker);
	for (i = 0; i < 2000 && breaker.state == WAXWING_BREAKER_CLOSED; i++) {
		if (i % 10 == 0)
			record_failure(&breaker, 0, 0);
		else
			waxwing_breaker_record_success(&breaker, 0);
	}
	g_assert_cmpint(breaker.state, ==, WAXWING_BREAKER_OPEN);
}

static void test_half_open(void)
{
	struct waxwing_breaker breaker;
	int64_t now_ms = 0;
	int64_t ejection_ms = 0;

	waxwing_breaker_init(&breaker);
	failures_until_open(&breaker, 0);
	for (int i = 0; i < 10; i++) {
		int64_t next_ms = waxwing_breaker_next_change_ms(&breaker);

		g_assert_cmpint(next_ms - now_ms, >=, ejection_ms);
		g_assert_cmpint(next_ms - now_ms, <=, 60000);
		ejection_ms = next_ms - now_ms;
		waxwing_breaker_tick(&breaker, next_ms - 1);
		g_assert_cmpint(breaker.state, ==, WAXWING_BREAKER_OPEN);
		now_ms = next_ms;
		waxwing_breaker_tick(&breaker, now_ms);
		g_assert_true(waxwing_breaker_may_probe(&breaker));
		waxwing_breaker_task_started(&breaker);
		g_assert_false(waxwing_breaker_may_probe(&breaker));
		waxwing_breaker_task_ended(&breaker);
		record_failure(&breaker, now_ms, 0);
		g_assert_cmpint(breaker.state, ==, WAXWING_BREAKER_OPEN);
	}
	g_assert_cmpint(ejection_ms, ==, 60000);
	waxwing_breaker_tick(&breaker, waxwing_breaker_next_change_ms(&breaker));
	for (int i = 0; i < 3; i++) {
		g_assert_cmpuint(waxwing_breaker_slots(&breaker, 8), ==, 0);
		waxwing_breaker_record_success(&breaker, now_ms);
	}
	g_assert_cmpuint(waxwing_breaker_slots(&breaker, 8), ==, 8);
}

static void test_max_ejected(void)
{
	g_assert_false(waxwing_breaker_may_eject(0, 0));
	g_assert_false(waxwing_breaker_may_eject(0, 1));
	g_assert_true(waxwing_breaker_may_eject(0, 2));
	g_assert_false(waxwing_breaker_may_eject(1, 2));
	for (size_t count = 2; count < 100; count++) {
		size_t ejected = 0;

		while (waxwing_breaker_may_eject(ejected, count))
			ejected++;
		g_assert_cmpuint(ejected, >=, 1);
		g_assert_cmpuint(ejected, <=, MAX(count * 3 / 10, 1));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/breaker/ejects-outlier", test_ejects_outlier);
	g_test_add_func("/breaker/equal-peers", test_equal_peers);
	g_test_add_func("/breaker/partial-failure", test_partial_failure);
	g_test_add_func("/breaker/half-open", test_half_open);
	g_test_add_func("/breaker/cap", test_max_ejected);
	return g_test_run();
}
