/**
 * Non-blocking interface to the outside service that decides which executors may run a step. Back
 * ends implement struct waxwing_permits_ops.
 *
 * Each query ends with one callback from the event loop, never from within the call. Not
 * thread-safe.
 */
#ifndef WAXWING_PERMITS_H
#define WAXWING_PERMITS_H

#include "cell.h"

struct waxwing_permits;

struct waxwing_permits_call {
	const struct waxwing_permit_query *query;
	void (*done)(void *data, const struct waxwing_permit_answer *answer);
	/** a g_malloc() block that @done frees; the back end frees it if it never calls @done */
	void *data;
};

struct waxwing_permits_ops {
	void (*query)(struct waxwing_permits *permits, const struct waxwing_permits_call *call);
};

struct waxwing_permits {
	const struct waxwing_permits_ops *ops;
};

#endif
