/**
 * Graceful exit of a process that runs on one libuv loop: keeps the loop running until nothing is
 * in progress, or until the time for it is over.
 *
 * All times are in milliseconds since waxwing_drain_start(). Not thread-safe.
 */
#ifndef WAXWING_DRAIN_H
#define WAXWING_DRAIN_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct waxwing_drain_options {
	uv_loop_t *loop;
	uint32_t min_ms; /**< the loop runs on at least this long */
	uint32_t give_up_ms; /**< time from which give_up() is called for all that is in progress */
	uint32_t exit_ms; /**< time at which the loop is left, even if work is in progress */
	/** Returns true if nothing is in progress. */
	bool (*idle)(void *data);
	/** Ends all that is in progress, each caller with an answer. Called repeatedly. */
	void (*give_up)(void *data);
	void *data;
};

struct waxwing_drain;

/** The loop runs on as usual until waxwing_drain_start() is called. */
struct waxwing_drain *waxwing_drain_create(const struct waxwing_drain_options *options);

/** Frees @drain; the loop must not run any more. */
void waxwing_drain_destroy(struct waxwing_drain *drain);

/** Begins the graceful exit. Returns false if it has begun before. */
bool waxwing_drain_start(struct waxwing_drain *drain);

/** Runs the loop until the graceful exit is over. Returns how long that has taken. */
uint32_t waxwing_drain_run_loop(struct waxwing_drain *drain);

#endif
