/**
 * One submission: the states of its tasks and its answer. Private to the submission table.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_SUBMISSION_JOB_H
#define WAXWING_SUBMISSION_JOB_H

#include "submission.h"
#include "submission_epoch.h"

#include <glib.h>

enum waxwing_task_state {
	WAXWING_TASK_QUEUED,
	WAXWING_TASK_COMMITTED,
	WAXWING_TASK_DONE,
	WAXWING_TASK_FAILED,
	WAXWING_TASK_UNKNOWN,
	WAXWING_TASK_STATE_COUNT
};

struct waxwing_task {
	enum waxwing_task_state state;
	char *body; /**< Answer of a task that is done. */
};

/** State of a submission that is not answered yet or has committed tasks. */
struct waxwing_active_submission {
	struct waxwing_job job;
	Waxwing__JobRequest *request;
	struct waxwing_task *tasks;
	uint32_t task_count;
	uint32_t counts[WAXWING_TASK_STATE_COUNT];
	bool retried; /**< A task that may have run was queued again. */
	uint64_t body_bytes; /**< Total size of the task answers. */
	GArray *waiters; /**< Of struct waxwing_waiter; null once answered. */
	/** Position in the table's jobs_by_deadline; null once answered. */
	GSequenceIter *deadline_position;
	GList admission_link; /**< Link in the table's jobs_by_admission. */
};

/** A submission, kept until its epoch is dropped. */
struct waxwing_submission {
	unsigned int references; /**< Held by the table's indexes and pending deliveries. */
	char *id;
	uint64_t digest;
	/** Epoch that lists the submission; null once removed from it. */
	struct waxwing_epoch *epoch;
	struct waxwing_active_submission *active; /**< Null once answered with no task committed. */
	uint64_t accounted_bytes; /**< Size last added to the table's total. */
	uint8_t *answer; /**< Packed JobAnswer; null until answered. */
	size_t answer_len;
	GList epoch_link; /**< Link in the epoch's submissions. */
};

/** Effect of a task's result. */
enum waxwing_task_end {
	WAXWING_TASK_END_IGNORED, /**< The task was not committed. */
	WAXWING_TASK_END_REQUEUED,
	WAXWING_TASK_END_DONE,
	WAXWING_TASK_END_FAILED, /**< The task failed, and its job fails with the error. */
};

/**
 * Creates a submission with a copy of the request and one reference; freed with
 * waxwing_submission_destroy().
 */
struct waxwing_submission *waxwing_submission_create(const Waxwing__JobRequest *request,
						     uint64_t digest, uint64_t number,
						     int64_t now_ms, int64_t deadline_ms);
void waxwing_submission_destroy(struct waxwing_submission *submission);

/**
 * Moves a task from queued to committed; returns false if it is not queued or the job is answered.
 */
bool waxwing_submission_commit_task(struct waxwing_submission *submission, uint32_t task);

/**
 * Moves a task from committed to queued without proof that it did not start. Returns false if it is
 * not committed or the job is answered.
 */
bool waxwing_submission_retry_task(struct waxwing_submission *submission, uint32_t task);

/**
 * Returns false if certainly no task has started: all are queued, and none was queued again without
 * proof that it did not start.
 */
bool waxwing_submission_may_have_started(const struct waxwing_submission *submission);

/** Applies the result of a committed task. Sets @error on WAXWING_TASK_END_FAILED. */
enum waxwing_task_end waxwing_submission_end_task(struct waxwing_submission *submission,
						  uint32_t task, enum waxwing_slot_outcome outcome,
						  struct waxwing_str body,
						  struct waxwing_error *error);

/** Builds the answer of a complete job. Every task must be done. */
void waxwing_submission_complete(struct waxwing_submission *submission);

/** Builds the answer of a failed job, or a "not_run" one if no task can have started. */
void waxwing_submission_fail(struct waxwing_submission *submission,
			     const struct waxwing_error *reason);

/** Returns a packed JobAnswer that carries a failure; freed with g_free(). */
uint8_t *waxwing_failure_pack(const char *id, const char *state, const struct waxwing_error *error,
			      size_t *len);

/** Frees the state that is needed only while the submission is active. */
void waxwing_submission_free_active(struct waxwing_submission *submission);

/** Returns the bytes held by the request, the task answers, the answer and the id. */
uint64_t waxwing_submission_bytes(const struct waxwing_submission *submission);

#endif
