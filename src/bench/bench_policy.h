/**
 * Scheduling policies that the bench compares.
 *
 * All are static tables; see struct waxwing_bench_policy_ops. Thread-safe.
 */
#ifndef WAXWING_BENCH_POLICY_H
#define WAXWING_BENCH_POLICY_H

#include "bench_sim.h"

/** One FIFO queue; a task takes any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fifo;
/** One FIFO queue; a task takes the fastest free slot and never waits for a faster one. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fastest;
/** One FIFO queue per branch, served round robin; a task takes any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fair;
/** Each entry instance has its own FIFO queue and a fixed share of the slots. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_shares;
/**
 * A task goes to the one of two random upstreams that has fewer of its issuer's tasks; upstreams
 * queue tasks.
 */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_two_choices;
/** Owners of upstreams pull single tasks from other instances' queues. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_pull;
/**
 * One queue that knows run times, speeds and completion times. The job with the least remaining
 * work comes first; a task takes the slot where it ends first.
 */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant;
/**
 * One queue that knows run times, speeds and completion times. Each job has a due time; a task
 * takes the slowest slot where it ends by then.
 */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_due;
/** The scheduler without message delay to any issuer. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_central;
/** The scheduler on one entry instance; the others reach it by messages. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_cell;

/** Returns null if no policy has this name. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_find(const char *name);

/** Returns the policy at @index; null past the last. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_at(size_t index);

#endif
