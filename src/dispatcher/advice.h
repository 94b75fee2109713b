/**
 * What an issuer knows of a cell's admission: refusals of its own jobs, and the wait that the scheduler advertises.
 *
 * A job that is no smaller, and has no more time left, than one just refused for overload would be refused
 * too, as long as the advertised wait has not fallen by enough. Such a job need not be offered. All that is
 * kept grows old fast; without it nothing is held back. Times are milliseconds of the caller's clock. Not
 * thread-safe.
 */
#ifndef WAXWING_ADVICE_H
#define WAXWING_ADVICE_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_advice;

struct waxwing_advice *waxwing_advice_create(void);
void waxwing_advice_destroy(struct waxwing_advice *advice);

/** The scheduler and its wait as last advertised. */
struct waxwing_advice_source {
	uint64_t scheduler; /**< its incarnation */
	uint32_t wait_ms;
	int64_t heard_ms; /**< when it came; 0: never */
};

struct waxwing_advice_job {
	struct waxwing_str branch;
	uint32_t tasks;
	int64_t left_ms; /**< until its deadline */
};

/** The scheduler refused a whole job for overload, and told when to try again. */
void waxwing_advice_refused(struct waxwing_advice *advice, int64_t now_ms,
			    const struct waxwing_advice_source *source,
			    const struct waxwing_advice_job *job, uint32_t retry_after_ms);

/** True when the scheduler would surely refuse the job now; *retry_after_ms gets when a retry may help. */
bool waxwing_advice_refuses(const struct waxwing_advice *advice, int64_t now_ms,
			    const struct waxwing_advice_source *source,
			    const struct waxwing_advice_job *job, uint32_t *retry_after_ms);

#endif
