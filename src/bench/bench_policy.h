/**
 * Scheduling policies that the bench compares.
 *
 * All are static tables; see struct waxwing_bench_policy_ops. Thread-safe.
 */
#ifndef WAXWING_BENCH_POLICY_H
#define WAXWING_BENCH_POLICY_H

#include "bench_sim.h"

/** One FIFO queue; any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fifo;
/** One FIFO queue; fastest free slot; never holds a task back. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fastest;
/** One FIFO queue per branch, served round robin; any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fair;
/** Each entry instance has its own queue and a fixed share of the slots. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_shares;
/** The less loaded of two random upstreams by the issuer's own count; upstreams queue. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_two_choices;
/** Owners of upstreams pull single tasks from other instances' queues. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_pull;
/**
 * One queue that knows run times, speeds and completion times: least remaining work first, on the
 * slot with the earliest end.
 */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant;
/** Same knowledge; gives each job a due time and uses the slowest slot that meets it. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_due;
/** The scheduler without message delay to any issuer. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_central;
/** The scheduler on one entry instance; the others reach it by messages. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_cell;

/** Returns null if no policy has this name. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_find(const char *name);

/** Returns null past the last policy. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_at(size_t index);

#endif
