/*
 * The HTTP routes of an entry instance.
 */
#include "http_request.h"

#include "api_ranges.h"
#include "binding.h"
#include "http_state.h"

#include <inttypes.h>
#include <string.h>

#define MIME_JSON "application/json"
#define MIME_TEXT "text/plain; charset=utf-8"

/* Replies: called on the core thread. */

static void reply_job(struct waxwing_reply *reply, const Waxwing__JobAnswer *answer,
		      struct waxwing_str window)
{
	struct waxwing_request *request = (struct waxwing_request *)reply;
	unsigned int status = MHD_HTTP_OK;

	if (answer->failure) {
		status = waxwing_http_status(waxwing_error_from_name(answer->failure->code));
		request->retry_after_ms = answer->failure->retry_after_ms;
		if (request->caller)
			waxwing_request_log_failure(request, answer);
	}
	request->window = waxwing_str_dup(window);
	waxwing_request_answer(request, status, MIME_JSON,
			       waxwing_binding_print(&answer->base, false));
	waxwing_request_resume(request);
}

static void reply_text(struct waxwing_reply *reply, const struct waxwing_error *error,
		       struct waxwing_str text)
{
	struct waxwing_request *request = (struct waxwing_request *)reply;

	if (error->code != WAXWING_OK)
		waxwing_request_fail(request, error);
	else
		waxwing_request_answer(request, MHD_HTTP_OK, MIME_JSON, waxwing_str_dup(text));
	waxwing_request_resume(request);
}

static void reply_window(struct waxwing_reply *reply, const struct waxwing_error *error,
			 struct waxwing_str text)
{
	struct waxwing_request *request = (struct waxwing_request *)reply;

	(void)error;
	request->window = waxwing_str_dup(text);
	waxwing_request_answer(request, MHD_HTTP_OK, MIME_JSON,
			       g_strdup_printf("{\"window\":\"%s\"}", request->window));
	waxwing_request_resume(request);
}

static const struct waxwing_reply_ops default_ops = { .job = reply_job, .text = reply_text };
static const struct waxwing_reply_ops window_ops = { .job = reply_job, .text = reply_window };

/* Route handlers: called on a thread of the HTTP server. */

static ProtobufCMessage *parse_body(struct waxwing_request *request,
				    const ProtobufCMessageDescriptor *type)
{
	struct waxwing_limits limits;
	struct waxwing_binding_options options = {
		.ranges = waxwing_api_ranges,
	};
	struct waxwing_str text = { request->body->len, request->body->str };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	ProtobufCMessage *message;

	waxwing_http_read_limits(request->http, &limits);
	options.max_depth = limits.json_depth;
	message = waxwing_binding_parse(type, text, &options, &error);
	if (!message)
		waxwing_request_reject(request, &error);
	return message;
}

static void submit(struct waxwing_request *request, Waxwing__JobRequest *job,
		   enum waxwing_submit_kind kind)
{
	request->caller = g_strdup(job->caller);
	request->reply.ops = &default_ops;
	waxwing_request_suspend(request);
	waxwing_core_submit(waxwing_http_core(request->http), job, kind, &request->reply);
}

static void serve_submit(struct waxwing_request *request)
{
	ProtobufCMessage *message = parse_body(request, &waxwing__job_request__descriptor);

	if (!message)
		return;
	submit(request, (Waxwing__JobRequest *)message, WAXWING_SUBMIT_JOB);
}

/* Converts a single request into a job of one task; the job takes ownership of the strings. */
static Waxwing__JobRequest *single_job(Waxwing__SingleRequest *single)
{
	Waxwing__JobRequest *job = g_new(Waxwing__JobRequest, 1);
	Waxwing__TaskRequest *task = g_new(Waxwing__TaskRequest, 1);

	waxwing__job_request__init(job);
	waxwing__task_request__init(task);
	job->id = g_steal_pointer(&single->id);
	job->caller = g_steal_pointer(&single->caller);
	job->branch = g_steal_pointer(&single->branch);
	job->has_deadline_ms = single->has_deadline_ms;
	job->deadline_ms = single->deadline_ms;
	job->n_tasks = 1;
	job->tasks = g_new(Waxwing__TaskRequest *, 1);
	job->tasks[0] = task;
	task->body = g_steal_pointer(&single->body);
	return job;
}

static void serve_request(struct waxwing_request *request)
{
	ProtobufCMessage *message = parse_body(request, &waxwing__single_request__descriptor);
	Waxwing__JobRequest *job;

	if (!message)
		return;
	job = single_job((Waxwing__SingleRequest *)message);
	protobuf_c_message_free_unpacked(message, NULL);
	submit(request, job, WAXWING_SUBMIT_SINGLE);
}

static void serve_cancel(struct waxwing_request *request)
{
	const char *id =
		MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, "id");
	struct waxwing_error error = WAXWING_ERROR_INIT;

	if (!id) {
		waxwing_error_set(&error, WAXWING_ERROR_MISSING, "id",
				  "the id of the job to cancel is missing");
		waxwing_request_reject(request, &error);
		return;
	}
	request->reply.ops = &default_ops;
	waxwing_request_suspend(request);
	waxwing_core_cancel(waxwing_http_core(request->http), waxwing_str(id), &request->reply);
}

static void serve_window(struct waxwing_request *request)
{
	request->reply.ops = &window_ops;
	waxwing_request_suspend(request);
	waxwing_core_get_window(waxwing_http_core(request->http), &request->reply);
}

static void request_dump(struct waxwing_request *request,
			 void (*finish)(struct waxwing_request *request))
{
	request->reply.ops = &default_ops;
	request->finish = finish;
	waxwing_request_suspend(request);
	waxwing_core_dump_state(waxwing_http_core(request->http), &request->reply);
}

static void finish_state(struct waxwing_request *request)
{
	waxwing_request_answer(request, MHD_HTTP_OK, MIME_JSON,
			       waxwing_http_state_print(request->http, request->text));
}

static void serve_state(struct waxwing_request *request)
{
	request_dump(request, finish_state);
}

static void serve_settings(struct waxwing_request *request)
{
	struct waxwing_limits limits;
	uint64_t revision = waxwing_http_read_limits(request->http, &limits);

	waxwing_request_answer(request, MHD_HTTP_OK, MIME_JSON,
			       g_strdup_printf("{\"settings_revision\":%" PRIu64 "}", revision));
}

static void serve_drain(struct waxwing_request *request)
{
	waxwing_http_drain(request->http);
	waxwing_request_answer(request, MHD_HTTP_OK, MIME_JSON, g_strdup("{\"draining\":true}"));
}

static void finish_metrics(struct waxwing_request *request)
{
	waxwing_request_answer(request, MHD_HTTP_OK, MIME_TEXT,
			       waxwing_http_metrics_print(request->http, request->text));
}

static void serve_metrics(struct waxwing_request *request)
{
	request_dump(request, finish_metrics);
}

static void serve_live(struct waxwing_request *request)
{
	waxwing_request_answer(request, MHD_HTTP_OK, MIME_TEXT, g_strdup("live\n"));
}

static void serve_ready(struct waxwing_request *request)
{
	bool ready = waxwing_core_ready(waxwing_http_core(request->http));

	waxwing_request_answer(request, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
			       MIME_TEXT, g_strdup(ready ? "ready\n" : "not ready\n"));
}

static const struct waxwing_route routes[] = {
	{ "POST", "/v1/jobs", serve_submit },	{ "POST", "/v1/requests", serve_request },
	{ "DELETE", "/v1/jobs", serve_cancel }, { "GET", "/v1/window", serve_window },
	{ "GET", "/v1/state", serve_state },	{ "GET", "/v1/settings", serve_settings },
	{ "POST", "/v1/drain", serve_drain },	{ "GET", "/metrics", serve_metrics },
	{ "GET", "/live", serve_live },		{ "GET", "/ready", serve_ready },
};

const struct waxwing_route *waxwing_route_find(const char *method, const char *path,
					       struct waxwing_error *error)
{
	bool path_found = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (strcmp(routes[i].path, path) != 0)
			continue;
		if (strcmp(routes[i].method, method) == 0)
			return &routes[i];
		path_found = true;
	}
	waxwing_error_set(
		error, path_found ? WAXWING_ERROR_METHOD : WAXWING_ERROR_NOT_FOUND, path, "%s",
		waxwing_strerror(path_found ? WAXWING_ERROR_METHOD : WAXWING_ERROR_NOT_FOUND));
	return NULL;
}
