#include "bench_experiment.h"

#include <stdio.h>

#define DEFAULT_JOBS 6000
/** Jobs before this part of the arrivals' span only warm the run up. */
#define WARM_UP		  0.1
#define US_PER_S	  INT64_C(1000000)
#define STEADY_US	  (1 * US_PER_S)
#define SWING_HIGH_US	  (4 * US_PER_S)
#define SWING_LOW_US	  (8 * US_PER_S)
#define CREST_BEFORE_US	  (10 * US_PER_S)
#define CREST_US	  (30 * US_PER_S)
#define CREST_AFTER_US	  (10 * US_PER_S)
#define CREST_BEFORE_LOAD 0.5
#define PHASES		  3

struct plan {
	const struct waxwing_bench_experiment *experiment;
	double load;
	struct waxwing_bench_phase phases[PHASES];
	size_t phase_count;
};

static void plan_crest(struct plan *plan)
{
	plan->phases[0] = (struct waxwing_bench_phase){ CREST_BEFORE_US, CREST_BEFORE_LOAD };
	plan->phases[1] = (struct waxwing_bench_phase){ CREST_US, plan->load };
	plan->phases[2] = (struct waxwing_bench_phase){ CREST_AFTER_US, CREST_BEFORE_LOAD };
	plan->phase_count = 3;
}

static void plan_swing(struct plan *plan, double swing)
{
	double length_us = SWING_HIGH_US + SWING_LOW_US;
	double low = plan->load * length_us / (swing * SWING_HIGH_US + SWING_LOW_US);

	plan->phases[0] = (struct waxwing_bench_phase){ SWING_LOW_US, low };
	plan->phases[1] = (struct waxwing_bench_phase){ SWING_HIGH_US, low * swing };
	plan->phase_count = 2;
}

static void plan_phases(struct plan *plan)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;

	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST) {
		plan_crest(plan);
	} else if (experiment->swing > 1) {
		plan_swing(plan, experiment->swing);
	} else {
		plan->phases[0] = (struct waxwing_bench_phase){ STEADY_US, plan->load };
		plan->phase_count = 1;
	}
}

static struct waxwing_bench_workload *draw(const struct plan *plan, uint64_t seed,
					   bool without_long)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;
	bool crest = experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST;
	struct waxwing_bench_workload_options options = {
		.profile = experiment->profile,
		.seed = seed,
		.instances = experiment->instances ? experiment->instances :
						     experiment->profile->instances,
		.jobs = experiment->jobs ? experiment->jobs : DEFAULT_JOBS,
		.phases = plan->phases,
		.phase_count = plan->phase_count,
		.deadlines = crest,
		.without_faults = experiment->without_faults,
		.without_long = without_long,
	};

	if (crest)
		options.jobs = 0;
	return waxwing_bench_workload_create(&options);
}

struct waxwing_bench_workload *
waxwing_bench_experiment_draw(const struct waxwing_bench_experiment *experiment, double load,
			      uint64_t seed)
{
	struct plan plan = { .experiment = experiment, .load = load };

	plan_phases(&plan);
	return draw(&plan, seed, false);
}

void waxwing_bench_experiment_window(const struct waxwing_bench_experiment *experiment,
				     const struct waxwing_bench_workload *workload,
				     int64_t *from_us, int64_t *until_us)
{
	if (experiment->kind == WAXWING_BENCH_EXPERIMENT_CREST) {
		*from_us = CREST_BEFORE_US;
		*until_us = CREST_BEFORE_US + CREST_US;
		return;
	}
	*until_us = workload->jobs[workload->job_count - 1].intended_us + 1;
	*from_us = (int64_t)((double)*until_us * WARM_UP);
}

static void print_progress(uint32_t answered, uint32_t jobs)
{
	fprintf(stderr, "  %u of %u jobs answered\n", answered, jobs);
}

/* One run; adds it to both measures. */
static void run(const struct plan *plan, const struct waxwing_bench_policy_ops *policy,
		uint64_t seed, bool without_long, struct waxwing_bench_measure *single,
		struct waxwing_bench_measure *pooled)
{
	struct waxwing_bench_workload *workload = draw(plan, seed, without_long);
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
	waxwing_bench_measure_add(single, sim, from_us, until_us);
	waxwing_bench_measure_add(pooled, sim, from_us, until_us);
	waxwing_bench_sim_destroy(sim);
	waxwing_bench_workload_destroy(workload);
}

static void run_seed(const struct plan *plan, struct waxwing_bench_row *row,
		     struct waxwing_bench_measure *pooled,
		     struct waxwing_bench_measure *pooled_alone)
{
	struct waxwing_bench_measure *single = waxwing_bench_measure_create();
	struct waxwing_bench_measure *alone = waxwing_bench_measure_create();

	run(plan, row->policy, row->seed, false, single, pooled);
	if (plan->experiment->kind == WAXWING_BENCH_EXPERIMENT_HOL)
		run(plan, row->policy, row->seed, true, alone, pooled_alone);
	row->summary = waxwing_bench_measure_summary(single);
	row->alone = waxwing_bench_measure_summary(alone);
	waxwing_bench_measure_destroy(single);
	waxwing_bench_measure_destroy(alone);
}

static void run_policy(const struct plan *plan, const struct waxwing_bench_policy_ops *policy,
		       GArray *rows)
{
	const struct waxwing_bench_experiment *experiment = plan->experiment;
	struct waxwing_bench_measure *pooled = waxwing_bench_measure_create();
	struct waxwing_bench_measure *alone = waxwing_bench_measure_create();
	struct waxwing_bench_row row = { .policy = policy, .load = plan->load };

	for (size_t i = 0; i < experiment->seed_count; i++) {
		row.seed = experiment->seeds[i];
		run_seed(plan, &row, pooled, alone);
		g_array_append_val(rows, row);
	}
	row.pooled = true;
	row.seed = 0;
	row.summary = waxwing_bench_measure_summary(pooled);
	row.alone = waxwing_bench_measure_summary(alone);
	if (experiment->seed_count > 1)
		g_array_append_val(rows, row);
	waxwing_bench_measure_destroy(pooled);
	waxwing_bench_measure_destroy(alone);
}

GArray *waxwing_bench_experiment_run(const struct waxwing_bench_experiment *experiment)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_row));

	for (size_t i = 0; i < experiment->load_count; i++) {
		struct plan plan = { .experiment = experiment, .load = experiment->loads[i] };

		plan_phases(&plan);
		for (size_t j = 0; j < experiment->policy_count; j++)
			run_policy(&plan, experiment->policies[j], rows);
	}
	return rows;
}
