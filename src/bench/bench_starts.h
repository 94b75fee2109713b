/**
 * What the stand-in upstreams logged of a load run: task starts, and when each ended.
 *
 * Lines are "start ID#TASK" and "end ID#TASK HOW START_MS END_MS", times of the monotonic clock. Ids that are
 * not the run's are passed over. Not thread-safe.
 */
#ifndef WAXWING_BENCH_STARTS_H
#define WAXWING_BENCH_STARTS_H

#include "bench_workload.h"
#include "waxwingswitch/error.h"

#include <stddef.h>
#include <stdint.h>

/** One task of the workload. */
struct waxwing_bench_start {
	uint32_t count; /**< times it was started */
	int64_t start_ms; /**< of the last start that ended; 0: none */
	int64_t end_ms;
};

/**
 * Reads every file of @folder whose name ends in ".tasks". @ids are the submission ids by job, null where none
 * was sent. Null with @error: WAXWING_ERROR_MISSING, the folder can't be read. One entry for each task of the
 * workload; freed with g_free().
 */
struct waxwing_bench_start *waxwing_bench_starts_read(const char *folder,
						      const struct waxwing_bench_workload *workload,
						      char *const *ids,
						      struct waxwing_error *error);

#endif
