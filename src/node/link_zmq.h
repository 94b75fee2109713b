/**
 * Messages between nodes over ZeroMQ, on one libuv loop.
 *
 * What a full queue does not take is dropped and counted. Connections that fall silent are given up
 * and made again. One thread: the loop's.
 */
#ifndef WAXWING_LINK_ZMQ_H
#define WAXWING_LINK_ZMQ_H

#include "link.h"
#include "waxwingswitch/error.h"

#include <uv.h>

struct waxwing_link_zmq_options {
	uv_loop_t *loop;
	const char *address; /**< IP:port to take messages at */
	uint64_t incarnation; /**< of this process; its lowest byte is not 0 */
	/**
	 * A message came. @sender names who sent it, for struct waxwing_link_ops.answer; 0: it answers
	 * one of this node's. What the callee keeps of the message it takes out of it.
	 */
	void (*received)(void *data, uint64_t sender, Waxwing__NodeMessage *message);
	void *data;
};

/** Binds the address; null and @error on failure. */
struct waxwing_link *waxwing_link_zmq_create(const struct waxwing_link_zmq_options *options,
					     struct waxwing_error *error);
void waxwing_link_zmq_destroy(struct waxwing_link *link);

#endif
