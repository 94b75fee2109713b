/**
 * How the modules' processor time, memory and message sizes grow with load, measured in one
 * process.
 *
 * Processor time is that of the calling thread; memory is the number of bytes allocated.
 * Unlike the simulated experiments, the figures depend on the machine.
 */
#ifndef WAXWING_BENCH_SCALE_H
#define WAXWING_BENCH_SCALE_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

/** One measured figure. */
struct waxwing_bench_scale_result {
	const char *module;
	const char *metric;
	const char *unit;
	uint64_t size; /**< number of upstreams, batch items, jobs, members or branches */
	uint64_t load; /**< number of queued tasks, or of tasks per job; 0: not applicable */
	double value;
};

/**
 * Runs all measurements. Returns an array of struct waxwing_bench_scale_result; free with
 * g_array_unref().
 */
GArray *waxwing_bench_scale_run(void);

void waxwing_bench_scale_table(FILE *out, const GArray *results);
/** Returns a JSON document. Free with g_free(). */
char *waxwing_bench_scale_json(const GArray *results);

/* The measurements that waxwing_bench_scale_run() makes, one function per module. */

void waxwing_bench_scale_scheduler(GArray *results);
void waxwing_bench_scale_dispatcher(GArray *results);
void waxwing_bench_scale_messages(GArray *results);
void waxwing_bench_scale_submissions(GArray *results);
void waxwing_bench_scale_membership(GArray *results);
void waxwing_bench_scale_settings(GArray *results);

void waxwing_bench_scale_add(GArray *results, const struct waxwing_bench_scale_result *result);

int64_t waxwing_bench_scale_cpu_ns(void);

/** Bytes allocated on the heap and not freed. */
uint64_t waxwing_bench_scale_heap_bytes(void);

#endif
