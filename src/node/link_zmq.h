/**
 * ZeroMQ back end for messages between nodes, on a libuv loop.
 *
 * A message that does not fit into a full queue is dropped and counted. A connection without
 * traffic is closed and re-established. Use only from the loop's thread.
 */
#ifndef WAXWING_LINK_ZMQ_H
#define WAXWING_LINK_ZMQ_H

#include "link.h"
#include "waxwingswitch/error.h"

#include <uv.h>

struct waxwing_link_zmq_options {
	uv_loop_t *loop;
	const char *address; /**< IP:port to bind */
	/** incarnation of this process, used as ZeroMQ routing id; its lowest byte is not 0 */
	uint64_t incarnation;
	/**
	 * Called for each message. @sender identifies the sending node for struct
	 * waxwing_link_ops.answer; 0: the message answers one that this node sent. The callee may
	 * move parts out of the message and keep them; the caller then frees the rest.
	 */
	void (*received)(void *data, uint64_t sender, Waxwing__NodeMessage *message);
	void *data;
};

/** Binds the address. Returns null and sets @error on failure. */
struct waxwing_link *waxwing_link_zmq_create(const struct waxwing_link_zmq_options *options,
					     struct waxwing_error *error);
void waxwing_link_zmq_destroy(struct waxwing_link *link);

#endif
