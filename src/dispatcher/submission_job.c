#include "submission_job.h"

#include <xxhash.h>

/** A protobuf-c buffer that hashes its input instead of storing it. */
struct hash_buffer {
	ProtobufCBuffer base;
	XXH64_state_t *state;
};

static void hash_append(ProtobufCBuffer *buffer, size_t len, const uint8_t *data)
{
	XXH64_update(((struct hash_buffer *)buffer)->state, data, len);
}

uint64_t waxwing_submission_digest(const Waxwing__JobRequest *request)
{
	struct hash_buffer buffer = { .base.append = hash_append, .state = XXH64_createState() };
	Waxwing__JobRequest job = *request;
	uint64_t digest;

	job.has_deadline_ms = false;
	XXH64_reset(buffer.state, 0);
	protobuf_c_message_pack_to_buffer(&job.base, &buffer.base);
	digest = XXH64_digest(buffer.state);
	XXH64_freeState(buffer.state);
	return digest;
}

static Waxwing__JobRequest *request_copy(const Waxwing__JobRequest *request, size_t *bytes)
{
	size_t len = waxwing__job_request__get_packed_size(request);
	uint8_t *packed = g_malloc(len);
	Waxwing__JobRequest *copy;

	waxwing__job_request__pack(request, packed);
	copy = waxwing__job_request__unpack(NULL, len, packed);
	g_free(packed);
	*bytes = len;
	return copy;
}

struct waxwing_submission *waxwing_submission_create(const Waxwing__JobRequest *request,
						     uint64_t digest, uint64_t number,
						     int64_t now_ms, int64_t deadline_ms)
{
	struct waxwing_submission *submission = g_new0(struct waxwing_submission, 1);
	size_t bytes;

	submission->active = g_new0(struct waxwing_active_submission, 1);
	submission->references = 1;
	submission->id = g_strdup(request->id);
	submission->digest = digest;
	submission->active->request = request_copy(request, &bytes);
	submission->active->job = (struct waxwing_job){ number, submission->active->request, now_ms,
							deadline_ms, bytes };
	submission->active->task_count = (uint32_t)request->n_tasks;
	submission->active->tasks = g_new0(struct waxwing_task, submission->active->task_count);
	submission->active->counts[WAXWING_TASK_QUEUED] = submission->active->task_count;
	submission->active->waiters = g_array_new(false, false, sizeof(struct waxwing_waiter));
	submission->epoch_link.data = submission;
	submission->active->admission_link.data = submission;
	return submission;
}

void waxwing_submission_free_active(struct waxwing_submission *submission)
{
	struct waxwing_active_submission *active = submission->active;

	if (!active)
		return;
	for (uint32_t i = 0; i < active->task_count; i++)
		g_free(active->tasks[i].body);
	g_free(active->tasks);
	waxwing__job_request__free_unpacked(active->request, NULL);
	if (active->waiters)
		g_array_free(active->waiters, true);
	g_free(active);
	submission->active = NULL;
}

void waxwing_submission_destroy(struct waxwing_submission *submission)
{
	waxwing_submission_free_active(submission);
	g_free(submission->answer);
	g_free(submission->id);
	g_free(submission);
}

static bool can_change_state(enum waxwing_task_state from, enum waxwing_task_state to)
{
	switch (from) {
	case WAXWING_TASK_QUEUED:
		return to == WAXWING_TASK_COMMITTED;
	case WAXWING_TASK_COMMITTED:
		return true;
	default:
		return false;
	}
}

static bool task_set_state(struct waxwing_submission *submission, uint32_t task,
			   enum waxwing_task_state to)
{
	struct waxwing_task *entry = &submission->active->tasks[task];

	if (!can_change_state(entry->state, to))
		return false;
	submission->active->counts[entry->state]--;
	submission->active->counts[to]++;
	entry->state = to;
	return true;
}

static bool task_has_state(const struct waxwing_submission *submission, uint32_t task,
			   enum waxwing_task_state state)
{
	return submission->active && task < submission->active->task_count &&
	       submission->active->tasks[task].state == state;
}

bool waxwing_submission_commit_task(struct waxwing_submission *submission, uint32_t task)
{
	if (submission->answer || !task_has_state(submission, task, WAXWING_TASK_QUEUED))
		return false;
	return task_set_state(submission, task, WAXWING_TASK_COMMITTED);
}

bool waxwing_submission_retry_task(struct waxwing_submission *submission, uint32_t task)
{
	if (submission->answer || !task_has_state(submission, task, WAXWING_TASK_COMMITTED))
		return false;
	submission->active->retried = true;
	return task_set_state(submission, task, WAXWING_TASK_QUEUED);
}

bool waxwing_submission_may_have_started(const struct waxwing_submission *submission)
{
	const struct waxwing_active_submission *active = submission->active;

	return active->retried || active->counts[WAXWING_TASK_QUEUED] != active->task_count;
}

static void task_fail(struct waxwing_submission *submission, uint32_t task,
		      enum waxwing_task_state state, const char *what, struct waxwing_error *error)
{
	enum waxwing_error_code code = state == WAXWING_TASK_FAILED ? WAXWING_ERROR_TASK_FAILED :
								      WAXWING_ERROR_UPSTREAM_LOST;
	char path[32];

	task_set_state(submission, task, state);
	g_snprintf(path, sizeof(path), "tasks[%u]", task);
	waxwing_error_set(error, code, path, "%s", what);
}

static enum waxwing_task_end task_done(struct waxwing_submission *submission, uint32_t task,
				       struct waxwing_str body, struct waxwing_error *error)
{
	if (!g_utf8_validate_len(body.data, body.len, NULL)) {
		task_fail(submission, task, WAXWING_TASK_FAILED, "the answer is not UTF-8 text",
			  error);
		return WAXWING_TASK_END_FAILED;
	}
	task_set_state(submission, task, WAXWING_TASK_DONE);
	if (submission->answer)
		return WAXWING_TASK_END_DONE;
	submission->active->tasks[task].body = waxwing_str_dup(body);
	submission->active->body_bytes += body.len;
	return WAXWING_TASK_END_DONE;
}

enum waxwing_task_end waxwing_submission_end_task(struct waxwing_submission *submission,
						  uint32_t task, enum waxwing_slot_outcome outcome,
						  struct waxwing_str body,
						  struct waxwing_error *error)
{
	if (!task_has_state(submission, task, WAXWING_TASK_COMMITTED))
		return WAXWING_TASK_END_IGNORED;
	switch (outcome) {
	case WAXWING_SLOT_BUSY:
	case WAXWING_SLOT_UNREACHABLE:
	case WAXWING_SLOT_LEAVING:
		task_set_state(submission, task, WAXWING_TASK_QUEUED);
		return WAXWING_TASK_END_REQUEUED;
	case WAXWING_SLOT_DONE:
		return task_done(submission, task, body, error);
	case WAXWING_SLOT_FAILED:
		task_fail(submission, task, WAXWING_TASK_FAILED, "the upstream failed it", error);
		return WAXWING_TASK_END_FAILED;
	default:
		task_fail(submission, task, WAXWING_TASK_UNKNOWN, "no whole answer came", error);
		return WAXWING_TASK_END_FAILED;
	}
}

void waxwing_submission_complete(struct waxwing_submission *submission)
{
	Waxwing__JobAnswer answer = WAXWING__JOB_ANSWER__INIT;
	Waxwing__TaskAnswer *tasks = g_new(Waxwing__TaskAnswer, submission->active->task_count);

	answer.id = submission->id;
	answer.state = "complete";
	answer.n_tasks = submission->active->task_count;
	answer.tasks = g_new(Waxwing__TaskAnswer *, submission->active->task_count);
	for (uint32_t i = 0; i < submission->active->task_count; i++) {
		waxwing__task_answer__init(&tasks[i]);
		tasks[i].body = submission->active->tasks[i].body;
		answer.tasks[i] = &tasks[i];
	}
	submission->answer_len = waxwing__job_answer__get_packed_size(&answer);
	submission->answer = g_malloc(submission->answer_len);
	waxwing__job_answer__pack(&answer, submission->answer);
	g_free(answer.tasks);
	g_free(tasks);
}

/** Converts the reason of a failure for a job of which a task may have started. */
static void error_after_start(const struct waxwing_error *reason, struct waxwing_error *error)
{
	*error = *reason;
	if (!waxwing_error_is_not_run(reason->code))
		return;
	if (reason->code == WAXWING_ERROR_DEADLINE) {
		error->code = WAXWING_ERROR_LATE;
		return;
	}
	waxwing_error_set(error, WAXWING_ERROR_OUTCOME_UNKNOWN, reason->path, "%s: %s",
			  waxwing_error_name(reason->code), reason->detail);
}

uint8_t *waxwing_failure_pack(const char *id, const char *state, const struct waxwing_error *error,
			      size_t *len)
{
	Waxwing__JobAnswer answer = WAXWING__JOB_ANSWER__INIT;
	Waxwing__Failure failure = WAXWING__FAILURE__INIT;
	const char *sentence = waxwing_strerror(error->code);
	char *message = error->detail[0] ? g_strdup_printf("%s: %s", sentence, error->detail) :
					   g_strdup(sentence);
	uint8_t *packed;

	failure.code = (char *)waxwing_error_name(error->code);
	failure.message = message;
	failure.path = error->path[0] ? (char *)error->path : NULL;
	failure.has_retry_after_ms = error->retry_after_ms > 0;
	failure.retry_after_ms = error->retry_after_ms;
	answer.id = (char *)id;
	answer.state = (char *)state;
	answer.failure = &failure;
	*len = waxwing__job_answer__get_packed_size(&answer);
	packed = g_malloc(*len);
	waxwing__job_answer__pack(&answer, packed);
	g_free(message);
	return packed;
}

void waxwing_submission_fail(struct waxwing_submission *submission,
			     const struct waxwing_error *reason)
{
	bool started = waxwing_submission_may_have_started(submission);
	const char *state = started ? "failed" : "not_run";
	struct waxwing_error error = *reason;

	if (started)
		error_after_start(reason, &error);
	submission->answer =
		waxwing_failure_pack(submission->id, state, &error, &submission->answer_len);
}

uint64_t waxwing_submission_bytes(const struct waxwing_submission *submission)
{
	uint64_t bytes = strlen(submission->id) + submission->answer_len;

	if (submission->active)
		bytes += submission->active->body_bytes + submission->active->job.bytes;
	return bytes;
}
