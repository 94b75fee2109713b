/**
 * Load profiles of the bench: the upstreams of each failure domain and the branches that send
 * jobs.
 *
 * Profiles are static tables; nothing is owned or freed. Thread-safe.
 */
#ifndef WAXWING_BENCH_PROFILE_H
#define WAXWING_BENCH_PROFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of domains in a profile. */
#define WAXWING_BENCH_MAX_DOMAINS 4

/** Jobs of one branch. Run times are at speed 1, the domain's average. */
struct waxwing_bench_branch {
	const char *name; /**< path in the settings tree */
	double share; /**< share of all jobs; a profile's shares add up to 1 */
	uint32_t min_tasks; /**< tasks per job, log-uniform from min_tasks to max_tasks */
	uint32_t max_tasks;
	uint32_t min_ms; /**< run time of a task, log-uniform from min_ms to max_ms */
	uint32_t max_ms;
	double long_share; /**< share of tasks that run from long_min_ms to long_max_ms instead */
	uint32_t long_min_ms;
	uint32_t long_max_ms;
	uint32_t declared_ms; /**< run time of a task as declared in the settings */
	uint32_t deadline_ms; /**< deadline of a job, from its arrival */
};

struct waxwing_bench_profile {
	const char *name;
	const char *description;
	uint32_t domains;
	uint32_t upstreams[WAXWING_BENCH_MAX_DOMAINS]; /**< by domain */
	uint32_t slots; /**< per upstream */
	double speed_ratio; /**< speed of the fastest over that of the slowest upstream */
	uint32_t instances; /**< default entry instances per domain */
	/** Share of unusually long tasks in branches with a long_share above 0; 0 in the others. */
	double straggler_share;
	uint32_t straggler_min_ms; /**< their run time, log-uniform from this to straggler_max_ms */
	uint32_t straggler_max_ms;
	/** Share of jobs whose declared times are up to 10 times too long or too short. */
	double misdeclared_share;
	double resubmitted_share; /**< share of jobs that are sent twice */
	bool faults; /**< callers cancel jobs, and upstreams fail for some time */
	const struct waxwing_bench_branch *branches;
	size_t branch_count;
};

/** Returns null if no profile has this name. */
const struct waxwing_bench_profile *waxwing_bench_profile_find(const char *name);

/** Returns the profile at @index; null past the last. */
const struct waxwing_bench_profile *waxwing_bench_profile_at(size_t index);

/** Number of upstreams in all domains. */
uint32_t waxwing_bench_profile_upstreams(const struct waxwing_bench_profile *profile);

/** Speed of upstream @index of @count in a domain: evenly spaced, 1 on average, fastest first. */
double waxwing_bench_profile_speed(const struct waxwing_bench_profile *profile, uint32_t index,
				   uint32_t count);

#endif
