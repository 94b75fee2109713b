/**
 * One HTTP request on its way through an instance, and the routes that serve it. Shared by http*.c only.
 */
#ifndef WAXWING_HTTP_REQUEST_H
#define WAXWING_HTTP_REQUEST_H

#include "core.h"
#include "http.h"
#include "settings.h"

#include <glib.h>
#include <microhttpd.h>

enum waxwing_request_state {
	WAXWING_REQUEST_READING, /**< the body comes in */
	WAXWING_REQUEST_WAITING, /**< suspended until the core has set the answer */
	WAXWING_REQUEST_SENT, /**< given to libmicrohttpd */
};

struct waxwing_request {
	struct waxwing_reply reply; /**< first: the core knows this part */
	struct waxwing_http *http;
	struct MHD_Connection *connection;
	struct waxwing_http_connection *phase; /**< the connection's time limit */
	enum waxwing_request_state state; /**< written on the server's thread only */
	const struct waxwing_route *route;
	struct waxwing_error error; /**< of the reading phase */
	GString *body;
	/** Makes the answer whole on the server's thread after the core has set it; may be null. */
	void (*finish)(struct waxwing_request *request);
	unsigned int status;
	const char *content_type;
	char *text; /**< of the answer; owned */
	char *caller; /**< of a submission; owned */
	char *window; /**< of the answer; owned, may be null */
	uint32_t retry_after_ms;
};

/** Serves a request whose body is complete. */
struct waxwing_route {
	const char *method;
	const char *path;
	void (*serve)(struct waxwing_request *request);
};

/** The route of a method and path; null with @error (NOT_FOUND or METHOD). */
const struct waxwing_route *waxwing_route_find(const char *method, const char *path,
					       struct waxwing_error *error);

/** What serves a request's route needs of its server. */
struct waxwing_core *waxwing_http_core(const struct waxwing_http *http);
void waxwing_http_drain(struct waxwing_http *http);

/** The limits in force and the revision that sets them; all zero before there are settings. */
uint64_t waxwing_http_settings(const struct waxwing_http *http, struct waxwing_limits *limits);

/** Sets the answer; @text becomes the request's. */
void waxwing_request_answer(struct waxwing_request *request, unsigned int status,
			    const char *content_type, char *text);

/** Sets a failure as the answer, in the form of a job's answer. */
void waxwing_request_fail(struct waxwing_request *request, const struct waxwing_error *error);

/** Counts and logs bad input, then sets the failure as the answer. */
void waxwing_request_reject(struct waxwing_request *request, const struct waxwing_error *error);

/** Logs, at a bounded rate, that a submission is not complete. */
void waxwing_request_log_failure(struct waxwing_request *request, const Waxwing__JobAnswer *answer);

/** Suspends the connection; to be called before the core is given the reply. */
void waxwing_request_wait(struct waxwing_request *request);

/** Lets a waiting request go on. */
void waxwing_request_resume(struct waxwing_request *request);

/** The HTTP status of a failure. */
unsigned int waxwing_http_status(enum waxwing_error_code code);

#endif
