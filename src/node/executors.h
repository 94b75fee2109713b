/**
 * Orders to executors, given without blocking. Back ends implement struct waxwing_executor_ops.
 *
 * Each order ends with one callback from the loop, never from within the call. One thread.
 */
#ifndef WAXWING_EXECUTORS_H
#define WAXWING_EXECUTORS_H

#include "cell.h"

struct waxwing_executors;

struct waxwing_executor_start {
	const struct waxwing_order_target *target;
	const struct waxwing_run_order *order;
	uint32_t timeout_ms;
	void (*done)(void *data, enum waxwing_start_answer answer, int64_t clock_ms);
	void *data;
};

struct waxwing_executor_stop {
	const struct waxwing_order_target *target;
	const struct waxwing_run_name *name;
	uint32_t timeout_ms;
	void (*done)(void *data, bool answered);
	void *data;
};

struct waxwing_executor_hold {
	const struct waxwing_order_target *target;
	int64_t until_ms; /**< 0: leases are not extended */
	uint64_t acked_upto; /**< ends up to this number may be forgotten */
	uint32_t wait_ms; /**< for an end, at the executor */
	uint32_t timeout_ms; /**< beside the wait */
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
