#include "retry_budget.h"

#include <glib.h>

/** Unit of the balance: parts of a retry. */
#define PARTS 100

void waxwing_retry_budget_init(struct waxwing_retry_budget *budget,
			       const struct waxwing_retry_budget_options *options)
{
	budget->most = (int64_t)MAX(options->reserve, 1) * PARTS;
	budget->earned = options->percent;
	atomic_init(&budget->balance, budget->most);
}

void waxwing_retry_budget_tried(struct waxwing_retry_budget *budget)
{
	int_least64_t balance = atomic_load_explicit(&budget->balance, memory_order_relaxed);
	int_least64_t next;

	do {
		if (balance >= budget->most)
			return;
		next = MIN(balance + budget->earned, budget->most);
	} while (!atomic_compare_exchange_weak_explicit(
		&budget->balance, &balance, next, memory_order_relaxed, memory_order_relaxed));
}

bool waxwing_retry_budget_take(struct waxwing_retry_budget *budget)
{
	int_least64_t balance = atomic_load_explicit(&budget->balance, memory_order_relaxed);

	do {
		if (balance < PARTS)
			return false;
	} while (!atomic_compare_exchange_weak_explicit(&budget->balance, &balance, balance - PARTS,
							memory_order_relaxed,
							memory_order_relaxed));
	return true;
}
