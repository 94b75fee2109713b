#include "admission.h"

#include <glib.h>

/*
 * An idle cell of capacity 10 with limits of 10 tasks and 1000 bytes, and a job of one task of
 * 100 ms.
 */
static const struct waxwing_admission_load idle = {
	.tasks = { 0, 10 },
	.bytes = { 0, 1000 },
	.branch_tasks = { 0, 10 },
	.team_tasks = { 0, 10 },
	.branch_share = 1,
	.capacity = 10,
};
static const struct waxwing_admission_job job = { .tasks = 1,
						  .bytes = 100,
						  .min_response_ms = 50,
						  .typical_response_ms = 100,
						  .work_ms = 100,
						  .remaining_ms = 1000 };

static enum waxwing_error_code check(struct waxwing_admission_load load,
				     struct waxwing_admission_job candidate, bool retry_expected)
{
	uint32_t retry_after_ms;
	enum waxwing_error_code code = waxwing_admission_check(&load, &candidate, &retry_after_ms);

	g_assert_cmpint(retry_after_ms > 0, ==, retry_expected);
	return code;
}

static void test_limits(void)
{
	struct waxwing_admission_load load = idle;
	struct waxwing_admission_job large = job;

	g_assert_cmpint(check(idle, job, false), ==, WAXWING_OK);
	load.tasks.queued = 10;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_QUEUE_FULL);
	load = idle;
	load.bytes.queued = 901;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_QUEUE_FULL);
	load = idle;
	load.branch_tasks.queued = 10;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_QUEUE_FULL);
	load = idle;
	load.team_tasks.queued = 10;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_QUOTA);
	large.tasks = 11;
	g_assert_cmpint(check(idle, large, false), ==, WAXWING_ERROR_NEVER_FITS);
	large = job;
	large.bytes = 1001;
	g_assert_cmpint(check(idle, large, false), ==, WAXWING_ERROR_NEVER_FITS);
}

static void test_deadline(void)
{
	struct waxwing_admission_load load = idle;
	struct waxwing_admission_job late = job;

	late.remaining_ms = 49;
	g_assert_cmpint(check(idle, late, false), ==, WAXWING_ERROR_NEVER_FITS);
	late.remaining_ms = 60;
	g_assert_cmpint(check(idle, late, false), ==, WAXWING_OK);
	load.work_ms = 10000;
	load.branch_work_ms = 10000;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_OVERLOAD);
	load.branch_work_ms = 100;
	g_assert_cmpint(check(load, job, false), ==, WAXWING_OK);
	load.branch_share = 0.01;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_OVERLOAD);
	load.branch_share = 1;
	load.team_work_ms = 2000;
	load.team_capacity = 1;
	g_assert_cmpint(check(load, job, true), ==, WAXWING_ERROR_OVERLOAD);
}

/* More queued work never shortens the expected wait, and never admits a job that was refused. */
static void test_monotone(void)
{
	for (int i = 0; i < 1000; i++) {
		struct waxwing_admission_load load = idle;
		double wait_ms;
		uint32_t retry_after_ms;
		bool refused;

		load.work_ms = g_test_rand_double_range(0, 20000);
		load.branch_work_ms = g_test_rand_double_range(0, load.work_ms + 1);
		load.branch_share = g_test_rand_double_range(0.01, 1);
		wait_ms = waxwing_admission_wait_ms(&load);
		refused = waxwing_admission_check(&load, &job, &retry_after_ms) != WAXWING_OK;
		load.work_ms += g_test_rand_double_range(0, 5000);
		load.branch_work_ms += g_test_rand_double_range(0, 5000);
		g_assert_cmpfloat(waxwing_admission_wait_ms(&load), >=, wait_ms);
		if (refused)
			g_assert_cmpint(waxwing_admission_check(&load, &job, &retry_after_ms), !=,
					WAXWING_OK);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/limits", test_limits);
	g_test_add_func("/admission/deadline", test_deadline);
	g_test_add_func("/admission/monotone", test_monotone);
	return g_test_run();
}
