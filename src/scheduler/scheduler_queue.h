/**
 * The queue of jobs.
 *
 * Internal to the scheduler. The queue owns its jobs; a job exists while it has queued tasks or
 * slots in use. The jobs of a branch are ranked by a due time: admission plus fixed multiples of
 * the ideal response time and of the work divided by the capacity. Small and nearly finished jobs
 * go first, and a job that has waited long goes before a smaller one that was just admitted.
 */
#ifndef WAXWING_SCHEDULER_QUEUE_H
#define WAXWING_SCHEDULER_QUEUE_H

#include "scheduler_branch.h"
#include "scheduler_slots.h"

/** A queued task of a job. */
struct waxwing_queued_task {
	uint32_t task; /**< number in the job */
	uint32_t declared_ms; /**< 0: none declared */
	float expected_ms; /**< expected work */
};

struct waxwing_queue_job {
	struct waxwing_job_key key;
	struct waxwing_queue_branch *branch;
	GArray *tasks; /**< struct waxwing_queued_task; the last starts first */
	uint32_t used_slots;
	uint32_t offered_tasks; /**< tasks queued by offers, in total */
	int64_t admitted_ms;
	int64_t deadline_ms;
	uint64_t bytes; /**< total size of the bodies of the queued tasks */
	double work_ms; /**< expected work of the queued tasks */
	double typical_longest_ms; /**< typical work of the longest of the job's tasks */
	double longest_run_ms; /**< most work done by a run that exceeded its expected work */
	double ranked_longest_run_ms; /**< longest_run_ms when the job was last ranked */
	double rank; /**< due time in ms; the lowest goes first */
	uint64_t sequence; /**< order of arrival, which breaks ties */
	/** Why the job gets no more slots; WAXWING_OK: not refused. */
	enum waxwing_error_code refused;
};

struct waxwing_queue {
	struct waxwing_branches branches;
	struct waxwing_slots *slots;
	GHashTable *jobs; /**< struct waxwing_queue_job by key */
	GTree *by_deadline; /**< jobs with queued tasks, the earliest deadline first */
	uint64_t tasks; /**< queued tasks */
	uint64_t bytes; /**< total size of the bodies of the queued tasks */
	double work_ms; /**< expected work of the queued tasks */
	uint64_t sequence; /**< sequence number of the next job */
};

/** Initialises a queue that looks up runs and speeds in @slots, which must outlive it. */
void waxwing_queue_init(struct waxwing_queue *queue, struct waxwing_slots *slots);
void waxwing_queue_clear(struct waxwing_queue *queue);

/** Adds a branch or changes its policy. */
struct waxwing_queue_branch *waxwing_queue_set_branch(struct waxwing_queue *queue,
						      const struct waxwing_branch_policy *policy);

/** Returns a job; null when it is unknown. */
struct waxwing_queue_job *waxwing_queue_find_job(const struct waxwing_queue *queue,
						 struct waxwing_job_key key);

/**
 * Queues an offer's tasks that are neither queued nor running; creates the job if it is unknown.
 */
void waxwing_queue_add(struct waxwing_queue *queue, struct waxwing_queue_branch *branch,
		       const struct waxwing_offer *offer);

/** Removes the job's next task from the queue and counts a slot in use by the job. */
struct waxwing_queued_task waxwing_queue_pop(struct waxwing_queue *queue,
					     struct waxwing_queue_job *job);

/** Queues a task again, ahead of the job's other tasks. */
void waxwing_queue_requeue(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			   struct waxwing_queued_task task);

/**
 * Removes a task that another scheduler granted, if it is queued, and counts a slot in use by the
 * job.
 */
void waxwing_queue_adopt(struct waxwing_queue *queue, struct waxwing_queue_job *job, uint32_t task);

/** Counts one slot less in use by the job; may free the job. */
void waxwing_queue_release_slot(struct waxwing_queue *queue, struct waxwing_queue_job *job);

/** Removes the job's queued tasks and records the reason; may free the job. */
void waxwing_queue_drop(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			enum waxwing_error_code reason);

/**
 * Returns the job with the earliest deadline among those with queued tasks; null when there is
 * none.
 */
struct waxwing_queue_job *waxwing_queue_first_deadline(const struct waxwing_queue *queue);

/** Returns the job's expected remaining work: that of its queued tasks and of its running ones. */
static inline double waxwing_job_remaining_ms(const struct waxwing_queue_job *job)
{
	return job->work_ms + job->used_slots * job->branch->work.mean_ms;
}

/** Returns the next task of a job, which must have queued tasks. */
static inline const struct waxwing_queued_task *
waxwing_job_next(const struct waxwing_queue_job *job)
{
	return &g_array_index(job->tasks, struct waxwing_queued_task, job->tasks->len - 1);
}

/**
 * Ranks a job again if its longest run is longer than typical and has grown since the last ranking.
 * The long run determines the job's response time, so its other tasks become due later. Returns
 * true when the order of the branch's jobs has changed.
 */
bool waxwing_queue_rerank_if_longer(struct waxwing_queue *queue, struct waxwing_queue_job *job);

#endif
