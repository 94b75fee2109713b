/**
 * Limits on the open HTTP connections of a server: their number per address, and the time that a
 * client may take to send a request or to read an answer.
 *
 * libmicrohttpd's own timeout only detects idle connections; a thread here shuts down those that
 * send or read too slowly.
 */
#ifndef WAXWING_HTTP_CONNECTIONS_H
#define WAXWING_HTTP_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct waxwing_http_connections;
struct waxwing_http_connection;

/** Starts the timeout thread; null if that fails. @timeout_s is the timeout in seconds, above 0. */
struct waxwing_http_connections *waxwing_http_connections_create(uint32_t timeout_s);
/** Stops the thread; no connection may be open. */
void waxwing_http_connections_destroy(struct waxwing_http_connections *connections);

/* The functions below may be called from any thread. */

struct waxwing_http_connections_stats {
	uint64_t open; /**< currently open connections */
	uint64_t timed_out; /**< connections shut down by the timeout */
	uint64_t rejected; /**< connections rejected by the limit per address */
};

void waxwing_http_connections_get_stats(struct waxwing_http_connections *connections,
					struct waxwing_http_connections_stats *stats);

/**
 * Returns true if the address has fewer than @limit open connections or @limit is 0; else counts
 * and logs a rejection.
 */
bool waxwing_http_connections_allow(struct waxwing_http_connections *connections,
				    const struct sockaddr *address, uint32_t limit);
/** Registers a new connection. Its socket must stay open until waxwing_http_connection_close(). */
struct waxwing_http_connection *
waxwing_http_connection_open(struct waxwing_http_connections *connections, int socket,
			     const struct sockaddr *address);
void waxwing_http_connection_close(struct waxwing_http_connections *connections,
				   struct waxwing_http_connection *connection);

/** Starts the timeout: the client has to send a request or to read an answer. */
void waxwing_http_connection_start_timeout(struct waxwing_http_connection *connection);
/** Stops the timeout: the server is processing the request. */
void waxwing_http_connection_stop_timeout(struct waxwing_http_connection *connection);

#endif
