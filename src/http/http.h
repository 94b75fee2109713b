/**
 * The HTTP side of an entry instance: callers, operators, the balancer's probes.
 *
 * libmicrohttpd runs its own threads; a request that waits for the core is suspended meanwhile.
 */
#ifndef WAXWING_HTTP_H
#define WAXWING_HTTP_H

#include "core.h"
#include "http_connections.h"
#include "waxwingswitch/error.h"

#include <json-c/json.h>
#include <stdint.h>

struct waxwing_http;

struct waxwing_http_options {
	struct waxwing_core *core;
	const char *address; /**< IP number */
	uint16_t port;
	uint32_t threads; /**< 0: default */
	uint32_t connections; /**< most at once; 0: default */
	uint32_t connections_per_address; /**< 0: as the settings in force say */
	uint32_t body_bytes; /**< largest body taken; 0: default */
	uint32_t idle_s; /**< silence after which a connection is closed; 0: default */
	/** Longest that a request may take to come in, or an answer to be read; 0: default */
	uint32_t phase_s;
	/** An operator asked for a graceful shutdown; any thread. */
	void (*drain)(void *context);
	/** Adds to the state dump what the core does not know; may be null. Any thread. */
	void (*describe)(void *describe_context, struct json_object *state);
	void *describe_context;
	void *context;
};

/** Binds and serves. Null with @error (WAXWING_ERROR_SYSTEM). */
struct waxwing_http *waxwing_http_open(const struct waxwing_http_options *options,
				       struct waxwing_error *error);

/** Requests taken and not yet answered in full. Any thread. */
uint32_t waxwing_http_active(const struct waxwing_http *http);

/** The connections. Any thread. */
void waxwing_http_view(const struct waxwing_http *http, struct waxwing_http_connections_view *view);

/** Adds what the instance tells of itself to a dump. Any thread. */
void waxwing_http_describe(const struct waxwing_http *http, struct json_object *state);

/** Stops taking connections; open ones go on. */
void waxwing_http_quiesce(struct waxwing_http *http);

/** Ends everything; no request may wait for the core any more. */
void waxwing_http_close(struct waxwing_http *http);

#endif
