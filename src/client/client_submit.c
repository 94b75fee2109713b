#include "binding.h"
#include "client_private.h"
#include "generated/api.pb-c.h"

#include <inttypes.h>

#define US_PER_MS 1000

/** A submission in progress. */
struct submission {
	struct waxwing_client *client;
	const struct waxwing_client_job *job;
	const char *target;
	bool generated_id; /**< the client generated the id and may replace it */
	bool maybe_accepted; /**< a call with this id may have been accepted earlier */
	struct waxwing_client_answer *answer;
};

/** The next action after a call. */
enum next_step {
	NEXT_DONE, /**< the answer is final */
	NEXT_SAME_ID, /**< submit the same id to the next instance */
	NEXT_NEW_ID, /**< submit the job under a new id; it cannot run under the current one */
};

static const char *const state_names[] = {
	[WAXWING_CLIENT_COMPLETE] = "complete",
	[WAXWING_CLIENT_FAILED] = "failed",
	[WAXWING_CLIENT_NOT_RUN] = "not_run",
	[WAXWING_CLIENT_UNKNOWN] = "unknown",
};

const char *waxwing_client_state_name(enum waxwing_client_state state)
{
	return (size_t)state < G_N_ELEMENTS(state_names) ? state_names[state] : "unknown";
}

void waxwing_client_answer_clear(struct waxwing_client_answer *answer)
{
	for (size_t i = 0; i < answer->task_count; i++)
		g_free(answer->tasks[i].body);
	g_clear_pointer(&answer->tasks, g_free);
	answer->task_count = 0;
}

static enum waxwing_error_code set_failure(struct waxwing_client_answer *answer,
					   enum waxwing_client_state state,
					   enum waxwing_error_code code, const char *path,
					   const char *detail)
{
	answer->state = state;
	return waxwing_error_set(&answer->error, code, path, "%s", detail);
}

static enum waxwing_error_code check_job(const struct waxwing_client_job *job,
					 struct waxwing_client_answer *answer)
{
	char path[32];

	if (!job->branch || !job->task_count)
		return set_failure(answer, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_MISSING,
				   job->branch ? "tasks" : "branch", "");
	for (size_t i = 0; i < job->task_count; i++) {
		const struct waxwing_client_task *task = &job->tasks[i];

		if (!task->body_len || g_utf8_validate_len(task->body, task->body_len, NULL))
			continue;
		g_snprintf(path, sizeof(path), "tasks[%zu].body", i);
		return set_failure(answer, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_TYPE, path,
				   "not UTF-8 text");
	}
	return WAXWING_OK;
}

static char *dup_body(const struct waxwing_client_task *task)
{
	return g_strndup(task->body_len ? task->body : "", task->body_len);
}

static char *print_request(const struct submission *submission)
{
	const struct waxwing_client_job *job = submission->job;
	Waxwing__SingleRequest request = WAXWING__SINGLE_REQUEST__INIT;
	char *body = dup_body(job->tasks);
	char *text;

	request.id = submission->answer->id;
	request.caller = submission->client->caller;
	request.branch = (char *)job->branch;
	request.has_deadline_ms = job->deadline_ms != 0;
	request.deadline_ms = job->deadline_ms;
	request.body = body;
	text = waxwing_binding_print(&request.base, false);
	g_free(body);
	return text;
}

static char *print_job(const struct submission *submission)
{
	const struct waxwing_client_job *job = submission->job;
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;
	Waxwing__TaskRequest *tasks = g_new(Waxwing__TaskRequest, job->task_count);
	char *text;

	request.id = submission->answer->id;
	request.caller = submission->client->caller;
	request.branch = (char *)job->branch;
	request.has_deadline_ms = job->deadline_ms != 0;
	request.deadline_ms = job->deadline_ms;
	request.n_tasks = job->task_count;
	request.tasks = g_new(Waxwing__TaskRequest *, job->task_count);
	for (size_t i = 0; i < job->task_count; i++) {
		waxwing__task_request__init(&tasks[i]);
		tasks[i].body = dup_body(&job->tasks[i]);
		tasks[i].has_declared_ms = job->tasks[i].declared_ms != 0;
		tasks[i].declared_ms = job->tasks[i].declared_ms;
		request.tasks[i] = &tasks[i];
	}
	text = waxwing_binding_print(&request.base, false);
	for (size_t i = 0; i < job->task_count; i++)
		g_free(tasks[i].body);
	g_free(request.tasks);
	g_free(tasks);
	return text;
}

static enum next_step store_result(const struct submission *submission,
				   const Waxwing__JobAnswer *message)
{
	struct waxwing_client_answer *answer = submission->answer;

	answer->state = WAXWING_CLIENT_COMPLETE;
	answer->error = (struct waxwing_error)WAXWING_ERROR_INIT;
	answer->task_count = message->n_tasks;
	answer->tasks = g_new0(struct waxwing_client_task_answer, message->n_tasks);
	for (size_t i = 0; i < message->n_tasks; i++) {
		answer->tasks[i].body =
			g_strdup(message->tasks[i]->body ? message->tasks[i]->body : "");
		answer->tasks[i].body_len = strlen(answer->tasks[i].body);
	}
	return NEXT_DONE;
}

static void store_failure(struct waxwing_client_answer *answer, const Waxwing__JobAnswer *message)
{
	const Waxwing__Failure *failure = message->failure;
	enum waxwing_error_code code = waxwing_error_from_name(failure->code);

	if (code == WAXWING_ERROR_COUNT)
		code = WAXWING_ERROR_OUTCOME_UNKNOWN;
	waxwing_error_set(&answer->error, code, failure->path, "%s", failure->message);
	answer->error.line = failure->line;
	answer->error.retry_after_ms = failure->retry_after_ms;
	answer->state = WAXWING_CLIENT_UNKNOWN;
	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++)
		if (strcmp(message->state, state_names[i]) == 0)
			answer->state = (enum waxwing_client_state)i;
}

/** Returns true if an instance refuses with this code without asking the id's issuer. */
static bool is_local_refusal(enum waxwing_error_code code)
{
	return code == WAXWING_ERROR_LEAVING || code == WAXWING_ERROR_NOT_READY;
}

static enum next_step after_failure(struct submission *submission)
{
	struct waxwing_client_answer *answer = submission->answer;
	enum waxwing_error_code code = answer->error.code;

	if (is_local_refusal(code) ||
	    (code == WAXWING_ERROR_EXPIRED_ID && !submission->maybe_accepted)) {
		waxwing_client_set_window(submission->client, NULL);
		if (submission->generated_id && !submission->maybe_accepted)
			return NEXT_NEW_ID;
	}
	if (answer->state == WAXWING_CLIENT_NOT_RUN && submission->maybe_accepted &&
	    is_local_refusal(code)) {
		answer->state = WAXWING_CLIENT_UNKNOWN;
		return NEXT_SAME_ID;
	}
	if (answer->state == WAXWING_CLIENT_UNKNOWN && code == WAXWING_ERROR_OUTCOME_UNKNOWN) {
		submission->maybe_accepted = true;
		return NEXT_SAME_ID;
	}
	return NEXT_DONE;
}

static enum next_step set_outcome_unknown(struct submission *submission, const char *reason)
{
	submission->maybe_accepted = true;
	set_failure(submission->answer, WAXWING_CLIENT_UNKNOWN, WAXWING_ERROR_OUTCOME_UNKNOWN, NULL,
		    reason);
	return NEXT_SAME_ID;
}

/**
 * Returns true if an answer is for this job and, if complete, has all its tasks. A refusal of the
 * call itself may carry no id.
 */
static bool matches_submission(const struct submission *submission,
			       const Waxwing__JobAnswer *message)
{
	bool complete = strcmp(message->state, "complete") == 0;

	if (complete)
		return strcmp(message->id, submission->answer->id) == 0 &&
		       message->n_tasks == submission->job->task_count;
	return message->failure && message->n_tasks == 0 &&
	       (!*message->id || strcmp(message->id, submission->answer->id) == 0);
}

static enum next_step handle_message(struct submission *submission,
				     const Waxwing__JobAnswer *message, const char *window)
{
	if (!matches_submission(submission, message))
		return set_outcome_unknown(submission,
					   "the answer belongs to another job or is incomplete");
	if (window)
		waxwing_client_set_window(submission->client, window);
	if (strcmp(message->state, "complete") == 0)
		return store_result(submission, message);
	store_failure(submission->answer, message);
	return after_failure(submission);
}

static enum next_step handle_response(struct submission *submission,
				      const struct waxwing_http_answer *http)
{
	struct waxwing_str text = { http->body->len, http->body->str };
	ProtobufCMessage *message =
		waxwing_binding_parse(&waxwing__job_answer__descriptor, text, NULL, NULL);
	enum next_step next;

	if (!message)
		return set_outcome_unknown(submission, "the answer is malformed");
	next = handle_message(submission, (const Waxwing__JobAnswer *)message, http->header);
	protobuf_c_message_free_unpacked(message, NULL);
	return next;
}

static enum next_step call_once(struct submission *submission, const char *body)
{
	const char *instance = waxwing_client_next_instance(submission->client);
	struct waxwing_client_answer *answer = submission->answer;
	struct waxwing_http_answer http;
	enum next_step next = NEXT_SAME_ID;

	answer->calls++;
	switch (waxwing_client_call(submission->client, instance, "POST", submission->target,
				    waxwing_str(body), &http)) {
	case WAXWING_HTTP_COMPLETE:
		next = handle_response(submission, &http);
		break;
	case WAXWING_HTTP_UNREACHABLE:
		break;
	case WAXWING_HTTP_TOO_LARGE:
		set_failure(answer, WAXWING_CLIENT_UNKNOWN, WAXWING_ERROR_TOO_LARGE, instance,
			    "the answer exceeds the client's limit");
		next = NEXT_DONE;
		break;
	default:
		next = set_outcome_unknown(submission, "no complete answer arrived");
	}
	waxwing_http_answer_clear(&http);
	return next;
}

static void delay_retry(const struct submission *submission)
{
	uint32_t round = submission->answer->calls / (uint32_t)submission->client->instance_count;

	if (round)
		g_usleep((gulong)g_random_int_range(1, (gint32)submission->client->pause_ms + 1) *
			 round * US_PER_MS);
}

static enum waxwing_error_code submit_with_retries(struct submission *submission)
{
	struct waxwing_client_answer *answer = submission->answer;
	enum next_step next = submission->generated_id ? NEXT_NEW_ID : NEXT_SAME_ID;
	char *body = NULL;

	while (next != NEXT_DONE && answer->calls < submission->client->attempts) {
		delay_retry(submission);
		if (next == NEXT_NEW_ID &&
		    waxwing_client_new_id(submission->client, answer->id, &answer->error)) {
			answer->state = WAXWING_CLIENT_NOT_RUN;
			break;
		}
		if (next == NEXT_NEW_ID || !body) {
			g_free(body);
			body = strcmp(submission->target, "/v1/jobs") == 0 ?
				       print_job(submission) :
				       print_request(submission);
		}
		next = call_once(submission, body);
	}
	g_free(body);
	return answer->error.code;
}

static enum waxwing_error_code submit(struct waxwing_client *client,
				      const struct waxwing_client_job *job, const char *target,
				      struct waxwing_client_answer *answer)
{
	struct submission submission = { client, job, target, !job->id, job->id, answer };

	set_failure(answer, job->id ? WAXWING_CLIENT_UNKNOWN : WAXWING_CLIENT_NOT_RUN,
		    WAXWING_ERROR_UNREACHABLE, NULL, "no instance could be reached");
	if (check_job(job, answer))
		return answer->error.code;
	if (job->id && g_strlcpy(answer->id, job->id, sizeof(answer->id)) >= sizeof(answer->id))
		return set_failure(answer, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_BAD_ID, "id",
				   "the id is too long");
	return submit_with_retries(&submission);
}

enum waxwing_error_code waxwing_client_submit(struct waxwing_client *client,
					      const struct waxwing_client_job *job,
					      struct waxwing_client_answer *answer)
{
	*answer = (struct waxwing_client_answer){ 0 };
	return submit(client, job, "/v1/jobs", answer);
}

enum waxwing_error_code waxwing_client_request(struct waxwing_client *client,
					       const struct waxwing_client_job *job,
					       struct waxwing_client_answer *answer)
{
	*answer = (struct waxwing_client_answer){ 0 };
	if (job->task_count > 1)
		return set_failure(answer, WAXWING_CLIENT_NOT_RUN, WAXWING_ERROR_TOO_MANY, "tasks",
				   "a single request has exactly one task");
	return submit(client, job, "/v1/requests", answer);
}
