/**
 * HTTP client that opens a connection for each call and never sends a request twice.
 *
 * neon resends a request when a persistent connection turns out to be closed, so connections are
 * not reused; docs/upstream-connections.md has the reasons and the cost. Calls block. Any thread.
 */
#ifndef WAXWING_HTTP_CLIENT_H
#define WAXWING_HTTP_CLIENT_H

#include "str.h"

#include <stdint.h>

/** The result of a call. */
enum waxwing_http_result {
	WAXWING_HTTP_COMPLETE, /**< a complete answer, delimited by Content-Length or chunked coding */
	WAXWING_HTTP_UNREACHABLE, /**< no connection could be made; nothing was sent */
	WAXWING_HTTP_TIMEOUT, /**< the answer was not complete in time */
	WAXWING_HTTP_TOO_LARGE, /**< the answer is longer than max_answer_bytes */
	WAXWING_HTTP_BROKEN, /**< the connection failed, or the answer's end is not delimited */
	/**
	 * A reused connection was closed before any part of the answer arrived; the request may have
	 * been carried out. Connections of this client are not reused.
	 */
	WAXWING_HTTP_CLOSED,
};

struct waxwing_http_call {
	const char *method;
	const char *address; /**< IP:port, with IPv6 in brackets */
	const char *target; /**< percent-encoded path and query */
	const char *header; /**< name of a request header to send; may be null */
	const char *header_value;
	struct waxwing_str body;
	const char *answer_header; /**< name of a response header to return; may be null */
	size_t max_answer_bytes; /**< longest accepted answer body */
	/**
	 * Timeout of the whole call. neon's timeouts have a resolution of a second, so the call may
	 * return up to a second late, but an answer that was not complete in time is
	 * WAXWING_HTTP_TIMEOUT.
	 */
	uint32_t timeout_ms;
};

/** An answer; free it with waxwing_http_answer_clear(). */
struct waxwing_http_answer {
	unsigned int status;
	GString *body;
	char *header; /**< value of call->answer_header; null if absent */
	uint32_t elapsed_ms; /**< duration of the call */
};

/** Returns true if @address is an IP address and a port. Any thread. */
bool waxwing_http_address_valid(const char *address);

/**
 * Makes a call. @answer is always initialised; its status, header and body are valid only with
 * WAXWING_HTTP_COMPLETE. A malformed address gives WAXWING_HTTP_UNREACHABLE.
 */
enum waxwing_http_result waxwing_http_call(const struct waxwing_http_call *call,
					   struct waxwing_http_answer *answer);

void waxwing_http_answer_clear(struct waxwing_http_answer *answer);

#endif
