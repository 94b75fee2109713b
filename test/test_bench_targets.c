/*
 * Performance targets that the scheduler does not reach yet, listed in KNOWN-RED.txt. A test moves
 * to test_bench.c once its target is reached.
 */
#include "bench_experiment.h"

static const uint64_t seeds[] = { 1, 2 };

static const char *const profiles[] = { "trial", "lua-chung", "registry" };

/* Runs the scheduler on one profile at load 0.7; returns the row for all seeds. */
static struct waxwing_bench_row run_profile(const char *profile)
{
	const struct waxwing_bench_policy_ops *policy = &waxwing_bench_policy_cell;
	const double load = 0.7;
	struct waxwing_bench_experiment experiment = {
		.kind = WAXWING_BENCH_EXPERIMENT_SIM,
		.profile = waxwing_bench_profile_find(profile),
		.policies = &policy,
		.policy_count = 1,
		.seeds = seeds,
		.seed_count = G_N_ELEMENTS(seeds),
		.loads = &load,
		.load_count = 1,
		.swing = 1,
	};
	GArray *rows = waxwing_bench_experiment_run(&experiment);
	struct waxwing_bench_row row = g_array_index(rows, struct waxwing_bench_row, rows->len - 1);

	g_array_unref(rows);
	return row;
}

static void test_response_p99(gconstpointer profile)
{
	struct waxwing_bench_row row = run_profile(profile);

	g_assert_cmpfloat(row.summary.ratio.p99, <=, 2.5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		char *path = g_strdup_printf("/bench/targets/response-p99/%s", profiles[i]);

		g_test_add_data_func(path, profiles[i], test_response_p99);
		g_free(path);
	}
	return g_test_run();
}
