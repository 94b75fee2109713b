/**
 * HTTP server on loopback for the stand-ins, in which requests can wait without a thread each.
 *
 * The handler is called with the server's lock held: once a request has been read completely, and
 * again whenever its wait is over.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** Maximum bytes kept of a request body; the rest is read and discarded. */
#define SERVER_MAX_BODY_BYTES (4U * 1024 * 1024)

enum server_result {
	SERVER_ANSWERED, /**< a response has been queued */
	SERVER_WAIT, /**< call the handler again at request->wake_ms */
	SERVER_CLOSE, /**< close the connection without a response */
};

struct server_request {
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GByteArray *body;
	int64_t wake_ms; /**< monotonic time at which a wait is over */
	void *state; /**< set by the handler, null at first; freed with g_free() by the server */
};

struct standin_server {
	/** Answers a request or lets it wait. Called with the lock held. */
	enum server_result (*handle)(struct standin_server *server, struct server_request *request);
	/**
	 * Does the timed work that is due; returns the time of its next call, INT64_MAX for none.
	 * Called with the lock held; may be null.
	 */
	int64_t (*tick)(struct standin_server *server, int64_t now_ms);
	/** Called with the lock held before a request is freed, answered or not; may be null. */
	void (*completed)(struct standin_server *server, struct server_request *request);
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	pthread_cond_t changed; /**< wakes the timer thread; uses the monotonic clock */
	GPtrArray *waiting; /**< suspended struct server_request */
	pthread_t timer;
	bool stopping;
};

static inline int64_t server_now(void)
{
	return waxwing_clock_now(waxwing_clock_monotonic());
}

/** Makes the server call the handler again for every waiting request. The lock must be held. */
static inline void server_wake(struct standin_server *server)
{
	for (guint i = 0; i < server->waiting->len; i++)
		((struct server_request *)g_ptr_array_index(server->waiting, i))->wake_ms = 0;
	pthread_cond_signal(&server->changed);
}

/** Returns a query argument, null if it is absent or has no value. */
static inline const char *server_query_argument(struct server_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_GET_ARGUMENT_KIND, name);
}

static inline bool server_has_query_argument(struct server_request *request, const char *name)
{
	return MHD_lookup_connection_value_n(request->connection, MHD_GET_ARGUMENT_KIND, name,
					     strlen(name), NULL, NULL) == MHD_YES;
}

/** Returns a numeric query argument, @fallback if it is absent. */
static inline int64_t server_query_number(struct server_request *request, const char *name,
					  int64_t fallback)
{
	const char *text = server_query_argument(request, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

/** Queues a response, with an additional header unless @header is null. */
static inline enum server_result server_answer(struct server_request *request, unsigned int status,
					       const char *body, size_t len, const char *header,
					       const char *value)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);

	if (header)
		MHD_add_response_header(response, header, value);
	MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return SERVER_ANSWERED;
}

static inline enum server_result server_answer_text(struct server_request *request,
						    unsigned int status, const char *text)
{
	return server_answer(request, status, text, strlen(text), NULL, NULL);
}

static inline void server_append_body(struct server_request *request, const char *data, size_t size)
{
	size_t free_bytes = SERVER_MAX_BODY_BYTES - request->body->len;

	g_byte_array_append(request->body, (const guint8 *)data, (guint)MIN(size, free_bytes));
}

static inline enum MHD_Result server_handle_request(struct standin_server *server,
						    struct server_request *request)
{
	enum server_result result = SERVER_CLOSE;

	pthread_mutex_lock(&server->lock);
	if (!server->stopping)
		result = server->handle(server, request);
	if (result == SERVER_WAIT) {
		g_ptr_array_add(server->waiting, request);
		MHD_suspend_connection(request->connection);
		pthread_cond_signal(&server->changed);
	}
	pthread_mutex_unlock(&server->lock);
	return result == SERVER_CLOSE ? MHD_NO : MHD_YES;
}

static inline enum MHD_Result server_on_data(void *context, struct MHD_Connection *connection,
					     const char *url, const char *method,
					     const char *version, const char *data, size_t *size,
					     void **slot)
{
	struct server_request *request = *slot;

	(void)version;
	if (!request) {
		request = g_new0(struct server_request, 1);
		request->connection = connection;
		request->method = g_strdup(method);
		request->path = g_strdup(url);
		request->body = g_byte_array_new();
		*slot = request;
		return MHD_YES;
	}
	if (*size) {
		server_append_body(request, data, *size);
		*size = 0;
		return MHD_YES;
	}
	return server_handle_request(context, request);
}

static inline void server_on_completed(void *context, struct MHD_Connection *connection,
				       void **slot, enum MHD_RequestTerminationCode code)
{
	struct standin_server *server = context;
	struct server_request *request = *slot;

	(void)connection;
	(void)code;
	if (!request)
		return;
	pthread_mutex_lock(&server->lock);
	g_ptr_array_remove_fast(server->waiting, request);
	if (server->completed)
		server->completed(server, request);
	pthread_mutex_unlock(&server->lock);
	g_free(request->method);
	g_free(request->path);
	g_byte_array_free(request->body, TRUE);
	g_free(request->state);
	g_free(request);
	*slot = NULL;
}

/**
 * Resumes requests whose wait is over; returns the earliest wake_ms of those still waiting,
 * INT64_MAX if there are none.
 */
static inline int64_t server_resume_due(struct standin_server *server, int64_t now_ms)
{
	int64_t next_ms = INT64_MAX;

	for (guint i = server->waiting->len; i-- > 0;) {
		struct server_request *request = g_ptr_array_index(server->waiting, i);

		if (server->stopping || request->wake_ms <= now_ms) {
			g_ptr_array_remove_index_fast(server->waiting, i);
			MHD_resume_connection(request->connection);
		} else {
			next_ms = MIN(next_ms, request->wake_ms);
		}
	}
	return next_ms;
}

/**
 * Waits until server->changed is signalled, at most until @until_ms; INT64_MAX: no limit. The lock
 * must be held.
 */
static inline void server_wait_change(struct standin_server *server, int64_t until_ms)
{
	struct timespec until = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };

	if (until_ms == INT64_MAX)
		pthread_cond_wait(&server->changed, &server->lock);
	else
		pthread_cond_timedwait(&server->changed, &server->lock, &until);
}

static inline void *server_timer_thread(void *context)
{
	struct standin_server *server = context;

	pthread_mutex_lock(&server->lock);
	while (!server->stopping) {
		int64_t now_ms = server_now();
		int64_t tick_ms = server->tick ? server->tick(server, now_ms) : INT64_MAX;
		int64_t next_ms = MIN(tick_ms, server_resume_due(server, now_ms));

		server_wait_change(server, next_ms);
	}
	server_resume_due(server, INT64_MAX);
	pthread_mutex_unlock(&server->lock);
	return NULL;
}

/** Starts a server on 127.0.0.1:@port (0: any free port); returns the port, 0 on failure. */
static inline uint16_t server_start(struct standin_server *server, uint16_t port,
				    unsigned int max_connections)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port),
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	pthread_condattr_t monotonic;

	pthread_mutex_init(&server->lock, NULL);
	pthread_condattr_init(&monotonic);
	pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
	pthread_cond_init(&server->changed, &monotonic);
	pthread_condattr_destroy(&monotonic);
	server->waiting = g_ptr_array_new();
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
		server_on_data, server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
		max_connections, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_NOTIFY_COMPLETED, server_on_completed, server, MHD_OPTION_END);
	if (!server->daemon)
		return 0;
	pthread_create(&server->timer, NULL, server_timer_thread, server);
	return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

/** Stops the server and closes all connections, including those of waiting requests. */
static inline void server_stop(struct standin_server *server)
{
	pthread_mutex_lock(&server->lock);
	server->stopping = true;
	pthread_cond_signal(&server->changed);
	pthread_mutex_unlock(&server->lock);
	pthread_join(server->timer, NULL);
	MHD_stop_daemon(server->daemon);
	g_ptr_array_free(server->waiting, TRUE);
	pthread_cond_destroy(&server->changed);
	pthread_mutex_destroy(&server->lock);
}

/** Blocks SIGTERM and SIGINT for server_await_signal(); to be called before any thread starts. */
static inline void server_block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigprocmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static inline void server_await_signal(const sigset_t *set)
{
	int number;

	sigwait(set, &number);
}

#endif
