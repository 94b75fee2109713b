/**
 * Measures over finished bench runs: response against the ideal, service at the crest, head-of-line
 * blocking, wasted messages and what must never happen.
 *
 * A measure takes in any number of runs, so that seeds can be pooled. Not thread-safe.
 */
#ifndef WAXWING_BENCH_MEASURE_H
#define WAXWING_BENCH_MEASURE_H

#include "bench_sim.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Three percentiles of one sample; infinite where jobs without an answer reach down to them. */
struct waxwing_bench_percentiles {
	double p50;
	double p99;
	double p999;
};

/** Most branches of a profile that are counted one by one. */
#define WAXWING_BENCH_BRANCHES 8

struct waxwing_bench_branch_summary {
	uint64_t jobs;
	uint64_t complete;
	struct waxwing_bench_percentiles ratio; /**< response over the ideal */
};

/** Work of the window that was done for jobs without a whole answer in time, over capacity. */
struct waxwing_bench_lost {
	double cancelled; /**< for jobs that their callers cancelled, until then */
	double failed; /**< for jobs that a failing upstream failed, until then */
	double late; /**< for jobs whose deadline passed, until then */
	double run_on; /**< for any of these after that: their tasks in slots ran on */
};

struct waxwing_bench_summary {
	uint64_t jobs; /**< meant to be sent within the window */
	uint64_t complete;
	uint64_t failed; /**< a task failed on its upstream */
	uint64_t cancelled;
	uint64_t refused; /**< "not run" at once */
	uint64_t late; /**< admitted, no whole answer in time */
	uint64_t unanswered;
	struct waxwing_bench_percentiles ratio; /**< response over the ideal */
	struct waxwing_bench_percentiles response_ms;
	struct waxwing_bench_percentiles
		short_wait_ms; /**< short tasks, from the issuer to their start */
	struct waxwing_bench_percentiles short_response_ms;
	struct waxwing_bench_percentiles
		short_extra_ms; /**< short tasks, response less the ideal */
	double in_time; /**< share of the admitted jobs that were answered whole and in time */
	struct waxwing_bench_branch_summary
		branches[WAXWING_BENCH_BRANCHES]; /**< as the profile's */
	double offered; /**< work of the jobs of the window, over capacity */
	double goodput; /**< work for such jobs within the window, over capacity */
	struct waxwing_bench_lost lost;
	double true_refusals; /**< share of "not run" answers with no start at an upstream */
	double wasted_per_start; /**< busy answers and unused grants */
	double control_per_start; /**< messages between scheduler and issuers */
	uint64_t starts;
	uint64_t double_starts;
	uint64_t partial_answers;
	uint64_t false_not_run;
	uint64_t failed_starts;
	uint64_t resubmissions;
};

struct waxwing_bench_measure;

struct waxwing_bench_measure *waxwing_bench_measure_create(void);
void waxwing_bench_measure_destroy(struct waxwing_bench_measure *measure);

/** Takes in a run: jobs and work of [from_us, until_us) of its time. */
void waxwing_bench_measure_add(struct waxwing_bench_measure *measure,
			       const struct waxwing_bench_sim *sim, int64_t from_us,
			       int64_t until_us);

/** Takes in one job of a run on real processes. @response_us counts from the intended time. */
void waxwing_bench_measure_add_job(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_job *job,
				   enum waxwing_bench_job_state state, int64_t response_us);

/** Sums up the runs taken in so far. */
struct waxwing_bench_summary waxwing_bench_measure_summary(struct waxwing_bench_measure *measure);

/** The nearest-rank percentile of @count ascending values; 0 of none. @part is in (0, 1]. */
double waxwing_bench_percentile(const double *sorted, size_t count, double part);

#endif
