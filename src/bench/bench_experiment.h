/**
 * The bench's experiments in virtual time: policies side by side on the same seeds and jobs.
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
	WAXWING_BENCH_EXPERIMENT_SIM, /**< steady demand, patient callers */
	WAXWING_BENCH_EXPERIMENT_CREST, /**< demand swings up and back; callers with deadlines */
	WAXWING_BENCH_EXPERIMENT_HOL, /**< short tasks with and without long work */
};

struct waxwing_bench_experiment {
	enum waxwing_bench_experiment_kind kind;
	const struct waxwing_bench_profile *profile;
	const struct waxwing_bench_policy_ops **policies;
	size_t policy_count;
	const uint64_t *seeds;
	size_t seed_count;
	const double *loads; /**< demand over capacity; at the crest for the crest */
	size_t load_count;
	uint32_t instances; /**< of a domain; 0: the profile's */
	uint32_t jobs; /**< of a run; 0: the default */
	double swing; /**< highest over lowest demand; 1: steady. Not for the crest */
	bool without_faults; /**< of the profile */
	bool progress; /**< on standard error */
};

/** One line of a report. */
struct waxwing_bench_row {
	const struct waxwing_bench_policy_ops *policy;
	double load;
	bool pooled; /**< over all seeds */
	uint64_t seed; /**< when not pooled */
	struct waxwing_bench_summary summary;
	struct waxwing_bench_summary alone; /**< without long work; head-of-line only */
};

/** Draws the jobs of one run; freed with waxwing_bench_workload_destroy(). */
struct waxwing_bench_workload *
waxwing_bench_experiment_draw(const struct waxwing_bench_experiment *experiment, double load,
			      uint64_t seed);

/** The part of a run that counts: [from_us, until_us) of its time. */
void waxwing_bench_experiment_window(const struct waxwing_bench_experiment *experiment,
				     const struct waxwing_bench_workload *workload,
				     int64_t *from_us, int64_t *until_us);

/** Runs them all; rows by load, then policy, then seed. Freed with g_array_unref(). */
GArray *waxwing_bench_experiment_run(const struct waxwing_bench_experiment *experiment);

#endif
