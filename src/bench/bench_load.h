/**
 * Open-loop load over HTTP against running entry instances.
 *
 * Jobs are sent when the workload means them to be, whatever became of those before; latency counts
 * from that time. Resubmissions go to the next instance under the same id. Starts no process. One run
 * at a time.
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
	/** IP:port of the entry instances: those of the first domain, then of the second and so on. */
	char **addresses; /**< ends with null */
	int64_t from_us; /**< jobs meant to be sent from then on count */
	int64_t until_us; /**< and until then */
	uint32_t threads; /**< requests at once; 0: default */
	const char *logs; /**< folder of the stand-in upstreams' logs on this machine; null: none */
	bool progress; /**< on standard error */
};

/** What the sim can't have: what happened to the calls themselves. */
struct waxwing_bench_load_result {
	/** Starts, double starts, goodput and whether refusals were true only with logs. */
	struct waxwing_bench_summary summary;
	bool has_logs;
	uint64_t unknown; /**< answers "unknown", and calls without a whole answer */
	uint64_t
		wrong_answers; /**< complete answers that were not the job's own tasks, each once */
	uint64_t repeats; /**< resubmissions answered */
	uint64_t
		unlike_repeats; /**< whose state, or whole answer, was another one than the first */
	uint64_t codes[WAXWING_ERROR_COUNT]; /**< answers by the failure they told */
	struct waxwing_bench_percentiles
		late_sends_ms; /**< between intended and real sends; without a thread free: longer */
	double span_s; /**< from the first intended send to the last answer */
};

/**
 * Sends all jobs of the workload and waits for the answers. Errors: WAXWING_ERROR_MISSING (too few
 * addresses, or no such folder of logs), WAXWING_ERROR_UNREACHABLE (an instance gives no window).
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

/** One task at a time: through an instance, and straight to an upstream. */
struct waxwing_bench_probe_result {
	struct waxwing_bench_percentiles through_ms;
	struct waxwing_bench_percentiles direct_ms;
	uint64_t failures;
};

/** Errors: WAXWING_ERROR_UNREACHABLE. */
enum waxwing_error_code waxwing_bench_probe_run(const struct waxwing_bench_probe_options *options,
						struct waxwing_bench_probe_result *result,
						struct waxwing_error *error);

/** Prints a load run as a table, or as JSON. */
void waxwing_bench_load_report(const struct waxwing_bench_load_result *result, bool json);
void waxwing_bench_probe_report(const struct waxwing_bench_probe_result *result, bool json);

#endif
