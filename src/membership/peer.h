/**
 * Batches between entry instances over ZeroMQ. One thread owns all sockets.
 *
 * Delivery is at most once and in order per pair while a connection lasts; senders never block, and
 * what does not fit a full queue is dropped and counted. Whoever needs an answer waits for it with a
 * timeout of its own.
 */
#ifndef WAXWING_PEER_H
#define WAXWING_PEER_H

#include "generated/peer.pb-c.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdint.h>

struct waxwing_peer;

struct waxwing_peer_options {
	const char *address; /**< IP:port to bind */
	const char *source; /**< IP number to connect from, copied; null: any */
	uint64_t incarnation; /**< own */
	uint32_t message_bytes; /**< largest batch taken; 0: 4 MiB */
	/** A batch came; on the peer thread. The batch becomes the receiver's to free. */
	void (*received)(void *context, Waxwing__Batch *batch, size_t bytes);
	void *context;
};

/** Binds and starts the thread. Null with @error (WAXWING_ERROR_SYSTEM, the address in the path). */
struct waxwing_peer *waxwing_peer_open(const struct waxwing_peer_options *options,
				       struct waxwing_error *error);
/** Sends what is queued for up to a second, then closes. */
void waxwing_peer_close(struct waxwing_peer *peer);

/** Queues a batch to an address (IP:port), connecting when needed. Packs at once. Any thread. */
void waxwing_peer_send(struct waxwing_peer *peer, struct waxwing_str address,
		       const Waxwing__Batch *batch);

/** Drops the connection to an address that is no longer a member. Any thread. */
void waxwing_peer_forget(struct waxwing_peer *peer, struct waxwing_str address);

struct waxwing_peer_view {
	uint32_t sockets; /**< to peers, connected or trying to */
	uint64_t sent_batches;
	uint64_t sent_bytes;
	uint64_t received_batches;
	uint64_t received_bytes;
	uint64_t dropped;
	uint64_t malformed;
};

void waxwing_peer_view(const struct waxwing_peer *peer, struct waxwing_peer_view *view);

#endif
