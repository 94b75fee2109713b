/* Tests how the benchmark reads the task logs of its stand-in upstreams. */
#include "bench_starts.h"

#include <glib/gstdio.h>

static struct waxwing_bench_job jobs[] = {
	{ .first_task = 0, .task_count = 2 },
	{ .first_task = 2, .task_count = 1 },
	{ .first_task = 3, .task_count = 1 },
};
static const struct waxwing_bench_workload workload = { .jobs = jobs,
							.job_count = 3,
							.task_count = 4 };
static char *ids[] = { (char *)"a.1.1/0", (char *)"a.1.1/1", NULL };

static void test_read(void)
{
	char *folder = g_dir_make_tmp("waxwing-XXXXXX", NULL);
	char *first = g_build_filename(folder, "u1.tasks", NULL);
	char *second = g_build_filename(folder, "u2.tasks", NULL);
	char *other = g_build_filename(folder, "u2.log", NULL);
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_bench_task_log *starts;

	g_file_set_contents(
		first,
		"start a.1.1/0#0\nend a.1.1/0#0 done 100 250\nstart a.1.1/1#0\n"
		"start a.1.1/0#7\nstart b.1.1/0#0\nstart a.1.1/2#0\nstart probe\n\nend\n",
		-1, NULL);
	g_file_set_contents(second, "start a.1.1/1#0\nstart a.1.1/0#1\nend a.1.1/0#1 done", -1,
			    NULL);
	g_file_set_contents(other, "start a.1.1/0#0\n", -1, NULL);
	starts = waxwing_bench_starts_read(folder, &workload, ids, &error);
	g_assert_nonnull(starts);
	g_assert_cmpuint(starts[0].start_count, ==, 1);
	g_assert_cmpint(starts[0].start_ms, ==, 100);
	g_assert_cmpint(starts[0].end_ms, ==, 250);
	g_assert_cmpuint(starts[1].start_count, ==, 1);
	g_assert_cmpint(starts[1].end_ms, ==, 0);
	g_assert_cmpuint(starts[2].start_count, ==, 2);
	g_assert_cmpuint(starts[3].start_count, ==, 0);
	g_free(starts);
	g_unlink(first);
	g_unlink(second);
	g_unlink(other);
	g_rmdir(folder);
	g_assert_null(waxwing_bench_starts_read(folder, &workload, ids, &error));
	g_assert_cmpint(error.code, ==, WAXWING_ERROR_MISSING);
	g_free(first);
	g_free(second);
	g_free(other);
	g_free(folder);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/starts/read", test_read);
	return g_test_run();
}
