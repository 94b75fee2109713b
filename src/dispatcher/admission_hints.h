/**
 * Issuer-side record of recent overload refusals by a cell's scheduler.
 *
 * The issuer uses it to refuse a job locally when the scheduler would certainly refuse it as well,
 * which saves the offer. The refusal is certain for a job that has at least as many tasks and at
 * most as much time left as one that was just refused, unless the wait that the scheduler
 * advertises has dropped enough since. Records expire within a second; without any, no job is
 * refused.
 *
 * Times are in milliseconds of the caller's clock. Not thread-safe.
 */
#ifndef WAXWING_ADMISSION_HINTS_H
#define WAXWING_ADMISSION_HINTS_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_admission_hints;

struct waxwing_admission_hints *waxwing_admission_hints_create(void);
void waxwing_admission_hints_destroy(struct waxwing_admission_hints *hints);

/** The expected queue wait that a scheduler last advertised. */
struct waxwing_advertised_wait {
	uint64_t scheduler; /**< Incarnation of the scheduler. */
	uint32_t wait_ms;
	int64_t received_ms; /**< Time of receipt; 0 if none was received. */
};

struct waxwing_job_demand {
	struct waxwing_str branch;
	uint32_t tasks;
	int64_t remaining_ms; /**< Time until the deadline. */
};

/**
 * Records that the scheduler refused a whole job for overload, and the retry delay it suggested.
 */
void waxwing_admission_hints_add_refusal(struct waxwing_admission_hints *hints, int64_t now_ms,
					 const struct waxwing_advertised_wait *advertised,
					 const struct waxwing_job_demand *demand,
					 uint32_t retry_after_ms);

/**
 * Returns true if the scheduler would certainly refuse the job now, and sets *retry_after_ms to the
 * delay after which a retry may succeed.
 */
bool waxwing_admission_hints_would_refuse(const struct waxwing_admission_hints *hints,
					  int64_t now_ms,
					  const struct waxwing_advertised_wait *advertised,
					  const struct waxwing_job_demand *demand,
					  uint32_t *retry_after_ms);

#endif
