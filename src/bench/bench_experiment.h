/**
 * Simulated experiments that compare policies on the same seeds and jobs.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_BENCH_EXPERIMENT_H
#define WAXWING_BENCH_EXPERIMENT_H

#include "bench_measure.h"
#include "bench_policy.h"
#include "bench_profile.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum waxwing_bench_experiment_kind {
	WAXWING_BENCH_EXPERIMENT_SIM, /**< steady demand, jobs without deadlines */
	WAXWING_BENCH_EXPERIMENT_CREST, /**< demand peaks and falls; jobs have deadlines */
	WAXWING_BENCH_EXPERIMENT_HOL, /**< head-of-line blocking of short tasks by long jobs */
};

struct waxwing_bench_experiment {
	enum waxwing_bench_experiment_kind kind;
	const struct waxwing_bench_profile *profile;
	const struct waxwing_bench_policy_ops **policies;
	size_t policy_count;
	const uint64_t *seeds;
	size_t seed_count;
	const double *loads; /**< demand over capacity; crest experiment: at peak demand */
	size_t load_count;
	uint32_t instances; /**< entry instances per domain; 0: the profile's default */
	uint32_t jobs; /**< jobs per run; 0: default */
	double swing; /**< highest over lowest demand; 1: steady; ignored by the crest experiment */
	bool without_faults; /**< ignore the profile's faults */
	bool progress; /**< print progress to standard error */
};

/** One row of a report. */
struct waxwing_bench_row {
	const struct waxwing_bench_policy_ops *policy;
	double load;
	bool pooled; /**< the summaries cover the runs with all seeds */
	uint64_t seed; /**< 0 if pooled */
	struct waxwing_bench_summary summary;
	struct waxwing_bench_summary
		without_long; /**< summary of the runs without long jobs; hol experiment only */
};

/** Generates the jobs of one run. Free with waxwing_bench_workload_destroy(). */
struct waxwing_bench_workload *
waxwing_bench_experiment_workload(const struct waxwing_bench_experiment *experiment, double load,
				  uint64_t seed);

/** Measurement window of a run: [from_us, until_us) in simulation time. */
void waxwing_bench_experiment_window(const struct waxwing_bench_experiment *experiment,
				     const struct waxwing_bench_workload *workload,
				     int64_t *from_us, int64_t *until_us);

/**
 * Runs every combination of load, policy and seed.
 *
 * Returns an array of struct waxwing_bench_row, ordered by load, policy and seed. With several
 * seeds, a pooled row follows the rows of each load and policy. Free with g_array_unref().
 */
GArray *waxwing_bench_experiment_run(const struct waxwing_bench_experiment *experiment);

#endif
