/**
 * Admission control: decides from limits, quota, expected wait and deadline whether to queue a
 * job.
 *
 * Pure functions of counts that the scheduler maintains, so the cost of a decision does not
 * depend on the length of the queue. May be called from any thread.
 */
#ifndef WAXWING_ADMISSION_H
#define WAXWING_ADMISSION_H

#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** The time left until a job's deadline must cover this multiple of its expected wait. */
#define WAXWING_ADMISSION_WAIT_FACTOR 3

/**
 * Bounds of the delay after which a refused caller may retry, in milliseconds. With
 * WAXWING_ERROR_OVERLOAD, the delay may be below the minimum.
 */
#define WAXWING_ADMISSION_RETRY_MIN_MS 100
#define WAXWING_ADMISSION_RETRY_MAX_MS 30000

/** Amount queued and its limit; a limit of 0 means no limit. */
struct waxwing_admission_limit {
	uint64_t queued;
	uint64_t max;
};

/** Load on the scheduler. Work is in milliseconds of an upstream of speed 1. */
struct waxwing_admission_load {
	struct waxwing_admission_limit tasks; /**< queued tasks of all branches */
	struct waxwing_admission_limit bytes; /**< bytes of the queued bodies of all branches */
	struct waxwing_admission_limit branch_tasks;
	struct waxwing_admission_limit team_tasks;
	double work_ms; /**< work queued in all branches */
	double branch_work_ms; /**< work queued in the branch */
	double branch_share; /**< the branch's fair share of the capacity, 0 to 1 */
	double team_work_ms; /**< work queued in the branches of the team */
	double team_capacity; /**< work per millisecond of the team's slots; 0: no limit */
	double capacity; /**< work per millisecond of all slots */
};

/** A job to be admitted. */
struct waxwing_admission_job {
	uint32_t tasks;
	uint64_t bytes;
	double min_response_ms; /**< even an idle cell very likely needs longer; 0: unknown */
	double typical_response_ms; /**< an idle cell rarely needs longer */
	double work_ms;
	int64_t remaining_ms; /**< time until its deadline */
};

/** Returns the expected wait of a new job of the branch for its first slot, in milliseconds. */
double waxwing_admission_wait_ms(const struct waxwing_admission_load *load);

/**
 * Decides whether to admit a job.
 *
 * Returns WAXWING_OK, WAXWING_ERROR_NEVER_FITS, WAXWING_ERROR_QUEUE_FULL, WAXWING_ERROR_QUOTA or
 * WAXWING_ERROR_OVERLOAD. Sets *retry_after_ms to the delay after which a retry may succeed, 0 if
 * none can. For WAXWING_ERROR_OVERLOAD, the delay is how much later the deadline would have to be,
 * at least 1 ms.
 */
enum waxwing_error_code waxwing_admission_check(const struct waxwing_admission_load *load,
						const struct waxwing_admission_job *job,
						uint32_t *retry_after_ms);

#endif
