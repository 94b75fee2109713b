/**
 * The open HTTP connections of a server: how many each address has, and how long each may take to
 * send a request or to read an answer.
 *
 * libmicrohttpd's own timeout counts silence only; a thread here ends connections that trickle.
 */
#ifndef WAXWING_HTTP_CONNECTIONS_H
#define WAXWING_HTTP_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct waxwing_http_connections;
struct waxwing_http_connection;

/** Starts the thread; null when it can't. A phase may take @limit_s seconds, above 0. */
struct waxwing_http_connections *waxwing_http_connections_create(uint32_t limit_s);
/** Ends the thread; no connection may be open any more. */
void waxwing_http_connections_destroy(struct waxwing_http_connections *connections);

/* Any thread, from here on. */

struct waxwing_http_connections_view {
	uint64_t open; /**< now */
	uint64_t slow; /**< ended for taking too long, so far */
	uint64_t crowded; /**< refused, their address having enough, so far */
};

void waxwing_http_connections_view(struct waxwing_http_connections *connections,
				   struct waxwing_http_connections_view *view);

/** True while the address has fewer than @limit open; 0: no limit. */
bool waxwing_http_connections_allow(struct waxwing_http_connections *connections,
				    const struct sockaddr *address, uint32_t limit);
/** A connection was opened; until waxwing_http_connection_close() its socket must stay open. */
struct waxwing_http_connection *
waxwing_http_connection_open(struct waxwing_http_connections *connections, int socket,
			     const struct sockaddr *address);
void waxwing_http_connection_close(struct waxwing_http_connections *connections,
				   struct waxwing_http_connection *connection);

/** A phase in which the other side has to move begins: a request, or the reading of an answer. */
void waxwing_http_connection_expect(struct waxwing_http_connection *connection);
/** The instance has to move: no limit. */
void waxwing_http_connection_wait(struct waxwing_http_connection *connection);

#endif
