/**
 * Per-domain queues of waiting jobs for policies that know all run times, speeds and completion
 * times.
 *
 * Shared base of the clairvoyant policies, which differ in the order of the queue and in how they
 * assign tasks to slots. Not thread-safe.
 */
#ifndef WAXWING_BENCH_JOB_QUEUE_H
#define WAXWING_BENCH_JOB_QUEUE_H

#include "bench_slot_plan.h"
#include "bench_policy.h"

struct waxwing_bench_job_queue_policy;

/** A job with tasks that have not started. */
struct waxwing_bench_queued_job {
	uint32_t number;
	double stretch; /**< due_us is set to allow this multiple of the ideal response time */
	int64_t due_us; /**< when the issuer should have the answers of all tasks */
	int64_t work_us; /**< total work of the tasks that have not started */
	GArray *tasks; /**< numbers (uint32_t) of those tasks, in ascending order of work */
	GSequenceIter *iter;
};

struct waxwing_bench_job_queue {
	GSequence *jobs; /**< of struct waxwing_bench_queued_job, ordered by compare */
	struct waxwing_bench_slot_plan plan;
};

/** Operations that differ between the clairvoyant policies. */
struct waxwing_bench_job_queue_ops {
	/** Compares two queued jobs; the queue is in ascending order. */
	GCompareDataFunc compare;
	/** Sets the fields of a new job that compare() reads. May be null. */
	void (*prepare)(const struct waxwing_bench_job_queue_policy *policy,
			struct waxwing_bench_queued_job *job);
	/** Starts all tasks of a domain's queue that can start now. */
	void (*start_tasks)(struct waxwing_bench_job_queue_policy *policy,
			    struct waxwing_bench_job_queue *queue);
};

struct waxwing_bench_job_queue_policy {
	struct waxwing_bench_policy base; /* must be first */
	const struct waxwing_bench_job_queue_ops *ops;
	struct waxwing_bench_job_queue *queues; /**< one per domain */
	struct waxwing_bench_queued_job **jobs; /**< by job number; null: not queued */
};

struct waxwing_bench_policy *
waxwing_bench_job_queue_create(struct waxwing_bench_sim *sim,
			       const struct waxwing_bench_policy_ops *base,
			       const struct waxwing_bench_job_queue_ops *ops);

/** Removes the task at @index of the job's tasks after it was started. */
void waxwing_bench_job_queue_remove_task(const struct waxwing_bench_job_queue_policy *policy,
					 struct waxwing_bench_queued_job *job, guint index);

/** Removes a job from its queue. Does nothing if it is not queued. */
void waxwing_bench_job_queue_remove(struct waxwing_bench_job_queue_policy *policy, uint32_t job);

/* Implementations of struct waxwing_bench_policy_ops. */

void waxwing_bench_job_queue_destroy(struct waxwing_bench_policy *base);
void waxwing_bench_job_queue_job_arrived(struct waxwing_bench_policy *base, uint32_t number);
void waxwing_bench_job_queue_task_ended(struct waxwing_bench_policy *base, uint32_t task,
					uint32_t upstream, enum waxwing_slot_outcome outcome,
					uint32_t run_ms);
void waxwing_bench_job_queue_job_aborted(struct waxwing_bench_policy *base, uint32_t job);

#endif
