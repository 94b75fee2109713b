/**
 * Sends and receives batches between entry instances over ZeroMQ. One thread owns all sockets.
 *
 * Batches are delivered at most once, and in order between two instances while a connection lasts.
 * Senders never block: batches that don't fit into a full queue are dropped and counted. A caller
 * that needs a reply must use its own timeout.
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
	const char *source; /**< IP address to connect from, copied; null means any */
	uint64_t incarnation; /**< incarnation of this instance */
	uint32_t message_bytes; /**< maximum size of a received batch; 0 means 4 MiB */
	/**
	 * Called on the peer thread for each received batch. The callee takes ownership of @batch.
	 */
	void (*received)(void *context, Waxwing__Batch *batch, size_t bytes);
	void *context;
};

/**
 * Binds the address and starts the thread. On failure returns null and sets @error to
 * WAXWING_ERROR_SYSTEM, with the address as its path if it can't be bound.
 */
struct waxwing_peer *waxwing_peer_open(const struct waxwing_peer_options *options,
				       struct waxwing_error *error);
/** Closes the sockets, after trying for up to a second to send queued batches. */
void waxwing_peer_close(struct waxwing_peer *peer);

/**
 * Queues a batch for an address (IP:port), connecting if needed. @batch is packed before the
 * function returns. May be called from any thread.
 */
void waxwing_peer_send(struct waxwing_peer *peer, struct waxwing_str address,
		       const Waxwing__Batch *batch);

/** Closes the connection to an address that is no longer used. May be called from any thread. */
void waxwing_peer_disconnect(struct waxwing_peer *peer, struct waxwing_str address);

struct waxwing_peer_view {
	uint32_t sockets; /**< sockets to peers, connected or connecting */
	uint64_t sent_batches;
	uint64_t sent_bytes;
	uint64_t received_batches;
	uint64_t received_bytes;
	uint64_t dropped; /**< batches not sent */
	uint64_t malformed; /**< received messages that are no valid batch */
};

/** Gets the current counters. May be called from any thread. */
void waxwing_peer_view(const struct waxwing_peer *peer, struct waxwing_peer_view *view);

#endif
