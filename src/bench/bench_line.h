/**
 * One line of waiting jobs a domain, for the policies that know every run time, speed and end.
 *
 * Part of the clairvoyant policies, which say in what order jobs stand and how the line is planned; jobs
 * come, tasks end and jobs are withdrawn alike in all of them. Not thread-safe.
 */
#ifndef WAXWING_BENCH_LINE_H
#define WAXWING_BENCH_LINE_H

#include "bench_plan.h"
#include "bench_policy.h"

struct waxwing_bench_line_policy;

/** A job that has tasks to start. */
struct waxwing_bench_line_job {
	uint32_t job;
	double stretch; /**< multiple of the ideal response at which it is due */
	int64_t due_us; /**< for the last end to be heard at the issuer */
	int64_t work_us; /**< not started */
	GArray *tasks; /**< numbers, the longest last */
	GSequenceIter *place;
};

struct waxwing_bench_line {
	GSequence *queue; /**< of struct waxwing_bench_line_job */
	struct waxwing_bench_plan slots;
};

/** What sets one such policy apart. */
struct waxwing_bench_line_ops {
	/** The order of the line. */
	GCompareDataFunc compare;
	/** Fills in what the order needs of a job that has come; may be null. */
	void (*prepare)(const struct waxwing_bench_line_policy *policy,
			struct waxwing_bench_line_job *job);
	/** Starts what can start of a domain's line. */
	void (*plan)(struct waxwing_bench_line_policy *policy, struct waxwing_bench_line *line);
};

struct waxwing_bench_line_policy {
	struct waxwing_bench_policy base; /* first */
	const struct waxwing_bench_line_ops *ops;
	struct waxwing_bench_line *lines; /**< one a domain */
	struct waxwing_bench_line_job **jobs; /**< by number; null: none waits */
};

struct waxwing_bench_policy *waxwing_bench_line_create(struct waxwing_bench_sim *sim,
						       const struct waxwing_bench_policy_ops *base,
						       const struct waxwing_bench_line_ops *ops);

/** The task at @index of the job's was started. */
void waxwing_bench_line_started(const struct waxwing_bench_line_policy *policy,
				struct waxwing_bench_line_job *job, guint index);

/** Takes a job out of its line. */
void waxwing_bench_line_forget(struct waxwing_bench_line_policy *policy, uint32_t job);

/* as struct waxwing_bench_policy_ops asks for */

void waxwing_bench_line_destroy(struct waxwing_bench_policy *base);
void waxwing_bench_line_arrive(struct waxwing_bench_policy *base, uint32_t number);
void waxwing_bench_line_ended(struct waxwing_bench_policy *base, uint32_t task, uint32_t upstream,
			      enum waxwing_slot_outcome outcome, uint32_t run_ms);
void waxwing_bench_line_withdraw(struct waxwing_bench_policy *base, uint32_t job);

#endif
