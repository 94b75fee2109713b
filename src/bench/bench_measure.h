/**
 * Measures of bench runs: response time over the ideal, goodput at peak demand, head-of-line
 * blocking, wasted messages and violated invariants.
 *
 * A measure covers any number of runs, so that seeds can be pooled. Not thread-safe.
 */
#ifndef WAXWING_BENCH_MEASURE_H
#define WAXWING_BENCH_MEASURE_H

#include "bench_sim.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Percentiles of a sample; one that falls on a job that was not completed is infinite. */
struct waxwing_bench_percentiles {
	double p50;
	double p99;
	double p999;
};

/** Maximum number of branches that are counted separately. */
#define WAXWING_BENCH_MAX_BRANCHES 8

struct waxwing_bench_branch_summary {
	uint64_t jobs;
	uint64_t complete;
	struct waxwing_bench_percentiles ratio; /**< response time over the ideal response time */
};

/** Work done in the measurement window for jobs that were not completed, over capacity. */
struct waxwing_bench_lost_work {
	double cancelled; /**< work done before the caller cancelled the job */
	double failed; /**< work done before the job failed on its upstream */
	double late; /**< work done for jobs neither cancelled nor failed before they ended */
	double after_end; /**< work done after the job ended, by tasks still running */
};

struct waxwing_bench_summary {
	uint64_t jobs; /**< jobs whose intended send time is in the measurement window */
	uint64_t complete;
	uint64_t failed; /**< jobs of which a task failed on its upstream */
	uint64_t cancelled;
	uint64_t refused; /**< jobs answered "not run" that were not admitted */
	uint64_t late; /**< jobs late, abandoned or dropped; see enum waxwing_bench_job_state */
	uint64_t unanswered;
	struct waxwing_bench_percentiles ratio; /**< response time over the ideal response time */
	struct waxwing_bench_percentiles response_ms;
	struct waxwing_bench_percentiles
		short_wait_ms; /**< short tasks: arrival at issuer to start */
	struct waxwing_bench_percentiles short_response_ms;
	struct waxwing_bench_percentiles short_extra_ms; /**< short tasks: response minus ideal */
	double in_time; /**< complete / (complete + late + unanswered) */
	struct waxwing_bench_branch_summary
		branches[WAXWING_BENCH_MAX_BRANCHES]; /**< in profile order */
	double offered; /**< work of the window's jobs, over capacity */
	double goodput; /**< work done in the window for completed jobs, over capacity */
	struct waxwing_bench_lost_work lost_work;
	double true_refusals; /**< share of the "not run" answers whose job never started */
	double wasted_per_start; /**< busy answers and unused grants, per start */
	double control_per_start; /**< messages between processes of the policy, per start */
	uint64_t starts;
	uint64_t double_starts; /**< starts of tasks that had already started */
	uint64_t partial_answers; /**< "complete" answers with a task that did not succeed */
	uint64_t false_not_run; /**< "not run" answers to jobs that had started */
	uint64_t failed_starts; /**< starts on an upstream that fails all tasks */
	uint64_t resubmissions;
};

struct waxwing_bench_measure;

struct waxwing_bench_measure *waxwing_bench_measure_create(void);
void waxwing_bench_measure_destroy(struct waxwing_bench_measure *measure);

/** Adds a run with measurement window [from_us, until_us). */
void waxwing_bench_measure_add_run(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_sim *sim, int64_t from_us,
				   int64_t until_us);

/** Adds one job of a load run. @response_us is counted from the intended send time. */
void waxwing_bench_measure_add_job(struct waxwing_bench_measure *measure,
				   const struct waxwing_bench_job *job,
				   enum waxwing_bench_job_state state, int64_t response_us);

/** Summarizes all runs added so far. */
struct waxwing_bench_summary waxwing_bench_measure_summary(struct waxwing_bench_measure *measure);

/** Nearest-rank percentile of @count ascending values; 0 if @count is 0. @fraction is in (0, 1]. */
double waxwing_bench_percentile(const double *sorted, size_t count, double fraction);

#endif
