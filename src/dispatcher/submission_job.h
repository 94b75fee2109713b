/**
 * One submission: the state of its tasks and its one answer. Private to the submission table.
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
	char *body; /**< answer of a done task */
};

/** What a submission needs until it has its answer and nothing of it is committed. */
struct waxwing_submission_run {
	struct waxwing_job job;
	Waxwing__JobRequest *request;
	struct waxwing_task *tasks;
	uint32_t task_count;
	uint32_t counts[WAXWING_TASK_STATE_COUNT];
	bool retried; /**< a task was queued again that may have run */
	uint64_t body_bytes; /**< of the answers kept so far */
	GArray *waiters; /**< of struct waxwing_waiter; null once answered */
	GSequenceIter *expiry; /**< place in the table's order of deadlines; null once answered */
	GList link; /**< in the table's jobs, by admission */
};

/** What is kept of every id until its epoch is dropped. */
struct waxwing_submission {
	unsigned int references; /**< of the table's indexes and pending deliveries */
	char *id;
	uint64_t digest;
	struct waxwing_epoch *epoch; /**< that finds it by its id; null once dropped */
	struct waxwing_submission_run *run; /**< null once it is over */
	uint64_t accounted_bytes; /**< as last added to the table's total */
	uint8_t *answer; /**< a packed JobAnswer; null while running */
	size_t answer_len;
	GList epoch_link; /**< in its epoch */
};

/** What an end made of its task. */
enum waxwing_task_end {
	WAXWING_TASK_END_IGNORED, /**< the task was not committed */
	WAXWING_TASK_END_REQUEUED,
	WAXWING_TASK_END_DONE,
	WAXWING_TASK_END_FAILED, /**< and so is its job, with the error */
};

/** Copies the request. One reference; the table frees it with waxwing_submission_destroy(). */
struct waxwing_submission *waxwing_submission_create(const Waxwing__JobRequest *request,
						     uint64_t digest, uint64_t number,
						     int64_t now_ms, int64_t deadline_ms);
void waxwing_submission_destroy(struct waxwing_submission *submission);

/** Queued to committed; false when the task isn't queued or the job has its answer. */
bool waxwing_submission_commit(struct waxwing_submission *submission, uint32_t task);

/** Committed to queued without proof; false when the task isn't committed or the job has its answer. */
bool waxwing_submission_retry(struct waxwing_submission *submission, uint32_t task);

/** False on proof that no task has started: all are queued, none came back without that proof. */
bool waxwing_submission_may_have_started(const struct waxwing_submission *submission);

/** A committed task's end; @error is filled in on WAXWING_TASK_END_FAILED. */
enum waxwing_task_end waxwing_submission_end(struct waxwing_submission *submission, uint32_t task,
					     enum waxwing_slot_outcome outcome,
					     struct waxwing_str body, struct waxwing_error *error);

/** Makes the whole answer. Every task must be done. */
void waxwing_submission_complete(struct waxwing_submission *submission);

/** Makes the answer a failure, or "not_run" when no task was ever committed. */
void waxwing_submission_fail(struct waxwing_submission *submission,
			     const struct waxwing_error *reason);

/** A packed JobAnswer that carries a failure; freed with g_free(). */
uint8_t *waxwing_failure_pack(const char *id, const char *state, const struct waxwing_error *error,
			      size_t *len);

/** Frees what only a run needs. */
void waxwing_submission_end_run(struct waxwing_submission *submission);

/** Bytes held in request, bodies, answer and id. */
uint64_t waxwing_submission_bytes(const struct waxwing_submission *submission);

#endif
