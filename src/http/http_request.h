/**
 * HTTP requests in progress and the routes that serve them. Private to src/http.
 */
#ifndef WAXWING_HTTP_REQUEST_H
#define WAXWING_HTTP_REQUEST_H

#include "core.h"
#include "http.h"
#include "settings.h"

#include <glib.h>
#include <microhttpd.h>

enum waxwing_request_state {
	WAXWING_REQUEST_READING, /**< receiving the body */
	WAXWING_REQUEST_WAITING, /**< suspended until the core sets the answer */
	WAXWING_REQUEST_SENT, /**< the answer is queued in libmicrohttpd */
};

struct waxwing_request {
	struct waxwing_reply reply; /**< must be first; the core answers through it */
	struct waxwing_http *http;
	struct MHD_Connection *connection;
	struct waxwing_http_connection *http_connection; /**< carries the transfer timeout */
	enum waxwing_request_state state; /**< written by the server thread only */
	const struct waxwing_route *route;
	struct waxwing_error error; /**< found while reading the request */
	GString *body;
	/** Completes the answer on the server thread after the core has set it; may be null. */
	void (*finish)(struct waxwing_request *request);
	unsigned int status;
	const char *content_type;
	char *text; /**< body of the answer; owned */
	char *caller; /**< name of the submitting caller; owned; null: not a submission */
	char *window; /**< for the answer's Waxwing-Window header; owned; null: none */
	uint32_t retry_after_ms; /**< for the answer's Retry-After header; 0: none */
};

/** Maps a method and path to its handler. */
struct waxwing_route {
	const char *method;
	const char *path;
	/** Serves a request whose body is complete. */
	void (*serve)(struct waxwing_request *request);
};

/** Finds the route of a method and path; null with @error (NOT_FOUND or METHOD). */
const struct waxwing_route *waxwing_route_find(const char *method, const char *path,
					       struct waxwing_error *error);

struct waxwing_core *waxwing_http_core(const struct waxwing_http *http);
void waxwing_http_drain(struct waxwing_http *http);

/**
 * Gets the limits of the current settings and returns their revision; all zero without settings.
 */
uint64_t waxwing_http_read_limits(const struct waxwing_http *http, struct waxwing_limits *limits);

/** Sets the answer and takes ownership of @text. */
void waxwing_request_answer(struct waxwing_request *request, unsigned int status,
			    const char *content_type, char *text);

/** Sets a failed JobAnswer as the answer. */
void waxwing_request_fail(struct waxwing_request *request, const struct waxwing_error *error);

/** Counts and logs invalid input, then sets the failure as the answer. */
void waxwing_request_reject(struct waxwing_request *request, const struct waxwing_error *error);

/** Logs, rate-limited, that a submission was answered with a failure. */
void waxwing_request_log_failure(struct waxwing_request *request, const Waxwing__JobAnswer *answer);

/** Suspends the connection; call it before the reply is passed to the core. */
void waxwing_request_suspend(struct waxwing_request *request);

/** Resumes a suspended request. */
void waxwing_request_resume(struct waxwing_request *request);

/** Returns the HTTP status for an error. */
unsigned int waxwing_http_status(enum waxwing_error_code code);

#endif
