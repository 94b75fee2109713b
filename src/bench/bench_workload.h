/**
 * Seeded arrivals of a bench run: which jobs, when, of which tasks, and the ideal response of each.
 *
 * A workload is made once and then only read, so that every policy meets the same jobs. Times are
 * microseconds of virtual time from the start of the run. Work is the run time at speed 1.
 */
#ifndef WAXWING_BENCH_WORKLOAD_H
#define WAXWING_BENCH_WORKLOAD_H

#include "bench_profile.h"

#include <stdbool.h>
#include <stdint.h>

#define WAXWING_BENCH_US_PER_MS 1000
/** One way between a client and an entry instance. */
#define WAXWING_BENCH_CLIENT_US 1000
/** One way between processes of one failure domain. */
#define WAXWING_BENCH_NET_US   250
#define WAXWING_BENCH_NEVER_US INT64_MAX

/** Demand, in parts of capacity, for a while. */
struct waxwing_bench_phase {
	int64_t length_us;
	double load;
};

struct waxwing_bench_task {
	int64_t work_us;
	uint32_t job;
	uint32_t declared_ms;
};

struct waxwing_bench_job {
	int64_t intended_us; /**< when the client means to send it */
	int64_t deadline_us; /**< from its arrival at the entry instance */
	int64_t ideal_us; /**< response when alone on the idle domain */
	int64_t work_us; /**< of all tasks */
	int64_t resubmit_us; /**< after the intended time; 0: never */
	uint32_t first_task;
	uint32_t task_count;
	uint32_t branch;
	uint32_t domain;
	uint32_t issuer; /**< entry instance within the domain */
	bool is_short; /**< one short task: whose wait head-of-line blocking shows in */
	bool is_long; /**< many tasks or a long one */
};

struct waxwing_bench_workload_options {
	const struct waxwing_bench_profile *profile;
	uint64_t seed;
	uint32_t instances; /**< entry instances of a domain */
	uint32_t jobs; /**< number of jobs; 0: as many as fill the phases */
	const struct waxwing_bench_phase
		*phases; /**< played again from the first when @jobs need it */
	size_t phase_count;
	bool deadlines; /**< false: callers wait for ever */
	bool without_faults; /**< the profile's cancellations and failing upstreams */
	bool without_long; /**< leave the long jobs out; all others come as they would with them */
};

struct waxwing_bench_workload {
	const struct waxwing_bench_profile *profile;
	struct waxwing_bench_job *jobs; /**< by intended time */
	uint32_t job_count;
	struct waxwing_bench_task *tasks;
	uint32_t task_count;
	uint32_t instances;
	uint64_t seed;
	bool deadlines;
	bool faults;
	double capacity; /**< of all domains: slots times speed */
};

/** Draws the jobs; freed with waxwing_bench_workload_destroy(). */
struct waxwing_bench_workload *
waxwing_bench_workload_create(const struct waxwing_bench_workload_options *options);
void waxwing_bench_workload_destroy(struct waxwing_bench_workload *workload);

/**
 * Ideal response: the longest tasks on the fastest slots, or all work over all slots' speed,
 * whichever is larger, plus one round trip between client and upstream. Sorts @work_us downwards.
 */
int64_t waxwing_bench_ideal(const struct waxwing_bench_profile *profile, uint32_t domain,
			    int64_t *work_us, uint32_t count);

/**
 * The entry instance whose turn it is when @instances of unlike size take turns, each as many in a row
 * as it is large.
 */
uint32_t waxwing_bench_instance_of_turn(uint32_t instances, uint32_t turn);

/** Turns of one round. */
uint32_t waxwing_bench_instance_turns(uint32_t instances);

/** Sum of slots times speed of one domain. */
double waxwing_bench_capacity(const struct waxwing_bench_profile *profile, uint32_t domain);

#endif
