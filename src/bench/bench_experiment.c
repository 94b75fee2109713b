#include "bench_experiment.h"

#include <stdio.h>

#define DEFAULT_JOBS 6000
/** Share of the arrival period, from its start, that is not measured; crest measures the peak. */
#define WARM_UP_SHARE	0.1
#define US_PER_S	INT64_C(1000000)
#define STEADY_PHASE_US (1 * US_PER_S)
#define SWING_HIGH_US	(4 * US_PER_S)
#define SWING_LOW_US	(8 * US_PER_S)
#define BEFORE_PEAK_US	(10 * US_PER_S)
#define PEAK_US		(30 * US_PER_S)
#define AFTER_PEAK_US	(10 * US_PER_S)
#define OFF_PEAK_LOAD	0.5
#define MAX_PHASES	3

struct demand_plan {
	const struct waxwing_bench_experiment *experiment;
	double load;
	struct waxwing_bench_phase phases[MAX_PHASES];
	size_t phase_count;
};

static void plan_peak(struct demand_plan *plan)
{
	plan->phases[0] = (struct waxwing_bench_phase){ BEFORE_PEAK_US, OFF_PEAK_LOAD };
	plan->phases[1] = (struct waxwing_bench_phase){ PEAK_US, plan->load };
	plan->phases[2] = (struct waxwing_bench_phase){ AFTER_PEAK_US, OFF_PEAK_LOAD };
	plan->phase_count = 3;
}

static void plan_swing(struct demand_plan *plan, double swing)
{
	double length_us = SWING_HIGH_US + SWING_LOW_US;
	double low = plan->load * length_us / (swing * SWING_HIGH_US + SWING_LOW_US);

	plan->phases[0] = (struct waxwing_bench_phase){ SWING_LOW_US, low };
	plan->phases[1] = (struct waxwing_bench_phase){ SWING_HIGH_US, low * swing };
	plan->phase_count = 2;
}

static void plan_phases(struct demand_plan *plan)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;

	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST) {
		plan_peak(plan);
	} else if (experiment->swing > 1) {
		plan_swing(plan, experiment->swing);
	} else {
		plan->phases[0] = (struct waxwing_bench_phase){ STEADY_PHASE_US, plan->load };
		plan->phase_count = 1;
	}
}

static struct waxwing_bench_workload *create_workload(const struct demand_plan *plan, uint64_t seed,
						      bool without_long)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;
	bool peak = experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST;
	struct waxwing_bench_workload_options options = {
		.profile = experiment->profile,
		.seed = seed,
		.instances = experiment->instances ? experiment->instances :
						     experiment->profile->instances,
		.jobs = experiment->jobs ? experiment->jobs : DEFAULT_JOBS,
		.phases = plan->phases,
		.phase_count = plan->phase_count,
		.deadlines = peak,
		.without_faults = experiment->without_faults,
		.without_long = without_long,
	};

	if (peak)
		options.jobs = 0;
	return waxwing_bench_workload_create(&options);
}

struct waxwing_bench_workload *
waxwing_bench_experiment_workload(const struct waxwing_bench_experiment *experiment, double load,
				  uint64_t seed)
{
	struct demand_plan plan = { .experiment = experiment, .load = load };

	plan_phases(&plan);
	return create_workload(&plan, seed, false);
}

void waxwing_bench_experiment_window(const struct waxwing_bench_experiment *experiment,
				     const struct waxwing_bench_workload *workload,
				     int64_t *from_us, int64_t *until_us)
{
	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST) {
		*from_us = BEFORE_PEAK_US;
		*until_us = BEFORE_PEAK_US + PEAK_US;
		return;
	}
	*until_us = workload->jobs[workload->job_count - 1].intended_us + 1;
	*from_us = (int64_t)((double)*until_us * WARM_UP_SHARE);
}

static void print_progress(uint32_t answered, uint32_t jobs)
{
	fprintf(stderr, "  %u of %u jobs answered\n", answered, jobs);
}

/* Simulates one workload and adds the result to @single and @pooled. */
static void run_once(const struct demand_plan *plan, const struct waxwing_bench_policy_ops *policy,
		     uint64_t seed, bool without_long, struct waxwing_bench_measure *single,
		     struct waxwing_bench_measure *pooled)
{
	struct waxwing_bench_workload *workload = create_workload(plan, seed, without_long);
	struct waxwing_bench_sim *sim = waxwing_bench_sim_create(workload, policy);
	bool progress = plan->experiment->progress;
	int64_t from_us;
	int64_t until_us;

	if (progress)
		fprintf(stderr, "%s, load %.2f, seed %" G_GUINT64_FORMAT "%s: %u jobs\n",
			policy->name, plan->load, seed, without_long ? ", no long work" : "",
			workload->job_count);
	waxwing_bench_sim_run(sim, progress ? print_progress : NULL);
	waxwing_bench_experiment_window(plan->experiment, workload, &from_us, &until_us);
	waxwing_bench_measure_add_run(single, sim, from_us, until_us);
	waxwing_bench_measure_add_run(pooled, sim, from_us, until_us);
	waxwing_bench_sim_destroy(sim);
	waxwing_bench_workload_destroy(workload);
}

static void run_seed(const struct demand_plan *plan, struct waxwing_bench_row *row,
		     struct waxwing_bench_measure *pooled,
		     struct waxwing_bench_measure *pooled_without_long)
{
	struct waxwing_bench_measure *single = waxwing_bench_measure_create();
	struct waxwing_bench_measure *without_long = waxwing_bench_measure_create();

	run_once(plan, row->policy, row->seed, false, single, pooled);
	if (plan->experiment->kind == WAXWING_BENCH_EXPERIMENT_HOL)
		run_once(plan, row->policy, row->seed, true, without_long, pooled_without_long);
	row->summary = waxwing_bench_measure_summary(single);
	row->without_long = waxwing_bench_measure_summary(without_long);
	waxwing_bench_measure_destroy(single);
	waxwing_bench_measure_destroy(without_long);
}

static void run_policy(const struct demand_plan *plan,
		       const struct waxwing_bench_policy_ops *policy, GArray *rows)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;
	struct waxwing_bench_measure *pooled = waxwing_bench_measure_create();
	struct waxwing_bench_measure *without_long = waxwing_bench_measure_create();
	struct waxwing_bench_row row = { .policy = policy, .load = plan->load };

	for (size_t i = 0; i < experiment->seed_count; i++) {
		row.seed = experiment->seeds[i];
		run_seed(plan, &row, pooled, without_long);
		g_array_append_val(rows, row);
	}
	row.pooled = true;
	row.seed = 0;
	row.summary = waxwing_bench_measure_summary(pooled);
	row.without_long = waxwing_bench_measure_summary(without_long);
	if (experiment->seed_count > 1)
		g_array_append_val(rows, row);
	waxwing_bench_measure_destroy(pooled);
	waxwing_bench_measure_destroy(without_long);
}

GArray *waxwing_bench_experiment_run(const struct waxwing_bench_experiment *experiment)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_row));

	for (size_t i = 0; i < experiment->load_count; i++) {
		struct demand_plan plan = { .experiment = experiment,
					    .load = experiment->loads[i] };

		plan_phases(&plan);
		for (size_t j = 0; j < experiment->policy_count; j++)
			run_policy(&plan, experiment->policies[j], rows);
	}
	return rows;
}
