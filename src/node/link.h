/**
 * Messages between nodes. Back ends implement struct waxwing_link_ops.
 *
 * Messages are delivered at most once. Sending never blocks; a message that cannot be sent is
 * dropped. Not thread-safe.
 */
#ifndef WAXWING_LINK_H
#define WAXWING_LINK_H

#include "generated/node.pb-c.h"

#include <stdint.h>

struct waxwing_link;

struct waxwing_link_ops {
	/** Sends to the node whose message socket has @address (IP:port). */
	void (*send)(struct waxwing_link *link, const char *address,
		     const Waxwing__NodeMessage *message);
	/** Sends to the node from which a message was received. @sender is not 0. */
	void (*answer)(struct waxwing_link *link, uint64_t sender,
		       const Waxwing__NodeMessage *message);
	/** Returns the number of messages dropped since the start. */
	uint64_t (*dropped)(const struct waxwing_link *link);
};

struct waxwing_link {
	const struct waxwing_link_ops *ops;
};

#endif
