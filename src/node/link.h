/**
 * Messages between nodes over ZeroMQ, on one libuv loop.
 *
 * Delivery is at most once. A send never blocks; what a full queue does not take is dropped and
 * counted. Connections that fall silent are given up and made again. One thread: the loop's.
 */
#ifndef WAXWING_LINK_H
#define WAXWING_LINK_H

#include "generated/node.pb-c.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <uv.h>

struct waxwing_link;

struct waxwing_link_options {
	uv_loop_t *loop;
	const char *address; /**< IP:port to take messages at */
	uint64_t incarnation; /**< of this process */
	/**
	 * A message came. @sender names who sent it, for waxwing_link_answer(). What the callee keeps of
	 * the message it takes out of it.
	 */
	void (*received)(void *data, uint64_t sender, Waxwing__NodeMessage *message);
	void *data;
};

/** Binds the address; null and @error on failure. */
struct waxwing_link *waxwing_link_create(const struct waxwing_link_options *options,
					 struct waxwing_error *error);
void waxwing_link_destroy(struct waxwing_link *link);

/** Sends to the node that takes messages at @address. */
void waxwing_link_send(struct waxwing_link *link, const char *address,
		       const Waxwing__NodeMessage *message);

/** Sends to the node that a message came from. */
void waxwing_link_answer(struct waxwing_link *link, uint64_t sender,
			 const Waxwing__NodeMessage *message);

/** Closes the socket to a node that is sent to no more. */
void waxwing_link_forget(struct waxwing_link *link, const char *address);

/** Messages dropped since the start. */
uint64_t waxwing_link_dropped(const struct waxwing_link *link);

#endif
