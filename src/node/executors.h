/**
 * Non-blocking orders to executors. Back ends implement struct waxwing_executor_ops.
 *
 * Each order ends with one callback from the event loop, never from within the call. Not
 * thread-safe.
 */
#ifndef WAXWING_EXECUTORS_H
#define WAXWING_EXECUTORS_H

#include "cell.h"

struct waxwing_executors;

/** Starts a run. */
struct waxwing_executor_start {
	const struct waxwing_order_target *target;
	const struct waxwing_run_order *order;
	uint32_t timeout_ms;
	void (*done)(void *data, enum waxwing_start_answer answer, int64_t clock_ms);
	void *data;
};

/** Stops a run. */
struct waxwing_executor_stop {
	const struct waxwing_order_target *target;
	const struct waxwing_run_id *run_id;
	uint32_t timeout_ms;
	void (*done)(void *data, bool answered);
	void *data;
};

/** Extends the leases of an executor's runs and requests its lists of running and ended runs. */
struct waxwing_executor_hold {
	const struct waxwing_order_target *target;
	int64_t lease_until_ms; /**< new end of the leases, on the executor's clock; 0: do not extend */
	uint64_t acked_upto; /**< the executor may discard ended runs up to this number */
	uint32_t wait_ms; /**< how long the executor waits for a run to end before it answers */
	uint32_t timeout_ms; /**< in addition to wait_ms */
	void (*done)(void *data, const struct waxwing_hold_answer *answer);
	void *data;
};

struct waxwing_executor_ops {
	void (*start)(struct waxwing_executors *executors, const struct waxwing_executor_start *);
	void (*stop)(struct waxwing_executors *executors, const struct waxwing_executor_stop *);
	void (*hold)(struct waxwing_executors *executors, const struct waxwing_executor_hold *);
};

struct waxwing_executors {
	const struct waxwing_executor_ops *ops;
};

#endif
