#include "http_request.h"

#define LOG_COMPONENT "http"
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

#define DEFAULT_THREADS		   4
#define DEFAULT_MAX_CONNECTIONS	   4096
#define DEFAULT_MAX_BODY_BYTES	   (2 * 1024 * 1024)
#define DEFAULT_IDLE_TIMEOUT_S	   60
#define DEFAULT_TRANSFER_TIMEOUT_S 60
#define CONNECTION_MEMORY_BYTES	   (16 * 1024)
#define MS_PER_S		   1000

struct waxwing_http {
	struct waxwing_http_options options;
	struct MHD_Daemon *daemon;
	MHD_socket listen_socket;
	struct waxwing_http_connections *connections;
	atomic_uint active;
	struct waxwing_log_limit reject_log_limit;
	struct waxwing_log_limit failure_log_limit;
};

struct waxwing_core *waxwing_http_core(const struct waxwing_http *http)
{
	return http->options.core;
}

static pthread_key_t rcu_reader_key;
static pthread_once_t rcu_reader_once = PTHREAD_ONCE_INIT;

static void unregister_rcu_reader(void *value)
{
	(void)value;
	rcu_unregister_thread();
}

static void create_rcu_reader_key(void)
{
	pthread_key_create(&rcu_reader_key, unregister_rcu_reader);
}

/* libmicrohttpd creates the threads, so each one registers with RCU at its first read. */
static void register_rcu_reader(void)
{
	pthread_once(&rcu_reader_once, create_rcu_reader_key);
	if (pthread_getspecific(rcu_reader_key))
		return;
	rcu_register_thread();
	pthread_setspecific(rcu_reader_key, &rcu_reader_key);
}

uint64_t waxwing_http_read_limits(const struct waxwing_http *http, struct waxwing_limits *limits)
{
	struct waxwing_settings_store *store = waxwing_core_settings_store(http->options.core);
	const struct waxwing_settings *settings;
	uint64_t revision = 0;

	*limits = (struct waxwing_limits){ 0 };
	register_rcu_reader();
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
	http->options.drain(http->options.drain_context);
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

void waxwing_request_suspend(struct waxwing_request *request)
{
	request->state = WAXWING_REQUEST_WAITING;
	MHD_suspend_connection(request->connection);
}

void waxwing_request_resume(struct waxwing_request *request)
{
	MHD_resume_connection(request->connection);
}

static bool log_allowed(struct waxwing_log_limit *limit, uint32_t *suppressed)
{
	return waxwing_log_limit_allow(limit, waxwing_clock_now(waxwing_clock_monotonic()),
				       suppressed);
}

/* Input from callers is escaped, so that it cannot forge log lines. */
static void log_rejected(struct waxwing_request *request, const struct waxwing_error *error)
{
	uint32_t suppressed;
	char *path;

	waxwing_counter_increment(http_rejected);
	if (!log_allowed(&request->http->reject_log_limit, &suppressed))
		return;
	path = g_strescape(error->path, NULL);
	log_info("request rejected: %s at \"%s\" (%u similar messages suppressed)",
		 waxwing_error_name(error->code), path, suppressed);
	g_free(path);
}

void waxwing_request_log_failure(struct waxwing_request *request, const Waxwing__JobAnswer *answer)
{
	uint32_t suppressed;
	char *id;
	char *caller;

	if (!log_allowed(&request->http->failure_log_limit, &suppressed))
		return;
	id = g_strescape(answer->id, NULL);
	caller = g_strescape(request->caller, NULL);
	log_info("submission %s of caller %s: %s, %s (%u similar messages suppressed)", id, caller,
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

	waxwing_http_connection_start_timeout(request->http_connection);
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

/* Returns the record created by connection_changed(). */
static struct waxwing_http_connection *get_http_connection(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static struct waxwing_request *request_new(struct waxwing_http *http,
					   struct MHD_Connection *connection)
{
	struct waxwing_request *request = g_new0(struct waxwing_request, 1);

	waxwing_counter_increment(http_requests);
	atomic_fetch_add(&http->active, 1);
	request->http = http;
	request->connection = connection;
	request->http_connection = get_http_connection(connection);
	request->body = g_string_new(NULL);
	return request;
}

static void append_body(struct waxwing_request *request, const char *data, size_t *size)
{
	uint32_t limit = request->http->options.max_body_bytes;

	if (request->body->len + *size > limit)
		waxwing_error_set(&request->error, WAXWING_ERROR_TOO_LARGE, "",
				  "the body exceeds %u bytes", limit);
	else
		g_string_append_len(request->body, data, (gssize)*size);
	*size = 0;
}

static enum MHD_Result handle_request(void *context, struct MHD_Connection *connection,
				      const char *url, const char *method, const char *version,
				      const char *upload_data, size_t *upload_data_size,
				      void **state)
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
		append_body(request, upload_data, upload_data_size);
		return MHD_YES;
	}
	switch (request->state) {
	case WAXWING_REQUEST_READING:
		waxwing_http_connection_stop_timeout(request->http_connection);
		if (request->error.code != WAXWING_OK)
			waxwing_request_reject(request, &request->error);
		else
			request->route->serve(request);
		/* A waiting request belongs to the core until it is resumed. */
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

static void request_completed(void *context, struct MHD_Connection *connection, void **state,
			      enum MHD_RequestTerminationCode code)
{
	struct waxwing_http *http = context;
	struct waxwing_request *request = *state;

	(void)connection;
	(void)code;
	if (!request)
		return;
	waxwing_http_connection_start_timeout(request->http_connection);
	g_string_free(request->body, TRUE);
	g_free(request->text);
	g_free(request->window);
	g_free(request->caller);
	g_free(request);
	*state = NULL;
	atomic_fetch_sub(&http->active, 1);
}

static uint32_t limit_per_address(const struct waxwing_http *http)
{
	struct waxwing_limits limits;

	if (http->options.max_connections_per_address)
		return http->options.max_connections_per_address;
	waxwing_http_read_limits(http, &limits);
	return limits.connections_per_address;
}

static enum MHD_Result accept_connection(void *context, const struct sockaddr *address,
					 socklen_t len)
{
	struct waxwing_http *http = context;

	(void)len;
	return waxwing_http_connections_allow(http->connections, address, limit_per_address(http)) ?
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
	if (!options->max_connections)
		options->max_connections = DEFAULT_MAX_CONNECTIONS;
	if (!options->max_body_bytes)
		options->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	if (!options->idle_timeout_s)
		options->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
	if (!options->transfer_timeout_s)
		options->transfer_timeout_s = DEFAULT_TRANSFER_TIMEOUT_S;
}

static struct MHD_Daemon *start_daemon(struct waxwing_http *http, const struct sockaddr_in *address)
{
	const struct waxwing_http_options *options = &http->options;

	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options->port,
		accept_connection, http, handle_request, http, MHD_OPTION_SOCK_ADDR, address,
		MHD_OPTION_NOTIFY_COMPLETED, request_completed, http, MHD_OPTION_NOTIFY_CONNECTION,
		connection_changed, http, MHD_OPTION_THREAD_POOL_SIZE, options->threads,
		MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

struct waxwing_http *waxwing_http_open(const struct waxwing_http_options *options,
				       struct waxwing_error *error)
{
	struct waxwing_http *http = g_new0(struct waxwing_http, 1);
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(options->port) };

	http->options = *options;
	http->listen_socket = MHD_INVALID_SOCKET;
	fill_defaults(&http->options);
	http->connections = waxwing_http_connections_create(http->options.transfer_timeout_s);
	if (http->connections && inet_pton(AF_INET, options->address, &address.sin_addr) == 1)
		http->daemon = start_daemon(http, &address);
	if (http->daemon)
		return http;
	waxwing_error_set(error, WAXWING_ERROR_SYSTEM, options->address,
			  "cannot serve HTTP on port %u", options->port);
	if (http->connections)
		waxwing_http_connections_destroy(http->connections);
	g_free(http);
	return NULL;
}

uint32_t waxwing_http_active_requests(const struct waxwing_http *http)
{
	return atomic_load(&http->active);
}

void waxwing_http_get_stats(const struct waxwing_http *http,
			    struct waxwing_http_connections_stats *stats)
{
	waxwing_http_connections_get_stats(http->connections, stats);
}

void waxwing_http_describe(const struct waxwing_http *http, struct json_object *state)
{
	if (http->options.describe)
		http->options.describe(http->options.describe_context, state);
}

void waxwing_http_quiesce(struct waxwing_http *http)
{
	if (http->listen_socket == MHD_INVALID_SOCKET)
		http->listen_socket = MHD_quiesce_daemon(http->daemon);
}

void waxwing_http_close(struct waxwing_http *http)
{
	MHD_stop_daemon(http->daemon);
	if (http->listen_socket != MHD_INVALID_SOCKET)
		close(http->listen_socket);
	waxwing_http_connections_destroy(http->connections);
	g_free(http);
}
