/**
 * HTTP calls that do not block, over kept connections, on one libuv loop.
 *
 * libcurl may send a call again by itself when a kept connection was closed before a byte of the
 * answer came, so calls must be idempotent. One thread: the loop's.
 */
#ifndef WAXWING_HTTP_CALLS_H
#define WAXWING_HTTP_CALLS_H

#include "http_client.h"
#include "str.h"

#include <stdint.h>
#include <uv.h>

/** Most headers of one call. */
#define WAXWING_CALL_HEADERS 3

struct waxwing_http_calls;

/** How a call ended; @body is valid during the callback only. */
struct waxwing_call_result {
	enum waxwing_http_end end;
	unsigned int status; /**< of a whole answer */
	struct waxwing_str body;
};

struct waxwing_call_options {
	const char *method;
	const char *address; /**< IP:port */
	const char *target; /**< path and query, escaped */
	struct waxwing_str body; /**< copied; JSON */
	const char *headers[WAXWING_CALL_HEADERS]; /**< "Name: value"; null: none */
	uint32_t connect_ms; /**< for the connection alone */
	uint32_t timeout_ms; /**< for the whole call */
	void (*done)(void *data, const struct waxwing_call_result *result);
	void *data;
};

/** Creates a client on @loop that keeps at most @connections open between calls. */
struct waxwing_http_calls *waxwing_http_calls_create(uv_loop_t *loop, uint32_t connections);

/** Ends all calls without their callbacks and frees the client. */
void waxwing_http_calls_destroy(struct waxwing_http_calls *calls);

/** Sends a call; @options->done is called once, later, from the loop. */
void waxwing_http_calls_send(struct waxwing_http_calls *calls,
			     const struct waxwing_call_options *options);

#endif
