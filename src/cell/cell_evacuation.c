/* Evacuation: the operator orders that nothing more is sent to the cell's executors. */
#include "cell_private.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"

/* Delay before a caller may retry a job that was refused because of an evacuation. */
#define EVACUATED_RETRY_MS 1000

void waxwing_cell_set_evacuated(struct waxwing_cell *cell, int64_t now_ms, bool evacuated,
				int64_t start_until_ms)
{
	(void)now_ms;
	/* a repeated order does not extend the time in which tasks start */
	cell->start_until_ms =
		cell->evacuated ? MIN(cell->start_until_ms, start_until_ms) : start_until_ms;
	cell->evacuated = evacuated;
}

void waxwing_cell_set_starts_held(struct waxwing_cell *cell, bool held)
{
	cell->starts_held = held;
}

bool evacuation_allows_starts(const struct waxwing_cell *cell, int64_t now_ms)
{
	return !cell->starts_held && (!cell->evacuated || now_ms < cell->start_until_ms);
}

bool evacuation_refuse_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			     Waxwing__JobOffer *offer)
{
	if (!cell->evacuated)
		return false;
	job_reject_offer(cell, now_ms, issuer, offer, WAXWING_JOB_REFUSED,
			 WAXWING_ERROR_NO_UPSTREAM, EVACUATED_RETRY_MS);
	return true;
}

/*
 * Returns true if no run of the job can be found any more: those that a former owner started have
 * been listed or have ended.
 */
static bool has_no_runs(const struct cell_job *job, int64_t now_ms)
{
	return !job->assigned_tasks && now_ms >= job->former_runs_until_ms;
}

bool evacuation_end_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	bool may_have_run = job->started || job->begun || job->former_runs_until_ms;

	if (!cell->evacuated || now_ms < cell->start_until_ms || !has_no_runs(job, now_ms))
		return false;
	/* a durable job that waits for permits is not in the journal yet */
	if (job->durable && (!job->awaits_permits || may_have_run))
		return false;
	job->durable = false;
	job_end(cell, job, now_ms, may_have_run ? WAXWING_JOB_GIVEN_UP : WAXWING_JOB_REFUSED,
		WAXWING_ERROR_NO_UPSTREAM, EVACUATED_RETRY_MS);
	return true;
}
