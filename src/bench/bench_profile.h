/**
 * Load profiles of the bench: the upstreams of each failure domain and the branches that send jobs.
 *
 * Profiles are static tables; nothing is owned or freed. Any thread.
 */
#ifndef WAXWING_BENCH_PROFILE_H
#define WAXWING_BENCH_PROFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most domains of a profile. */
#define WAXWING_BENCH_DOMAINS 4

/** Jobs that one branch sends. Run times are at speed 1, the domain's average. */
struct waxwing_bench_branch {
	const char *name; /**< path in the settings tree */
	double share; /**< of all jobs; a profile's shares add up to 1 */
	uint32_t least_tasks; /**< of a job; drawn log-uniformly */
	uint32_t most_tasks;
	uint32_t least_ms; /**< of a task; drawn log-uniformly */
	uint32_t most_ms;
	double long_share; /**< of tasks that run between the next two instead */
	uint32_t long_least_ms;
	uint32_t long_most_ms;
	uint32_t declared_ms; /**< typical run time in the settings */
	uint32_t deadline_ms; /**< of a job */
};

struct waxwing_bench_profile {
	const char *name;
	const char *about;
	uint32_t domains;
	uint32_t upstreams[WAXWING_BENCH_DOMAINS]; /**< in each domain */
	uint32_t slots; /**< of an upstream */
	double spread; /**< fastest upstream's speed over the slowest's */
	uint32_t instances; /**< entry instances of a domain, by default */
	double straggler_share; /**< of tasks */
	uint32_t straggler_least_ms;
	uint32_t straggler_most_ms;
	double lying_share; /**< of jobs whose declared times are wrong up to ten times either way */
	double resubmitted_share; /**< of jobs that are sent a second time */
	bool faults; /**< cancellation waves and an upstream that fails everything for a while */
	const struct waxwing_bench_branch *branches;
	size_t branch_count;
};

/** The profile of this name; null when there is none. */
const struct waxwing_bench_profile *waxwing_bench_profile_find(const char *name);

/** Visits by index; null past the end. */
const struct waxwing_bench_profile *waxwing_bench_profile_at(size_t index);

/** Upstreams of all domains. */
uint32_t waxwing_bench_profile_upstreams(const struct waxwing_bench_profile *profile);

/** Speed of upstream @index of @count in a domain: evenly spread, on average 1, fastest first. */
double waxwing_bench_profile_speed(const struct waxwing_bench_profile *profile, uint32_t index,
				   uint32_t count);

#endif
