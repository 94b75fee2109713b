/**
 * Internals of the submission table. Private to submission.c (jobs and tasks), submission_windows.c
 * (windows and their epochs), submission_answer.c (answers and withdrawals) and
 * submission_iterate.c (iteration and statistics).
 */
#ifndef WAXWING_SUBMISSION_PRIVATE_H
#define WAXWING_SUBMISSION_PRIVATE_H

#include "submission.h"
#include "submission_epoch.h"
#include "submission_job.h"

/** An answer that waxwing_submissions_next_answer() has not returned yet. */
struct waxwing_pending_delivery {
	struct waxwing_waiter waiter;
	struct waxwing_submission *submission; /**< Holds a reference. */
};

struct waxwing_submissions {
	char *instance;
	uint64_t incarnation;
	uint32_t window_life_ms;
	uint32_t window_grace_ms;
	bool frozen;
	char *window; /**< Window of the newest epoch, as text. */
	GQueue epochs; /**< Of struct waxwing_epoch, oldest first. */
	GQueue expired_epochs; /**< Expired epochs whose ids are being freed. */
	/** Job number -> active submission; each entry holds a reference. */
	GHashTable *jobs_by_number;
	/** Active submissions in order of admission, linked through admission_link. */
	GQueue jobs_by_admission;
	GSequence *jobs_by_deadline; /**< Unanswered submissions, earliest deadline first. */
	GArray *deliveries; /**< Of struct waxwing_pending_delivery. */
	guint deliveries_taken;
	GArray *withdrawals; /**< Numbers (uint64_t) of jobs to withdraw. */
	Waxwing__JobAnswer *last_answer; /**< Last answer returned to a caller. */
	uint64_t last_job_number;
	uint64_t running_jobs;
	uint64_t queued_tasks;
	uint64_t committed_tasks;
	uint64_t finished_ids;
	uint64_t bytes;
};

static inline struct waxwing_epoch *waxwing_newest_epoch(const struct waxwing_submissions *table)
{
	return g_queue_peek_tail((GQueue *)&table->epochs);
}

/** Updates the table's byte count after a submission has grown or shrunk. */
void waxwing_submissions_update_bytes(struct waxwing_submissions *table,
				      struct waxwing_submission *submission);
/** Drops a reference; the last one frees the submission. */
void waxwing_submissions_unref(struct waxwing_submissions *table,
			       struct waxwing_submission *submission);

/** Opens epoch @number, which becomes the newest. */
void waxwing_windows_open(struct waxwing_submissions *table, uint64_t number, int64_t now_ms);
/** Opens the next epoch and expires old ones when they are due. */
void waxwing_windows_advance(struct waxwing_submissions *table, int64_t now_ms);
/** Frees a limited number of expired ids, so that no call takes long. */
void waxwing_windows_drop_expired(struct waxwing_submissions *table);
/** Removes a submission from its epoch; its id can no longer be looked up. */
void waxwing_windows_remove(struct waxwing_submissions *table,
			    struct waxwing_submission *submission);
/**
 * Returns the epoch of a window of this incarnation, or null with WAXWING_ERROR_BAD_ID or
 * WAXWING_ERROR_EXPIRED_ID.
 */
struct waxwing_epoch *waxwing_windows_get_epoch(struct waxwing_submissions *table,
						const struct waxwing_window *window,
						struct waxwing_error *error);
/**
 * Returns the unexpired epoch of an id, or null with @error; WAXWING_ERROR_NOT_FOUND if the id
 * belongs to another incarnation.
 */
struct waxwing_epoch *waxwing_windows_find_epoch(struct waxwing_submissions *table,
						 const char *text, struct waxwing_error *error);

/** Frees the last answer returned to a caller. */
void waxwing_submissions_clear_answer(struct waxwing_submissions *table);

#endif
