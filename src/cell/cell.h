/**
 * Schedules jobs on the executors of one failure domain, on behalf of the cell's owner. Tracks the
 * offered jobs, the executors, and the runs of tasks that hold a lease on an executor.
 *
 * The owner sends orders to executors under one fencing token. The caller passes in events and the
 * current time; orders and verdicts are emitted through struct waxwing_cell_ops. The module has no
 * sockets, threads or clock. All times are milliseconds of the caller's monotonic clock, unless
 * stated otherwise. Not thread-safe.
 *
 * A task is started again only when its previous run is known to have ended, or when that run's
 * lease must have expired.
 */
#ifndef WAXWING_CELL_H
#define WAXWING_CELL_H

#include "generated/node.pb-c.h"
#include "near_wait.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_cell;
struct waxwing_histogram;

/**
 * Time in milliseconds after which nodes that receive nothing from each other treat each other as
 * unreachable: an owner then stops the issuer's jobs, and an issuer no longer relies on the owner
 * of its jobs.
 */
#define WAXWING_PEER_TIMEOUT_MS 650

/**
 * Longest times in milliseconds that the caller waits for an executor's answer, in addition to the
 * wait that was requested.
 */
#define WAXWING_START_TIMEOUT_MS 200
#define WAXWING_STOP_TIMEOUT_MS	 350
#define WAXWING_HOLD_TIMEOUT_MS	 350

/** Issuer id of jobs that callers submitted to the owner's own process. */
#define WAXWING_ISSUER_SELF 0

/** Identifies one run of one task. */
struct waxwing_run_id {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run; /**< starts at 1; increases with each start of the task */
};

/** Resources of an executor, as it reports them. */
struct waxwing_capacity {
	uint32_t cpu_milli; /**< thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu;
};

/** An executor's entry in the platform's list. Strings are valid during the call. */
struct waxwing_executor_entry {
	const char *id;
	const char *address; /**< IP:port */
	const char *service;
	const char *zone;
	const char *kind; /**< hardware kind; executors of one kind have similar speed */
	const char *rack;
	const char *const *labels; /**< null-terminated; include kind and rack */
	struct waxwing_capacity capacity;
	int64_t started_ms; /**< start of its current incarnation, Unix time in ms; 0: unknown */
	bool draining;
	uint32_t cold_remaining_ms; /**< how much longer it is slow after its start; 0: it is not */
};

/** Result of a start order. */
enum waxwing_start_answer {
	WAXWING_START_RUNNING, /**< the run is running, or ran before this answer */
	WAXWING_START_NO_CAPACITY,
	/**
	 * This run, or a later one of the task, was stopped or has ended on the executor. Also the
	 * answer to a repeated order whose run has ended meanwhile.
	 */
	WAXWING_START_STALE_RUN,
	WAXWING_START_LEASE_EXPIRED, /**< the lease had already expired on the executor's clock */
	WAXWING_START_FENCED, /**< the executor has seen a higher fencing token */
	WAXWING_START_NO_TICKET, /**< the order's ticket is not valid */
	WAXWING_START_REJECTED, /**< the order is malformed, or the executor does not support it */
	WAXWING_START_UNHEALTHY, /**< the executor accepts no work at present */
	WAXWING_START_OTHER_INCARNATION, /**< another incarnation of the executor answered */
	WAXWING_START_UNREACHABLE, /**< no connection could be made */
	/**
	 * The executor closed an idle connection when the order was sent on it. The order may have
	 * been carried out; the same order may be sent again.
	 */
	WAXWING_START_CLOSED,
	WAXWING_START_UNKNOWN, /**< no usable answer: the run may start now or later */
};

/** How a run ended, as its executor reports it. */
enum waxwing_run_end {
	WAXWING_RUN_DONE,
	WAXWING_RUN_FAILED, /**< through a fault of the task or of the executor */
	WAXWING_RUN_STOPPED,
	WAXWING_RUN_LAPSED, /**< its lease expired, or its executor no longer lists it */
	WAXWING_RUN_GANG_BROKEN, /**< another member of its gang ended */
	WAXWING_RUN_GANG_INCOMPLETE, /**< the other members of its gang did not start */
};

struct waxwing_running_run {
	struct waxwing_run_id run_id;
	const char *checkpoint; /**< last one that the run saved; null: none */
};

struct waxwing_ended_run {
	uint64_t number; /**< starts at 1 in each incarnation of the executor */
	struct waxwing_run_id run_id;
	enum waxwing_run_end end;
	const char *checkpoint; /**< last one that the run saved; null: none */
};

/** Result of a hold, which extends the leases on an executor and lists its runs. */
enum waxwing_hold_result {
	WAXWING_HOLD_ANSWERED,
	WAXWING_HOLD_FENCED, /**< the executor has seen a higher fencing token */
	WAXWING_HOLD_OTHER_INCARNATION, /**< another incarnation of the executor answered */
	WAXWING_HOLD_CLOSED, /**< as WAXWING_START_CLOSED */
	WAXWING_HOLD_NO_ANSWER,
};

struct waxwing_hold_answer {
	enum waxwing_hold_result result;
	uint64_t call; /**< number of the call; 0: calls are answered one by one, in order */
	int64_t clock_ms; /**< the executor's clock when it answered */
	int64_t started_ms; /**< start of the executor's incarnation, Unix time in ms; 0: unknown */
	const struct waxwing_running_run *running;
	size_t running_count;
	const struct waxwing_ended_run *ended;
	size_t ended_count;
	/** there may be more ends, which are listed once these are acknowledged */
	bool ends_truncated;
};

/** Destination of an order; valid during the call. */
struct waxwing_order_target {
	const char *id;
	const char *address;
	uint64_t handle; /**< identifies the executor in answers */
	uint64_t fencing_token;
	/** do not use an idle connection, since the executor has just closed one */
	bool new_connection;
};

/**
 * Returns how long an issuer must have received nothing from an owner to be sure that all runs
 * which the owner started for the issuer's jobs have ended. The owner starts no runs and extends no
 * leases for an unreachable issuer, so the last lease has expired by then.
 */
int64_t waxwing_cell_orders_expire_ms(uint32_t max_lease_ms);

/** Returns the time after which a lease granted now has expired, whatever the executor's clock. */
int64_t waxwing_cell_lease_expires_ms(uint32_t max_lease_ms);

/** A start order; valid during the call. */
struct waxwing_run_order {
	struct waxwing_run_id run_id;
	const char *spec;
	const char *checkpoint; /**< saved by an earlier run; null: start from the beginning */
	const char *ticket; /**< proves that the step may run there; null: none is needed */
	int64_t lease_expiry_ms; /**< end of the lease on the executor's clock */
};

/** Asks which of these executors may run a step. Valid during the call. */
struct waxwing_permit_query {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	const char *const *executors; /**< ids of the executors that the query is about */
	const uint64_t *handles; /**< of the executors, see struct waxwing_order_target */
	size_t count;
	uint32_t timeout_ms;
};

/** Permits an executor to run a step. */
struct waxwing_permit {
	const char *executor;
	const char *ticket; /**< included in start orders for the step on @executor */
};

/** If @answered, executors of the query without an entry in @permits may never run the step. */
struct waxwing_permit_answer {
	bool answered;
	const struct waxwing_permit *permits;
	size_t permit_count;
	uint32_t valid_ms; /**< validity of the tickets; 0: the job's permit_valid_ms */
};

struct waxwing_cell_ops {
	void (*start)(void *data, const struct waxwing_order_target *target,
		      const struct waxwing_run_order *order);
	void (*stop)(void *data, const struct waxwing_order_target *target,
		     const struct waxwing_run_id *id);
	/**
	 * Extends the leases on an executor until @until_ms of its clock (0: not extended),
	 * acknowledges ends up to number @acked_upto, and waits up to @wait_ms for the next end.
	 * @call is the call's number, which its answer states. Two calls to one executor may be
	 * outstanding; their answers may overtake each other.
	 */
	void (*hold)(void *data, const struct waxwing_order_target *target, uint64_t call,
		     int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms);
	void (*send_verdict)(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict);
	/** Queries permits. Answered once, through waxwing_cell_permits_answered(). */
	void (*query_permits)(void *data, const struct waxwing_permit_query *query);
	/** Appends a record to the journal; returns its number, which increases from 1. */
	uint64_t (*append_record)(void *data, const Waxwing__JournalRecord *record);
	/** The state of an ended job was discarded: its id may be used again. */
	void (*job_forgotten)(void *data, uint64_t job);
	/** Answers waxwing_cell_query_state(). */
	void (*send_state)(void *data, uint64_t asker, const Waxwing__JobTold *answer);
	/** An executor has seen a higher fencing token: another owner holds the cell. */
	void (*fenced)(void *data, const char *executor);
};

/** Outcome of a job. Values are part of the peer protocol. */
enum waxwing_job_outcome {
	WAXWING_JOB_COMPLETED = 0,
	WAXWING_JOB_FAILED = 1, /**< a task reached its maximum number of failures */
	WAXWING_JOB_REFUSED = 2, /**< none of its tasks ran */
	WAXWING_JOB_GIVEN_UP = 3, /**< tasks may have run, but the job will not complete */
	WAXWING_JOB_STORED = 4, /**< a durable job is stored; its state is queried later */
};

/** State of a durable job. Values are part of the peer protocol and of the journal. */
enum waxwing_job_state {
	WAXWING_STATE_NONE = 0, /**< no such job */
	WAXWING_STATE_QUEUED = 1,
	WAXWING_STATE_RUNNING = 2,
	WAXWING_STATE_COMPLETED = 3,
	WAXWING_STATE_FAILED = 4,
	WAXWING_STATE_CANCELLED = 5,
};

struct waxwing_cell_options {
	const struct waxwing_cell_ops *ops;
	void *data; /**< passed to all ops */
	const char *name;
	uint64_t fencing_token;
	uint32_t max_lease_ms; /**< longest lease that executors grant */
	uint32_t stop_ms; /**< longest time that an executor takes to stop a run */
	/** Run time of a task on another rack than its data, divided by that on the same rack. */
	double remote_data_factor;
	enum waxwing_near_wait_policy near_wait; /**< which tasks wait for a place on their rack */
	bool took_over; /**< executors may still have runs that a former owner started */
	/**
	 * Executors that are not known yet may have runs of a former owner: tasks of the former
	 * owner's jobs are not started until the leases that it granted have expired.
	 */
	bool list_incomplete;
	/**
	 * Owners with lower fencing tokens may have runs on executors that are not known, even if
	 * the list is complete.
	 */
	uint64_t orderly_since;
	/** The journal is being replayed, see waxwing_cell_replay(). */
	bool recovering;
	uint32_t status_ms; /**< how long the state of an ended job can be queried */
	bool permits_available; /**< if false, jobs that need permits are refused */
};

struct waxwing_cell *waxwing_cell_create(int64_t now_ms,
					 const struct waxwing_cell_options *options);
void waxwing_cell_destroy(struct waxwing_cell *cell);

/** Sets a higher fencing token after the same owner has claimed the cell again. */
void waxwing_cell_set_token(struct waxwing_cell *cell, uint64_t fencing_token);

/**
 * Sets until when the store has confirmed that this owner holds the cell; at most @now_ms: it has
 * not. After that time there may be a successor, whose token an executor that has restarted may not
 * have seen. Then
 * - a task starts only on an executor that has accepted this owner's token shortly before, and a
 *   durable one not on an executor that has just restarted;
 * - ends of runs that this owner does not know are not acknowledged;
 * - while runs of durable jobs last or their ends are not acknowledged, all executors are called
 *   often: a successor, which would start these jobs again, first shows its token to the executors
 *   that it uses.
 * Until it is called, the ownership counts as confirmed.
 */
void waxwing_cell_set_owned_until(struct waxwing_cell *cell, int64_t now_ms, int64_t until_ms);

/** Sets wall-clock time minus the caller's clock, used to schedule repeating jobs. */
void waxwing_cell_set_wall_clock_offset(struct waxwing_cell *cell, int64_t wall_offset_ms);

/**
 * Clears list_incomplete: all executors where leases of former owners may last are known, except
 * for owners with tokens lower than orderly_since.
 */
void waxwing_cell_set_list_complete(struct waxwing_cell *cell);

/**
 * Adds an executor that is not in the platform's list but where runs of a former owner may last. No
 * task starts there until waxwing_cell_set_executor() is called for it. Has no effect on an
 * executor that the cell has.
 */
void waxwing_cell_add_unlisted_executor(struct waxwing_cell *cell, int64_t now_ms,
					const struct waxwing_executor_entry *entry);

/**
 * Calls @each for every executor where runs of this owner or of a former one may last, or may have
 * ended without a record in the journal.
 * @unlisted: it has left the platform's list.
 */
void waxwing_cell_foreach_leased_executor(const struct waxwing_cell *cell, int64_t now_ms,
					  void (*each)(void *data,
						       const struct waxwing_executor_entry *entry,
						       bool unlisted),
					  void *data);

/** Adds an executor or updates it. It may belong to another failure domain. */
void waxwing_cell_set_executor(struct waxwing_cell *cell, int64_t now_ms,
			       const struct waxwing_executor_entry *entry);

/**
 * Called when an executor is no longer in the platform's list. It stays in use for a short time if
 * it answers, since an outage of the store can drop entries.
 */
void waxwing_cell_unlist_executor(struct waxwing_cell *cell, int64_t now_ms, const char *id);

/**
 * Accepts a job, or answers it at once with a verdict. Takes ownership of @offer. A job that the
 * cell has, or that ended a short time ago, is not accepted again; its verdict is repeated if there
 * is one.
 */
void waxwing_cell_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			Waxwing__JobOffer *offer);

/* Durable jobs, which survive the loss of the owner ("kept" in the protocol). */

/** Returns true if the cell has the job, or the state of a durable job that has ended. */
bool waxwing_cell_has_job(const struct waxwing_cell *cell, uint64_t job);

/** Replays a journal record. Called in order, before waxwing_cell_recovered(). */
void waxwing_cell_replay(struct waxwing_cell *cell, int64_t now_ms,
			 const Waxwing__JournalRecord *record);

/** Ends the replay: jobs may start, and offers and state queries are answered. */
void waxwing_cell_recovered(struct waxwing_cell *cell, int64_t now_ms);

/** Returns true while the journal is replayed, until waxwing_cell_recovered() is called. */
bool waxwing_cell_recovering(const struct waxwing_cell *cell);

/** Called when all journal records up to @number are stored. */
void waxwing_cell_records_stored(struct waxwing_cell *cell, int64_t now_ms, uint64_t number);

/**
 * Drops a job that another cell, or an earlier owner of this one, has already accepted. The job
 * may have ended.
 */
void waxwing_cell_job_claimed_elsewhere(struct waxwing_cell *cell, int64_t now_ms, uint64_t job);

/** Fills @segment with the records that a successor needs to take over. */
void waxwing_cell_snapshot(const struct waxwing_cell *cell, Waxwing__JournalSegment *segment);

/**
 * Queries a job's state, or cancels the job. The answer comes through ops->send_state; a
 * cancellation is answered once the job's end is stored. There is no answer while the job is being
 * stored or the journal replayed: the asker retries.
 */
void waxwing_cell_query_state(struct waxwing_cell *cell, int64_t now_ms, uint64_t asker,
			      const Waxwing__JobAsk *ask);

/**
 * Stops a job whose caller no longer waits. Has no effect on durable jobs, and none if another
 * issuer has offered the job since: its caller waits.
 */
void waxwing_cell_withdraw(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			   uint64_t job);

/**
 * Called when a message of an issuer arrives. @heard_ms: when the owner sent the last message that
 * the issuer had received by then. Leases for the issuer's jobs are limited by it.
 */
void waxwing_cell_issuer_heard(struct waxwing_cell *cell, uint64_t issuer, int64_t heard_ms);

/** Stops all jobs, except durable ones, of an issuer that is unreachable or has left. */
void waxwing_cell_stop_issuer_jobs(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer);

/**
 * Returns how long to wait for the answer to a start or a stop that is sent now, at most
 * @longest_ms: less while the cell's executors are known to answer soon.
 */
int64_t waxwing_cell_answer_timeout_ms(struct waxwing_cell *cell, int64_t now_ms,
				       int64_t longest_ms);

void waxwing_cell_start_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				 const struct waxwing_run_id *id, enum waxwing_start_answer answer,
				 int64_t clock_ms);
void waxwing_cell_stop_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				const struct waxwing_run_id *id, bool answered);
void waxwing_cell_hold_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t handle,
				const struct waxwing_hold_answer *answer);

void waxwing_cell_permits_answered(struct waxwing_cell *cell, int64_t now_ms,
				   const struct waxwing_permit_query *query,
				   const struct waxwing_permit_answer *answer);

/**
 * Sets whether the operator has ordered that nothing more is sent to the cell's executors.
 * - Offers are refused with WAXWING_ERROR_NO_UPSTREAM, except those of jobs that may have runs.
 * - Jobs that were accepted before start tasks until @start_until_ms; a repeated call can only
 *   shorten that time. Running tasks continue.
 * - Then a best-effort job that has no runs is refused if no task of it was started, and otherwise
 *   given up.
 * - Durable jobs stay until the order is withdrawn.
 */
void waxwing_cell_set_evacuated(struct waxwing_cell *cell, int64_t now_ms, bool evacuated,
				int64_t start_until_ms);

/** While @held, no task starts: the owner has not read yet whether the cell is evacuated. */
void waxwing_cell_set_starts_held(struct waxwing_cell *cell, bool held);

/** Handles timeouts and sends all orders that are due. Call it after events and at each tick. */
void waxwing_cell_advance(struct waxwing_cell *cell, int64_t now_ms);

struct waxwing_cell_stats {
	uint32_t executors;
	uint32_t usable; /**< executors that accept work at present */
	uint32_t jobs;
	uint32_t waiting_tasks;
	uint32_t runs;
	uint32_t free_milli; /**< free CPU, in thousandths of a core, weighted by speed */
	uint32_t wait_ms; /**< expected wait of a task that arrives now */
	uint64_t starts;
	uint64_t starts_unanswered; /**< start orders whose outcome is not known */
	uint64_t starts_resent; /**< start orders repeated because their connection was closed */
	uint64_t holds_hedged; /**< second holds, sent while the first was outstanding */
	uint64_t hedges_answered; /**< second holds that were answered before the first */
	uint64_t starts_confirmed; /**< unanswered starts whose run was then listed as running */
	uint64_t done;
	uint64_t failed;
	uint64_t lapsed;
	uint64_t refused;
	uint32_t cold; /**< executors that are slow after their start */
	uint64_t cold_phases; /**< times that an executor was found to be cold */
	uint64_t cold_starts; /**< runs on cold executors, including those of former owners */
	uint64_t near_waits; /**< waits for a place on a task's rack that began */
	uint64_t near_waits_near; /**< of these, how many ended on the rack */
	uint64_t near_waits_far; /**< how many ended on another rack */
	uint64_t near_waits_dropped; /**< how many ended with the job, without a start */
	uint64_t near_waited_ms; /**< total of the waits that have ended */
	uint64_t near_saved_ms; /**< by how much tasks are expected to end sooner after a wait */
	uint64_t near_lost_ms; /**< by how much they are expected to end later */
	uint64_t near_visits; /**< executors that decisions about waits have examined */
};

void waxwing_cell_get_stats(struct waxwing_cell *cell, int64_t now_ms,
			    struct waxwing_cell_stats *stats);

/** Returns the hash by which messages between nodes name a rack. */
uint64_t waxwing_rack_hash(const char *rack);

/** Identifies the set of racks of the executors that are not draining; 0: there are none. */
uint64_t waxwing_cell_racks_version(const struct waxwing_cell *cell);

/** Calls @each for every such rack. */
void waxwing_cell_foreach_rack(const struct waxwing_cell *cell,
			       void (*each)(void *data, uint64_t rack_hash), void *data);

/** Time from a job's arrival at its issuer to the first start of one of its tasks. */
const struct waxwing_histogram *waxwing_cell_start_wait_histogram(const struct waxwing_cell *cell);

/** Calls @each for every queue with jobs that have not started a task. */
void waxwing_cell_foreach_waiting_queue(const struct waxwing_cell *cell,
					void (*each)(void *data, const char *queue, uint32_t jobs),
					void *data);

/** Returns the number of jobs in a queue that have not started a task. */
uint32_t waxwing_cell_waiting_jobs(const struct waxwing_cell *cell, const char *queue);

#endif
