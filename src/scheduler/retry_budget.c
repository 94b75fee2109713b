#include "retry_budget.h"

#include <glib.h>

/** Units of the balance per retry. */
#define UNITS_PER_RETRY 100

void waxwing_retry_budget_init(struct waxwing_retry_budget *budget,
			       const struct waxwing_retry_budget_options *options)
{
	budget->max_balance = (int64_t)MAX(options->reserve, 1) * UNITS_PER_RETRY;
	budget->deposit = options->percent;
	atomic_init(&budget->balance, budget->max_balance);
}

void waxwing_retry_budget_deposit(struct waxwing_retry_budget *budget)
{
	int_least64_t balance = atomic_load_explicit(&budget->balance, memory_order_relaxed);
	int_least64_t next;

	do {
		if (balance >= budget->max_balance)
			return;
		next = MIN(balance + budget->deposit, budget->max_balance);
	} while (!atomic_compare_exchange_weak_explicit(
		&budget->balance, &balance, next, memory_order_relaxed, memory_order_relaxed));
}

bool waxwing_retry_budget_withdraw(struct waxwing_retry_budget *budget)
{
	int_least64_t balance = atomic_load_explicit(&budget->balance, memory_order_relaxed);

	do {
		if (balance < UNITS_PER_RETRY)
			return false;
	} while (!atomic_compare_exchange_weak_explicit(
		&budget->balance, &balance, balance - UNITS_PER_RETRY, memory_order_relaxed,
		memory_order_relaxed));
	return true;
}
