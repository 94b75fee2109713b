/**
 * A budget of retries: so many for each first try, and a few at any time.
 *
 * Keeps retries of idempotent requests from multiplying the load when everything fails. One budget per
 * branch or target. Lock-free; any thread.
 */
#ifndef WAXWING_RETRY_BUDGET_H
#define WAXWING_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct waxwing_retry_budget_options {
	uint32_t percent; /**< retries earned by 100 first tries */
	uint32_t reserve; /**< most retries saved up, and there at the start; at least 1 */
};

struct waxwing_retry_budget {
	atomic_int_least64_t balance; /**< in hundredths of a retry */
	int64_t most;
	int64_t earned; /**< by a first try */
};

void waxwing_retry_budget_init(struct waxwing_retry_budget *budget,
			       const struct waxwing_retry_budget_options *options);

/** Notes a first try. */
void waxwing_retry_budget_tried(struct waxwing_retry_budget *budget);

/** Takes one retry; false when there is none left, and nothing is to be retried. */
bool waxwing_retry_budget_take(struct waxwing_retry_budget *budget);

#endif
