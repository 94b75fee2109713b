/**
 * What the table of submissions holds. Private to submission.c (jobs and tasks), submission_windows.c
 * (windows and their epochs), submission_answer.c (what is given out) and submission_visit.c (what it shows).
 */
#ifndef WAXWING_SUBMISSION_PRIVATE_H
#define WAXWING_SUBMISSION_PRIVATE_H

#include "submission.h"
#include "submission_epoch.h"
#include "submission_job.h"

/** An answer that a waiter has not taken yet. */
struct waxwing_pending_delivery {
	struct waxwing_waiter waiter;
	struct waxwing_submission *submission; /**< a reference */
};

struct waxwing_submissions {
	char *instance;
	uint64_t incarnation;
	uint32_t window_life_ms;
	uint32_t window_grace_ms;
	bool frozen;
	char *window; /**< of the newest epoch */
	GQueue epochs; /**< of struct waxwing_epoch, oldest first */
	GQueue expired; /**< epochs that are being dropped */
	GHashTable *
		jobs; /**< number to submission that runs or has a committed task; a reference each */
	GQueue order; /**< the same by admission, through the links of their runs */
	GSequence *deadlines; /**< running submissions, soonest first */
	GArray *deliveries; /**< of struct waxwing_pending_delivery */
	guint deliveries_taken;
	GArray *withdrawals; /**< of uint64_t */
	Waxwing__JobAnswer *unpacked; /**< last answer handed out */
	uint64_t last_job;
	uint64_t running;
	uint64_t queued_tasks;
	uint64_t committed_tasks;
	uint64_t finished_ids;
	uint64_t bytes;
};

static inline struct waxwing_epoch *waxwing_newest_epoch(const struct waxwing_submissions *table)
{
	return g_queue_peek_tail((GQueue *)&table->epochs);
}

/** Brings the table's bytes up to date with a submission that has grown or shrunk. */
void waxwing_submissions_account(struct waxwing_submissions *table,
				 struct waxwing_submission *submission);
/** Gives a reference back; the last one frees the submission. */
void waxwing_submissions_release(struct waxwing_submissions *table,
				 struct waxwing_submission *submission);

/** Opens the epoch @number; from now on it is the newest. */
void waxwing_windows_open(struct waxwing_submissions *table, uint64_t number, int64_t now_ms);
/** Opens the next epoch and expires old ones as time goes on. */
void waxwing_windows_advance(struct waxwing_submissions *table, int64_t now_ms);
/** Frees expired epochs bit by bit, so that no call takes long. */
void waxwing_windows_drop_expired(struct waxwing_submissions *table);
/** Takes a submission out of its epoch; its id is not found any more. */
void waxwing_windows_remove(struct waxwing_submissions *table,
			    struct waxwing_submission *submission);
/** The epoch of an own window, or null with WAXWING_ERROR_BAD_ID or WAXWING_ERROR_EXPIRED_ID. */
struct waxwing_epoch *waxwing_windows_epoch(struct waxwing_submissions *table,
					    const struct waxwing_window *window,
					    struct waxwing_error *error);
/** The live epoch of an own id, or null with @error; WAXWING_ERROR_NOT_FOUND for another instance's. */
struct waxwing_epoch *waxwing_windows_find(struct waxwing_submissions *table, const char *text,
					   struct waxwing_error *error);

/** Frees the last answer handed out. */
void waxwing_answers_clear(struct waxwing_submissions *table);

#endif
