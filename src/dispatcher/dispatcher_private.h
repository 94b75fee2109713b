/**
 * What the parts of the dispatcher share. Included by dispatcher*.c only.
 */
#ifndef WAXWING_DISPATCHER_PRIVATE_H
#define WAXWING_DISPATCHER_PRIVATE_H

#include "advice.h"
#include "counters.h"
#include "dispatcher.h"
#include "handover.h"
#include "log.h"
#include "retry_budget.h"
#include "stream.h"

/** A task sent to an upstream and not yet ended. */
struct waxwing_in_flight {
	uint64_t job;
	uint32_t task;
	char *upstream;
	char *address;
	char *id; /**< the submission's */
	char *caller;
	int64_t started_ms;
};

/** A cell of the domain's upstreams. */
struct waxwing_cell {
	uint32_t index;
	struct waxwing_scheduler *scheduler; /**< in use when others take us for it */
	uint64_t scheduling; /**< incarnation that our jobs in the cell are offered to */
	uint64_t sync_epoch; /**< of our last sync to it */
	uint32_t upstreams; /**< live ones */
	struct waxwing_advice *advice; /**< of its scheduler, when that is another instance */
};

/** A submission passed on, waiting for the issuer's answer. */
struct waxwing_forward {
	uint64_t correlation;
	struct waxwing_waiter waiter;
	uint64_t issuer; /**< incarnation it was sent to */
	char *id;
	int64_t expires_ms;
	int64_t resend_ms; /**< when it is sent again */
	uint32_t resend_after_ms;
	Waxwing__Forward *message; /**< kept to be sent again; owned */
};

/** A peer's waiter: whose submission, under which number of theirs. */
struct waxwing_remote_waiter {
	uint64_t from;
	uint64_t correlation;
	uint32_t hops; /**< of the forward */
};

/** How far a graceful shutdown has come; it only goes forward. */
enum waxwing_drain_state {
	WAXWING_DRAIN_SERVING,
	WAXWING_DRAIN_JOBS, /**< frozen; running jobs end */
	WAXWING_DRAIN_HANDING_OVER, /**< the ids go to a successor */
	WAXWING_DRAIN_SPREADING, /**< the news of the successor goes round */
	WAXWING_DRAIN_DONE,
};

struct waxwing_dispatcher {
	const struct waxwing_dispatcher_ops *ops;
	void *context;
	uint64_t incarnation;
	char *domain;
	struct waxwing_submissions *submissions;
	GPtrArray *cells; /**< of struct waxwing_cell, at least one */
	GHashTable *job_cells; /**< job -> index of the cell that it is offered in */
	GRand *random;
	uint64_t seed;
	struct waxwing_membership *membership;
	struct waxwing_settings_store store;

	GHashTable *streams; /**< key -> struct waxwing_stream */
	GHashTable *in_flight; /**< job -> GPtrArray of struct waxwing_in_flight */
	uint32_t in_flight_count;

	GHashTable *forwards; /**< correlation -> struct waxwing_forward */
	GHashTable *remote_waiters; /**< waiter number -> struct waxwing_remote_waiter */
	uint64_t next_number; /**< of correlations and remote waiters */

	int64_t created_ms;
	uint64_t pushed_version; /**< of the upstreams that the schedulers were given; 0: none */
	bool upstreams_known;
	enum waxwing_drain_state drain;
	int64_t drain_entered_ms;
	struct waxwing_handover *handover; /**< ours; null before it begins */
	uint64_t successor; /**< of the hand-over; 0: none */
	struct waxwing_inheritance *inheritance;

	GHashTable *retries; /**< job -> attempts left, of idempotent single requests */
	struct waxwing_retry_budget retry_budget;
	uint32_t retry_percent;
	int64_t settings_asked_ms;
	bool settings_whole; /**< a peer's head did not do */
	struct waxwing_log_limit peer_log; /**< of what peers send wrongly */
};

/* streams (dispatcher_batch.c) */

/** The stream to an incarnation about a cell; null when its address is not known. */
struct waxwing_stream *waxwing_dispatcher_cell_stream(struct waxwing_dispatcher *dispatcher,
						      uint64_t incarnation, uint32_t cell);
/** The stream to an incarnation for all that is about no cell. */
struct waxwing_stream *waxwing_dispatcher_stream(struct waxwing_dispatcher *dispatcher,
						 uint64_t incarnation);

/* the cells of the domain (dispatcher_cells.c) */

/** Splits the domain anew; every issuer offers and tells its slots again. */
void waxwing_dispatcher_set_cells(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  uint32_t cells);
/** A cell by its index; null past the end. */
struct waxwing_cell *waxwing_dispatcher_cell(const struct waxwing_dispatcher *dispatcher,
					     uint32_t index);
/** The cell that an upstream belongs to. */
struct waxwing_cell *waxwing_dispatcher_upstream_cell(const struct waxwing_dispatcher *dispatcher,
						      struct waxwing_str upstream);
/** Chooses the cell of a new job: of two at random the one with the shorter expected wait. */
void waxwing_dispatcher_place_job(struct waxwing_dispatcher *dispatcher, uint64_t job);
/** The cell that a job is offered in. */
struct waxwing_cell *waxwing_dispatcher_job_cell(const struct waxwing_dispatcher *dispatcher,
						 uint64_t job);
/** Forgets what is kept of a job once the table has no more of it than its answer. */
void waxwing_dispatcher_forget_job(struct waxwing_dispatcher *dispatcher, uint64_t job);

/* settings and upstreams between instances (dispatcher_settings.c) */

/** Settings came from a peer: in force when newer. */
void waxwing_dispatcher_take_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      const Waxwing__SettingsDocument *document);
/** A peer's upstreams stand in for the platform's list until one has come. */
void waxwing_dispatcher_take_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				       const Waxwing__Batch *batch);
/** Answers a peer that wants settings and upstreams, or only a head of the settings when @head_will_do. */
void waxwing_dispatcher_give_settings(struct waxwing_dispatcher *dispatcher,
				      struct waxwing_stream *stream, bool head_will_do);
/** Asks for a peer's settings when its heartbeat says that they are newer. */
void waxwing_dispatcher_ask_settings(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     const Waxwing__Heartbeat *heartbeat);

/** Whether this instance schedules the cell. */
static inline bool waxwing_dispatcher_schedules(const struct waxwing_dispatcher *dispatcher,
						const struct waxwing_cell *cell)
{
	return cell->scheduling == dispatcher->incarnation;
}

/** A job of ours as schedulers know it. */
static inline struct waxwing_job_key
waxwing_dispatcher_own_key(const struct waxwing_dispatcher *dispatcher, uint64_t job)
{
	return (struct waxwing_job_key){ .issuer = dispatcher->incarnation, .job = job };
}

/* issuer: our own jobs (dispatcher_issuer.c) */

/** Offers a new job's tasks, or refuses it. */
void waxwing_dispatcher_offer_job(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  const struct waxwing_job *job);
/** A slot was granted to a task of ours. */
void waxwing_dispatcher_granted(struct waxwing_dispatcher *dispatcher, int64_t now_ms, uint64_t job,
				uint32_t task, struct waxwing_str upstream);
/** The scheduler refused a job of ours. */
void waxwing_dispatcher_refused(struct waxwing_dispatcher *dispatcher, int64_t now_ms, uint64_t job,
				enum waxwing_error_code reason, uint32_t retry_after_ms);
/**
 * Offers @count tasks of a job of ours from @first on in the job's cell; @readmitted: admission has passed
 * them before.
 */
void waxwing_dispatcher_offer_tasks(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				    const struct waxwing_job *job, uint32_t first, uint32_t count,
				    bool readmitted);
/** Gives out answers and withdrawals that are due. */
void waxwing_dispatcher_settle_jobs(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Frees a GPtrArray of in-flight records. */
void waxwing_dispatcher_free_in_flight(void *records);

/* refusals without an offer (dispatcher_advice.c) */

/** Notes what a refusal for overload tells of jobs like the refused one. */
void waxwing_dispatcher_heed_refusal(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     const struct waxwing_cell *cell,
				     const Waxwing__Refusal *refusal);
/** Refuses a new job that another instance would surely refuse; true when it did. */
bool waxwing_dispatcher_refuse_early(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     const struct waxwing_job *job);

/* sync: our whole state, told to a scheduler (dispatcher_sync.c) */

/** Tells our whole state in a cell to its current scheduler, a remote one with the next batch. */
void waxwing_dispatcher_sync(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			     struct waxwing_cell *cell);
/**
 * Puts our whole state in a cell into the stream to its scheduler, as it is now and in place of all that
 * waited there: what happens between a sync and its sending is part of the state, not news on top of it.
 */
void waxwing_dispatcher_fill_sync(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				  struct waxwing_cell *cell, struct waxwing_stream *stream);

/* cell: scheduling for ourselves and peers (dispatcher_cell.c) */

/** Takes over when the membership names another scheduler; settles peers that are gone. */
void waxwing_dispatcher_review_scheduler(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Offers, ends and withdrawals of a peer. */
void waxwing_dispatcher_serve_issuer(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     struct waxwing_cell *cell, struct waxwing_stream *stream,
				     const Waxwing__Batch *batch);
/** Takes the scheduler's actions to their issuers. */
void waxwing_dispatcher_pump(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Adopts a running task; an upstream that the membership does not know takes nothing more. */
void waxwing_dispatcher_adopt(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
			      struct waxwing_cell *cell, struct waxwing_job_key key, uint32_t task,
			      struct waxwing_str upstream, int64_t started_ms);
/** Gives the schedulers what has changed of the upstreams, as the membership sees them. */
void waxwing_dispatcher_push_upstreams(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Gives a scheduler the branches and teams in force; @old may be null. */
void waxwing_dispatcher_push_policies(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				      struct waxwing_cell *cell, const struct waxwing_settings *old,
				      const struct waxwing_settings *settings);

/* forward: submissions under another instance's window (dispatcher_forward.c) */

void waxwing_dispatcher_forward(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
				struct waxwing_waiter waiter);
void waxwing_dispatcher_take_forward(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				     struct waxwing_stream *stream,
				     const Waxwing__Forward *forward);
void waxwing_dispatcher_take_forward_answer(struct waxwing_dispatcher *dispatcher,
					    const Waxwing__ForwardAnswer *answer);
/** Answers forwards whose issuer is gone or silent as outcome_unknown. */
void waxwing_dispatcher_expire_forwards(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Delivers an answer to a local waiter or to the peer that it came from. */
void waxwing_dispatcher_deliver(struct waxwing_dispatcher *dispatcher, struct waxwing_waiter waiter,
				const Waxwing__JobAnswer *answer);
/** Answers one waiter with a failure that ends nothing else. */
void waxwing_dispatcher_fail(struct waxwing_dispatcher *dispatcher, struct waxwing_waiter waiter,
			     const char *id, const struct waxwing_error *error);

/* retry: idempotent single requests (dispatcher_retry.c) */

/** Sets the budget up when its percentage has changed. */
void waxwing_dispatcher_set_retry_budget(struct waxwing_dispatcher *dispatcher, uint32_t percent);
/** Notes a single request whose branch may allow retries. */
void waxwing_dispatcher_allow_retries(struct waxwing_dispatcher *dispatcher, uint64_t job,
				      const struct waxwing_branch *branch);
/** Queues a task again in place of its end, when it may be; true when it was. */
bool waxwing_dispatcher_retry(struct waxwing_dispatcher *dispatcher, int64_t now_ms, uint64_t job,
			      uint32_t task, enum waxwing_slot_outcome outcome);
/** Offers one task of a job again. */
void waxwing_dispatcher_offer_again(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				    uint64_t job, uint32_t task);

/* hand-over (dispatcher_handover.c) */

/** Takes a drain on as far as it can. */
void waxwing_dispatcher_advance_drain(struct waxwing_dispatcher *dispatcher, int64_t now_ms);
/** Parts and acknowledgements of hand-overs. */
void waxwing_dispatcher_take_handovers(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
				       struct waxwing_stream *stream, const Waxwing__Batch *batch);
/** Answers a submission under an inherited window; false when it isn't one. */
bool waxwing_dispatcher_answer_inherited(struct waxwing_dispatcher *dispatcher, int64_t now_ms,
					 const Waxwing__JobRequest *request,
					 struct waxwing_waiter waiter);

#endif
