/**
 * Admission: whether a job is worth queueing, by limits, quota and expected wait against its deadline.
 *
 * Pure functions over counts that the scheduler keeps up to date, so that a refusal costs the same
 * however long the queue is. No state, no clock; any thread.
 */
#ifndef WAXWING_ADMISSION_H
#define WAXWING_ADMISSION_H

#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Times the expected wait that must be left until the deadline. */
#define WAXWING_ADMISSION_WAIT_MARGIN 3

/** Least and most that a refused caller is told to wait, in milliseconds. An issuer is told less. */
#define WAXWING_ADMISSION_RETRY_LEAST_MS 100
#define WAXWING_ADMISSION_RETRY_MOST_MS	 30000

/** A queue's filling and its limit; a limit of 0 is none. */
struct waxwing_admission_limit {
	uint64_t queued;
	uint64_t most;
};

/** What a job waits behind. Work is in milliseconds of an upstream of speed 1. */
struct waxwing_admission_load {
	struct waxwing_admission_limit tasks; /**< of the scheduler */
	struct waxwing_admission_limit bytes; /**< of the scheduler */
	struct waxwing_admission_limit branch_tasks;
	struct waxwing_admission_limit team_tasks;
	double work_ms; /**< queued in all */
	double branch_work_ms; /**< queued in the branch */
	double branch_share; /**< of capacity, that the branch has when all are busy */
	double team_work_ms; /**< queued in the team */
	double team_capacity; /**< work a millisecond of the team's slots; 0: no limit */
	double capacity; /**< work a millisecond of all slots */
};

/** A job that asks to be queued. */
struct waxwing_admission_job {
	uint32_t tasks;
	uint64_t bytes;
	double least_ms; /**< response time that it is very likely to exceed even when alone */
	double usual_ms; /**< response time that it usually keeps within when alone */
	double work_ms;
	int64_t left_ms; /**< until its deadline */
};

/** How long a job of a branch is expected to wait for its first slot, in milliseconds. */
double waxwing_admission_wait_ms(const struct waxwing_admission_load *load);

/**
 * Admits a job or says why not.
 *
 * Returns WAXWING_OK, WAXWING_ERROR_NEVER_FITS, WAXWING_ERROR_QUEUE_FULL, WAXWING_ERROR_QUOTA or
 * WAXWING_ERROR_OVERLOAD; *retry_after_ms gets when a retry may help, 0: never. For an overload it is the time
 * that the job's deadline is short of, from 1 ms.
 */
enum waxwing_error_code waxwing_admission_check(const struct waxwing_admission_load *load,
						const struct waxwing_admission_job *job,
						uint32_t *retry_after_ms);

#endif
