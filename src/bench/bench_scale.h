/**
 * Slopes of the modules' processor time, memory and message sizes, measured in one process.
 *
 * Processor time is the calling thread's own. Memory is what the allocator has handed out. Unlike the
 * experiments in virtual time the figures depend on the machine.
 */
#ifndef WAXWING_BENCH_SCALE_H
#define WAXWING_BENCH_SCALE_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

/** One measured figure. */
struct waxwing_bench_slope {
	const char *part; /**< module */
	const char *what;
	const char *unit;
	uint64_t size; /**< upstreams, items of a batch, jobs, members or branches */
	uint64_t load; /**< queued tasks or tasks a job; 0: none */
	double value;
};

/** Measures all; of struct waxwing_bench_slope, freed with g_array_unref(). */
GArray *waxwing_bench_scale_run(void);

void waxwing_bench_scale_table(FILE *out, const GArray *slopes);
/** Freed with g_free(). */
char *waxwing_bench_scale_json(const GArray *slopes);

/* The parts of waxwing_bench_scale_run(). */

void waxwing_bench_scale_scheduler(GArray *slopes);
void waxwing_bench_scale_dispatcher(GArray *slopes);
void waxwing_bench_scale_messages(GArray *slopes);
void waxwing_bench_scale_submissions(GArray *slopes);
void waxwing_bench_scale_membership(GArray *slopes);
void waxwing_bench_scale_settings(GArray *slopes);

/** Adds a figure. */
void waxwing_bench_scale_add(GArray *slopes, const struct waxwing_bench_slope *slope);

/** Processor time of the calling thread, in nanoseconds. */
int64_t waxwing_bench_scale_cpu_ns(void);

/** Bytes that the allocator has handed out. */
uint64_t waxwing_bench_scale_heap_bytes(void);

#endif
