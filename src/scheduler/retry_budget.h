/**
 * Retry budget: limits retries to a share of the first attempts, plus a reserve.
 *
 * Keeps retries of idempotent requests from multiplying the load during an outage. Each branch or
 * target has a budget of its own. Lock-free; may be used from any thread.
 */
#ifndef WAXWING_RETRY_BUDGET_H
#define WAXWING_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct waxwing_retry_budget_options {
	uint32_t percent; /**< retries allowed per 100 first attempts */
	uint32_t reserve; /**< initial and highest balance, in retries; at least 1 */
};

struct waxwing_retry_budget {
	atomic_int_least64_t balance; /**< in hundredths of a retry */
	int64_t max_balance;
	int64_t deposit; /**< added to the balance by a first attempt */
};

void waxwing_retry_budget_init(struct waxwing_retry_budget *budget,
			       const struct waxwing_retry_budget_options *options);

/** Records a first attempt. */
void waxwing_retry_budget_deposit(struct waxwing_retry_budget *budget);

/** Withdraws one retry; false when the budget is exhausted and the request must not be retried. */
bool waxwing_retry_budget_withdraw(struct waxwing_retry_budget *budget);

#endif
