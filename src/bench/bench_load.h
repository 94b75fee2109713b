/**
 * Open-loop load over HTTP against running entry instances.
 *
 * Jobs are sent at the times set by the workload, without waiting for earlier answers; latency is
 * measured from the intended send time. Resubmissions go to the next instance under the same id.
 * Starts no processes. Only one run at a time.
 */
#ifndef WAXWING_BENCH_LOAD_H
#define WAXWING_BENCH_LOAD_H

#include "bench_measure.h"
#include "bench_workload.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_bench_load_options {
	const struct waxwing_bench_workload *workload;
	/** IP:port of the entry instances, grouped by domain in order. Null-terminated. */
	char **addresses;
	int64_t from_us; /**< start of the measurement window, since the start of the run */
	int64_t until_us; /**< end of the measurement window, exclusive */
	uint32_t threads; /**< concurrent requests; 0: default */
	const char *log_folder; /**< directory of the stand-in upstreams' logs; null: none */
	bool progress; /**< print progress to standard error */
};

/** Results of a load run, including figures that the simulation cannot measure. */
struct waxwing_bench_load_result {
	/**
	 * The fields starts, double_starts, false_not_run, offered, goodput and true_refusals are
	 * valid only if has_logs is set.
	 */
	struct waxwing_bench_summary summary;
	bool has_logs;
	uint64_t unknown; /**< jobs with state "unknown" or without a valid answer */
	uint64_t wrong_answers; /**< "complete" answers that lack a task's own body */
	uint64_t repeats; /**< resubmissions answered */
	uint64_t differing_repeats; /**< second answers for a job that differ from the first */
	uint64_t error_counts[WAXWING_ERROR_COUNT]; /**< answers by failure code */
	/** Actual minus intended send time. Grows when all threads are busy. */
	struct waxwing_bench_percentiles send_delay_ms;
	double duration_s; /**< from the first intended send time to the last answer */
};

/**
 * Sends all jobs of the workload and waits for the answers.
 *
 * Errors: WAXWING_ERROR_MISSING (too few addresses, or the log directory cannot be opened),
 * WAXWING_ERROR_UNREACHABLE (an instance returned no submission window).
 */
enum waxwing_error_code waxwing_bench_load_run(const struct waxwing_bench_load_options *options,
					       struct waxwing_bench_load_result *result,
					       struct waxwing_error *error);

struct waxwing_bench_probe_options {
	const char *instance; /**< IP:port of an entry instance */
	const char *upstream; /**< IP:port of an upstream */
	const char *branch;
	uint32_t calls;
};

/** Latency of single tasks, sent through an instance and directly to an upstream. */
struct waxwing_bench_probe_result {
	struct waxwing_bench_percentiles through_ms;
	struct waxwing_bench_percentiles direct_ms;
	uint64_t failures;
};

/** Errors: WAXWING_ERROR_UNREACHABLE (the instance returned no submission window). */
enum waxwing_error_code waxwing_bench_probe_run(const struct waxwing_bench_probe_options *options,
						struct waxwing_bench_probe_result *result,
						struct waxwing_error *error);

/** Prints the result of a load run as a table or as JSON. */
void waxwing_bench_load_report(const struct waxwing_bench_load_result *result, bool json);
void waxwing_bench_probe_report(const struct waxwing_bench_probe_result *result, bool json);

#endif
