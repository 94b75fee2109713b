/** Internal state and functions of the dispatcher. Included by dispatcher*.c only. */
#ifndef WAXWING_DISPATCHER_PRIVATE_H
#define WAXWING_DISPATCHER_PRIVATE_H

#include "admission_hints.h"
#include "counters.h"
#include "dispatcher.h"
#include "handover.h"
#include "log.h"
#include "retry_budget.h"
#include "stream.h"

/** A task that was sent to an upstream and has not ended yet. */
struct waxwing_in_flight_task {
	uint64_t job;
	uint32_t task;
	char *upstream;
	char *address;
	char *id; /**< Submission id. */
	char *caller;
	int64_t started_ms;
};

/** A group of the domain's upstreams that one scheduler serves. */
struct waxwing_upstream_cell {
	uint32_t index;
	/**
	 * This instance's own scheduler of the cell, used while any issuer regards this instance as
	 * the cell's scheduler.
	 */
	struct waxwing_scheduler *scheduler;
	/** Incarnation of the current scheduler, which this instance offers its jobs to. */
	uint64_t scheduler_incarnation;
	uint64_t sync_epoch; /**< Number of the last sync sent to the scheduler. */
	uint32_t live_upstreams; /**< Number of live upstreams. */
	/** Recent refusals by the scheduler, if it is another instance. */
	struct waxwing_admission_hints *admission_hints;
};

/** A submission forwarded to its issuer, which has not answered yet. */
struct waxwing_forward {
	uint64_t correlation;
	struct waxwing_waiter waiter;
	uint64_t issuer; /**< Incarnation that the submission was sent to. */
	char *id;
	int64_t expires_ms;
	/** If it was not sent yet: until when to wait for who answers for the id; 0: it was sent. */
	int64_t held_until_ms;
	int64_t next_resend_ms; /**< Time of the next resend. */
	uint32_t resend_delay_ms;
	Waxwing__Forward *message; /**< The forwarded submission, kept for resends; owned. */
};

/** A waiter for a submission that a peer forwarded here under its own correlation number. */
struct waxwing_remote_waiter {
	uint64_t peer;
	uint64_t correlation;
	uint32_t hops; /**< Hop count carried by the forward. */
};

/** Stages of a graceful shutdown, in order; no stage is entered twice. */
enum waxwing_drain_state {
	WAXWING_DRAIN_SERVING,
	WAXWING_DRAIN_FINISHING_JOBS, /**< New ids are refused; running jobs finish. */
	WAXWING_DRAIN_HANDING_OVER, /**< Ids are sent to a successor. */
	WAXWING_DRAIN_ANNOUNCING, /**< The successor is announced to peers. */
	WAXWING_DRAIN_DONE,
};

struct waxwing_dispatcher {
	const struct waxwing_dispatcher_ops *ops;
	void *context;
	uint64_t incarnation;
	char *domain;
	struct waxwing_submissions *submissions;
	GPtrArray *cells; /**< Of struct waxwing_upstream_cell; at least one. */
	GHashTable *job_cells; /**< Job number -> index of the cell that the job is assigned to. */
	GRand *random;
	uint64_t seed;
	struct waxwing_membership *membership;
	struct waxwing_settings_store settings_store;

	GHashTable *streams; /**< struct waxwing_stream_key -> struct waxwing_stream. */
	GHashTable *in_flight; /**< Job number -> GPtrArray of struct waxwing_in_flight_task. */
	uint32_t in_flight_count;

	GHashTable *forwards; /**< Correlation number -> struct waxwing_forward. */
	GHashTable *remote_waiters; /**< Waiter number -> struct waxwing_remote_waiter. */
	uint64_t last_number; /**< Last number assigned to a forward or a remote waiter. */

	int64_t created_ms;
	/** Version of the upstreams last passed to the schedulers; 0 if none were. */
	uint64_t pushed_upstreams_version;
	bool upstreams_known;
	enum waxwing_drain_state drain;
	int64_t drain_entered_ms;
	/** Hand-over of this instance's ids; null before it begins. */
	struct waxwing_handover *handover;
	uint64_t successor; /**< Incarnation that receives the hand-over; 0 if none is chosen. */
	struct waxwing_inherited_windows *inheritance;

	/** Job number -> retries left, for idempotent single requests. */
	GHashTable *retries_left;
	struct waxwing_retry_budget retry_budget;
	uint32_t retry_percent;
	int64_t settings_requested_ms;
	/** A peer's settings head could not be resolved; the whole document is needed. */
	bool need_full_settings;
	/** Rate limit for log lines about invalid messages from peers. */
	struct waxwing_log_limit peer_log;
};

/* streams (dispatcher_batch.c) */

/** Returns the stream for a cell's messages to an incarnation; null if its address is unknown. */
struct waxwing_stream *waxwing_dispatcher_cell_stream(struct waxwing_dispatcher *dispatcher,
						      uint64_t incarnation, uint32_t cell);
/** Returns the stream to an incarnation for messages that concern no cell. */
struct waxwing_stream *waxwing_dispatcher_stream(struct waxwing_dispatcher *dispatcher,
						 uint64_t incarnation);

/* the cells of the domain (dispatcher_cells.c) */

/** Changes the number of cells. Every issuer then sends its full state to the new schedulers. */
void waxwing_dispatcher_set_cells(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  uint32_t cells);
/** Returns the cell with an index, or null if there is none. */
struct waxwing_upstream_cell *
waxwing_dispatcher_find_cell(const struct waxwing_dispatcher *dispatcher, uint32_t index);
/** Returns the cell that an upstream belongs to. */
struct waxwing_upstream_cell *
waxwing_dispatcher_upstream_cell(const struct waxwing_dispatcher *dispatcher,
				 struct waxwing_str upstream);
/** Assigns a new job to a cell: of two chosen at random, the one with the shorter expected wait. */
void waxwing_dispatcher_assign_cell(struct waxwing_dispatcher *dispatcher, uint64_t job);
/** Returns the cell that a job is assigned to. */
struct waxwing_upstream_cell *
waxwing_dispatcher_job_cell(const struct waxwing_dispatcher *dispatcher, uint64_t job);
/**
 * Drops the dispatcher's data about a job, unless the submission table still has it as a live job.
 */
void waxwing_dispatcher_forget_job(struct waxwing_dispatcher *dispatcher, uint64_t job);

/* settings and upstreams exchanged with peers (dispatcher_settings.c) */

/** Applies settings received from a peer if they are newer. */
void waxwing_dispatcher_receive_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					 const Waxwing__SettingsDocument *document);
/** Uses a peer's list of upstreams until the platform's own list has arrived. */
void waxwing_dispatcher_receive_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					  const Waxwing__Batch *batch);
/** Sends settings and upstreams to a peer, or just the settings head if @head_only. */
void waxwing_dispatcher_send_settings(struct waxwing_dispatcher *dispatcher,
				      struct waxwing_stream *stream, bool head_only);
/** Requests a peer's settings if its heartbeat announces a newer revision. */
void waxwing_dispatcher_request_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					 const Waxwing__Heartbeat *heartbeat);

/** Returns true if this instance schedules the cell. */
static inline bool waxwing_dispatcher_is_scheduler(const struct waxwing_dispatcher *dispatcher,
						   const struct waxwing_upstream_cell *cell)
{
	return cell->scheduler_incarnation == dispatcher->incarnation;
}

/** Returns the key under which schedulers know a job of this instance. */
static inline struct waxwing_job_key
waxwing_dispatcher_job_key(const struct waxwing_dispatcher *dispatcher, uint64_t job)
{
	return (struct waxwing_job_key){ .issuer = dispatcher->incarnation, .job = job };
}

/* issuer side: this instance's own jobs (dispatcher_issuer.c) */

/** Offers the tasks of a new job to the cell's scheduler, or refuses the job. */
void waxwing_dispatcher_offer_job(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  const struct waxwing_job *job);
/** Starts a task that was granted a slot on an upstream. */
void waxwing_dispatcher_handle_grant(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     uint64_t job, uint32_t task, struct waxwing_str upstream);
/** Handles a scheduler's refusal of a job. */
void waxwing_dispatcher_handle_refusal(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				       uint64_t job, enum waxwing_error_code reason,
				       uint32_t retry_after_ms);
/**
 * Offers @count tasks of a job, starting with @first, in the job's cell. @readmitted means that
 * they have passed admission before.
 */
void waxwing_dispatcher_offer_tasks(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				    const struct waxwing_job *job, uint32_t first, uint32_t count,
				    bool readmitted);
/** Delivers pending answers, and withdraws or stops the remaining tasks of answered jobs. */
void waxwing_dispatcher_process_results(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Frees a GPtrArray of struct waxwing_in_flight_task. */
void waxwing_dispatcher_free_in_flight(void *records);

/* local refusals, without an offer (dispatcher_admission.c) */

/** Records an overload refusal by another instance's scheduler. */
void waxwing_dispatcher_record_refusal(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				       const struct waxwing_upstream_cell *cell,
				       const Waxwing__Refusal *refusal);
/**
 * Refuses a new job if another instance's scheduler would certainly refuse it; returns true if so.
 */
bool waxwing_dispatcher_refuse_early(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     const struct waxwing_job *job);

/* sync: an issuer's full state, sent to a scheduler (dispatcher_sync.c) */

/**
 * Sends this instance's full state in a cell to the cell's scheduler; a remote scheduler receives
 * it with the next batch.
 */
void waxwing_dispatcher_sync(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			     struct waxwing_upstream_cell *cell);
/**
 * Replaces all messages queued in the stream to a cell's scheduler by this instance's full state in
 * the cell. The state is captured when the sync is sent, so it includes the changes since the sync
 * was started; those changes must not be sent separately.
 */
void waxwing_dispatcher_fill_sync(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  struct waxwing_upstream_cell *cell,
				  struct waxwing_stream *stream);

/* scheduler side: requests of all issuers (dispatcher_cell.c) */

/**
 * Switches to the schedulers that the membership names, and drops issuers that are dead or
 * unresponsive.
 */
void waxwing_dispatcher_update_schedulers(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Processes an issuer's offers, ended slots and withdrawals. */
void waxwing_dispatcher_receive_issuer_batch(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					     struct waxwing_upstream_cell *cell,
					     struct waxwing_stream *stream,
					     const Waxwing__Batch *batch);
/** Delivers the schedulers' grants and refusals to the issuers. */
void waxwing_dispatcher_run_actions(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/**
 * Registers a running task with a cell's scheduler. An upstream that the membership does not list,
 * or lists as removed, gets no more tasks.
 */
void waxwing_dispatcher_adopt_task(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				   struct waxwing_upstream_cell *cell, struct waxwing_job_key key,
				   uint32_t task, struct waxwing_str upstream, int64_t started_ms);
/** Passes changes of the membership's upstreams to the schedulers. */
void waxwing_dispatcher_push_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/**
 * Passes the branches and teams of @settings to a cell's scheduler, and retires branches that only
 * @old has. @old may be null.
 */
void waxwing_dispatcher_push_policies(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      struct waxwing_upstream_cell *cell,
				      const struct waxwing_settings *old,
				      const struct waxwing_settings *settings);

/* forward: submissions under another instance's window (dispatcher_forward.c) */

void waxwing_dispatcher_forward(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
				struct waxwing_waiter waiter);
void waxwing_dispatcher_receive_forward(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					struct waxwing_stream *stream,
					const Waxwing__Forward *forward);
void waxwing_dispatcher_receive_forward_answer(struct waxwing_dispatcher *dispatcher,
					       const Waxwing__ForwardAnswer *answer);
/**
 * Resends due forwards. A forward whose issuer is no longer alive goes to the issuer's successor;
 * without a successor, or once the forward has expired, it is answered with outcome_unknown.
 */
void waxwing_dispatcher_expire_forwards(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Delivers an answer to a local waiter, or to the peer that forwarded the submission. */
void waxwing_dispatcher_deliver_answer(struct waxwing_dispatcher *dispatcher,
				       struct waxwing_waiter waiter,
				       const Waxwing__JobAnswer *answer);
/** Answers one waiter with a failure; other waiters of the same id are not affected. */
void waxwing_dispatcher_answer_failure(struct waxwing_dispatcher *dispatcher,
				       struct waxwing_waiter waiter, const char *id,
				       const struct waxwing_error *error);

/* retry: idempotent single requests (dispatcher_retry.c) */

/** Reinitializes the retry budget if its percentage has changed. */
void waxwing_dispatcher_set_retry_budget(struct waxwing_dispatcher *dispatcher, uint32_t percent);
/** Registers a single request for retries if its branch allows them. */
void waxwing_dispatcher_allow_retries(struct waxwing_dispatcher *dispatcher, uint64_t job,
				      const struct waxwing_branch *branch);
/** Requeues a task instead of ending it, if a retry is allowed; returns true if so. */
bool waxwing_dispatcher_retry_task(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				   uint64_t job, uint32_t task, enum waxwing_slot_outcome outcome);
/** Offers one task of a job again. */
void waxwing_dispatcher_reoffer_task(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     uint64_t job, uint32_t task);

/* hand-over (dispatcher_handover.c) */

/** Advances a graceful shutdown to its next stage if possible. */
void waxwing_dispatcher_advance_drain(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Processes the hand-over parts and acknowledgements in a batch. */
void waxwing_dispatcher_receive_handovers(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					  struct waxwing_stream *stream,
					  const Waxwing__Batch *batch);
/** Answers a submission under an inherited window; returns false if its window is not inherited. */
bool waxwing_dispatcher_answer_inherited(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					 const Waxwing__JobRequest *request,
					 struct waxwing_waiter waiter);

#endif
