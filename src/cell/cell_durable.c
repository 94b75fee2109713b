#include "cell_private.h"

#include "job_check.h"

#define LOG_COMPONENT "cell"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* How long a state query waits until its job's end is stored; issuers repeat it after 120 ms. */
#define END_STORE_WAIT_MS 100
/*
 * How long a state query waits for the end of a run that the executor may not have reported yet:
 * holds list ends every 8 ms, and their answers take time to arrive.
 */
#define END_REPORT_WAIT_MS 15

static uint64_t append_record(struct waxwing_cell *cell, const Waxwing__JournalRecord *record)
{
	cell->last_record = cell->options.ops->append_record(cell->options.data, record);
	return cell->last_record;
}

static void send_stored(struct waxwing_cell *cell, uint64_t issuer, uint64_t job)
{
	Waxwing__JobVerdict verdict = WAXWING__JOB_VERDICT__INIT;

	verdict.job = job;
	verdict.outcome = WAXWING_JOB_STORED;
	cell->options.ops->send_verdict(cell->options.data, issuer, &verdict);
}

static void send_state(struct waxwing_cell *cell, uint64_t asker, uint64_t job, bool cancel,
		       enum waxwing_job_state state)
{
	Waxwing__JobTold answer = WAXWING__JOB_TOLD__INIT;

	answer.job = job;
	answer.cancel = cancel;
	answer.state = state;
	cell->options.ops->send_state(cell->options.data, asker, &answer);
}

/* A new job is not answered while the journal is replayed; its issuer offers it again. */
bool durable_answer_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			  Waxwing__JobOffer *offer)
{
	struct cell_job *job = cell_find_job(cell, offer->job->id);

	(void)now_ms;
	if (job && job->durable)
		job->issuer = issuer;
	if ((job && job->acceptance_stored) ||
	    g_hash_table_contains(cell->finished, &offer->job->id))
		send_stored(cell, issuer, offer->job->id);
	else if (!job && !cell->options.recovering)
		return false;
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

bool waxwing_cell_recovering(const struct waxwing_cell *cell)
{
	return cell->options.recovering;
}

bool waxwing_cell_has_job(const struct waxwing_cell *cell, uint64_t job)
{
	return cell_find_job(cell, job) || g_hash_table_contains(cell->finished, &job);
}

void durable_accept(struct waxwing_cell *cell, struct cell_job *job)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;

	record.job = (Waxwing__Job *)job->spec;
	job->acceptance_record = append_record(cell, &record);
}

static void set_record_occurrence(Waxwing__JournalRecord *record, const struct cell_job *job)
{
	record->has_occurrence = job->serial != 0;
	record->occurrence = job_occurrence(job);
}

static void set_record_task(Waxwing__JournalRecord *record, const struct cell_job *job,
			    uint32_t step, uint32_t index)
{
	set_record_occurrence(record, job);
	record->has_id = true;
	record->id = job->id;
	record->has_step = true;
	record->step = step;
	record->has_index = true;
	record->index = index;
}

static void set_record_end(Waxwing__JournalRecord *record, uint64_t id,
			   enum waxwing_job_state state)
{
	record->has_id = true;
	record->id = id;
	record->has_final_state = true;
	record->final_state = state;
}

void durable_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       uint32_t index)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;

	set_record_task(&record, job, step, index);
	append_record(cell, &record);
}

void durable_occurrence_end(struct waxwing_cell *cell, const struct cell_job *parent,
			    uint32_t occurrence)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;

	set_record_end(&record, parent->id, WAXWING_STATE_COMPLETED);
	record.has_occurrence = true;
	record.occurrence = occurrence;
	append_record(cell, &record);
}

void durable_task_failed(struct waxwing_cell *cell, const struct cell_job *job,
			 const struct waxwing_run_id *id)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;

	set_record_task(&record, job, id->step, id->index);
	record.has_failed_run = true;
	record.failed_run = id->run;
	append_record(cell, &record);
}

void durable_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
		 enum waxwing_job_state state)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;

	set_record_end(&record, job->id, state);
	job->final_state = state;
	job->end_record = append_record(cell, &record);
	waxwing_event("kept_job_ended", "job=%016llx state=%d age_ms=%lld due_ms=%lld",
		      (unsigned long long)job->id, state, (long long)(now_ms - job->arrived_ms),
		      (long long)(job->due_ms - job->arrived_ms));
	job_close(cell, job, now_ms);
}

static void add_finished_job(struct waxwing_cell *cell, uint64_t id, enum waxwing_job_state state,
			     int64_t now_ms)
{
	struct finished_job *finished = g_new0(struct finished_job, 1);

	finished->id = id;
	finished->state = state;
	finished->expires_ms = now_ms + cell->options.status_ms;
	g_hash_table_replace(cell->finished, &finished->id, finished);
}

/* Reports the job's end, which any successor will know now that it is stored. */
static void handle_end_stored(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	job->end_stored = true;
	add_finished_job(cell, job->id, job->final_state, now_ms);
	for (guint i = 0; job->state_waiters && i < job->state_waiters->len; i++) {
		const struct state_waiter *waiter =
			&g_array_index(job->state_waiters, struct state_waiter, i);

		send_state(cell, waiter->asker, job->id, waiter->cancel, job->final_state);
	}
	job_free_if_unused(cell, job);
}

static void handle_acceptance_stored(struct waxwing_cell *cell, struct cell_job *job)
{
	job->acceptance_stored = true;
	send_stored(cell, job->issuer, job->id);
	if (!job->ended)
		job_unblock_steps(cell, job);
}

void waxwing_cell_records_stored(struct waxwing_cell *cell, int64_t now_ms, uint64_t number)
{
	GPtrArray *jobs = cell_list_jobs(cell);

	cell->stored_upto = number;
	for (guint i = 0; i < jobs->len; i++) {
		struct cell_job *job = jobs->pdata[i];

		if (!job->durable)
			continue;
		if (!job->acceptance_stored && !job->awaits_permits &&
		    job->acceptance_record <= number)
			handle_acceptance_stored(cell, job);
		if (job->final_state && !job->end_stored && job->end_record <= number)
			handle_end_stored(cell, job, now_ms);
	}
	g_ptr_array_free(jobs, TRUE);
}

void waxwing_cell_job_claimed_elsewhere(struct waxwing_cell *cell, int64_t now_ms, uint64_t id)
{
	struct cell_job *job = cell_find_job(cell, id);

	if (!job || !job->durable || job->acceptance_stored)
		return;
	waxwing_event("kept_job_taken", "job=%016llx age_ms=%lld", (unsigned long long)id,
		      (long long)(now_ms - job->arrived_ms));
	send_stored(cell, job->issuer, id);
	job->durable = false; /* the job is not in this cell's journal */
	job_close(cell, job, now_ms);
}

static enum waxwing_job_state current_state(const struct cell_job *job)
{
	return job->begun ? WAXWING_STATE_RUNNING : WAXWING_STATE_QUEUED;
}

static void add_state_waiter(struct cell_job *job, int64_t now_ms, uint64_t asker, bool cancel)
{
	struct state_waiter waiter = { asker, now_ms, cancel };

	if (!job->state_waiters)
		job->state_waiters = g_array_new(FALSE, FALSE, sizeof(struct state_waiter));
	g_array_append_val(job->state_waiters, waiter);
}

/* Returns true if no task is left to start: all runs may already have ended on the executors. */
static bool may_end_soon(const struct cell_job *job)
{
	if (job->occurrences && job->remaining == 1 && job->occurrences->open_jobs->len == 1)
		return may_end_soon(job->occurrences->open_jobs->pdata[0]);
	return job->final_state || (job->remaining && job->remaining == job->assigned_tasks);
}

/*
 * Answers state queries that waited too long for the end of a run, or for the job's end to be
 * stored, with the state that the job had before its end.
 */
void durable_answer_waiters(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	int64_t wait_ms = job->final_state ? END_STORE_WAIT_MS : END_REPORT_WAIT_MS;

	for (guint i = job->state_waiters ? job->state_waiters->len : 0; i-- > 0;) {
		struct state_waiter waiter =
			g_array_index(job->state_waiters, struct state_waiter, i);

		if (waiter.cancel || now_ms - waiter.asked_ms < wait_ms)
			continue;
		g_array_remove_index_fast(job->state_waiters, i);
		send_state(cell, waiter.asker, job->id, false, current_state(job));
	}
}

void waxwing_cell_query_state(struct waxwing_cell *cell, int64_t now_ms, uint64_t asker,
			      const Waxwing__JobAsk *ask)
{
	struct cell_job *job = cell_find_job(cell, ask->job);
	const struct finished_job *finished = g_hash_table_lookup(cell->finished, &ask->job);

	if (cell->options.recovering || (job && job->durable && !job->acceptance_stored))
		return;
	if (finished || !job || !job->durable) {
		send_state(cell, asker, ask->job, ask->cancel,
			   finished ? finished->state : WAXWING_STATE_NONE);
		return;
	}
	if (ask->cancel || may_end_soon(job))
		add_state_waiter(job, now_ms, asker, ask->cancel);
	else
		send_state(cell, asker, ask->job, false, current_state(job));
	if (ask->cancel && !job->final_state)
		durable_end(cell, job, now_ms, WAXWING_STATE_CANCELLED);
}

/* Recovery from the journal. */

static void replay_job(struct waxwing_cell *cell, int64_t now_ms, const Waxwing__Job *spec)
{
	Waxwing__JobOffer offer = WAXWING__JOB_OFFER__INIT;

	const char *invalid = waxwing_job_invalid_field(spec);

	if (invalid)
		waxwing_event("record_invalid", "job=%016llx field=%s",
			      (unsigned long long)spec->id, invalid);
	if (invalid || !spec->kept || waxwing_cell_has_job(cell, spec->id))
		return;
	offer.job = (Waxwing__Job *)spec;
	offer.has_running_before = true;
	offer.running_before = true;
	job_create(cell, now_ms, WAXWING_ISSUER_SELF, waxwing_message_copy(&offer.base))
		->acceptance_stored = true;
}

static void replay_task(struct cell_job *job, const Waxwing__JournalRecord *record)
{
	struct task *task;

	if (!job || !job_has_task(job, record->step, record->index))
		return;
	job_set_begun(job);
	task = &job->steps[record->step].tasks[record->index];
	if (record->has_failed_run) {
		task_add_failure(task, record->failed_run);
	} else if (task->state != TASK_DONE) {
		task->state = TASK_DONE;
		job->steps[record->step].done++;
		job->remaining--;
	}
}

void waxwing_cell_replay(struct waxwing_cell *cell, int64_t now_ms,
			 const Waxwing__JournalRecord *record)
{
	struct cell_job *job = record->has_id ? cell_find_job(cell, record->id) : NULL;

	if (record->has_occurrence && (!job || !job->occurrences))
		return;
	if (record->has_occurrence && record->has_final_state) {
		occurrence_replay_end(cell, job, record->occurrence);
	} else if (record->has_occurrence) {
		replay_task(occurrence_find(cell, job, record->occurrence, now_ms), record);
	} else if (record->job) {
		replay_job(cell, now_ms, record->job);
	} else if (record->has_final_state) {
		add_finished_job(cell, record->id, record->final_state, now_ms);
		if (!job)
			return;
		if (job_counts_as_waiting(job))
			job->queue->waiting_jobs--;
		job_free(cell, job);
	} else if (record->has_step) {
		replay_task(job, record);
	}
}

/*
 * Returns the final state of a job whose end is not in the journal although its last task has
 * completed or a task has reached its maximum failures there; WAXWING_STATE_NONE if neither holds.
 */
static enum waxwing_job_state recovered_final_state(const struct cell_job *job)
{
	if (!job->remaining)
		return WAXWING_STATE_COMPLETED;
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			if (task_failures(&job->steps[i].tasks[k]) >= job->spec->max_attempts)
				return WAXWING_STATE_FAILED;
	for (guint i = 0; job->occurrences && i < job->occurrences->open_jobs->len; i++)
		if (recovered_final_state(job->occurrences->open_jobs->pdata[i]) ==
		    WAXWING_STATE_FAILED)
			return WAXWING_STATE_FAILED;
	return WAXWING_STATE_NONE;
}

/* Ends occurrences whose tasks are all done in the journal, although their end is not stored. */
static void end_done_occurrences(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms)
{
	for (guint i = parent->occurrences->open_jobs->len; i-- > 0;) {
		struct cell_job *job = parent->occurrences->open_jobs->pdata[i];

		if (!job->remaining)
			occurrence_completed(cell, job, now_ms);
	}
}

static void recover_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	enum waxwing_job_state final_state = recovered_final_state(job);

	if (final_state) {
		durable_end(cell, job, now_ms, final_state);
		return;
	}
	if (!job->occurrences) {
		job_resume(cell, job);
		return;
	}
	end_done_occurrences(cell, job, now_ms);
	if (!job->ended)
		occurrences_resume(cell, job, now_ms);
}

void waxwing_cell_recovered(struct waxwing_cell *cell, int64_t now_ms)
{
	GPtrArray *jobs = cell_list_jobs(cell);

	cell->options.recovering = false;
	for (guint i = 0; i < jobs->len; i++)
		if (((struct cell_job *)jobs->pdata[i])->durable)
			recover_job(cell, jobs->pdata[i], now_ms);
	g_ptr_array_free(jobs, TRUE);
	for (guint i = 0; i < cell->executors->len; i++)
		((struct executor *)cell->executors->pdata[i])->hold_requested = true;
	waxwing_event("cell_recovered", "cell=%s jobs=%u finished=%u", cell->options.name,
		      g_hash_table_size(cell->jobs), g_hash_table_size(cell->finished));
}

/* Snapshot of the journal. */

static void add_record(GPtrArray *records, const Waxwing__JournalRecord *record)
{
	g_ptr_array_add(records, waxwing_message_copy(&record->base));
}

static void add_task(GPtrArray *records, const struct cell_job *job, uint32_t step, uint32_t index)
{
	const struct task *task = &job->steps[step].tasks[index];
	Waxwing__JournalRecord done = WAXWING__JOURNAL_RECORD__INIT;
	Waxwing__JournalRecord failed = WAXWING__JOURNAL_RECORD__INIT;

	set_record_task(&failed, job, step, index);
	failed.has_failed_run = true;
	for (uint32_t i = 0; i < task_failures(task); i++) {
		failed.failed_run = g_array_index(task->failed_runs, uint32_t, i);
		add_record(records, &failed);
	}
	set_record_task(&done, job, step, index);
	if (task->state == TASK_DONE && !job->ended)
		add_record(records, &done);
}

static void add_tasks(GPtrArray *records, const struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			add_task(records, job, i, k);
}

static void add_occurrences(GPtrArray *records, const struct cell_job *parent)
{
	Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

	set_record_end(&end, parent->id, WAXWING_STATE_COMPLETED);
	end.has_occurrence = true;
	for (uint32_t i = 0; i < parent->spec->repetitions; i++) {
		end.occurrence = i;
		if (parent->occurrences->done[i])
			add_record(records, &end);
	}
	for (guint i = 0; i < parent->occurrences->open_jobs->len; i++)
		add_tasks(records, parent->occurrences->open_jobs->pdata[i]);
}

static void add_job(GPtrArray *records, const struct cell_job *job)
{
	Waxwing__JournalRecord record = WAXWING__JOURNAL_RECORD__INIT;
	Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

	record.job = (Waxwing__Job *)job->spec;
	add_record(records, &record);
	add_tasks(records, job);
	if (job->occurrences)
		add_occurrences(records, job);
	if (!job->final_state)
		return;
	set_record_end(&end, job->id, job->final_state);
	add_record(records, &end);
}

void waxwing_cell_snapshot(const struct waxwing_cell *cell, Waxwing__JournalSegment *segment)
{
	GPtrArray *records = g_ptr_array_new();
	GPtrArray *jobs = cell_list_jobs(cell);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < jobs->len; i++) {
		const struct cell_job *job = jobs->pdata[i];

		/* a job whose acceptance is not stored may still be accepted by another cell */
		if (job->durable && job->acceptance_stored)
			add_job(records, job);
	}
	g_ptr_array_free(jobs, TRUE);
	g_hash_table_iter_init(&iter, cell->finished);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct finished_job *finished = value;
		Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

		set_record_end(&end, finished->id, finished->state);
		add_record(records, &end);
	}
	segment->n_records = records->len;
	segment->records = calloc(MAX(records->len, 1), sizeof(Waxwing__JournalRecord *));
	if (!segment->records)
		g_error("out of memory while creating a journal snapshot");
	for (guint i = 0; i < records->len; i++)
		segment->records[i] = records->pdata[i];
	g_ptr_array_free(records, TRUE);
}

void durable_expire_finished(struct waxwing_cell *cell, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->finished);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct finished_job *finished = value;

		if (now_ms < finished->expires_ms)
			continue;
		cell->options.ops->job_forgotten(cell->options.data, finished->id);
		g_hash_table_iter_remove(&iter);
	}
}
