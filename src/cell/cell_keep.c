#include "cell_private.h"

#define LOG_PART "cell"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* Whoever asks waits so long for an end that is being stored; issuers ask again after 120 ms. */
#define END_STORED_MS 100
/* An end that an executor had listed by the time of asking is heard within this: a hold each 8 ms, and the way. */
#define END_HEARD_MS 15

static uint64_t record(struct waxwing_cell *cell, const Waxwing__JournalRecord *made)
{
	cell->recorded = cell->options.ops->record(cell->options.data, made);
	return cell->recorded;
}

static void tell_stored(struct waxwing_cell *cell, uint64_t issuer, uint64_t job)
{
	Waxwing__JobVerdict verdict = WAXWING__JOB_VERDICT__INIT;

	verdict.job = job;
	verdict.outcome = WAXWING_JOB_STORED;
	cell->options.ops->verdict(cell->options.data, issuer, &verdict);
}

static void tell_state(struct waxwing_cell *cell, uint64_t asker, uint64_t job, bool cancel,
		       enum waxwing_job_state state)
{
	Waxwing__JobTold told = WAXWING__JOB_TOLD__INIT;

	told.job = job;
	told.cancel = cancel;
	told.state = state;
	cell->options.ops->told(cell->options.data, asker, &told);
}

/* Nothing is said of a new job while the journal is read; its issuer offers it again. */
bool keep_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		Waxwing__JobOffer *offer)
{
	struct cell_job *job = cell_find_job(cell, offer->job->id);

	(void)now_ms;
	if (job && job->kept)
		job->issuer = issuer;
	if ((job && job->stored) || g_hash_table_contains(cell->finished, &offer->job->id))
		tell_stored(cell, issuer, offer->job->id);
	else if (!job && !cell->options.recovering)
		return false;
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

bool waxwing_cell_recovering(const struct waxwing_cell *cell)
{
	return cell->options.recovering;
}

bool waxwing_cell_knows(const struct waxwing_cell *cell, uint64_t job)
{
	return cell_find_job(cell, job) || g_hash_table_contains(cell->finished, &job);
}

void keep_begin(struct waxwing_cell *cell, struct cell_job *job)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;

	made.job = (Waxwing__Job *)job->spec;
	job->record_number = record(cell, &made);
}

static void fill_occurrence(Waxwing__JournalRecord *made, const struct cell_job *job)
{
	made->has_occurrence = job->serial != 0;
	made->occurrence = job_occurrence(job);
}

static void fill_task(Waxwing__JournalRecord *made, const struct cell_job *job, uint32_t step,
		      uint32_t index)
{
	fill_occurrence(made, job);
	made->has_id = true;
	made->id = job->id;
	made->has_step = true;
	made->step = step;
	made->has_index = true;
	made->index = index;
}

static void fill_end(Waxwing__JournalRecord *made, uint64_t id, enum waxwing_job_state state)
{
	made->has_id = true;
	made->id = id;
	made->has_final_state = true;
	made->final_state = state;
}

void keep_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;

	fill_task(&made, job, step, index);
	record(cell, &made);
}

void keep_occurrence_end(struct waxwing_cell *cell, const struct cell_job *whole,
			 uint32_t occurrence)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;

	fill_end(&made, whole->id, WAXWING_STATE_COMPLETED);
	made.has_occurrence = true;
	made.occurrence = occurrence;
	record(cell, &made);
}

void keep_failure(struct waxwing_cell *cell, const struct cell_job *job,
		  const struct waxwing_run_name *name)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;

	fill_task(&made, job, name->step, name->index);
	made.has_failed_run = true;
	made.failed_run = name->run;
	record(cell, &made);
}

void keep_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
	      enum waxwing_job_state state)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;

	fill_end(&made, job->id, state);
	job->final_state = state;
	job->final_number = record(cell, &made);
	waxwing_event("kept_job_ended", "job=%016llx state=%d age_ms=%lld due_ms=%lld",
		      (unsigned long long)job->id, state, (long long)(now_ms - job->arrived_ms),
		      (long long)(job->due_ms - job->arrived_ms));
	job_close(cell, job, now_ms);
}

static void finish(struct waxwing_cell *cell, uint64_t id, enum waxwing_job_state state,
		   int64_t now_ms)
{
	struct finished *finished = g_new0(struct finished, 1);

	finished->id = id;
	finished->state = state;
	finished->until_ms = now_ms + cell->options.status_ms;
	g_hash_table_replace(cell->finished, &finished->id, finished);
}

/* Its end outlasts this owner now, and may be shown. */
static void end_is_stored(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	job->final_stored = true;
	finish(cell, job->id, job->final_state, now_ms);
	for (guint i = 0; job->askers && i < job->askers->len; i++) {
		const struct asker *asker = &g_array_index(job->askers, struct asker, i);

		tell_state(cell, asker->asker, job->id, asker->cancel, job->final_state);
	}
	job_leave(cell, job);
}

static void acceptance_is_stored(struct waxwing_cell *cell, struct cell_job *job)
{
	job->stored = true;
	tell_stored(cell, job->issuer, job->id);
	if (!job->ended)
		job_open_steps(cell, job);
}

void waxwing_cell_stored(struct waxwing_cell *cell, int64_t now_ms, uint64_t number)
{
	GPtrArray *jobs = cell_whole_jobs(cell);

	cell->stored = number;
	for (guint i = 0; i < jobs->len; i++) {
		struct cell_job *job = jobs->pdata[i];

		if (!job->kept)
			continue;
		if (!job->stored && !job->checked_first && job->record_number <= number)
			acceptance_is_stored(cell, job);
		if (job->final_state && !job->final_stored && job->final_number <= number)
			end_is_stored(cell, job, now_ms);
	}
	g_ptr_array_free(jobs, TRUE);
}

void waxwing_cell_taken(struct waxwing_cell *cell, int64_t now_ms, uint64_t id)
{
	struct cell_job *job = cell_find_job(cell, id);

	if (!job || !job->kept || job->stored)
		return;
	waxwing_event("kept_job_taken", "job=%016llx age_ms=%lld", (unsigned long long)id,
		      (long long)(now_ms - job->arrived_ms));
	tell_stored(cell, job->issuer, id);
	job->kept = false; /* nothing of it is stored here */
	job_close(cell, job, now_ms);
}

static enum waxwing_job_state state_of(const struct cell_job *job)
{
	return job->started ? WAXWING_STATE_RUNNING : WAXWING_STATE_QUEUED;
}

static void await_end(struct cell_job *job, int64_t now_ms, uint64_t asker, bool cancel)
{
	struct asker row = { asker, now_ms, cancel };

	if (!job->askers)
		job->askers = g_array_new(FALSE, FALSE, sizeof(struct asker));
	g_array_append_val(job->askers, row);
}

/* True when nothing is left to start: the job's end may have happened already. */
static bool end_may_be_near(const struct cell_job *job)
{
	if (job->repeats && job->undone == 1 && job->repeats->open->len == 1)
		return end_may_be_near(job->repeats->open->pdata[0]);
	return job->final_state || (job->undone && job->undone == job->out);
}

/* No end was heard, or the store is slow: those that only ask are told what is known for sure. */
void keep_tell_late_askers(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	int64_t wait_ms = job->final_state ? END_STORED_MS : END_HEARD_MS;

	for (guint i = job->askers ? job->askers->len : 0; i-- > 0;) {
		struct asker asker = g_array_index(job->askers, struct asker, i);

		if (asker.cancel || now_ms - asker.asked_ms < wait_ms)
			continue;
		g_array_remove_index_fast(job->askers, i);
		tell_state(cell, asker.asker, job->id, false, state_of(job));
	}
}

void waxwing_cell_ask(struct waxwing_cell *cell, int64_t now_ms, uint64_t asker,
		      const Waxwing__JobAsk *ask)
{
	struct cell_job *job = cell_find_job(cell, ask->job);
	const struct finished *finished = g_hash_table_lookup(cell->finished, &ask->job);

	if (cell->options.recovering || (job && job->kept && !job->stored))
		return;
	if (finished || !job || !job->kept) {
		tell_state(cell, asker, ask->job, ask->cancel,
			   finished ? finished->state : WAXWING_STATE_NONE);
		return;
	}
	if (ask->cancel || end_may_be_near(job))
		await_end(job, now_ms, asker, ask->cancel);
	else
		tell_state(cell, asker, ask->job, false, state_of(job));
	if (ask->cancel && !job->final_state)
		keep_end(cell, job, now_ms, WAXWING_STATE_CANCELLED);
}

/* --- recovery --------------------------------------------------------------------------------- */

static void replay_job(struct waxwing_cell *cell, int64_t now_ms, const Waxwing__Job *spec)
{
	Waxwing__JobOffer offer = WAXWING__JOB_OFFER__INIT;

	if (waxwing_cell_knows(cell, spec->id))
		return;
	offer.job = (Waxwing__Job *)spec;
	offer.has_running_before = true;
	offer.running_before = true;
	job_create(cell, now_ms, WAXWING_ISSUER_SELF, waxwing_message_copy(&offer.base))->stored =
		true;
}

static void replay_task(struct cell_job *job, const Waxwing__JournalRecord *made)
{
	struct task *task;

	if (!job || !job_has_task(job, made->step, made->index))
		return;
	task = &job->steps[made->step].tasks[made->index];
	if (made->has_failed_run) {
		task_add_failure(task, made->failed_run);
	} else if (task->state != TASK_DONE) {
		task->state = TASK_DONE;
		job->steps[made->step].done++;
		job->undone--;
	}
}

void waxwing_cell_replay(struct waxwing_cell *cell, int64_t now_ms,
			 const Waxwing__JournalRecord *made)
{
	struct cell_job *job = made->has_id ? cell_find_job(cell, made->id) : NULL;

	if (made->has_occurrence && (!job || !job->repeats))
		return;
	if (made->has_occurrence && made->has_final_state) {
		repeats_replay_end(cell, job, made->occurrence);
	} else if (made->has_occurrence) {
		replay_task(repeats_find(cell, job, made->occurrence, now_ms), made);
	} else if (made->job) {
		replay_job(cell, now_ms, made->job);
	} else if (made->has_final_state) {
		finish(cell, made->id, made->final_state, now_ms);
		if (!job)
			return;
		if (job_counts_as_waiting(job))
			job->queue->waiting_jobs--;
		job_free(cell, job);
	} else if (made->has_step) {
		replay_task(job, made);
	}
}

/* What the journal says of a job's tasks may be all, or the last failure allowed, already. */
static enum waxwing_job_state state_due(const struct cell_job *job)
{
	if (!job->undone)
		return WAXWING_STATE_COMPLETED;
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			if (task_failures(&job->steps[i].tasks[k]) >= job->spec->max_attempts)
				return WAXWING_STATE_FAILED;
	for (guint i = 0; job->repeats && i < job->repeats->open->len; i++)
		if (state_due(job->repeats->open->pdata[i]) == WAXWING_STATE_FAILED)
			return WAXWING_STATE_FAILED;
	return WAXWING_STATE_NONE;
}

/* All tasks of some occurrences may be done, and only their end not be stored. */
static void end_done_occurrences(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms)
{
	for (guint i = whole->repeats->open->len; i-- > 0;) {
		struct cell_job *job = whole->repeats->open->pdata[i];

		if (!job->undone)
			repeats_ended(cell, job, now_ms);
	}
}

static void recover_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms)
{
	enum waxwing_job_state due = state_due(job);

	if (due) {
		keep_end(cell, job, now_ms, due);
		return;
	}
	if (!job->repeats) {
		job_resume(cell, job);
		return;
	}
	end_done_occurrences(cell, job, now_ms);
	if (!job->ended)
		repeats_resume(cell, job, now_ms);
}

void waxwing_cell_recovered(struct waxwing_cell *cell, int64_t now_ms)
{
	GPtrArray *jobs = cell_whole_jobs(cell);

	cell->options.recovering = false;
	for (guint i = 0; i < jobs->len; i++)
		if (((struct cell_job *)jobs->pdata[i])->kept)
			recover_job(cell, jobs->pdata[i], now_ms);
	g_ptr_array_free(jobs, TRUE);
	for (guint i = 0; i < cell->list->len; i++)
		((struct executor *)cell->list->pdata[i])->hold_wanted = true;
	waxwing_event("cell_recovered", "cell=%s jobs=%u finished=%u", cell->options.name,
		      g_hash_table_size(cell->jobs), g_hash_table_size(cell->finished));
}

/* --- snapshot --------------------------------------------------------------------------------- */

static void add_record(GPtrArray *records, const Waxwing__JournalRecord *made)
{
	g_ptr_array_add(records, waxwing_message_copy(&made->base));
}

static void add_task(GPtrArray *records, const struct cell_job *job, uint32_t step, uint32_t index)
{
	const struct task *task = &job->steps[step].tasks[index];
	Waxwing__JournalRecord done = WAXWING__JOURNAL_RECORD__INIT;
	Waxwing__JournalRecord failed = WAXWING__JOURNAL_RECORD__INIT;

	fill_task(&failed, job, step, index);
	failed.has_failed_run = true;
	for (uint32_t i = 0; i < task_failures(task); i++) {
		failed.failed_run = g_array_index(task->failed_runs, uint32_t, i);
		add_record(records, &failed);
	}
	fill_task(&done, job, step, index);
	if (task->state == TASK_DONE && !job->ended)
		add_record(records, &done);
}

static void add_tasks(GPtrArray *records, const struct cell_job *job)
{
	for (uint32_t i = 0; i < job->step_count; i++)
		for (uint32_t k = 0; k < job->steps[i].spec->count; k++)
			add_task(records, job, i, k);
}

static void add_occurrences(GPtrArray *records, const struct cell_job *whole)
{
	Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

	fill_end(&end, whole->id, WAXWING_STATE_COMPLETED);
	end.has_occurrence = true;
	for (uint32_t i = 0; i < whole->spec->repetitions; i++) {
		end.occurrence = i;
		if (whole->repeats->done[i])
			add_record(records, &end);
	}
	for (guint i = 0; i < whole->repeats->open->len; i++)
		add_tasks(records, whole->repeats->open->pdata[i]);
}

static void add_job(GPtrArray *records, const struct cell_job *job)
{
	Waxwing__JournalRecord made = WAXWING__JOURNAL_RECORD__INIT;
	Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

	made.job = (Waxwing__Job *)job->spec;
	add_record(records, &made);
	add_tasks(records, job);
	if (job->repeats)
		add_occurrences(records, job);
	if (!job->final_state)
		return;
	fill_end(&end, job->id, job->final_state);
	add_record(records, &end);
}

void waxwing_cell_snapshot(const struct waxwing_cell *cell, Waxwing__JournalSegment *segment)
{
	GPtrArray *records = g_ptr_array_new();
	GPtrArray *jobs = cell_whole_jobs(cell);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < jobs->len; i++) {
		const struct cell_job *job = jobs->pdata[i];

		/* one whose acceptance is not stored may be another cell's in the end */
		if (job->kept && job->stored)
			add_job(records, job);
	}
	g_ptr_array_free(jobs, TRUE);
	g_hash_table_iter_init(&iter, cell->finished);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct finished *finished = value;
		Waxwing__JournalRecord end = WAXWING__JOURNAL_RECORD__INIT;

		fill_end(&end, finished->id, finished->state);
		add_record(records, &end);
	}
	segment->n_records = records->len;
	segment->records = calloc(MAX(records->len, 1), sizeof(Waxwing__JournalRecord *));
	if (!segment->records)
		g_error("no memory for a snapshot");
	for (guint i = 0; i < records->len; i++)
		segment->records[i] = records->pdata[i];
	g_ptr_array_free(records, TRUE);
}

void keep_sweep(struct waxwing_cell *cell, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cell->finished);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct finished *finished = value;

		if (now_ms < finished->until_ms)
			continue;
		cell->options.ops->forget(cell->options.data, finished->id);
		g_hash_table_iter_remove(&iter);
	}
}
