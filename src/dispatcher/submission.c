#include "submission_private.h"

void waxwing_submissions_update_bytes(struct waxwing_submissions *table,
				      struct waxwing_submission *submission)
{
	uint64_t bytes = waxwing_submission_bytes(submission);

	table->bytes += bytes - submission->accounted_bytes;
	submission->accounted_bytes = bytes;
}

void waxwing_submissions_unref(struct waxwing_submissions *table,
			       struct waxwing_submission *submission)
{
	if (--submission->references)
		return;
	table->bytes -= submission->accounted_bytes;
	waxwing_submission_destroy(submission);
}

struct waxwing_submissions *
waxwing_submissions_create(const struct waxwing_submissions_options *options, int64_t now_ms)
{
	struct waxwing_submissions *table = g_new0(struct waxwing_submissions, 1);

	table->instance = waxwing_str_dup(options->instance);
	table->incarnation = options->incarnation;
	table->window_life_ms = MAX(options->window_life_ms, 1);
	table->window_grace_ms = options->window_grace_ms;
	table->jobs_by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->jobs_by_deadline = g_sequence_new(NULL);
	table->deliveries = g_array_new(false, false, sizeof(struct waxwing_pending_delivery));
	table->withdrawals = g_array_new(false, false, sizeof(uint64_t));
	g_queue_init(&table->epochs);
	g_queue_init(&table->expired_epochs);
	g_queue_init(&table->jobs_by_admission);
	waxwing_windows_open(table, 1, now_ms);
	return table;
}

/** Removes an active submission from the table's jobs and frees its active state. */
static void release_active(struct waxwing_submissions *table, struct waxwing_submission *submission)
{
	g_hash_table_remove(table->jobs_by_number, &submission->active->job.number);
	g_queue_unlink(&table->jobs_by_admission, &submission->active->admission_link);
	waxwing_submission_free_active(submission);
	waxwing_submissions_update_bytes(table, submission);
	waxwing_submissions_unref(table, submission);
}

void waxwing_submissions_destroy(struct waxwing_submissions *table)
{
	struct waxwing_delivery delivery;
	struct waxwing_epoch *epoch;

	if (!table)
		return;
	while (waxwing_submissions_next_answer(table, &delivery))
		;
	while (table->jobs_by_admission.head)
		release_active(table, table->jobs_by_admission.head->data);
	while ((epoch = g_queue_pop_head(&table->epochs))) {
		epoch->expired = true;
		g_queue_push_tail(&table->expired_epochs, epoch);
	}
	while (table->expired_epochs.head)
		waxwing_windows_drop_expired(table);
	waxwing_submissions_clear_answer(table);
	g_array_free(table->withdrawals, true);
	g_array_free(table->deliveries, true);
	g_sequence_free(table->jobs_by_deadline);
	g_hash_table_destroy(table->jobs_by_number);
	g_free(table->window);
	g_free(table->instance);
	g_free(table);
}

static gint deadline_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct waxwing_submission *left = a;
	const struct waxwing_submission *right = b;

	(void)unused;
	if (left->active->job.deadline_ms != right->active->job.deadline_ms)
		return left->active->job.deadline_ms < right->active->job.deadline_ms ? -1 : 1;
	return left->active->job.number < right->active->job.number ?
		       -1 :
		       left->active->job.number > right->active->job.number;
}

static struct waxwing_submission *create_job(struct waxwing_submissions *table,
					     struct waxwing_epoch *epoch, int64_t now_ms,
					     const Waxwing__JobRequest *request, uint64_t digest,
					     int64_t deadline_ms)
{
	struct waxwing_submission *submission = waxwing_submission_create(
		request, digest, ++table->last_job_number, now_ms, deadline_ms);

	submission->references = 2;
	submission->epoch = epoch;
	waxwing_epoch_add(epoch, submission->id, &submission->epoch_link);
	g_hash_table_insert(table->jobs_by_number, &submission->active->job.number, submission);
	g_queue_push_tail_link(&table->jobs_by_admission, &submission->active->admission_link);
	submission->active->deadline_position = g_sequence_insert_sorted(
		table->jobs_by_deadline, submission, deadline_compare, NULL);
	table->running_jobs++;
	table->queued_tasks += submission->active->task_count;
	waxwing_submissions_update_bytes(table, submission);
	return submission;
}

static enum waxwing_submit_result refuse_reused_id(struct waxwing_error *error)
{
	waxwing_error_set(error, WAXWING_ERROR_ID_REUSED, "id",
			  "an earlier submission differs in caller, branch or tasks");
	return WAXWING_SUBMIT_REFUSED;
}

/** Adds a waiter to the submission of a known id, unless it is answered. */
static enum waxwing_submit_result attach_waiter(struct waxwing_submission *submission,
						uint64_t digest, struct waxwing_waiter waiter,
						struct waxwing_job *job,
						struct waxwing_error *error)
{
	if (submission->digest != digest)
		return refuse_reused_id(error);
	if (submission->answer)
		return WAXWING_SUBMIT_FINISHED;
	if (job)
		*job = submission->active->job;
	g_array_append_val(submission->active->waiters, waiter);
	return WAXWING_SUBMIT_ATTACHED;
}

/** Checks whether an unknown id may become a new job. */
static enum waxwing_submit_result check_admission(const struct waxwing_submissions *table,
						  const Waxwing__JobRequest *request,
						  struct waxwing_error *error)
{
	if (table->frozen) {
		waxwing_error_set(error, WAXWING_ERROR_LEAVING, NULL, "submit to another instance");
		return WAXWING_SUBMIT_REFUSED;
	}
	if (!request->n_tasks) {
		waxwing_error_set(error, WAXWING_ERROR_MISSING, "tasks",
				  "a job needs at least one task");
		return WAXWING_SUBMIT_REFUSED;
	}
	return WAXWING_SUBMIT_NEW;
}

enum waxwing_submit_result
waxwing_submissions_submit(struct waxwing_submissions *table, int64_t now_ms,
			   const Waxwing__JobRequest *request, int64_t deadline_ms,
			   struct waxwing_waiter waiter, struct waxwing_job *job,
			   struct waxwing_error *error)
{
	const struct waxwing_tombstone *tombstone;
	struct waxwing_submission *submission;
	struct waxwing_submission_id id;
	struct waxwing_epoch *epoch;
	uint64_t digest;

	waxwing_submissions_tick(table, now_ms);
	if (waxwing_submission_id_parse(waxwing_str(request->id), &id, error))
		return WAXWING_SUBMIT_REFUSED;
	if (id.window.incarnation != table->incarnation)
		return WAXWING_SUBMIT_FOREIGN_WINDOW;
	epoch = waxwing_windows_get_epoch(table, &id.window, error);
	if (!epoch)
		return WAXWING_SUBMIT_REFUSED;
	digest = waxwing_submission_digest(request);
	submission = waxwing_epoch_find(epoch, request->id);
	if (submission)
		return attach_waiter(submission, digest, waiter, job, error);
	tombstone = waxwing_tombstone_find(epoch, request->id);
	if (tombstone)
		return tombstone->digest == digest ? WAXWING_SUBMIT_FINISHED :
						     refuse_reused_id(error);
	if (check_admission(table, request, error) != WAXWING_SUBMIT_NEW)
		return WAXWING_SUBMIT_REFUSED;
	submission = create_job(table, epoch, now_ms, request, digest, deadline_ms);
	g_array_append_val(submission->active->waiters, waiter);
	if (job)
		*job = submission->active->job;
	return WAXWING_SUBMIT_NEW;
}

/** Returns the running submission of an id, or null with @error. */
static struct waxwing_submission *find_running(struct waxwing_submissions *table,
					       struct waxwing_str id, struct waxwing_error *error)
{
	char *text = waxwing_str_dup(id);
	struct waxwing_epoch *epoch = waxwing_windows_find_epoch(table, text, error);
	struct waxwing_submission *found = NULL;

	if (epoch) {
		found = waxwing_epoch_find(epoch, text);
		if (!found || found->answer) {
			waxwing_error_set(error, WAXWING_ERROR_NOT_FOUND, "id",
					  "no such job is running");
			found = NULL;
		}
	}
	g_free(text);
	return found;
}

bool waxwing_submissions_find(struct waxwing_submissions *table, struct waxwing_str id,
			      struct waxwing_job *job)
{
	const struct waxwing_submission *submission = find_running(table, id, NULL);

	if (!submission)
		return false;
	*job = submission->active->job;
	return true;
}

bool waxwing_submissions_cancel(struct waxwing_submissions *table, int64_t now_ms,
				struct waxwing_str id, struct waxwing_error *error)
{
	const struct waxwing_submission *submission;
	struct waxwing_error reason;

	waxwing_submissions_tick(table, now_ms);
	submission = find_running(table, id, error);
	if (!submission)
		return false;
	waxwing_error_set(&reason, WAXWING_ERROR_CANCELLED, NULL, "%s", "");
	waxwing_submissions_refuse(table, now_ms, submission->active->job.number, &reason);
	return true;
}

bool waxwing_submissions_job(struct waxwing_submissions *table, uint64_t number,
			     struct waxwing_job *job)
{
	struct waxwing_submission *submission = g_hash_table_lookup(table->jobs_by_number, &number);

	if (!submission)
		return false;
	*job = submission->active->job;
	return true;
}

/** Queues a submission's new answer for its waiters, and the withdrawal of its remaining tasks. */
static void queue_answer(struct waxwing_submissions *table, struct waxwing_submission *submission)
{
	uint32_t queued = submission->active->counts[WAXWING_TASK_QUEUED];

	for (guint i = 0; i < submission->active->waiters->len; i++) {
		struct waxwing_pending_delivery delivery = {
			g_array_index(submission->active->waiters, struct waxwing_waiter, i),
			submission
		};

		submission->references++;
		g_array_append_val(table->deliveries, delivery);
	}
	g_array_free(submission->active->waiters, true);
	submission->active->waiters = NULL;
	if (queued || submission->active->counts[WAXWING_TASK_COMMITTED])
		g_array_append_val(table->withdrawals, submission->active->job.number);
	table->queued_tasks -= queued;
	table->running_jobs--;
	if (submission->epoch)
		table->finished_ids++;
	g_sequence_remove(submission->active->deadline_position);
	submission->active->deadline_position = NULL;
}

/** Releases a submission's active state once it is answered and no task is committed. */
static void release_if_finished(struct waxwing_submissions *table,
				struct waxwing_submission *submission)
{
	waxwing_submissions_update_bytes(table, submission);
	if (submission->answer && !submission->active->counts[WAXWING_TASK_COMMITTED])
		release_active(table, submission);
}

/** Replaces a submission that never ran by a tombstone. */
static void replace_with_tombstone(struct waxwing_submissions *table,
				   struct waxwing_submission *submission,
				   enum waxwing_error_code code)
{
	if (!submission->epoch)
		return;
	if (!submission->epoch->expired) {
		waxwing_tombstone_add(submission->epoch, submission->id, submission->digest, code);
		table->bytes += sizeof(struct waxwing_tombstone);
	} else {
		table->finished_ids--;
	}
	waxwing_windows_remove(table, submission);
}

static void fail_job(struct waxwing_submissions *table, struct waxwing_submission *submission,
		     const struct waxwing_error *reason)
{
	bool started = waxwing_submission_may_have_started(submission);

	waxwing_submission_fail(submission, reason);
	queue_answer(table, submission);
	if (!started)
		replace_with_tombstone(table, submission, reason->code);
	release_if_finished(table, submission);
}

static void expire_deadlines(struct waxwing_submissions *table, int64_t now_ms)
{
	struct waxwing_error error;

	while (!g_sequence_is_empty(table->jobs_by_deadline)) {
		struct waxwing_submission *first =
			g_sequence_get(g_sequence_get_begin_iter(table->jobs_by_deadline));

		if (first->active->job.deadline_ms > now_ms)
			return;
		waxwing_error_set(&error, WAXWING_ERROR_DEADLINE, NULL, "%s", "");
		fail_job(table, first, &error);
	}
}

void waxwing_submissions_tick(struct waxwing_submissions *table, int64_t now_ms)
{
	expire_deadlines(table, now_ms);
	waxwing_windows_advance(table, now_ms);
}

bool waxwing_submissions_commit(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				uint32_t task, struct waxwing_task_start *start)
{
	struct waxwing_submission *submission;
	const Waxwing__JobRequest *request;

	expire_deadlines(table, now_ms);
	submission = g_hash_table_lookup(table->jobs_by_number, &job);
	if (!submission || !waxwing_submission_commit_task(submission, task))
		return false;
	table->queued_tasks--;
	table->committed_tasks++;
	request = submission->active->request;
	*start = (struct waxwing_task_start){
		.id = waxwing_str(submission->id),
		.caller = waxwing_str(request->caller),
		.branch = waxwing_str(request->branch),
		.body = waxwing_str(request->tasks[task]->body),
		.task = task,
		.deadline_ms = submission->active->job.deadline_ms,
	};
	return true;
}

bool waxwing_submissions_end_task(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				  uint32_t task, enum waxwing_slot_outcome outcome,
				  struct waxwing_str body, bool *late)
{
	struct waxwing_submission *submission;
	struct waxwing_error error;
	enum waxwing_task_end end;
	bool was_answered;

	*late = false;
	expire_deadlines(table, now_ms);
	submission = g_hash_table_lookup(table->jobs_by_number, &job);
	if (!submission)
		return false;
	was_answered = submission->answer != NULL;
	end = waxwing_submission_end_task(submission, task, outcome, body, &error);
	if (end == WAXWING_TASK_END_IGNORED)
		return false;
	table->committed_tasks--;
	if (was_answered) {
		*late = end != WAXWING_TASK_END_REQUEUED;
	} else if (end == WAXWING_TASK_END_REQUEUED) {
		table->queued_tasks++;
		return true;
	} else if (end == WAXWING_TASK_END_FAILED) {
		waxwing_submission_fail(submission, &error);
		queue_answer(table, submission);
	} else if (submission->active->counts[WAXWING_TASK_DONE] ==
		   submission->active->task_count) {
		waxwing_submission_complete(submission);
		queue_answer(table, submission);
	}
	release_if_finished(table, submission);
	return false;
}

bool waxwing_submissions_retry(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
			       uint32_t task)
{
	struct waxwing_submission *submission;

	expire_deadlines(table, now_ms);
	submission = g_hash_table_lookup(table->jobs_by_number, &job);
	if (!submission || !waxwing_submission_retry_task(submission, task))
		return false;
	table->committed_tasks--;
	table->queued_tasks++;
	return true;
}

void waxwing_submissions_refuse(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				const struct waxwing_error *reason)
{
	struct waxwing_submission *submission;

	expire_deadlines(table, now_ms);
	submission = g_hash_table_lookup(table->jobs_by_number, &job);
	if (submission && !submission->answer)
		fail_job(table, submission, reason);
}

void waxwing_submissions_freeze(struct waxwing_submissions *table)
{
	table->frozen = true;
}
