/*
 * Jobs that another instance's scheduler would surely refuse are refused by their issuer, without an offer.
 */
#include "dispatcher_private.h"

/* False when no wait of the cell's scheduler can be known, or it is our own and costs no message. */
static bool source_of(struct waxwing_dispatcher *d, const struct waxwing_cell *cell,
		      struct waxwing_advice_source *source)
{
	const struct waxwing_stream *stream;

	if (waxwing_dispatcher_schedules(d, cell))
		return false;
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduling, cell->index);
	if (!stream)
		return false;
	*source = (struct waxwing_advice_source){
		.scheduler = cell->scheduling,
		.wait_ms = stream->peer_wait_ms,
		.heard_ms = stream->peer_wait_heard_ms,
	};
	return true;
}

static struct waxwing_advice_job advice_job(const struct waxwing_job *job, int64_t now_ms)
{
	return (struct waxwing_advice_job){
		.branch = waxwing_str(job->request->branch),
		.tasks = (uint32_t)job->request->n_tasks,
		.left_ms = job->deadline_ms - now_ms,
	};
}

void waxwing_dispatcher_heed_refusal(struct waxwing_dispatcher *d, int64_t now_ms,
				     const struct waxwing_cell *cell,
				     const Waxwing__Refusal *refusal)
{
	struct waxwing_advice_source source;
	struct waxwing_advice_job refused;
	struct waxwing_job job;

	if (!source_of(d, cell, &source) ||
	    !waxwing_submissions_job(d->submissions, refusal->job, &job))
		return;
	refused = advice_job(&job, now_ms);
	waxwing_advice_refused(cell->advice, now_ms, &source, &refused, refusal->retry_after_ms);
}

bool waxwing_dispatcher_refuse_early(struct waxwing_dispatcher *d, int64_t now_ms,
				     const struct waxwing_job *job)
{
	const struct waxwing_cell *cell = waxwing_dispatcher_job_cell(d, job->number);
	const struct waxwing_advice_job refused = advice_job(job, now_ms);
	struct waxwing_advice_source source;
	uint32_t retry_after_ms;

	if (!source_of(d, cell, &source) ||
	    !waxwing_advice_refuses(cell->advice, now_ms, &source, &refused, &retry_after_ms))
		return false;
	waxwing_count(refused_early);
	waxwing_dispatcher_refused(d, now_ms, job->number, WAXWING_ERROR_OVERLOAD, retry_after_ms);
	return true;
}
