#include "http_calls.h"

#define LOG_PART "http-calls"
#include "log.h"

#include <curl/curl.h>
#include <glib.h>

/* Receive buffer of one call; answers are short. */
#define RECEIVE_BUFFER_BYTES 8192
/* Longest answer taken: a page of the store's list, and some. */
#define ANSWER_BYTES_MOST (8 * 1024 * 1024)
/* Idle handles kept for the next call. */
#define SPARE_HANDLES_MOST 64

struct waxwing_http_calls {
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
	GPtrArray *spares; /* CURL */
	GHashTable *running; /* struct call */
};

/* A socket that curl wants watched. */
struct watched {
	uv_poll_t poll; /* first */
	struct waxwing_http_calls *calls;
	curl_socket_t socket;
};

struct call {
	struct waxwing_http_calls *calls;
	CURL *handle;
	struct curl_slist *headers;
	GString *answer;
	char *body;
	void (*done)(void *data, const struct waxwing_call_result *result);
	void *data;
};

static void call_free(struct call *call)
{
	struct waxwing_http_calls *calls = call->calls;

	curl_slist_free_all(call->headers);
	if (calls->spares->len < SPARE_HANDLES_MOST) {
		curl_easy_reset(call->handle);
		g_ptr_array_add(calls->spares, call->handle);
	} else {
		curl_easy_cleanup(call->handle);
	}
	g_string_free(call->answer, TRUE);
	g_free(call->body);
	g_free(call);
}

static size_t take_answer(char *data, size_t size, size_t count, void *user)
{
	struct call *call = user;

	if (call->answer->len + size * count > ANSWER_BYTES_MOST)
		return 0;
	g_string_append_len(call->answer, data, (gssize)(size * count));
	return size * count;
}

static enum waxwing_http_end end_of(CURL *handle, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return WAXWING_HTTP_WHOLE;
	curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0)
		return WAXWING_HTTP_UNREACHABLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return WAXWING_HTTP_TIMEOUT;
	if (code == CURLE_WRITE_ERROR)
		return WAXWING_HTTP_TOO_LARGE;
	return WAXWING_HTTP_BROKEN;
}

static void finish(struct waxwing_http_calls *calls, CURL *handle, CURLcode code)
{
	struct waxwing_call_result result = { .end = end_of(handle, code) };
	struct call *call;
	long status = 0;

	curl_easy_getinfo(handle, CURLINFO_PRIVATE, (char **)&call);
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	if (result.end == WAXWING_HTTP_WHOLE) {
		result.status = (unsigned int)status;
		result.body = (struct waxwing_str){ call->answer->len, call->answer->str };
	}
	curl_multi_remove_handle(calls->multi, handle);
	g_hash_table_remove(calls->running, call);
	call->done(call->data, &result);
	call_free(call);
}

static void take_finished(struct waxwing_http_calls *calls)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(calls->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			finish(calls, message->easy_handle, message->data.result);
}

static void socket_ready(uv_poll_t *poll, int status, int events)
{
	struct watched *watched = poll->data;
	struct waxwing_http_calls *calls = watched->calls;
	int running;
	int flags = 0;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(calls->multi, watched->socket, flags, &running);
	take_finished(calls);
}

static void watched_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static int watch_socket(CURL *handle, curl_socket_t socket, int what, void *user, void *socket_data)
{
	struct waxwing_http_calls *calls = user;
	struct watched *watched = socket_data;
	int events = 0;

	(void)handle;
	if (what == CURL_POLL_REMOVE) {
		if (watched) {
			uv_poll_stop(&watched->poll);
			uv_close((uv_handle_t *)&watched->poll, watched_closed);
			curl_multi_assign(calls->multi, socket, NULL);
		}
		return 0;
	}
	if (!watched) {
		watched = g_new0(struct watched, 1);
		watched->calls = calls;
		watched->socket = socket;
		if (uv_poll_init_socket(calls->loop, &watched->poll, socket) != 0) {
			log_error("A socket cannot be watched; its call will time out");
			g_free(watched);
			return 0;
		}
		watched->poll.data = watched;
		curl_multi_assign(calls->multi, socket, watched);
	}
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&watched->poll, events, socket_ready);
	return 0;
}

static void time_out(uv_timer_t *timer)
{
	struct waxwing_http_calls *calls = timer->data;
	int running;

	curl_multi_socket_action(calls->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	take_finished(calls);
}

static int set_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct waxwing_http_calls *calls = user;

	(void)multi;
	if (timeout_ms < 0)
		uv_timer_stop(&calls->timer);
	else
		uv_timer_start(&calls->timer, time_out, (uint64_t)timeout_ms, 0);
	return 0;
}

struct waxwing_http_calls *waxwing_http_calls_create(uv_loop_t *loop, uint32_t connections)
{
	struct waxwing_http_calls *calls = g_new0(struct waxwing_http_calls, 1);

	calls->loop = loop;
	calls->spares = g_ptr_array_new();
	calls->running = g_hash_table_new(NULL, NULL);
	calls->multi = curl_multi_init();
	uv_timer_init(loop, &calls->timer);
	calls->timer.data = calls;
	curl_multi_setopt(calls->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(calls->multi, CURLMOPT_SOCKETDATA, calls);
	curl_multi_setopt(calls->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(calls->multi, CURLMOPT_TIMERDATA, calls);
	curl_multi_setopt(calls->multi, CURLMOPT_MAXCONNECTS, (long)connections);
	return calls;
}

static void calls_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void waxwing_http_calls_destroy(struct waxwing_http_calls *calls)
{
	GHashTableIter iter;
	gpointer key;

	if (!calls)
		return;
	g_hash_table_iter_init(&iter, calls->running);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct call *call = key;

		curl_multi_remove_handle(calls->multi, call->handle);
		call_free(call);
	}
	g_hash_table_destroy(calls->running);
	for (guint i = 0; i < calls->spares->len; i++)
		curl_easy_cleanup(calls->spares->pdata[i]);
	g_ptr_array_free(calls->spares, TRUE);
	curl_multi_cleanup(calls->multi);
	uv_close((uv_handle_t *)&calls->timer, calls_closed);
}

void waxwing_http_calls_send(struct waxwing_http_calls *calls,
			     const struct waxwing_call_options *options)
{
	struct call *call = g_new0(struct call, 1);
	CURL *handle;
	char *url = g_strconcat("http://", options->address, options->target, NULL);

	call->calls = calls;
	call->done = options->done;
	call->data = options->data;
	call->answer = g_string_new(NULL);
	call->body = g_strndup(options->body.data, options->body.len);
	handle = calls->spares->len ?
			 g_ptr_array_steal_index_fast(calls->spares, calls->spares->len - 1) :
			 curl_easy_init();
	call->handle = handle;
	for (int i = 0; i < WAXWING_CALL_HEADERS; i++)
		if (options->headers[i])
			call->headers = curl_slist_append(call->headers, options->headers[i]);
	if (options->body.len) {
		call->headers = curl_slist_append(call->headers, "Content-Type: application/json");
		call->headers = curl_slist_append(call->headers, "Expect:");
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body);
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
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_answer);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_PROXY, "");
	curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, (long)options->connect_ms);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
	g_hash_table_add(calls->running, call);
	curl_multi_add_handle(calls->multi, handle);
	g_free(url);
}
