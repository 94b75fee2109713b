/*
 * Issuer side of the dispatcher: offers the tasks of this instance's jobs, starts those granted,
 * and reports to the scheduler when a slot is free again.
 */
#include "admission.h"
#include "dispatcher_private.h"

#define LOG_COMPONENT "issuer"
#include "log.h"

/*
 * How long after a job's deadline an upstream's answer is still read. Until then the slot is known
 * to be in use, and a late answer is noticed and logged.
 */
#define LATE_ANSWER_GRACE_MS 30000

static void free_record(void *pointer)
{
	struct waxwing_in_flight_task *record = pointer;

	g_free(record->upstream);
	g_free(record->address);
	g_free(record->id);
	g_free(record->caller);
	g_free(record);
}

void waxwing_dispatcher_free_in_flight(void *records)
{
	g_ptr_array_free(records, TRUE);
}

static GPtrArray *records_of(struct waxwing_dispatcher *d, uint64_t job, bool create)
{
	GPtrArray *records = g_hash_table_lookup(d->in_flight, &job);

	if (!records && create) {
		records = g_ptr_array_new_with_free_func(free_record);
		g_hash_table_insert(d->in_flight, g_memdup2(&job, sizeof(job)), records);
	}
	return records;
}

/* Removes and returns the record of a task, or null if it has none; the caller frees it. */
static struct waxwing_in_flight_task *take_record(struct waxwing_dispatcher *d, uint64_t job,
						  uint32_t task)
{
	GPtrArray *records = records_of(d, job, false);
	struct waxwing_in_flight_task *found = NULL;

	for (guint i = 0; records && i < records->len && !found; i++) {
		struct waxwing_in_flight_task *record = g_ptr_array_index(records, i);

		if (record->task == task)
			found = g_ptr_array_steal_index_fast(records, i);
	}
	if (records && !records->len)
		g_hash_table_remove(d->in_flight, &job);
	if (found)
		d->in_flight_count--;
	return found;
}

/*
 * Returns the stream to a cell's scheduler. If it is null, messages can be dropped: the sync with
 * the next scheduler includes them.
 */
static struct waxwing_stream *scheduler_stream(struct waxwing_dispatcher *d,
					       const struct waxwing_upstream_cell *cell)
{
	return waxwing_dispatcher_cell_stream(d, cell->scheduler_incarnation, cell->index);
}

/*
 * Returns the declared run time of each task, 0 for a task that declares none; null if no task
 * declares any. Freed with g_free().
 */
static uint32_t *declared_times(const Waxwing__JobRequest *request)
{
	uint32_t *declared = NULL;

	for (size_t i = 0; i < request->n_tasks; i++) {
		if (!request->tasks[i]->has_declared_ms)
			continue;
		if (!declared)
			declared = g_new0(uint32_t, request->n_tasks);
		declared[i] = request->tasks[i]->declared_ms;
	}
	return declared;
}

static void offer_locally(struct waxwing_dispatcher *d, int64_t now_ms,
			  struct waxwing_upstream_cell *cell, const struct waxwing_job *job,
			  uint32_t first, uint32_t count, bool readmitted)
{
	uint32_t *declared = declared_times(job->request);
	struct waxwing_error error = WAXWING_ERROR_INIT;
	const struct waxwing_offer offer = {
		.key = waxwing_dispatcher_job_key(d, job->number),
		.branch = waxwing_str(job->request->branch),
		.first_task = first,
		.task_count = count,
		.admitted_ms = job->admitted_ms,
		.deadline_ms = job->deadline_ms,
		.bytes = job->bytes,
		.declared_ms = declared ? declared + first : NULL,
		.readmitted = readmitted,
	};

	if (waxwing_scheduler_offer(cell->scheduler, now_ms, &offer, &error) != WAXWING_OK)
		waxwing_dispatcher_handle_refusal(d, now_ms, job->number, error.code,
						  error.retry_after_ms);
	g_free(declared);
}

static Waxwing__Offer *offer_message(const struct waxwing_job *job, int64_t now_ms, uint32_t first,
				     uint32_t count)
{
	Waxwing__Offer *offer = g_new(Waxwing__Offer, 1);
	uint32_t *declared = declared_times(job->request);

	waxwing__offer__init(offer);
	offer->job = job->number;
	offer->branch = g_strdup(job->request->branch);
	offer->first_task = first;
	offer->task_count = count;
	offer->deadline_in_ms = (uint32_t)MAX(job->deadline_ms - now_ms, 0);
	offer->has_waited_ms = true;
	offer->waited_ms = (uint32_t)MAX(now_ms - job->admitted_ms, 0);
	offer->has_bytes = true;
	offer->bytes = job->bytes;
	if (declared) {
		offer->n_declared_ms = count;
		offer->declared_ms = g_memdup2(declared + first, count * sizeof(*declared));
	}
	g_free(declared);
	return offer;
}

void waxwing_dispatcher_offer_tasks(struct waxwing_dispatcher *d, int64_t now_ms,
				    const struct waxwing_job *job, uint32_t first, uint32_t count,
				    bool readmitted)
{
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_job_cell(d, job->number);
	struct waxwing_stream *stream;

	if (waxwing_dispatcher_is_scheduler(d, cell)) {
		offer_locally(d, now_ms, cell, job, first, count, readmitted);
		return;
	}
	stream = scheduler_stream(d, cell);
	if (stream)
		waxwing_stream_add(stream, WAXWING_STREAM_OFFER,
				   &offer_message(job, now_ms, first, count)->base);
}

void waxwing_dispatcher_offer_job(struct waxwing_dispatcher *d, int64_t now_ms,
				  const struct waxwing_job *job)
{
	waxwing_dispatcher_assign_cell(d, job->number);
	if (waxwing_dispatcher_refuse_early(d, now_ms, job))
		return;
	waxwing_counter_increment(offers);
	waxwing_dispatcher_offer_tasks(d, now_ms, job, 0, (uint32_t)job->request->n_tasks, false);
}

void waxwing_dispatcher_reoffer_task(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t number,
				     uint32_t task)
{
	struct waxwing_job job;

	if (waxwing_submissions_job(d->submissions, number, &job))
		waxwing_dispatcher_offer_tasks(d, now_ms, &job, task, 1, true);
}

static void report_end(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job, uint32_t task,
		       struct waxwing_str upstream, enum waxwing_slot_outcome outcome,
		       uint32_t run_ms)
{
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_upstream_cell(d, upstream);
	struct waxwing_stream *stream;
	Waxwing__SlotEnd *end;

	if (waxwing_dispatcher_is_scheduler(d, cell)) {
		waxwing_scheduler_slot_ended(cell->scheduler, now_ms,
					     waxwing_dispatcher_job_key(d, job), task, upstream,
					     outcome, run_ms);
		return;
	}
	stream = scheduler_stream(d, cell);
	if (!stream)
		return;
	end = g_new(Waxwing__SlotEnd, 1);
	waxwing__slot_end__init(end);
	end->job = job;
	end->task = task;
	end->upstream = waxwing_str_dup(upstream);
	end->outcome = outcome;
	end->run_ms = run_ms;
	waxwing_stream_add(stream, WAXWING_STREAM_END, &end->base);
}

static char *upstream_address(const struct waxwing_dispatcher *d, struct waxwing_str name)
{
	struct waxwing_upstream upstream;

	if (!waxwing_membership_find_upstream(d->membership, name, &upstream))
		return NULL;
	return waxwing_str_dup(upstream.address);
}

/* Adds the record of a started task; takes ownership of @address. */
static void add_record(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job,
		       const struct waxwing_task_start *start, struct waxwing_str upstream,
		       char *address)
{
	struct waxwing_in_flight_task *record = g_new0(struct waxwing_in_flight_task, 1);

	record->job = job;
	record->task = start->task;
	record->upstream = waxwing_str_dup(upstream);
	record->address = address;
	record->id = waxwing_str_dup(start->id);
	record->caller = waxwing_str_dup(start->caller);
	record->started_ms = now_ms;
	g_ptr_array_add(records_of(d, job, true), record);
	d->in_flight_count++;
}

void waxwing_dispatcher_handle_grant(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job,
				     uint32_t task, struct waxwing_str upstream)
{
	char *address = upstream_address(d, upstream);
	struct waxwing_task_start start;
	struct waxwing_send_request send;

	waxwing_counter_increment(grants);
	if (!address) {
		report_end(d, now_ms, job, task, upstream, WAXWING_SLOT_UNREACHABLE, 0);
		return;
	}
	if (!waxwing_submissions_commit(d->submissions, now_ms, job, task, &start)) {
		g_free(address);
		report_end(d, now_ms, job, task, upstream, WAXWING_SLOT_UNUSED, 0);
		return;
	}
	add_record(d, now_ms, job, &start, upstream, address);
	send = (struct waxwing_send_request){
		.job = job,
		.task = task,
		.id = start.id,
		.upstream = upstream,
		.address = waxwing_str(address),
		.body = start.body,
		.timeout_ms = (uint32_t)MAX(start.deadline_ms - now_ms, 0) + LATE_ANSWER_GRACE_MS,
	};
	waxwing_counter_increment(task_starts);
	d->ops->start_task(d->context, &send);
}

void waxwing_dispatcher_handle_refusal(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job,
				       enum waxwing_error_code reason, uint32_t retry_after_ms)
{
	struct waxwing_error error = { .code = reason, .retry_after_ms = retry_after_ms };

	if (reason == WAXWING_ERROR_OVERLOAD)
		error.retry_after_ms = MAX(retry_after_ms, WAXWING_ADMISSION_RETRY_MIN_MS);
	waxwing_submissions_refuse(d->submissions, now_ms, job, &error);
	waxwing_dispatcher_forget_job(d, job);
}

static bool nothing_started(enum waxwing_slot_outcome outcome)
{
	return outcome == WAXWING_SLOT_BUSY || outcome == WAXWING_SLOT_UNREACHABLE ||
	       outcome == WAXWING_SLOT_LEAVING;
}

static void count_end(enum waxwing_slot_outcome outcome)
{
	if (outcome == WAXWING_SLOT_DONE)
		waxwing_counter_increment(task_done);
	else if (outcome == WAXWING_SLOT_FAILED)
		waxwing_counter_increment(task_failed);
	else if (outcome == WAXWING_SLOT_UNKNOWN)
		waxwing_counter_increment(task_unknown);
	else
		waxwing_counter_increment(task_busy);
}

static void log_late_answer(const struct waxwing_in_flight_task *record,
			    enum waxwing_slot_outcome outcome)
{
	waxwing_counter_increment(task_late);
	if (outcome == WAXWING_SLOT_UNKNOWN)
		log_notice("no answer of task %u of %s, caller %s, from upstream %s", record->task,
			   record->id, record->caller, record->upstream);
	else
		log_notice("late answer of task %u of %s, caller %s, from upstream %s",
			   record->task, record->id, record->caller, record->upstream);
}

/* Reports the slot of a failed attempt as ended and offers the task again; frees the record. */
static void retry_task(struct waxwing_dispatcher *d, int64_t now_ms,
		       const struct waxwing_send_result *sent,
		       struct waxwing_in_flight_task *record)
{
	report_end(d, now_ms, sent->job, sent->task, waxwing_str(record->upstream), sent->outcome,
		   sent->run_ms);
	free_record(record);
	waxwing_dispatcher_reoffer_task(d, now_ms, sent->job, sent->task);
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}

/*
 * Returns true if the task ran in another cell than its job is assigned to, which happens after the
 * number of cells has changed.
 */
static bool job_cell_differs(const struct waxwing_dispatcher *d,
			     const struct waxwing_in_flight_task *record)
{
	return waxwing_dispatcher_upstream_cell(d, waxwing_str(record->upstream)) !=
	       waxwing_dispatcher_job_cell(d, record->job);
}

/*
 * Passes a run time to the local scheduler of a cell that another instance schedules, so that it
 * has estimates if it takes over.
 */
static void observe_run_time(struct waxwing_dispatcher *d, int64_t now_ms,
			     const struct waxwing_send_result *sent,
			     const struct waxwing_in_flight_task *record)
{
	struct waxwing_str upstream = waxwing_str(record->upstream);
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_upstream_cell(d, upstream);
	struct waxwing_job job;

	if (sent->outcome != WAXWING_SLOT_DONE || waxwing_dispatcher_is_scheduler(d, cell) ||
	    !waxwing_submissions_job(d->submissions, sent->job, &job))
		return;
	waxwing_scheduler_record_run(cell->scheduler, now_ms, waxwing_str(job.request->branch),
				     upstream, sent->run_ms);
}

void waxwing_dispatcher_task_ended(struct waxwing_dispatcher *d, int64_t now_ms,
				   const struct waxwing_send_result *sent)
{
	struct waxwing_in_flight_task *record = take_record(d, sent->job, sent->task);
	enum waxwing_slot_outcome outcome = sent->outcome;
	bool late = false;
	bool wanted;
	bool cell_differs;

	if (!record)
		return;
	count_end(outcome);
	if (waxwing_dispatcher_retry_task(d, now_ms, sent->job, sent->task, outcome)) {
		retry_task(d, now_ms, sent, record);
		return;
	}
	observe_run_time(d, now_ms, sent, record);
	wanted = waxwing_submissions_end_task(d->submissions, now_ms, sent->job, sent->task,
					      outcome, sent->body, &late);
	if (late)
		log_late_answer(record, outcome);
	if (outcome == WAXWING_SLOT_LEAVING)
		waxwing_membership_mark_upstream_leaving(d->membership, now_ms,
							 waxwing_str(record->upstream));
	cell_differs = nothing_started(outcome) && wanted && job_cell_differs(d, record);
	if (nothing_started(outcome) && (!wanted || cell_differs))
		outcome = WAXWING_SLOT_UNUSED;
	report_end(d, now_ms, sent->job, sent->task, waxwing_str(record->upstream), outcome,
		   sent->run_ms);
	if (cell_differs)
		waxwing_dispatcher_reoffer_task(d, now_ms, sent->job, sent->task);
	waxwing_dispatcher_forget_job(d, sent->job);
	free_record(record);
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}

static void stop_tasks(struct waxwing_dispatcher *d, uint64_t job)
{
	GPtrArray *records = records_of(d, job, false);

	for (guint i = 0; records && i < records->len; i++) {
		const struct waxwing_in_flight_task *record = g_ptr_array_index(records, i);

		waxwing_counter_increment(task_stops);
		d->ops->stop_task(d->context, waxwing_str(record->address), waxwing_str(record->id),
				  record->task);
	}
}

static void withdraw(struct waxwing_dispatcher *d, int64_t now_ms, uint64_t job)
{
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_job_cell(d, job);
	struct waxwing_stream *stream;
	Waxwing__Withdrawal *withdrawal;

	if (waxwing_dispatcher_is_scheduler(d, cell)) {
		waxwing_scheduler_withdraw(cell->scheduler, now_ms,
					   waxwing_dispatcher_job_key(d, job));
		return;
	}
	stream = scheduler_stream(d, cell);
	if (!stream)
		return;
	withdrawal = g_new(Waxwing__Withdrawal, 1);
	waxwing__withdrawal__init(withdrawal);
	withdrawal->job = job;
	waxwing_stream_add(stream, WAXWING_STREAM_WITHDRAWAL, &withdrawal->base);
}

void waxwing_dispatcher_process_results(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct waxwing_delivery delivery;
	uint64_t job;

	while (waxwing_submissions_next_withdrawal(d->submissions, &job)) {
		withdraw(d, now_ms, job);
		stop_tasks(d, job);
		waxwing_dispatcher_forget_job(d, job);
	}
	while (waxwing_submissions_next_answer(d->submissions, &delivery))
		waxwing_dispatcher_deliver_answer(d, delivery.waiter, delivery.answer);
}
