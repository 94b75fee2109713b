/**
 * The policies that a bench run sets side by side.
 *
 * All are static tables; see struct waxwing_bench_policy_ops. Any thread.
 */
#ifndef WAXWING_BENCH_POLICY_H
#define WAXWING_BENCH_POLICY_H

#include "bench_sim.h"

/** One first-come-first-served queue, any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fifo;
/** One first-come-first-served queue, fastest free slot, never holding back. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fastest;
/** One queue per branch, served in turn, any free slot. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_fair;
/** Each entry instance has its own queue and a fixed share of the slots. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_shares;
/** The less loaded of two random upstreams by the issuer's own view; queues there. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_two_choices;
/** Owners of upstreams pull single tasks from their peers' queues. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_pull;
/** One queue that knows true run times, speeds and ends: least remaining work, earliest finish. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_clairvoyant;
/** One queue that knows the same and aims at one multiple of the ideal: slowest slot in time. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_due;
/** The scheduler, next to all issuers. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_central;
/** The scheduler on one entry instance; the others reach it by messages. */
extern const struct waxwing_bench_policy_ops waxwing_bench_policy_cell;

/** The policy of this name; null when there is none. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_find(const char *name);

/** Visits by index; null past the end. */
const struct waxwing_bench_policy_ops *waxwing_bench_policy_at(size_t index);

#endif
