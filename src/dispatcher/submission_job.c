#include "submission_job.h"

#include <xxhash.h>

/** A protobuf-c output that only hashes. */
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

	submission->run = g_new0(struct waxwing_submission_run, 1);
	submission->references = 1;
	submission->id = g_strdup(request->id);
	submission->digest = digest;
	submission->run->request = request_copy(request, &bytes);
	submission->run->job = (struct waxwing_job){ number, submission->run->request, now_ms,
						     deadline_ms, bytes };
	submission->run->task_count = (uint32_t)request->n_tasks;
	submission->run->tasks = g_new0(struct waxwing_task, submission->run->task_count);
	submission->run->counts[WAXWING_TASK_QUEUED] = submission->run->task_count;
	submission->run->waiters = g_array_new(false, false, sizeof(struct waxwing_waiter));
	submission->epoch_link.data = submission;
	submission->run->link.data = submission;
	return submission;
}

void waxwing_submission_end_run(struct waxwing_submission *submission)
{
	struct waxwing_submission_run *run = submission->run;

	if (!run)
		return;
	for (uint32_t i = 0; i < run->task_count; i++)
		g_free(run->tasks[i].body);
	g_free(run->tasks);
	waxwing__job_request__free_unpacked(run->request, NULL);
	if (run->waiters)
		g_array_free(run->waiters, true);
	g_free(run);
	submission->run = NULL;
}

void waxwing_submission_destroy(struct waxwing_submission *submission)
{
	waxwing_submission_end_run(submission);
	g_free(submission->answer);
	g_free(submission->id);
	g_free(submission);
}

static bool task_may_move(enum waxwing_task_state from, enum waxwing_task_state to)
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

static bool task_move(struct waxwing_submission *submission, uint32_t task,
		      enum waxwing_task_state to)
{
	struct waxwing_task *moved = &submission->run->tasks[task];

	if (!task_may_move(moved->state, to))
		return false;
	submission->run->counts[moved->state]--;
	submission->run->counts[to]++;
	moved->state = to;
	return true;
}

static bool task_is(const struct waxwing_submission *submission, uint32_t task,
		    enum waxwing_task_state state)
{
	return submission->run && task < submission->run->task_count &&
	       submission->run->tasks[task].state == state;
}

bool waxwing_submission_commit(struct waxwing_submission *submission, uint32_t task)
{
	if (submission->answer || !task_is(submission, task, WAXWING_TASK_QUEUED))
		return false;
	return task_move(submission, task, WAXWING_TASK_COMMITTED);
}

bool waxwing_submission_retry(struct waxwing_submission *submission, uint32_t task)
{
	if (submission->answer || !task_is(submission, task, WAXWING_TASK_COMMITTED))
		return false;
	submission->run->retried = true;
	return task_move(submission, task, WAXWING_TASK_QUEUED);
}

bool waxwing_submission_may_have_started(const struct waxwing_submission *submission)
{
	const struct waxwing_submission_run *run = submission->run;

	return run->retried || run->counts[WAXWING_TASK_QUEUED] != run->task_count;
}

static void task_fail(struct waxwing_submission *submission, uint32_t task,
		      enum waxwing_task_state state, const char *what, struct waxwing_error *error)
{
	enum waxwing_error_code code = state == WAXWING_TASK_FAILED ? WAXWING_ERROR_TASK_FAILED :
								      WAXWING_ERROR_UPSTREAM_LOST;
	char path[32];

	task_move(submission, task, state);
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
	task_move(submission, task, WAXWING_TASK_DONE);
	if (submission->answer)
		return WAXWING_TASK_END_DONE;
	submission->run->tasks[task].body = waxwing_str_dup(body);
	submission->run->body_bytes += body.len;
	return WAXWING_TASK_END_DONE;
}

enum waxwing_task_end waxwing_submission_end(struct waxwing_submission *submission, uint32_t task,
					     enum waxwing_slot_outcome outcome,
					     struct waxwing_str body, struct waxwing_error *error)
{
	if (!task_is(submission, task, WAXWING_TASK_COMMITTED))
		return WAXWING_TASK_END_IGNORED;
	switch (outcome) {
	case WAXWING_SLOT_BUSY:
	case WAXWING_SLOT_UNREACHABLE:
	case WAXWING_SLOT_LEAVING:
		task_move(submission, task, WAXWING_TASK_QUEUED);
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
	Waxwing__TaskAnswer *tasks = g_new(Waxwing__TaskAnswer, submission->run->task_count);

	answer.id = submission->id;
	answer.state = "complete";
	answer.n_tasks = submission->run->task_count;
	answer.tasks = g_new(Waxwing__TaskAnswer *, submission->run->task_count);
	for (uint32_t i = 0; i < submission->run->task_count; i++) {
		waxwing__task_answer__init(&tasks[i]);
		tasks[i].body = submission->run->tasks[i].body;
		answer.tasks[i] = &tasks[i];
	}
	submission->answer_len = waxwing__job_answer__get_packed_size(&answer);
	submission->answer = g_malloc(submission->answer_len);
	waxwing__job_answer__pack(&answer, submission->answer);
	g_free(answer.tasks);
	g_free(tasks);
}

/** The reason as it holds for a job of which something may have started. */
static void reason_after_start(const struct waxwing_error *reason, struct waxwing_error *error)
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
		reason_after_start(reason, &error);
	submission->answer =
		waxwing_failure_pack(submission->id, state, &error, &submission->answer_len);
}

uint64_t waxwing_submission_bytes(const struct waxwing_submission *submission)
{
	uint64_t bytes = strlen(submission->id) + submission->answer_len;

	if (submission->run)
		bytes += submission->run->body_bytes + submission->run->job.bytes;
	return bytes;
}
