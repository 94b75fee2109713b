/**
 * Jobs with queued tasks.
 *
 * Part of the scheduler. A job lives while it has queued tasks or slots in use; all are owned by the
 * queue. A branch's jobs are ranked by when their answer would be due if every job were answered within
 * the same multiple of its ideal response time: small and nearly finished jobs go first, and a job
 * that has waited long goes before a smaller one that has just come.
 */
#ifndef WAXWING_SCHEDULER_QUEUE_H
#define WAXWING_SCHEDULER_QUEUE_H

#include "scheduler_branch.h"
#include "scheduler_slots.h"

/** A queued task of a job. */
struct waxwing_queued_task {
	uint32_t task;
	uint32_t declared_ms; /**< 0: none */
	float expected_ms; /**< work */
};

struct waxwing_queue_job {
	struct waxwing_job_key key;
	struct waxwing_queue_branch *branch;
	GArray *tasks; /**< struct waxwing_queued_task; the last goes first */
	uint32_t used; /**< slots in use */
	uint32_t offered; /**< tasks in all */
	int64_t admitted_ms;
	int64_t deadline_ms;
	uint64_t bytes; /**< of the queued tasks */
	double work_ms; /**< expected, of the queued tasks */
	double usual_longest_ms; /**< work of the longest task of as many */
	double seen_ms; /**< most work that one of its runs has done so far */
	double ranked_seen_ms; /**< the same when it was ranked */
	double rank;
	uint64_t sequence;
	enum waxwing_error_code refused; /**< why it gets no more slots; WAXWING_OK: it does */
};

struct waxwing_queue {
	struct waxwing_branches branches;
	struct waxwing_slots *slots;
	GHashTable *jobs;
	GTree *by_deadline; /**< jobs with queued tasks */
	uint64_t tasks;
	uint64_t bytes;
	double work_ms; /**< expected, of the queued tasks */
	uint64_t sequence;
};

/** The queue looks up runs and speeds in @slots, which outlives it. */
void waxwing_queue_init(struct waxwing_queue *queue, struct waxwing_slots *slots);
void waxwing_queue_clear(struct waxwing_queue *queue);

/** Sets a branch's policy. */
struct waxwing_queue_branch *waxwing_queue_set_branch(struct waxwing_queue *queue,
						      const struct waxwing_branch_policy *policy);

struct waxwing_queue_job *waxwing_queue_job(const struct waxwing_queue *queue,
					    struct waxwing_job_key key);

/** Adds an offer's tasks that are neither queued nor running to its job, which is made at need. */
void waxwing_queue_add(struct waxwing_queue *queue, struct waxwing_queue_branch *branch,
		       const struct waxwing_offer *offer);

/** Takes the job's next task out; the job counts a slot in use. */
struct waxwing_queued_task waxwing_queue_take(struct waxwing_queue *queue,
					      struct waxwing_queue_job *job);

/** Puts a task back, before the job's others. */
void waxwing_queue_return(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			  struct waxwing_queued_task task);

/** Takes a task out that another scheduler granted; the job counts a slot in use. */
void waxwing_queue_adopt(struct waxwing_queue *queue, struct waxwing_queue_job *job, uint32_t task);

/** Counts a slot of the job as free; the job may be freed by this. */
void waxwing_queue_slot_free(struct waxwing_queue *queue, struct waxwing_queue_job *job);

/** Drops the job's queued tasks, for a reason; the job may be freed by this. */
void waxwing_queue_drop(struct waxwing_queue *queue, struct waxwing_queue_job *job,
			enum waxwing_error_code reason);

/** The job with queued tasks and the earliest deadline; null when there is none. */
struct waxwing_queue_job *waxwing_queue_first_deadline(const struct waxwing_queue *queue);

/** Work that the job has left, as expected: of its queued tasks and of its slots in use. */
static inline double waxwing_job_left_ms(const struct waxwing_queue_job *job)
{
	return job->work_ms + job->used * job->branch->work.mean_ms;
}

/** The next task of a job with queued tasks. */
static inline const struct waxwing_queued_task *
waxwing_job_next(const struct waxwing_queue_job *job)
{
	return &g_array_index(job->tasks, struct waxwing_queued_task, job->tasks->len - 1);
}

/**
 * Ranks a job again if its runs turned out longer than usual since it was ranked: what sets its ideal response
 * is running, so the rest of it is due later. True when it did; places in the branch's order have changed.
 */
bool waxwing_queue_rank_seen(struct waxwing_queue *queue, struct waxwing_queue_job *job);

#endif
