/* Tests of histograms in the Prometheus text format. */
#include "histogram.h"

static void test_buckets(void)
{
	static const int64_t times[] = { 0, 1, 2, 30, 30, 700, 60000 };
	struct waxwing_histogram histogram = { 0 };
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(times); i++)
		waxwing_histogram_add(&histogram, times[i]);
	waxwing_histogram_print(&histogram, text, "wait_ms", "cell=\"a\",");
	g_assert_nonnull(strstr(text->str, "wait_ms_bucket{cell=\"a\",le=\"1\"} 2\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_bucket{cell=\"a\",le=\"50\"} 5\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_bucket{cell=\"a\",le=\"1000\"} 6\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_bucket{cell=\"a\",le=\"+Inf\"} 7\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_sum{cell=\"a\"} 60763\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_count{cell=\"a\"} 7\n"));
	g_string_free(text, TRUE);
}

static void test_without_labels(void)
{
	struct waxwing_histogram histogram = { 0 };
	GString *text = g_string_new(NULL);

	waxwing_histogram_add(&histogram, 7);
	waxwing_histogram_print(&histogram, text, "wait_ms", "");
	g_assert_nonnull(strstr(text->str, "wait_ms_bucket{le=\"10\"} 1\n"));
	g_assert_nonnull(strstr(text->str, "wait_ms_sum 7\nwait_ms_count 1\n"));
	g_string_free(text, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/histogram/buckets", test_buckets);
	g_test_add_func("/histogram/without_labels", test_without_labels);
	return g_test_run();
}
