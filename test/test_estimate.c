#include "estimate.h"

#include <glib.h>
#include <math.h>

#define UPSTREAMS 5
#define BRANCHES  3

static double random_normal(void)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_test_rand_double();
	return sum;
}

static double random_run_ms(double median_ms, double sigma)
{
	return median_ms * exp(sigma * random_normal());
}

/* Run times determine speeds and work only up to a common factor: the test compares ratios. */
static void test_speeds(void)
{
	static const double speeds[UPSTREAMS] = { 0.4, 0.7, 1, 1.3, 1.6 };
	static const double medians[BRANCHES] = { 60, 300, 3000 };
	struct waxwing_speed_estimate speed_estimates[UPSTREAMS];
	struct waxwing_work_estimate work[BRANCHES];

	for (size_t i = 0; i < UPSTREAMS; i++)
		waxwing_speed_init(&speed_estimates[i], 1);
	for (size_t i = 0; i < BRANCHES; i++)
		waxwing_work_init(&work[i], 500);
	for (int i = 0; i < 20000; i++) {
		size_t upstream = (size_t)g_test_rand_int_range(0, UPSTREAMS);
		size_t branch = (size_t)g_test_rand_int_range(0, BRANCHES);

		waxwing_estimate_learn(&work[branch], &speed_estimates[upstream],
				       random_run_ms(medians[branch], 0.8) / speeds[upstream]);
	}
	for (size_t i = 0; i < UPSTREAMS; i++) {
		double ratio = speed_estimates[i].value / speed_estimates[2].value / speeds[i];

		g_assert_cmpfloat(ratio, >, 0.8);
		g_assert_cmpfloat(ratio, <, 1.25);
	}
	for (size_t i = 0; i < BRANCHES; i++) {
		double ratio = waxwing_work_quantile(&work[i], 0.5) / speed_estimates[2].value /
			       medians[i];

		g_assert_cmpfloat(ratio, >, 0.75);
		g_assert_cmpfloat(ratio, <, 1.33);
	}
}

static void test_samples_outweigh_declared(void)
{
	struct waxwing_work_estimate work;

	waxwing_work_init(&work, 10000);
	g_assert_cmpfloat(waxwing_work_quantile(&work, 0.5), >, 5000);
	for (int i = 0; i < 50; i++)
		waxwing_work_learn(&work, random_run_ms(100, 0.3));
	g_assert_cmpfloat(waxwing_work_quantile(&work, 0.5), <, 200);
	g_assert_cmpfloat(work.harmonic_mean_ms, <=, work.mean_ms);
}

static void test_quantiles_increase(void)
{
	struct waxwing_work_estimate work;
	double last = 0;

	waxwing_work_init(&work, 200);
	for (int i = 0; i < 5000; i++)
		waxwing_work_learn(&work, random_run_ms(200, 1));
	for (int i = 0; i <= 100; i++) {
		double value = waxwing_work_quantile(&work, i / 100.0);

		g_assert_cmpfloat(value, >=, last);
		last = value;
	}
	g_assert_cmpfloat(fabs(log(waxwing_work_quantile(&work, 0.5) / 200)), <, 0.2);
}

/* With a heavy-tailed distribution, the remaining work grows with the work done. */
static void test_residual(void)
{
	struct waxwing_work_estimate work;

	waxwing_work_init(&work, 100);
	for (int i = 0; i < 4000; i++)
		waxwing_work_learn(&work,
				   i % 50 ? random_run_ms(100, 0.3) : random_run_ms(5000, 0.3));
	g_assert_cmpfloat(waxwing_work_residual(&work, 50), <, 400);
	g_assert_cmpfloat(waxwing_work_residual(&work, 1000), >, 2000);
	g_assert_cmpfloat(waxwing_work_residual(&work, 1e9), >, 0);
}

static void test_follows_change(void)
{
	struct waxwing_speed_estimate fast;
	struct waxwing_speed_estimate slow;
	struct waxwing_work_estimate work;

	waxwing_speed_init(&fast, 1);
	waxwing_speed_init(&slow, 1);
	waxwing_work_init(&work, 100);
	for (int i = 0; i < 10000; i++) {
		waxwing_estimate_learn(&work, &fast, random_run_ms(100, 0.5));
		waxwing_estimate_learn(&work, &slow, random_run_ms(100, 0.5) * (i < 5000 ? 1 : 4));
	}
	g_assert_cmpfloat(fast.value / slow.value, >, 3);
	g_assert_cmpfloat(fast.value / slow.value, <, 5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/estimate/speeds", test_speeds);
	g_test_add_func("/estimate/declared-yields", test_samples_outweigh_declared);
	g_test_add_func("/estimate/quantiles-rise", test_quantiles_increase);
	g_test_add_func("/estimate/residual", test_residual);
	g_test_add_func("/estimate/follows-change", test_follows_change);
	return g_test_run();
}
