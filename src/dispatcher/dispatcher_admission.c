/*
 * Local refusal of jobs that another instance's scheduler would certainly refuse, without an offer.
 */
#include "dispatcher_private.h"

/*
 * Gets the wait that the cell's scheduler last advertised. Returns false if the scheduler's address
 * is unknown, or if this instance schedules the cell itself, so that an offer costs no message.
 */
static bool find_advertised_wait(struct waxwing_dispatcher *d,
				 const struct waxwing_upstream_cell *cell,
				 struct waxwing_advertised_wait *advertised)
{
	const struct waxwing_stream *stream;

	if (waxwing_dispatcher_is_scheduler(d, cell))
		return false;
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduler_incarnation, cell->index);
	if (!stream)
		return false;
	*advertised = (struct waxwing_advertised_wait){
		.scheduler = cell->scheduler_incarnation,
		.wait_ms = stream->peer_wait_ms,
		.received_ms = stream->peer_wait_received_ms,
	};
	return true;
}

static struct waxwing_job_demand job_demand(const struct waxwing_job *job, int64_t now_ms)
{
	return (struct waxwing_job_demand){
		.branch = waxwing_str(job->request->branch),
		.tasks = (uint32_t)job->request->n_tasks,
		.remaining_ms = job->deadline_ms - now_ms,
	};
}

void waxwing_dispatcher_record_refusal(struct waxwing_dispatcher *d, int64_t now_ms,
				       const struct waxwing_upstream_cell *cell,
				       const Waxwing__Refusal *refusal)
{
	struct waxwing_advertised_wait advertised;
	struct waxwing_job_demand refused;
	struct waxwing_job job;

	if (!find_advertised_wait(d, cell, &advertised) ||
	    !waxwing_submissions_job(d->submissions, refusal->job, &job))
		return;
	refused = job_demand(&job, now_ms);
	waxwing_admission_hints_add_refusal(cell->admission_hints, now_ms, &advertised, &refused,
					    refusal->retry_after_ms);
}

bool waxwing_dispatcher_refuse_early(struct waxwing_dispatcher *d, int64_t now_ms,
				     const struct waxwing_job *job)
{
	const struct waxwing_upstream_cell *cell = waxwing_dispatcher_job_cell(d, job->number);
	const struct waxwing_job_demand refused = job_demand(job, now_ms);
	struct waxwing_advertised_wait advertised;
	uint32_t retry_after_ms;

	if (!find_advertised_wait(d, cell, &advertised) ||
	    !waxwing_admission_hints_would_refuse(cell->admission_hints, now_ms, &advertised,
						  &refused, &retry_after_ms))
		return false;
	waxwing_counter_increment(refused_early);
	waxwing_dispatcher_handle_refusal(d, now_ms, job->number, WAXWING_ERROR_OVERLOAD,
					  retry_after_ms);
	return true;
}
