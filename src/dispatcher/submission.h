/**
 * Table of the submissions of one instance: ids, windows, and the state of each job and task.
 *
 * The table guarantees that no task starts twice. Only the incarnation that a window names starts
 * tasks of its ids. A task is queued, then committed, then done, failed or unknown. It returns from
 * committed to queued only on proof that nothing was started; waxwing_submissions_retry() is the
 * one exception.
 *
 * No sockets, threads or clock. Not thread-safe: the core thread owns the table.
 */
#ifndef WAXWING_SUBMISSION_H
#define WAXWING_SUBMISSION_H

#include "generated/api.pb-c.h"
#include "scheduler.h"
#include "str.h"
#include "waxwingswitch/error.h"
#include "window.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_submissions;

struct waxwing_submissions_options {
	struct waxwing_str instance; /**< Copied. */
	uint64_t incarnation;
	uint32_t window_life_ms;
	uint32_t window_grace_ms;
};

/** Creates an empty table; freed with waxwing_submissions_destroy(). */
struct waxwing_submissions *
waxwing_submissions_create(const struct waxwing_submissions_options *options, int64_t now_ms);
void waxwing_submissions_destroy(struct waxwing_submissions *table);

/**
 * Changes the lifetime and grace period of windows. The open window closes after the shorter of its
 * old and new lifetime. Ids remain answerable at least as long as promised when their window
 * opened. Only the first window adopts both values in full, while it has no ids.
 */
void waxwing_submissions_set_windows(struct waxwing_submissions *table, int64_t now_ms,
				     uint32_t life_ms, uint32_t grace_ms);

/** Returns the window for new ids; valid until the next call on the table. */
struct waxwing_str waxwing_submissions_window(struct waxwing_submissions *table, int64_t now_ms);

/** Identifies who waits for a job's answer. The caller defines the meaning of the number. */
struct waxwing_waiter {
	uint64_t number;
};

enum waxwing_submit_result {
	WAXWING_SUBMIT_NEW, /**< A new job, whose tasks must be offered. */
	WAXWING_SUBMIT_ATTACHED, /**< The waiter was added to a running job. */
	WAXWING_SUBMIT_FINISHED, /**< The answer is known; see waxwing_submissions_answer(). */
	WAXWING_SUBMIT_FOREIGN_WINDOW, /**< The window belongs to another incarnation. */
	WAXWING_SUBMIT_REFUSED, /**< See the error. */
};

/** A job in the table. Owned by the table; valid until the next call on the table. */
struct waxwing_job {
	uint64_t number; /**< Number assigned by the issuer; part of struct waxwing_job_key. */
	const Waxwing__JobRequest *request;
	int64_t admitted_ms;
	int64_t deadline_ms;
	uint64_t bytes;
};

/**
 * Adds a submission, or a waiter to an existing one. On NEW or ATTACHED
 * waxwing_submissions_next_answer() returns the waiter exactly once. The request is copied if
 * needed.
 *
 * @deadline_ms is absolute, and not part of what identifies a job. Errors with REFUSED:
 * WAXWING_ERROR_BAD_ID, WAXWING_ERROR_EXPIRED_ID, WAXWING_ERROR_ID_REUSED (same id, different job),
 * WAXWING_ERROR_LEAVING (the table is frozen), WAXWING_ERROR_MISSING (no tasks).
 */
enum waxwing_submit_result
waxwing_submissions_submit(struct waxwing_submissions *table, int64_t now_ms,
			   const Waxwing__JobRequest *request, int64_t deadline_ms,
			   struct waxwing_waiter waiter, struct waxwing_job *job,
			   struct waxwing_error *error);

/**
 * Returns the answer of an id, or null if it has none. Owned by the table; valid until the next
 * call on the table. Only the code of a "not_run" answer is kept, so it is returned without path,
 * details and retry delay.
 */
const Waxwing__JobAnswer *waxwing_submissions_answer(struct waxwing_submissions *table,
						     int64_t now_ms, struct waxwing_str id);

/** A committed task that is about to be sent. Owned by the table until its result is reported. */
struct waxwing_task_start {
	struct waxwing_str id; /**< Submission id. */
	struct waxwing_str caller;
	struct waxwing_str branch;
	struct waxwing_str body;
	uint32_t task;
	int64_t deadline_ms;
};

/**
 * Moves a granted task from queued to committed. Only if this returns true may the task be sent,
 * and only once. Returns false if the task is not queued (cancelled, ended, or granted before).
 */
bool waxwing_submissions_commit(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				uint32_t task, struct waxwing_task_start *start);

/**
 * Reports the result of a committed task, exactly once per commit. Results of tasks that are not
 * committed are ignored.
 *
 * BUSY, UNREACHABLE and LEAVING mean that nothing was started: the task is queued again, and the
 * function returns true if the task must be offered again. DONE keeps a copy of @body. FAILED and
 * UNKNOWN fail the job with WAXWING_ERROR_TASK_FAILED or WAXWING_ERROR_UPSTREAM_LOST. A body that
 * is not UTF-8 text, which no answer can carry unchanged, fails the job as well. A result of a
 * started task that comes after the job's answer sets *late, and its body is dropped.
 */
bool waxwing_submissions_end_task(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				  uint32_t task, enum waxwing_slot_outcome outcome,
				  struct waxwing_str body, bool *late);

/**
 * Queues a committed task again although it may have run, instead of reporting its result. This is
 * the only way in which a task can start twice: it is meant for idempotent single requests, within
 * the retry budget. Returns false if the task is not committed, or its job is answered or past its
 * deadline; then report the result.
 */
bool waxwing_submissions_retry(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
			       uint32_t task);

/**
 * Ends a job whose queued tasks the scheduler refused, or which the caller cancelled. The answer is
 * "not_run" if no task can have started (none is committed, or each was queued again on proof that
 * nothing was started), else "failed". A failed answer never carries a code that says that nothing
 * was run: DEADLINE becomes LATE, other refusals become OUTCOME_UNKNOWN with the reason in the
 * message. No effect on a job that is already answered.
 */
void waxwing_submissions_refuse(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				const struct waxwing_error *reason);

/** An answer for one waiter. */
struct waxwing_delivery {
	struct waxwing_waiter waiter;
	const Waxwing__JobAnswer *answer; /**< Owned by the table until the next call on it. */
};

/** Takes the next pending answer; returns false if there is none. */
bool waxwing_submissions_next_answer(struct waxwing_submissions *table,
				     struct waxwing_delivery *delivery);

/**
 * Takes the next job that was answered while it had queued or committed tasks. The caller must
 * withdraw the queued ones from the scheduler and stop the running ones. Each job is returned once;
 * returns false if there is none.
 */
bool waxwing_submissions_next_withdrawal(struct waxwing_submissions *table, uint64_t *job);

/**
 * Expires deadlines and epochs. Call at least every 100 ms. Ids of an expired epoch are refused at
 * once; their memory is freed over the next calls, some hundreds of ids each.
 */
void waxwing_submissions_tick(struct waxwing_submissions *table, int64_t now_ms);

/** Calls @visit for each range of queued tasks of each job, to offer them to a new scheduler. */
void waxwing_submissions_each_queued(struct waxwing_submissions *table,
				     void (*visit)(void *context, const struct waxwing_job *job,
						   uint32_t first, uint32_t count),
				     void *context);

/** Calls @visit for each committed task, to tell a new scheduler which slots are in use. */
void waxwing_submissions_each_committed(struct waxwing_submissions *table,
					void (*visit)(void *context, const struct waxwing_job *job,
						      uint32_t task),
					void *context);

/** Looks up a job by its number. Returns false once it is answered and has no committed task. */
bool waxwing_submissions_job(struct waxwing_submissions *table, uint64_t number,
			     struct waxwing_job *job);

/** Looks up a running job by its submission id; returns false if there is none. */
bool waxwing_submissions_find(struct waxwing_submissions *table, struct waxwing_str id,
			      struct waxwing_job *job);

/**
 * Cancels a running job by its submission id, like waxwing_submissions_refuse() with
 * WAXWING_ERROR_CANCELLED.
 *
 * Returns false with @error: WAXWING_ERROR_BAD_ID, WAXWING_ERROR_EXPIRED_ID, or
 * WAXWING_ERROR_NOT_FOUND (another incarnation's window, an id never seen, or a job that is already
 * answered).
 */
bool waxwing_submissions_cancel(struct waxwing_submissions *table, int64_t now_ms,
				struct waxwing_str id, struct waxwing_error *error);

/** Returns the number of jobs that are not answered yet. */
uint64_t waxwing_submissions_running(const struct waxwing_submissions *table);

/**
 * Refuses new ids from now on, for a graceful shutdown. Running and finished ids are still served.
 */
void waxwing_submissions_freeze(struct waxwing_submissions *table);

/**
 * Calls @visit for each id that may have run, with its packed JobAnswer (null while the job runs)
 * and the digest of its request. Ids answered "not_run" are left out, like those never seen.
 */
void waxwing_submissions_each_id(struct waxwing_submissions *table,
				 void (*visit)(void *context, const char *id, uint64_t digest,
					       const uint8_t *answer, size_t answer_len),
				 void *context);

/** Returns the oldest and the newest epoch whose ids are kept, and when the newest expires. */
void waxwing_submissions_epochs(const struct waxwing_submissions *table, uint64_t *oldest,
				uint64_t *newest, int64_t *expires_ms);

/** Returns a digest of what identifies a job: all of the request but its deadline. */
uint64_t waxwing_submission_digest(const Waxwing__JobRequest *request);

struct waxwing_submissions_view {
	uint64_t running_jobs;
	uint64_t finished_ids;
	uint64_t queued_tasks;
	uint64_t committed_tasks;
	uint64_t bytes;
	uint64_t epochs;
};

void waxwing_submissions_view(const struct waxwing_submissions *table,
			      struct waxwing_submissions_view *view);

#endif
