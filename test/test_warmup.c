/* Tests of the slow start and the rate limit of cold upstreams, in virtual time. */
#include "warmup.h"

#include <glib.h>

#define COLD_MS 60000

static uint32_t start_all(struct waxwing_warmup *warmup, int64_t now_ms)
{
	uint32_t count = 0;

	while (count < 1000 && waxwing_warmup_may_start(warmup, now_ms)) {
		waxwing_warmup_started(warmup, now_ms);
		count++;
	}
	return count;
}

/* Guards against a thundering herd: a queue that waits may send one first task, not all. */
static void test_doubles(void)
{
	struct waxwing_warmup warmup;

	waxwing_warmup_init(&warmup);
	waxwing_warmup_set_cold(&warmup, 0, COLD_MS);
	for (uint32_t limit = 1; limit <= 64; limit *= 2) {
		g_assert_cmpuint(start_all(&warmup, limit), ==, limit);
		g_assert_cmpint(waxwing_warmup_next_start_ms(&warmup, limit), ==, COLD_MS);
		for (uint32_t i = 0; i < limit; i++)
			waxwing_warmup_ended(&warmup, true);
	}
	start_all(&warmup, 100);
	waxwing_warmup_ended(&warmup, false);
	g_assert_cmpuint(start_all(&warmup, 100), ==, 1);
	g_assert_cmpuint(start_all(&warmup, COLD_MS), ==, 1000);
}

/* Guards against limits on an upstream that never reported to be cold. */
static void test_warm(void)
{
	struct waxwing_warmup warmup;

	waxwing_warmup_init(&warmup);
	waxwing_warmup_set_rate(&warmup, 1000);
	g_assert_cmpuint(start_all(&warmup, 5), ==, 1000);
	waxwing_warmup_set_cold(&warmup, 6, 6);
	g_assert_cmpuint(start_all(&warmup, 6), ==, 1000);
}

/*
 * Property: any span has at most its length times the rate plus one starts. Guards against windows
 * that are counted from full seconds, or whose allowance can be used at one instant.
 */
static void test_rate(void)
{
	for (int round = 0; round < 50; round++) {
		uint32_t milli_rate = (uint32_t)g_test_rand_int_range(200, 500000);
		GArray *starts = g_array_new(FALSE, FALSE, sizeof(int64_t));
		struct waxwing_warmup warmup;

		waxwing_warmup_init(&warmup);
		waxwing_warmup_set_rate(&warmup, milli_rate);
		waxwing_warmup_set_cold(&warmup, 0, COLD_MS);
		for (int64_t now_ms = 0; now_ms < COLD_MS && starts->len < 500;
		     now_ms += g_test_rand_int_range(0, 40)) {
			if (!waxwing_warmup_may_start(&warmup, now_ms))
				continue;
			waxwing_warmup_started(&warmup, now_ms);
			g_array_append_val(starts, now_ms);
			/* a start that is withdrawn neither uses up nor adds to the allowance */
			if (waxwing_warmup_may_start(&warmup, now_ms + 1)) {
				waxwing_warmup_started(&warmup, now_ms + 1);
				waxwing_warmup_withdrawn(&warmup);
				waxwing_warmup_ended(&warmup, false);
			}
			waxwing_warmup_ended(&warmup, true);
		}
		g_assert_cmpuint(starts->len, >, 1);
		for (guint i = 0; i < starts->len; i++)
			for (guint k = i; k < starts->len; k++)
				g_assert_cmpfloat((double)(k - i), <=,
						  (double)(g_array_index(starts, int64_t, k) -
							   g_array_index(starts, int64_t, i)) *
							  milli_rate / 1e6);
		g_array_free(starts, TRUE);
	}
}

/* The next start that the limiter names is the first time at which it allows one. */
static void test_next_start(void)
{
	struct waxwing_warmup warmup;

	waxwing_warmup_init(&warmup);
	waxwing_warmup_set_rate(&warmup, 3000);
	waxwing_warmup_set_cold(&warmup, 0, COLD_MS);
	waxwing_warmup_assume_start(&warmup, 10);
	g_assert_cmpint(waxwing_warmup_next_start_ms(&warmup, 10), ==, 344);
	g_assert_false(waxwing_warmup_may_start(&warmup, 343));
	g_assert_true(waxwing_warmup_may_start(&warmup, 344));
}

/*
 * Guards against a report that is read late and limits an upstream again that has become warm, and
 * against one that is missed because the upstream keeps its incarnation.
 */
static void test_reports(void)
{
	struct waxwing_warmup warmup;

	waxwing_warmup_init(&warmup);
	waxwing_warmup_set_cold(&warmup, 0, 5000);
	waxwing_warmup_set_cold(&warmup, 1500, 4000);
	g_assert_false(waxwing_warmup_is_cold(&warmup, 4000));
	waxwing_warmup_set_cold(&warmup, 4000, 4300);
	g_assert_false(waxwing_warmup_is_cold(&warmup, 4000));
	waxwing_warmup_set_cold(&warmup, 9000, 20000);
	g_assert_cmpuint(start_all(&warmup, 9000), ==, 1);
	waxwing_warmup_set_cold(&warmup, 9500, 9500);
	g_assert_cmpuint(start_all(&warmup, 9500), ==, 1000);
	waxwing_warmup_restarted(&warmup);
	g_assert_cmpuint(warmup.in_flight, ==, 1001);
	waxwing_warmup_set_cold(&warmup, 9600, 9700);
	g_assert_true(waxwing_warmup_is_cold(&warmup, 9600));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/warmup/doubles", test_doubles);
	g_test_add_func("/warmup/warm", test_warm);
	g_test_add_func("/warmup/rate", test_rate);
	g_test_add_func("/warmup/next-start", test_next_start);
	g_test_add_func("/warmup/reports", test_reports);
	return g_test_run();
}
