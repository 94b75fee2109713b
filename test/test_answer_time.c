/* Tests of the timeouts that are derived from recent answer times. */
#include "answer_time.h"

#include <glib.h>

#define LONGEST_MS 350

static int64_t add_answers(struct waxwing_answer_time *times, int64_t now_ms, int count,
			   int64_t took_ms)
{
	for (int i = 0; i < count; i++)
		waxwing_answer_time_add(times, now_ms += 10, took_ms);
	return now_ms;
}

/* Guards against calls that are given up early because little is known. */
static void test_few(void)
{
	struct waxwing_answer_time times = { 0 };
	int64_t now_ms = add_answers(&times, 1000, 49, 2);

	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, LONGEST_MS);
	now_ms = add_answers(&times, now_ms, 1, 2);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, 40);
	/* the answers are no longer recent */
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms + 10000, LONGEST_MS), ==,
			LONGEST_MS);
}

/* The timeout follows the slowest of a hundred answers, up to the longest timeout. */
static void test_quantile(void)
{
	struct waxwing_answer_time times = { 0 };
	int64_t now_ms = add_answers(&times, 1000, 197, 2);

	now_ms = add_answers(&times, now_ms, 3, 30);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, 120);
	now_ms = add_answers(&times, now_ms, 10, 90);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, LONGEST_MS);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, 200), ==, 200);
}

/* Guards against slow answers that are taken for lost ones: those given up are never measured. */
static void test_slower_than_timeout(void)
{
	struct waxwing_answer_time times = { 0 };
	int64_t now_ms = add_answers(&times, 1000, 100, 2);

	for (int i = 0; i < 20; i++)
		waxwing_answer_time_add_given_up(&times, now_ms);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, 40);
	waxwing_answer_time_add_given_up(&times, now_ms);
	g_assert_cmpint(waxwing_answer_time_timeout_ms(&times, now_ms, LONGEST_MS), ==, LONGEST_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer_time/few", test_few);
	g_test_add_func("/answer_time/quantile", test_quantile);
	g_test_add_func("/answer_time/slower_than_timeout", test_slower_than_timeout);
	return g_test_run();
}
