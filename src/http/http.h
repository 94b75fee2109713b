/**
 * The HTTP server of an entry instance, for callers, operators and the load balancer's probes.
 *
 * libmicrohttpd runs its own threads; a request is suspended while it waits for the core.
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
	const char *address; /**< IPv4 address to bind */
	uint16_t port;
	uint32_t threads; /**< server threads; 0: default */
	uint32_t max_connections; /**< over all addresses; 0: default */
	uint32_t max_connections_per_address; /**< 0: as in the current settings */
	uint32_t max_body_bytes; /**< largest accepted request body; 0: default */
	uint32_t idle_timeout_s; /**< longest time of a connection without traffic; 0: default */
	/** Longest time for a client to send a request or to read an answer; 0: default. */
	uint32_t transfer_timeout_s;
	/** Called when an operator requests a graceful shutdown. Any thread. */
	void (*drain)(void *drain_context);
	/** Adds state from outside the core to the state dump; may be null. Any thread. */
	void (*describe)(void *describe_context, struct json_object *state);
	void *describe_context;
	void *drain_context;
};

/** Binds the port and starts serving. Null with @error (WAXWING_ERROR_SYSTEM). */
struct waxwing_http *waxwing_http_open(const struct waxwing_http_options *options,
				       struct waxwing_error *error);

/** Number of requests received and not yet answered completely. Any thread. */
uint32_t waxwing_http_active_requests(const struct waxwing_http *http);

/** Gets the connection statistics. Any thread. */
void waxwing_http_get_stats(const struct waxwing_http *http,
			    struct waxwing_http_connections_stats *stats);

/** Adds the state from outside the core to @state. Any thread. */
void waxwing_http_describe(const struct waxwing_http *http, struct json_object *state);

/** Stops accepting connections; open ones are still served. */
void waxwing_http_quiesce(struct waxwing_http *http);

/** Stops the server and closes all connections; no request may be waiting for the core. */
void waxwing_http_close(struct waxwing_http *http);

#endif
