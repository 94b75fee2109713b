/**
 * Task starts and ends that the stand-in upstreams logged during a load run.
 *
 * Lines are "start ID#TASK" and "end ID#TASK HOW START_MS END_MS": ID is the submission id, HOW the
 * outcome; times are of the monotonic clock. Ids of other runs are ignored. Not thread-safe.
 */
#ifndef WAXWING_BENCH_STARTS_H
#define WAXWING_BENCH_STARTS_H

#include "bench_workload.h"
#include "waxwingswitch/error.h"

#include <stddef.h>
#include <stdint.h>

/** Log entries of one task. */
struct waxwing_bench_task_log {
	uint32_t start_count; /**< number of starts */
	int64_t start_ms; /**< start time of the last run that ended; 0: none */
	int64_t end_ms;
};

/**
 * Reads all files of @folder with the suffix ".tasks".
 *
 * @ids are the submission ids by job, null for jobs that were not sent. Returns an array with one
 * entry per task of the workload; free with g_free(). Returns null with @error set to
 * WAXWING_ERROR_MISSING if the directory cannot be opened.
 */
struct waxwing_bench_task_log *
waxwing_bench_starts_read(const char *folder, const struct waxwing_bench_workload *workload,
			  char *const *ids, struct waxwing_error *error);

#endif
