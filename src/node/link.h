/**
 * Messages between nodes. Back ends implement struct waxwing_link_ops.
 *
 * Delivery is at most once; a send never blocks, and what cannot be sent is dropped. One thread.
 */
#ifndef WAXWING_LINK_H
#define WAXWING_LINK_H

#include "generated/node.pb-c.h"

#include <stdint.h>

struct waxwing_link;

struct waxwing_link_ops {
	/** Sends to the node that takes messages at @address (IP:port). */
	void (*send)(struct waxwing_link *link, const char *address,
		     const Waxwing__NodeMessage *message);
	/** Sends to the node that a message came from; @sender is not 0. */
	void (*answer)(struct waxwing_link *link, uint64_t sender,
		       const Waxwing__NodeMessage *message);
	/** Messages dropped since the start. */
	uint64_t (*dropped)(const struct waxwing_link *link);
};

struct waxwing_link {
	const struct waxwing_link_ops *ops;
};

#endif
