#include "bench_experiment.h"
#include "bench_report.h"
#include "bench_workload.h"

#define US_PER_MS     WAXWING_BENCH_US_PER_MS
#define ROUND_TRIP_US (2 * (WAXWING_BENCH_CLIENT_DELAY_US + WAXWING_BENCH_NETWORK_DELAY_US))
#define MAX_TASKS     1040
#define MAX_POLICIES  16

static const uint64_t seeds[] = { 1, 2 };

static int64_t ideal_response_us(uint32_t count, int64_t work_ms)
{
	int64_t work_us[MAX_TASKS];

	for (uint32_t i = 0; i < count; i++)
		work_us[i] = work_ms * US_PER_MS;
	return waxwing_bench_ideal_response_us(waxwing_bench_profile_find("trial"), 0, work_us,
					       count);
}

/* Profile "trial" has 13 upstreams with 8 slots each, at speeds 1.6, 1.5, ... 0.4. */
static void test_ideal(void)
{
	int64_t unequal_us[] = { 10 * US_PER_MS, 800 * US_PER_MS };

	g_assert_cmpint(ideal_response_us(1, 160), ==, 100 * US_PER_MS + ROUND_TRIP_US);
	g_assert_cmpint(ideal_response_us(8, 160), ==, 100 * US_PER_MS + ROUND_TRIP_US);
	/* the ninth task runs on the second fastest upstream */
	g_assert_cmpint(ideal_response_us(9, 150), ==, 100 * US_PER_MS + ROUND_TRIP_US);
	/* the 104th task runs on the slowest upstream */
	g_assert_cmpint(ideal_response_us(104, 100), ==, 250 * US_PER_MS + ROUND_TRIP_US);
	/* the total work over the summed speed of all slots is the larger time */
	g_assert_cmpint(ideal_response_us(1040, 100), ==, 1000 * US_PER_MS + ROUND_TRIP_US);
	g_assert_cmpint(waxwing_bench_ideal_response_us(waxwing_bench_profile_find("trial"), 0,
							unequal_us, 2),
			==, 500 * US_PER_MS + ROUND_TRIP_US);
}

static void test_percentile(void)
{
	double values[1000];

	for (int i = 0; i < 1000; i++)
		values[i] = i + 1;
	g_assert_cmpfloat(waxwing_bench_percentile(values, 1000, 0.5), ==, 500);
	g_assert_cmpfloat(waxwing_bench_percentile(values, 1000, 0.99), ==, 990);
	g_assert_cmpfloat(waxwing_bench_percentile(values, 1000, 0.999), ==, 999);
	g_assert_cmpfloat(waxwing_bench_percentile(values, 1, 0.999), ==, 1);
	g_assert_cmpfloat(waxwing_bench_percentile(values, 0, 0.5), ==, 0);
}

static void check_tasks_and_arrivals(const struct waxwing_bench_workload *workload)
{
	for (uint32_t i = 0; i < workload->task_count; i++) {
		g_assert_cmpint(workload->tasks[i].work_us, >=, 49 * US_PER_MS);
		g_assert_cmpint(workload->tasks[i].work_us, <=, 60000 * US_PER_MS);
	}
	for (uint32_t i = 1; i < workload->job_count; i++)
		g_assert_cmpint(workload->jobs[i].intended_us, >=,
				workload->jobs[i - 1].intended_us);
}

/* For any seed, total work / (capacity * send time of the last job) equals the load. */
static void test_workload(void)
{
	struct waxwing_bench_phase phase = { 1000 * US_PER_MS, 0.7 };
	const struct waxwing_bench_profile *profile;

	for (size_t p = 0; (profile = waxwing_bench_profile_at(p)); p++) {
		struct waxwing_bench_workload_options options = {
			.profile = profile,
			.seed = (uint64_t)g_test_rand_int(),
			.instances = 2,
			.jobs = 2000,
			.phases = &phase,
			.phase_count = 1,
		};
		struct waxwing_bench_workload *workload = waxwing_bench_workload_create(&options);
		double work_us = 0;

		check_tasks_and_arrivals(workload);
		for (uint32_t i = 0; i < workload->job_count; i++)
			work_us += (double)workload->jobs[i].work_us;
		work_us /= workload->capacity;
		g_assert_cmpfloat_with_epsilon(
			work_us / (double)workload->jobs[workload->job_count - 1].intended_us, 0.7,
			0.001);
		waxwing_bench_workload_destroy(workload);
	}
}

static struct waxwing_bench_experiment make_experiment(enum waxwing_bench_experiment_kind kind,
						       const char *profile, const double *load)
{
	static const struct waxwing_bench_policy_ops *policies[MAX_POLICIES];
	struct waxwing_bench_experiment experiment = {
		.kind = kind,
		.profile = waxwing_bench_profile_find(profile),
		.policies = policies,
		.seeds = seeds,
		.seed_count = G_N_ELEMENTS(seeds),
		.loads = load,
		.load_count = 1,
		.swing = 1,
	};

	for (size_t i = 0; waxwing_bench_policy_at(i); i++)
		policies[experiment.policy_count++] = waxwing_bench_policy_at(i);
	return experiment;
}

/* Returns the policy's pooled row, which covers all seeds. */
static const struct waxwing_bench_row *
find_pooled_row(const GArray *rows, const struct waxwing_bench_policy_ops *policy)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_row *row =
			&g_array_index(rows, struct waxwing_bench_row, i);

		if (row->pooled && row->policy == policy)
			return row;
	}
	g_assert_not_reached();
}

static void check_invariants(const GArray *rows)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct waxwing_bench_summary *summary =
			&g_array_index(rows, struct waxwing_bench_row, i).summary;

		g_assert_cmpuint(summary->double_starts, ==, 0);
		g_assert_cmpuint(summary->partial_answers, ==, 0);
		g_assert_cmpuint(summary->false_not_run, ==, 0);
		g_assert_cmpuint(summary->unanswered, ==, 0);
		g_assert_cmpuint(summary->complete, >, 0);
	}
}

static char *run_to_json(const struct waxwing_bench_experiment *experiment)
{
	GArray *rows = waxwing_bench_experiment_run(experiment);
	char *text = waxwing_bench_report_json(experiment, rows);

	g_array_unref(rows);
	return text;
}

static void test_repeatable(void)
{
	double load = 1.5;
	struct waxwing_bench_experiment experiment =
		make_experiment(WAXWING_BENCH_EXPERIMENT_SIM, "lua-chung", &load);
	uint64_t other = 3;
	char *first;
	char *second;
	char *third;

	experiment.jobs = 500;
	experiment.seed_count = 1;
	first = run_to_json(&experiment);
	second = run_to_json(&experiment);
	experiment.seeds = &other;
	third = run_to_json(&experiment);
	g_assert_cmpstr(first, ==, second);
	g_assert_cmpstr(first, !=, third);
	g_free(first);
	g_free(second);
	g_free(third);
}

/*
 * Every policy keeps the invariants with faults, with and without deadlines, below and above
 * capacity.
 */
static void test_invariants(void)
{
	static const double loads[] = { 0.8, 3 };
	static const enum waxwing_bench_experiment_kind kinds[] = {
		WAXWING_BENCH_EXPERIMENT_SIM,
		WAXWING_BENCH_EXPERIMENT_CREST,
	};
	uint64_t seed = (uint64_t)g_test_rand_int();

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct waxwing_bench_experiment experiment =
			make_experiment(kinds[i], "registry", loads);
		GArray *rows;

		experiment.load_count = G_N_ELEMENTS(loads);
		experiment.jobs = 1000;
		experiment.seeds = &seed;
		experiment.seed_count = 1;
		rows = waxwing_bench_experiment_run(&experiment);
		check_invariants(rows);
		g_array_unref(rows);
	}
}

/*
 * At load 0.7 the scheduler has a lower median and p99 than every baseline, at most 1% wasted
 * messages and a median of at most 1.1 times the ideal.
 */
static void test_baselines(void)
{
	double load = 0.7;
	struct waxwing_bench_experiment experiment =
		make_experiment(WAXWING_BENCH_EXPERIMENT_SIM, "trial", &load);
	const struct waxwing_bench_policy_ops *baselines[] = {
		&waxwing_bench_policy_fifo,   &waxwing_bench_policy_fastest,
		&waxwing_bench_policy_fair,   &waxwing_bench_policy_two_choices,
		&waxwing_bench_policy_shares,
	};
	GArray *rows = waxwing_bench_experiment_run(&experiment);
	const struct waxwing_bench_summary *cell =
		&find_pooled_row(rows, &waxwing_bench_policy_cell)->summary;

	for (size_t i = 0; i < G_N_ELEMENTS(baselines); i++) {
		const struct waxwing_bench_summary *baseline =
			&find_pooled_row(rows, baselines[i])->summary;

		g_assert_cmpfloat(cell->ratio.p50, <, baseline->ratio.p50);
		g_assert_cmpfloat(cell->ratio.p99, <, baseline->ratio.p99);
	}
	g_assert_cmpfloat(cell->wasted_per_start, <=, 0.01);
	g_assert_cmpfloat(cell->ratio.p50, <=, 1.1);
	check_invariants(rows);
	g_array_unref(rows);
}

/* With 2 to 8 instances, response times are at most 1.1 times those of the central policy. */
static void test_instances(void)
{
	static const uint32_t instances[] = { 2, 4, 8 };
	const struct waxwing_bench_policy_ops *policies[] = { &waxwing_bench_policy_cell,
							      &waxwing_bench_policy_central };
	double load = 0.7;

	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
		struct waxwing_bench_experiment experiment =
			make_experiment(WAXWING_BENCH_EXPERIMENT_SIM, "trial", &load);
		const struct waxwing_bench_percentiles *cell;
		const struct waxwing_bench_percentiles *central;
		GArray *rows;

		experiment.policies = policies;
		experiment.policy_count = G_N_ELEMENTS(policies);
		experiment.instances = instances[i];
		rows = waxwing_bench_experiment_run(&experiment);
		cell = &find_pooled_row(rows, policies[0])->summary.ratio;
		central = &find_pooled_row(rows, policies[1])->summary.ratio;
		g_assert_cmpfloat(cell->p50, <=, 1.1 * central->p50);
		g_assert_cmpfloat(cell->p99, <=, 1.1 * central->p99);
		g_array_unref(rows);
	}
}

/* At 5 times capacity, admitted jobs end in time, goodput stays high and no refused job ran. */
static void test_overload(void)
{
	const struct waxwing_bench_policy_ops *policy = &waxwing_bench_policy_cell;
	double load = 5;
	struct waxwing_bench_experiment experiment =
		make_experiment(WAXWING_BENCH_EXPERIMENT_CREST, "trial", &load);
	GArray *rows;

	experiment.policies = &policy;
	experiment.policy_count = 1;
	rows = waxwing_bench_experiment_run(&experiment);
	g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.in_time, >=, 0.99);
	g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.goodput, >=, 0.95);
	g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.true_refusals, ==, 1);
	g_assert_cmpuint(find_pooled_row(rows, policy)->summary.refused, >, 0);
	check_invariants(rows);
	g_array_unref(rows);
}

/*
 * Checks the full-size profiles: median response and wasted messages at load 0.7, and goodput and
 * jobs in time at 5 times capacity without cancellations and failures.
 */
static void test_profiles(void)
{
	static const char *const profiles[] = { "lua-chung", "registry" };
	const struct waxwing_bench_policy_ops *policy = &waxwing_bench_policy_cell;
	static const double loads[] = { 0.7, 5 };

	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		struct waxwing_bench_experiment steady =
			make_experiment(WAXWING_BENCH_EXPERIMENT_SIM, profiles[i], &loads[0]);
		struct waxwing_bench_experiment peak =
			make_experiment(WAXWING_BENCH_EXPERIMENT_CREST, profiles[i], &loads[1]);
		GArray *rows;

		steady.policies = &policy;
		steady.policy_count = 1;
		rows = waxwing_bench_experiment_run(&steady);
		g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.ratio.p50, <=, 1.1);
		g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.wasted_per_start, <=,
				  0.01);
		g_array_unref(rows);
		peak.policies = &policy;
		peak.policy_count = 1;
		peak.without_faults = true;
		rows = waxwing_bench_experiment_run(&peak);
		g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.goodput, >=, 0.95);
		g_assert_cmpfloat(find_pooled_row(rows, policy)->summary.in_time, >=, 0.99);
		check_invariants(rows);
		g_array_unref(rows);
	}
}

/*
 * With cancelled jobs and failing upstreams at 5 times capacity, the slots stay busy: goodput plus
 * the work done for cancelled and failed jobs, or after a job ended, is at least 94% of capacity.
 */
static void test_faults(void)
{
	static const char *const profiles[] = { "lua-chung", "registry" };
	const struct waxwing_bench_policy_ops *policy = &waxwing_bench_policy_cell;
	double load = 5;

	for (size_t i = 0; i < G_N_ELEMENTS(profiles); i++) {
		struct waxwing_bench_experiment experiment =
			make_experiment(WAXWING_BENCH_EXPERIMENT_CREST, profiles[i], &load);
		const struct waxwing_bench_summary *summary;
		GArray *rows;
		double used_capacity;

		experiment.policies = &policy;
		experiment.policy_count = 1;
		rows = waxwing_bench_experiment_run(&experiment);
		summary = &find_pooled_row(rows, policy)->summary;
		used_capacity = summary->goodput + summary->lost_work.cancelled +
				summary->lost_work.failed + summary->lost_work.after_end;
		g_assert_cmpfloat(summary->lost_work.cancelled, >, 0);
		g_assert_cmpfloat(used_capacity, >=, 0.94);
		g_assert_cmpfloat(used_capacity + summary->lost_work.late, <=, 1);
		check_invariants(rows);
		g_array_unref(rows);
	}
}

/* Long jobs raise the p99 wait of short tasks by a factor of at most 1.2. */
static void test_head_of_line(gconstpointer profile)
{
	const struct waxwing_bench_policy_ops *policy = &waxwing_bench_policy_cell;
	double load = 0.7;
	struct waxwing_bench_experiment experiment =
		make_experiment(WAXWING_BENCH_EXPERIMENT_HOL, profile, &load);
	const struct waxwing_bench_row *row;
	GArray *rows;

	experiment.policies = &policy;
	experiment.policy_count = 1;
	rows = waxwing_bench_experiment_run(&experiment);
	row = find_pooled_row(rows, policy);
	g_assert_cmpfloat(row->summary.short_wait_ms.p99, <=,
			  1.2 * row->without_long.short_wait_ms.p99);
	g_array_unref(rows);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bench/ideal", test_ideal);
	g_test_add_func("/bench/percentile", test_percentile);
	g_test_add_func("/bench/workload", test_workload);
	g_test_add_func("/bench/repeatable", test_repeatable);
	g_test_add_func("/bench/invariants", test_invariants);
	g_test_add_func("/bench/baselines", test_baselines);
	g_test_add_func("/bench/instances", test_instances);
	g_test_add_func("/bench/crest", test_overload);
	g_test_add_data_func("/bench/head-of-line/trial", "trial", test_head_of_line);
	g_test_add_data_func("/bench/head-of-line/lua-chung", "lua-chung", test_head_of_line);
	g_test_add_data_func("/bench/head-of-line/registry", "registry", test_head_of_line);
	g_test_add_func("/bench/users", test_profiles);
	g_test_add_func("/bench/faults", test_faults);
	return g_test_run();
}
