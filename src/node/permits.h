/**
 * The outside service that says which executors may run a step, asked without blocking. Back ends implement
 * struct waxwing_permits_ops.
 *
 * Each question ends with one callback from the loop, never from within the call. One thread.
 */
#ifndef WAXWING_PERMITS_H
#define WAXWING_PERMITS_H

#include "cell.h"

struct waxwing_permits;

struct waxwing_permits_call {
	const struct waxwing_permit_question *question;
	void (*done)(void *data, const struct waxwing_permit_answer *answer);
	void *data; /**< freed by @done; a g_malloc() block that holds all it needs, when no answer comes */
};

struct waxwing_permits_ops {
	void (*ask)(struct waxwing_permits *permits, const struct waxwing_permits_call *call);
};

struct waxwing_permits {
	const struct waxwing_permits_ops *ops;
};

#endif
