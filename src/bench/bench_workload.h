/**
 * Workload of a bench run, generated from a seed: jobs with their arrival times, tasks and ideal
 * response times.
 *
 * A workload is immutable once created, so that every policy gets the same jobs. Times are in
 * microseconds since the start of the run. Work is run time at speed 1.
 */
#ifndef WAXWING_BENCH_WORKLOAD_H
#define WAXWING_BENCH_WORKLOAD_H

#include "bench_profile.h"

#include <stdbool.h>
#include <stdint.h>

#define WAXWING_BENCH_US_PER_MS 1000
/** One-way delay between a client and an entry instance. */
#define WAXWING_BENCH_CLIENT_DELAY_US 1000
/** One-way delay between processes of one failure domain. */
#define WAXWING_BENCH_NETWORK_DELAY_US 250
#define WAXWING_BENCH_NEVER_US	       INT64_MAX

/** A period of constant demand, relative to capacity. */
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
	int64_t intended_us; /**< when the client intends to send the job */
	int64_t deadline_us; /**< from the job's arrival; WAXWING_BENCH_NEVER_US: none */
	int64_t ideal_us; /**< response time on an otherwise idle domain */
	int64_t work_us; /**< total work of the tasks */
	int64_t resubmit_us; /**< resubmission's delay after intended_us; 0: not resubmitted */
	uint32_t first_task;
	uint32_t task_count;
	uint32_t branch;
	uint32_t domain;
	uint32_t issuer; /**< entry instance within the domain */
	bool is_short; /**< a single short task, used to measure head-of-line blocking */
	bool is_long; /**< has many tasks, or a task with a long run time */
};

struct waxwing_bench_workload_options {
	const struct waxwing_bench_profile *profile;
	uint64_t seed;
	uint32_t instances; /**< entry instances per domain */
	uint32_t jobs; /**< number of jobs; 0: enough to offer the phases' work once */
	const struct waxwing_bench_phase *phases; /**< repeated as often as @jobs needs */
	size_t phase_count;
	bool deadlines; /**< false: jobs have no deadline */
	bool without_faults; /**< ignore the profile's faults */
	bool without_long; /**< remove long jobs and keep all others unchanged */
};

struct waxwing_bench_workload {
	const struct waxwing_bench_profile *profile;
	struct waxwing_bench_job *jobs; /**< ordered by intended_us */
	uint32_t job_count;
	struct waxwing_bench_task *tasks;
	uint32_t task_count;
	uint32_t instances;
	uint64_t seed;
	bool deadlines;
	bool faults;
	double capacity; /**< sum of slots times speed over all domains */
};

/** Generates the jobs. Free with waxwing_bench_workload_destroy(). */
struct waxwing_bench_workload *
waxwing_bench_workload_create(const struct waxwing_bench_workload_options *options);
void waxwing_bench_workload_destroy(struct waxwing_bench_workload *workload);

/**
 * Ideal response time of a job on an idle domain: one round trip between client and upstream, plus
 * the larger of two times: the longest run time if the longest tasks get the fastest slots, and the
 * total work over the summed speed of all slots. Sorts @work_us in descending order.
 */
int64_t waxwing_bench_ideal_response_us(const struct waxwing_bench_profile *profile,
					uint32_t domain, int64_t *work_us, uint32_t count);

/**
 * Returns the instance that has turn @turn in weighted round robin. Each instance gets as many
 * consecutive turns as its weight.
 */
uint32_t waxwing_bench_instance_at_turn(uint32_t instances, uint32_t turn);

/** Turns in one round of the weighted round robin: the sum of all weights. */
uint32_t waxwing_bench_turns_per_round(uint32_t instances);

/** Sum of slots times speed of one domain. */
double waxwing_bench_domain_capacity(const struct waxwing_bench_profile *profile, uint32_t domain);

#endif
