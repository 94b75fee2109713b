/**
 * Asynchronous HTTP client with persistent connections, on one libuv loop.
 *
 * A server may close an idle connection while a request is on its way. The request may then have
 * been carried out, or not. Idempotent requests are sent again on another connection; calls with
 * other requests end with WAXWING_HTTP_CLOSED.
 *
 * Not thread-safe; use it on the loop's thread only.
 */
#ifndef WAXWING_HTTP_CALLS_H
#define WAXWING_HTTP_CALLS_H

#include "http_client.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Maximum number of additional headers of a call. */
#define WAXWING_HTTP_CALL_MAX_HEADERS 3

struct waxwing_http_calls;

struct waxwing_http_call_result {
	enum waxwing_http_result end;
	unsigned int status; /**< HTTP status code; 0 without a complete response */
	struct waxwing_str body; /**< valid during the callback only */
	/**
	 * The request was sent more than once. The response is that to the last copy; an earlier one
	 * may have been carried out before, or may be carried out later.
	 */
	bool resent;
};

struct waxwing_http_call_options {
	const char *method;
	const char *address; /**< IP:port */
	const char *target; /**< path and query, percent-encoded */
	struct waxwing_str body; /**< JSON, copied; sent only when not empty */
	const char *headers[WAXWING_HTTP_CALL_MAX_HEADERS]; /**< "Name: value"; null: none */
	bool idempotent; /**< the request may be sent again after its connection was closed */
	bool new_connection; /**< do not use an idle connection */
	uint32_t connect_timeout_ms; /**< for establishing the connection */
	uint32_t timeout_ms; /**< for the whole call, including the connection */
	/**
	 * Maximum time without a part of the response once its first part has arrived; timeout_ms
	 * then applies no longer. Lets a large response take its time on a slow link. 0: timeout_ms
	 * applies to the whole call.
	 */
	uint32_t stall_timeout_ms;
	void (*done)(void *data, const struct waxwing_http_call_result *result);
	void *data;
};

/** Creates a client on @loop that keeps at most @max_connections open for reuse. */
struct waxwing_http_calls *waxwing_http_calls_create(uv_loop_t *loop, uint32_t max_connections);

/** Aborts all calls without invoking their callbacks, and frees the client. */
void waxwing_http_calls_destroy(struct waxwing_http_calls *calls);

/**
 * Starts a call; @options->done is called once, on the loop, after this function returned, unless
 * @calls is destroyed first.
 */
void waxwing_http_calls_send(struct waxwing_http_calls *calls,
			     const struct waxwing_http_call_options *options);

#endif
