#include "http_calls.h"

#define LOG_COMPONENT "http-calls"
#include "event_log.h"
#include "log.h"

#include <curl/curl.h>
#include <glib.h>
#include <sys/socket.h>

/* Receive buffer of a call; small, because most responses are short. */
#define RECEIVE_BUFFER_BYTES 8192
/* Longest accepted response body; a page of the store's list fits with a margin. */
#define MAX_RESPONSE_BYTES (8 * 1024 * 1024)
#define MAX_IDLE_HANDLES   64
/* Interval between checks for stalled responses, and thus the accuracy of their timeouts. */
#define STALL_CHECK_MS 50

struct waxwing_http_calls {
	uv_loop_t *loop;
	uv_timer_t timer; /* for libcurl */
	uv_timer_t stall_timer; /* runs while there are calls with a stall timeout */
	uint32_t stall_timer_calls; /* number of active calls with a stall timeout */
	uint32_t open_timers; /* timers that are not closed yet */
	CURLM *multi;
	GPtrArray *idle_handles; /* CURL handles kept for reuse */
	GHashTable *active_calls; /* set of struct http_call */
};

/* Polls a socket on behalf of libcurl. */
struct socket_watch {
	uv_poll_t poll;
	struct waxwing_http_calls *calls;
	curl_socket_t socket;
};

struct http_call {
	struct waxwing_http_calls *calls;
	CURL *handle;
	struct curl_slist *headers;
	GString *response;
	char *request_body;
	uint64_t deadline_ms; /* loop time at which the call has stalled */
	uint32_t stall_timeout_ms; /* 0: libcurl's timeout applies */
	bool idempotent;
	uint32_t sends; /* how often the request was sent, completely or in part */
	bool resend_rejected; /* libcurl was about to send a request again that is not idempotent */
	void (*done)(void *data, const struct waxwing_http_call_result *result);
	void *data;
};

static void http_call_free(struct http_call *call)
{
	struct waxwing_http_calls *calls = call->calls;

	curl_slist_free_all(call->headers);
	if (calls->idle_handles->len < MAX_IDLE_HANDLES) {
		curl_easy_reset(call->handle);
		g_ptr_array_add(calls->idle_handles, call->handle);
	} else {
		curl_easy_cleanup(call->handle);
	}
	g_string_free(call->response, TRUE);
	g_free(call->request_body);
	g_free(call);
}

static size_t append_response(char *data, size_t size, size_t count, void *user)
{
	struct http_call *call = user;

	if (call->response->len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	if (call->stall_timeout_ms)
		call->deadline_ms = uv_now(call->calls->loop) + call->stall_timeout_ms;
	g_string_append_len(call->response, data, (gssize)(size * count));
	return size * count;
}

/*
 * libcurl sends a request again if a reused connection is closed before any part of the response
 * arrives. Rejects this for a request that is not idempotent.
 */
static bool may_send(struct http_call *call)
{
	if (!call->sends || call->idempotent)
		return true;
	call->resend_rejected = true;
	return false;
}

/* Called by libcurl before it sends a request. */
static int before_request(void *user, char *remote_ip, char *local_ip, int remote_port,
			  int local_port)
{
	struct http_call *call = user;

	(void)local_ip;
	(void)local_port;
	if (!may_send(call))
		return CURL_PREREQFUNC_ABORT;
	/*
	 * This request has its connection. If libcurl wants to send it again, open_socket() rejects
	 * that; an idle connection would be closed by the rejection.
	 */
	if (!call->idempotent)
		curl_easy_setopt(call->handle, CURLOPT_FRESH_CONNECT, 1L);
	if (call->sends++)
		waxwing_event("request_resent", "address=%s:%d sends=%u", remote_ip, remote_port,
			      call->sends);
	return CURL_PREREQFUNC_OK;
}

/* Called by libcurl before it connects. */
static curl_socket_t open_socket(void *user, curlsocktype purpose, struct curl_sockaddr *address)
{
	(void)purpose;
	if (!may_send(user))
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

/* Returns true if a reused connection was closed before any part of the response arrived. */
static bool was_closed(const struct http_call *call, CURLcode code)
{
	long new_connections = 0;
	long header_bytes = 0;

	if (call->resend_rejected)
		return true;
	curl_easy_getinfo(call->handle, CURLINFO_NUM_CONNECTS, &new_connections);
	curl_easy_getinfo(call->handle, CURLINFO_HEADER_SIZE, &header_bytes);
	return !new_connections && !header_bytes &&
	       (code == CURLE_SEND_ERROR || code == CURLE_RECV_ERROR);
}

static enum waxwing_http_result get_http_end(const struct http_call *call, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return WAXWING_HTTP_COMPLETE;
	if (was_closed(call, code))
		return WAXWING_HTTP_CLOSED;
	curl_easy_getinfo(call->handle, CURLINFO_REQUEST_SIZE, &sent);
	if (call->sends <= 1 && sent == 0)
		return WAXWING_HTTP_UNREACHABLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return WAXWING_HTTP_TIMEOUT;
	if (code == CURLE_WRITE_ERROR)
		return WAXWING_HTTP_TOO_LARGE;
	return WAXWING_HTTP_BROKEN;
}

static void stop_stall_timer(struct waxwing_http_calls *calls, const struct http_call *call)
{
	if (call->stall_timeout_ms && --calls->stall_timer_calls == 0)
		uv_timer_stop(&calls->stall_timer);
}

static void finish_call(struct waxwing_http_calls *calls, CURL *handle, CURLcode code)
{
	struct waxwing_http_call_result result = { 0 };
	struct http_call *call;
	long status = 0;

	curl_easy_getinfo(handle, CURLINFO_PRIVATE, (char **)&call);
	result.end = get_http_end(call, code);
	result.resent = call->sends > 1;
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	if (result.end == WAXWING_HTTP_COMPLETE) {
		result.status = (unsigned int)status;
		result.body = (struct waxwing_str){ call->response->len, call->response->str };
	}
	curl_multi_remove_handle(calls->multi, handle);
	g_hash_table_remove(calls->active_calls, call);
	stop_stall_timer(calls, call);
	call->done(call->data, &result);
	http_call_free(call);
}

static void finish_completed_calls(struct waxwing_http_calls *calls)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(calls->multi, &remaining)))
		if (message->msg == CURLMSG_DONE)
			finish_call(calls, message->easy_handle, message->data.result);
}

static void finish_stalled_calls(uv_timer_t *timer)
{
	struct waxwing_http_calls *calls = timer->data;
	GList *active = g_hash_table_get_keys(calls->active_calls);

	for (GList *item = active; item; item = item->next) {
		const struct http_call *call = item->data;

		if (call->stall_timeout_ms && uv_now(calls->loop) >= call->deadline_ms)
			finish_call(calls, call->handle, CURLE_OPERATION_TIMEDOUT);
	}
	g_list_free(active);
}

static void start_stall_timer(struct waxwing_http_calls *calls, struct http_call *call,
			      uint32_t first_timeout_ms)
{
	uv_update_time(calls->loop);
	call->deadline_ms = uv_now(calls->loop) + first_timeout_ms;
	if (calls->stall_timer_calls++ == 0)
		uv_timer_start(&calls->stall_timer, finish_stalled_calls, STALL_CHECK_MS,
			       STALL_CHECK_MS);
}

static void socket_ready(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *watch = poll->data;
	struct waxwing_http_calls *calls = watch->calls;
	int running;
	int flags = 0;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(calls->multi, watch->socket, flags, &running);
	finish_completed_calls(calls);
}

static void socket_watch_free(uv_handle_t *handle)
{
	g_free(handle->data);
}

static int update_socket_watch(CURL *handle, curl_socket_t socket, int what, void *user,
			       void *socket_data)
{
	struct waxwing_http_calls *calls = user;
	struct socket_watch *watch = socket_data;
	int events = 0;

	(void)handle;
	if (what == CURL_POLL_REMOVE) {
		if (watch) {
			uv_poll_stop(&watch->poll);
			uv_close((uv_handle_t *)&watch->poll, socket_watch_free);
			curl_multi_assign(calls->multi, socket, NULL);
		}
		return 0;
	}
	if (!watch) {
		watch = g_new0(struct socket_watch, 1);
		watch->calls = calls;
		watch->socket = socket;
		if (uv_poll_init_socket(calls->loop, &watch->poll, socket) != 0) {
			log_error("Cannot poll a socket; its call will time out");
			g_free(watch);
			return 0;
		}
		watch->poll.data = watch;
		curl_multi_assign(calls->multi, socket, watch);
	}
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&watch->poll, events, socket_ready);
	return 0;
}

static void curl_timer_fired(uv_timer_t *timer)
{
	struct waxwing_http_calls *calls = timer->data;
	int running;

	curl_multi_socket_action(calls->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed_calls(calls);
}

static int update_curl_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct waxwing_http_calls *calls = user;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&calls->timer);
	else
		uv_timer_start(&calls->timer, curl_timer_fired, (uint64_t)timeout_ms, 0);
	return 0;
}

struct waxwing_http_calls *waxwing_http_calls_create(uv_loop_t *loop, uint32_t max_connections)
{
	struct waxwing_http_calls *calls = g_new0(struct waxwing_http_calls, 1);

	calls->loop = loop;
	calls->idle_handles = g_ptr_array_new();
	calls->active_calls = g_hash_table_new(NULL, NULL);
	calls->multi = curl_multi_init();
	uv_timer_init(loop, &calls->timer);
	calls->timer.data = calls;
	uv_timer_init(loop, &calls->stall_timer);
	calls->stall_timer.data = calls;
	calls->open_timers = 2;
	curl_multi_setopt(calls->multi, CURLMOPT_SOCKETFUNCTION, update_socket_watch);
	curl_multi_setopt(calls->multi, CURLMOPT_SOCKETDATA, calls);
	curl_multi_setopt(calls->multi, CURLMOPT_TIMERFUNCTION, update_curl_timer);
	curl_multi_setopt(calls->multi, CURLMOPT_TIMERDATA, calls);
	curl_multi_setopt(calls->multi, CURLMOPT_MAXCONNECTS, (long)max_connections);
	return calls;
}

static void timer_closed(uv_handle_t *handle)
{
	struct waxwing_http_calls *calls = handle->data;

	if (--calls->open_timers == 0)
		g_free(calls);
}

void waxwing_http_calls_destroy(struct waxwing_http_calls *calls)
{
	GHashTableIter iter;
	gpointer key;

	if (!calls)
		return;
	g_hash_table_iter_init(&iter, calls->active_calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct http_call *call = key;

		curl_multi_remove_handle(calls->multi, call->handle);
		http_call_free(call);
	}
	g_hash_table_destroy(calls->active_calls);
	for (guint i = 0; i < calls->idle_handles->len; i++)
		curl_easy_cleanup(calls->idle_handles->pdata[i]);
	g_ptr_array_free(calls->idle_handles, TRUE);
	curl_multi_cleanup(calls->multi);
	uv_close((uv_handle_t *)&calls->timer, timer_closed);
	uv_close((uv_handle_t *)&calls->stall_timer, timer_closed);
}

void waxwing_http_calls_send(struct waxwing_http_calls *calls,
			     const struct waxwing_http_call_options *options)
{
	struct http_call *call = g_new0(struct http_call, 1);
	CURL *handle;
	char *url = g_strconcat("http://", options->address, options->target, NULL);

	call->calls = calls;
	call->done = options->done;
	call->data = options->data;
	call->idempotent = options->idempotent;
	call->response = g_string_new(NULL);
	call->request_body = g_strndup(options->body.data, options->body.len);
	handle = calls->idle_handles->len ?
			 g_ptr_array_steal_index_fast(calls->idle_handles,
						      calls->idle_handles->len - 1) :
			 curl_easy_init();
	call->handle = handle;
	for (int i = 0; i < WAXWING_HTTP_CALL_MAX_HEADERS; i++)
		if (options->headers[i])
			call->headers = curl_slist_append(call->headers, options->headers[i]);
	if (options->body.len) {
		call->headers = curl_slist_append(call->headers, "Content-Type: application/json");
		call->headers = curl_slist_append(call->headers, "Expect:");
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->request_body);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, (long)options->body.len);
	} else if (strcmp(options->method, "POST") == 0) {
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, 0L);
	}
	if (strcmp(options->method, "GET") != 0)
		curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, options->method);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(handle, CURLOPT_PRIVATE, call);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(handle, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, call);
	curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, options->new_connection ? 1L : 0L);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_PROXY, "");
	curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, (long)options->connect_timeout_ms);
	call->stall_timeout_ms = options->stall_timeout_ms;
	if (call->stall_timeout_ms)
		start_stall_timer(calls, call, options->timeout_ms);
	else
		curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
	g_hash_table_add(calls->active_calls, call);
	curl_multi_add_handle(calls->multi, handle);
	g_free(url);
}
