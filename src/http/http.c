#include "http_request.h"

#define LOG_PART "http"
#include "log.h"

#include "binding.h"
#include "clock.h"
#include "counters.h"
#include "failure.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <urcu.h>

#define DEFAULT_THREADS		4
#define DEFAULT_CONNECTIONS	4096
#define DEFAULT_BODY_BYTES	(2 * 1024 * 1024)
#define DEFAULT_IDLE_S		60
#define DEFAULT_PHASE_S		60
#define CONNECTION_MEMORY_BYTES (16 * 1024)
#define MS_PER_S		1000

struct waxwing_http {
	struct waxwing_http_options options;
	struct MHD_Daemon *daemon;
	MHD_socket quiesced;
	struct waxwing_http_connections *connections;
	atomic_uint active;
	struct waxwing_log_limit reject_log;
	struct waxwing_log_limit failure_log;
};

struct waxwing_core *waxwing_http_core(const struct waxwing_http *http)
{
	return http->options.core;
}

static pthread_key_t reader_key;
static pthread_once_t reader_once = PTHREAD_ONCE_INIT;

static void end_reader(void *value)
{
	(void)value;
	rcu_unregister_thread();
}

static void make_reader_key(void)
{
	pthread_key_create(&reader_key, end_reader);
}

/* libmicrohttpd starts the threads, so each registers with RCU when it first reads. */
static void register_reader(void)
{
	pthread_once(&reader_once, make_reader_key);
	if (pthread_getspecific(reader_key))
		return;
	rcu_register_thread();
	pthread_setspecific(reader_key, &reader_key);
}

uint64_t waxwing_http_settings(const struct waxwing_http *http, struct waxwing_limits *limits)
{
	struct waxwing_settings_store *store = waxwing_core_store(http->options.core);
	const struct waxwing_settings *settings;
	uint64_t revision = 0;

	*limits = (struct waxwing_limits){ 0 };
	register_reader();
	settings = waxwing_settings_read_begin(store);
	if (settings) {
		*limits = *waxwing_settings_limits(settings);
		revision = waxwing_settings_revision(settings);
	}
	waxwing_settings_read_end(store);
	return revision;
}

void waxwing_http_drain(struct waxwing_http *http)
{
	http->options.drain(http->options.context);
}

void waxwing_request_answer(struct waxwing_request *request, unsigned int status,
			    const char *content_type, char *text)
{
	g_free(request->text);
	request->status = status;
	request->content_type = content_type;
	request->text = text;
}

void waxwing_request_fail(struct waxwing_request *request, const struct waxwing_error *error)
{
	struct waxwing_failed_answer failed;

	waxwing_failed_answer_init(&failed, "", error);
	request->retry_after_ms = error->retry_after_ms;
	waxwing_request_answer(request, waxwing_http_status(error->code), "application/json",
			       waxwing_binding_print(&failed.answer.base, false));
}

void waxwing_request_wait(struct waxwing_request *request)
{
	request->state = WAXWING_REQUEST_WAITING;
	MHD_suspend_connection(request->connection);
}

void waxwing_request_resume(struct waxwing_request *request)
{
	MHD_resume_connection(request->connection);
}

static bool may_log(struct waxwing_log_limit *limit, uint32_t *suppressed)
{
	return waxwing_log_allowed(limit, waxwing_clock_now(waxwing_clock_monotonic()), suppressed);
}

/* What callers send is escaped: it must not look like lines of its own. */
static void log_rejected(struct waxwing_request *request, const struct waxwing_error *error)
{
	uint32_t suppressed;
	char *path;

	waxwing_count(http_rejected);
	if (!may_log(&request->http->reject_log, &suppressed))
		return;
	path = g_strescape(error->path, NULL);
	log_info("request rejected: %s at \"%s\" (%u like it not logged)",
		 waxwing_error_name(error->code), path, suppressed);
	g_free(path);
}

void waxwing_request_log_failure(struct waxwing_request *request, const Waxwing__JobAnswer *answer)
{
	uint32_t suppressed;
	char *id;
	char *caller;

	if (!may_log(&request->http->failure_log, &suppressed))
		return;
	id = g_strescape(answer->id, NULL);
	caller = g_strescape(request->caller, NULL);
	log_info("submission %s of caller %s: %s, %s (%u like it not logged)", id, caller,
		 answer->state, answer->failure->code, suppressed);
	g_free(id);
	g_free(caller);
}

void waxwing_request_reject(struct waxwing_request *request, const struct waxwing_error *error)
{
	log_rejected(request, error);
	waxwing_request_fail(request, error);
}

static enum MHD_Result send_answer(struct waxwing_request *request)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(request->text), request->text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char seconds[16];

	waxwing_http_connection_expect(request->phase);
	MHD_add_response_header(response, "Content-Type", request->content_type);
	if (request->window)
		MHD_add_response_header(response, "Waxwing-Window", request->window);
	if (request->retry_after_ms) {
		snprintf(seconds, sizeof(seconds), "%u",
			 (request->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		MHD_add_response_header(response, "Retry-After", seconds);
	}
	result = MHD_queue_response(request->connection, request->status, response);
	MHD_destroy_response(response);
	request->state = WAXWING_REQUEST_SENT;
	return result;
}

/* The record that was made when the connection was opened. */
static struct waxwing_http_connection *connection_of(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static struct waxwing_request *request_new(struct waxwing_http *http,
					   struct MHD_Connection *connection)
{
	struct waxwing_request *request = g_new0(struct waxwing_request, 1);

	waxwing_count(http_requests);
	atomic_fetch_add(&http->active, 1);
	request->http = http;
	request->connection = connection;
	request->phase = connection_of(connection);
	request->body = g_string_new(NULL);
	return request;
}

static void take_body(struct waxwing_request *request, const char *data, size_t *size)
{
	uint32_t limit = request->http->options.body_bytes;

	if (request->body->len + *size > limit)
		waxwing_error_set(&request->error, WAXWING_ERROR_TOO_LARGE, "",
				  "the body passes %u bytes", limit);
	else
		g_string_append_len(request->body, data, (gssize)*size);
	*size = 0;
}

static enum MHD_Result handle(void *context, struct MHD_Connection *connection, const char *url,
			      const char *method, const char *version, const char *upload_data,
			      size_t *upload_data_size, void **state)
{
	struct waxwing_request *request = *state;

	(void)version;
	if (!request) {
		request = request_new(context, connection);
		request->route = waxwing_route_find(method, url, &request->error);
		*state = request;
		return MHD_YES;
	}
	if (*upload_data_size) {
		take_body(request, upload_data, upload_data_size);
		return MHD_YES;
	}
	switch (request->state) {
	case WAXWING_REQUEST_READING:
		waxwing_http_connection_wait(request->phase);
		if (request->error.code != WAXWING_OK)
			waxwing_request_reject(request, &request->error);
		else
			request->route->serve(request);
		/* A request that waits is the core's until it is resumed. */
		return request->state == WAXWING_REQUEST_WAITING ? MHD_YES : send_answer(request);
	case WAXWING_REQUEST_WAITING:
		if (request->finish)
			request->finish(request);
		return send_answer(request);
	case WAXWING_REQUEST_SENT:
		break;
	}
	return MHD_YES;
}

static void completed(void *context, struct MHD_Connection *connection, void **state,
		      enum MHD_RequestTerminationCode code)
{
	struct waxwing_http *http = context;
	struct waxwing_request *request = *state;

	(void)connection;
	(void)code;
	if (!request)
		return;
	waxwing_http_connection_expect(request->phase);
	g_string_free(request->body, TRUE);
	g_free(request->text);
	g_free(request->window);
	g_free(request->caller);
	g_free(request);
	*state = NULL;
	atomic_fetch_sub(&http->active, 1);
}

static uint32_t address_limit(const struct waxwing_http *http)
{
	struct waxwing_limits limits;

	if (http->options.connections_per_address)
		return http->options.connections_per_address;
	waxwing_http_settings(http, &limits);
	return limits.connections_per_address;
}

static enum MHD_Result accepting(void *context, const struct sockaddr *address, socklen_t len)
{
	struct waxwing_http *http = context;

	(void)len;
	return waxwing_http_connections_allow(http->connections, address, address_limit(http)) ?
		       MHD_YES :
		       MHD_NO;
}

static void connection_changed(void *context, struct MHD_Connection *connection, void **state,
			       enum MHD_ConnectionNotificationCode code)
{
	struct waxwing_http *http = context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		waxwing_http_connection_close(http->connections, *state);
		return;
	}
	*state = waxwing_http_connection_open(
		http->connections,
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd,
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
			->client_addr);
}

static void fill_defaults(struct waxwing_http_options *options)
{
	if (!options->threads)
		options->threads = DEFAULT_THREADS;
	if (!options->connections)
		options->connections = DEFAULT_CONNECTIONS;
	if (!options->body_bytes)
		options->body_bytes = DEFAULT_BODY_BYTES;
	if (!options->idle_s)
		options->idle_s = DEFAULT_IDLE_S;
	if (!options->phase_s)
		options->phase_s = DEFAULT_PHASE_S;
}

static struct MHD_Daemon *start(struct waxwing_http *http, const struct sockaddr_in *address)
{
	const struct waxwing_http_options *options = &http->options;

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options->port, accepting,
		http, handle, http, MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_NOTIFY_COMPLETED,
		completed, http, MHD_OPTION_NOTIFY_CONNECTION, connection_changed, http,
		MHD_OPTION_THREAD_POOL_SIZE, options->threads, MHD_OPTION_CONNECTION_LIMIT,
		options->connections, MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

struct waxwing_http *waxwing_http_open(const struct waxwing_http_options *options,
				       struct waxwing_error *error)
{
	struct waxwing_http *http = g_new0(struct waxwing_http, 1);
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(options->port) };

	http->options = *options;
	http->quiesced = MHD_INVALID_SOCKET;
	fill_defaults(&http->options);
	http->connections = waxwing_http_connections_create(http->options.phase_s);
	if (http->connections && inet_pton(AF_INET, options->address, &address.sin_addr) == 1)
		http->daemon = start(http, &address);
	if (http->daemon)
		return http;
	waxwing_error_set(error, WAXWING_ERROR_SYSTEM, options->address,
			  "cannot serve HTTP on port %u", options->port);
	if (http->connections)
		waxwing_http_connections_destroy(http->connections);
	g_free(http);
	return NULL;
}

uint32_t waxwing_http_active(const struct waxwing_http *http)
{
	return atomic_load(&http->active);
}

void waxwing_http_view(const struct waxwing_http *http, struct waxwing_http_connections_view *view)
{
	waxwing_http_connections_view(http->connections, view);
}

void waxwing_http_describe(const struct waxwing_http *http, struct json_object *state)
{
	if (http->options.describe)
		http->options.describe(http->options.describe_context, state);
}

void waxwing_http_quiesce(struct waxwing_http *http)
{
	if (http->quiesced == MHD_INVALID_SOCKET)
		http->quiesced = MHD_quiesce_daemon(http->daemon);
}

void waxwing_http_close(struct waxwing_http *http)
{
	MHD_stop_daemon(http->daemon);
	if (http->quiesced != MHD_INVALID_SOCKET)
		close(http->quiesced);
	waxwing_http_connections_destroy(http->connections);
	g_free(http);
}
