/**
 * One HTTP call over one new connection, never sent twice.
 *
 * neon resends a request by itself when a kept connection turns out to be closed, so connections are
 * not kept: docs/upstream-connections.md has the reasons and the cost. Calls block; any thread.
 */
#ifndef WAXWING_HTTP_CLIENT_H
#define WAXWING_HTTP_CLIENT_H

#include "str.h"

#include <stdint.h>

/** How a call ended. */
enum waxwing_http_end {
	WAXWING_HTTP_WHOLE, /**< an answer with a checked length */
	WAXWING_HTTP_UNREACHABLE, /**< no connection was made: nothing was sent */
	WAXWING_HTTP_TIMEOUT, /**< the answer was not whole in time */
	WAXWING_HTTP_TOO_LARGE, /**< the answer is longer than was allowed */
	WAXWING_HTTP_BROKEN, /**< the connection broke, or the answer has no checked length */
};

struct waxwing_http_call {
	const char *method;
	const char *address; /**< IP:port; IPv6 in brackets */
	const char *target; /**< path and query, escaped */
	const char *header; /**< name of a header to send; may be null */
	const char *header_value;
	struct waxwing_str body;
	const char *answer_header; /**< name of a header to keep of the answer; may be null */
	size_t answer_bytes; /**< longest body taken */
	/**
	 * For the whole call. neon counts in whole seconds, so the call may return up to a second later,
	 * but an answer that was not whole by then is WAXWING_HTTP_TIMEOUT.
	 */
	uint32_t timeout_ms;
};

/** An answer; freed with waxwing_http_answer_clear(). */
struct waxwing_http_answer {
	unsigned int status;
	GString *body;
	char *header; /**< value of the header asked for; null when absent */
	uint32_t run_ms; /**< from the start of the call to its end */
};

/** True when @address is an IP number and a port. Any thread. */
bool waxwing_http_address_valid(const char *address);

/**
 * Makes a call. @answer is set up in any case; its status, header and body count only with
 * WAXWING_HTTP_WHOLE. A malformed address is WAXWING_HTTP_UNREACHABLE.
 */
enum waxwing_http_end waxwing_http_call(const struct waxwing_http_call *call,
					struct waxwing_http_answer *answer);

void waxwing_http_answer_clear(struct waxwing_http_answer *answer);

#endif
