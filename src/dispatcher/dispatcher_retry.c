/*
 * Retries of idempotent single requests, by the settings of their branch and within the retry
 * budget.
 */
#include "dispatcher_private.h"

/* Maximum number of unused retries that the budget saves up. */
#define RETRY_RESERVE 10

void waxwing_dispatcher_set_retry_budget(struct waxwing_dispatcher *d, uint32_t percent)
{
	const struct waxwing_retry_budget_options options = {
		.percent = percent,
		.reserve = RETRY_RESERVE,
	};

	if (d->retry_percent == percent && d->settings_store.current)
		return;
	d->retry_percent = percent;
	waxwing_retry_budget_init(&d->retry_budget, &options);
}

void waxwing_dispatcher_allow_retries(struct waxwing_dispatcher *d, uint64_t job,
				      const struct waxwing_branch *branch)
{
	if (!branch->idempotent || branch->max_attempts < 2)
		return;
	waxwing_retry_budget_deposit(&d->retry_budget);
	g_hash_table_insert(d->retries_left, g_memdup2(&job, sizeof(job)),
			    GUINT_TO_POINTER(branch->max_attempts - 1));
}

bool waxwing_dispatcher_retry_task(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job,
				   uint32_t task, enum waxwing_slot_outcome outcome)
{
	guint left = GPOINTER_TO_UINT(g_hash_table_lookup(d->retries_left, &job));

	if (!left || (outcome != WAXWING_SLOT_FAILED && outcome != WAXWING_SLOT_UNKNOWN))
		return false;
	if (!waxwing_retry_budget_withdraw(&d->retry_budget))
		return false;
	if (!waxwing_submissions_retry(d->submissions, now_ms, job, task))
		return false;
	waxwing_counter_increment(task_retries);
	g_hash_table_insert(d->retries_left, g_memdup2(&job, sizeof(job)),
			    GUINT_TO_POINTER(left - 1));
	return true;
}
