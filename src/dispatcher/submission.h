/**
 * The table of submissions of one instance: ids, windows, and the state of each job and task.
 *
 * This is where "no task starts twice" is kept. Only the incarnation that a window names starts tasks
 * of its ids. A task goes queued, committed, then done, failed or unknown; it comes back from
 * committed only on proof that nothing started.
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
	struct waxwing_str instance; /**< copied */
	uint64_t incarnation;
	uint32_t window_life_ms;
	uint32_t window_grace_ms;
};

/** Creates an empty table; freed with waxwing_submissions_destroy(). */
struct waxwing_submissions *
waxwing_submissions_create(const struct waxwing_submissions_options *options, int64_t now_ms);
void waxwing_submissions_destroy(struct waxwing_submissions *table);

/**
 * Changes how long windows live. The open one closes by the shorter of its old and the new life. Ids are
 * answered at least as long as was promised when their window opened; only the first window, while it
 * has none, changes whole.
 */
void waxwing_submissions_set_windows(struct waxwing_submissions *table, int64_t now_ms,
				     uint32_t life_ms, uint32_t grace_ms);

/** The window that new ids are minted under; valid until the next call on the table. */
struct waxwing_str waxwing_submissions_window(struct waxwing_submissions *table, int64_t now_ms);

/** Whoever waits for a job's answer; the caller gives the number its meaning. */
struct waxwing_waiter {
	uint64_t number;
};

enum waxwing_submit_result {
	WAXWING_SUBMIT_NEW, /**< a new job: offer its tasks */
	WAXWING_SUBMIT_ATTACHED, /**< the waiter joined a running job */
	WAXWING_SUBMIT_FINISHED, /**< the answer is known: waxwing_submissions_answer() */
	WAXWING_SUBMIT_ELSEWHERE, /**< the window is another incarnation's */
	WAXWING_SUBMIT_REFUSED, /**< see the error */
};

/** A job as the table keeps it. Owned by the table; valid until the table's next call. */
struct waxwing_job {
	uint64_t number; /**< the issuer's number, part of struct waxwing_job_key */
	const Waxwing__JobRequest *request;
	int64_t admitted_ms;
	int64_t deadline_ms;
	uint64_t bytes;
};

/**
 * Takes a submission. On NEW or ATTACHED the waiter will come out of
 * waxwing_submissions_take_answer() exactly once. The request is copied when needed.
 *
 * @deadline_ms is the absolute deadline. Errors with REFUSED: WAXWING_ERROR_BAD_ID,
 * WAXWING_ERROR_EXPIRED_ID, WAXWING_ERROR_ID_REUSED (same id, another job), WAXWING_ERROR_LEAVING (frozen),
 * WAXWING_ERROR_MISSING (no tasks). The deadline is not part of what makes a job another one.
 */
enum waxwing_submit_result
waxwing_submissions_submit(struct waxwing_submissions *table, int64_t now_ms,
			   const Waxwing__JobRequest *request, int64_t deadline_ms,
			   struct waxwing_waiter waiter, struct waxwing_job *job,
			   struct waxwing_error *error);

/**
 * The finished answer of an id, or null. Owned by the table; valid until its next call. A "not_run" is
 * kept as its code only, so it comes again without path, details and the time to retry after.
 */
const Waxwing__JobAnswer *waxwing_submissions_answer(struct waxwing_submissions *table,
						     int64_t now_ms, struct waxwing_str id);

/** A task about to be sent. Owned by the table until its end is reported. */
struct waxwing_start {
	struct waxwing_str id; /**< the submission's */
	struct waxwing_str caller;
	struct waxwing_str branch;
	struct waxwing_str body;
	uint32_t task;
	int64_t deadline_ms;
};

/**
 * Commits a granted task: queued to committed. Only after true may the task's first byte be sent,
 * and only once. False when the task isn't queued (cancelled, ended, granted before).
 */
bool waxwing_submissions_commit(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				uint32_t task, struct waxwing_start *start);

/**
 * A committed task's end. BUSY, UNREACHABLE and LEAVING (nothing started) bring it back to queued,
 * and the return value says whether its job still wants it placed. DONE keeps @body (copied).
 * FAILED and UNKNOWN fail the job with WAXWING_ERROR_TASK_FAILED or WAXWING_ERROR_UPSTREAM_LOST; so does a body that
 * is not UTF-8 text, which no answer can carry whole. An end that comes after the job's answer is
 * late: *late is set and the body dropped; ends that started nothing are never late. Report the end
 * of each commit once; ends of tasks that are not committed are ignored.
 */
bool waxwing_submissions_task_ended(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				    uint32_t task, enum waxwing_slot_outcome outcome,
				    struct waxwing_str body, bool *late);

/**
 * Brings a committed task back to queued though it may have run, in place of reporting its end. This
 * is the one way in which a task can start again: only idempotent single requests go through it, within
 * the retry budget. False when the task isn't committed, or its job has its answer or is past its deadline: then
 * report the end.
 */
bool waxwing_submissions_retry(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
			       uint32_t task);

/**
 * The scheduler refused the job's queued tasks, or the caller cancelled. The answer is "not_run" when
 * no task can have started (none committed, or each back with proof), else "failed". A failed answer never carries a code that says that
 * nothing was run: DEADLINE becomes LATE, other refusals OUTCOME_UNKNOWN with the reason in words.
 * No effect on a job that has its answer.
 */
void waxwing_submissions_refuse(struct waxwing_submissions *table, int64_t now_ms, uint64_t job,
				const struct waxwing_error *reason);

/** An answer for one waiter. */
struct waxwing_delivery {
	struct waxwing_waiter waiter;
	const Waxwing__JobAnswer *answer; /**< owned by the table; valid until its next call */
};

/** Takes the next answer that is due; false when there is none. */
bool waxwing_submissions_take_answer(struct waxwing_submissions *table,
				     struct waxwing_delivery *delivery);

/**
 * A job that was answered with tasks queued or committed: its queued ones must be withdrawn from the
 * scheduler, its running ones stopped. Once a job; false when there is none.
 */
bool waxwing_submissions_take_withdrawal(struct waxwing_submissions *table, uint64_t *job);

/**
 * Deadlines, epochs. Call at least every 100 ms. Ids of an expired epoch are refused at once; their
 * memory comes back over the next calls, some hundreds of ids each.
 */
void waxwing_submissions_tick(struct waxwing_submissions *table, int64_t now_ms);

/** Calls @visit for each job with queued tasks (first, count of a run of queued tasks), for a new scheduler. */
void waxwing_submissions_each_queued(struct waxwing_submissions *table,
				     void (*visit)(void *context, const struct waxwing_job *job,
						   uint32_t first, uint32_t count),
				     void *context);

/** Calls @visit for each committed task, for a new scheduler that must know the slots in use. */
void waxwing_submissions_each_committed(struct waxwing_submissions *table,
					void (*visit)(void *context, const struct waxwing_job *job,
						      uint32_t task),
					void *context);

/** A job by its number, while it has no answer or a committed task; false otherwise. */
bool waxwing_submissions_job(struct waxwing_submissions *table, uint64_t number,
			     struct waxwing_job *job);

/** A running job by its submission id; false when there is none. */
bool waxwing_submissions_find(struct waxwing_submissions *table, struct waxwing_str id,
			      struct waxwing_job *job);

/**
 * Cancels a running job: waxwing_submissions_refuse() with WAXWING_ERROR_CANCELLED, by id.
 *
 * False with @error: WAXWING_ERROR_BAD_ID, WAXWING_ERROR_EXPIRED_ID, WAXWING_ERROR_NOT_FOUND (another
 * incarnation's window, an id never seen, or a job that has its answer).
 */
bool waxwing_submissions_cancel(struct waxwing_submissions *table, int64_t now_ms,
				struct waxwing_str id, struct waxwing_error *error);

/** Jobs not yet answered. */
uint64_t waxwing_submissions_running(const struct waxwing_submissions *table);

/** Refuses new ids from now on; attached and finished ones go on. For a graceful shutdown. */
void waxwing_submissions_freeze(struct waxwing_submissions *table);

/**
 * Calls @visit for each id that may have run, with its packed JobAnswer (null while the job runs) and the
 * digest of its request. Ids answered "not_run" are left out: so is every id never seen.
 */
void waxwing_submissions_each_id(struct waxwing_submissions *table,
				 void (*visit)(void *context, const char *id, uint64_t digest,
					       const uint8_t *answer, size_t answer_len),
				 void *context);

/** The span of epochs whose ids are kept, and when the newest expires. */
void waxwing_submissions_epochs(const struct waxwing_submissions *table, uint64_t *oldest,
				uint64_t *newest, int64_t *expires_ms);

/** A digest of what makes a job: all of the request but its deadline. */
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
