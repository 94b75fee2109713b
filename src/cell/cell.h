/**
 * A cell that its owner runs: the jobs it was offered, the executors of one failure domain, and the
 * runs of tasks that hold a lease there.
 *
 * The owner orders executors under one fencing token. Events and a time go in; orders and verdicts
 * come out through struct waxwing_cell_ops. The module has no sockets, threads or clock. All times are
 * milliseconds of the caller's monotonic clock. Not thread-safe.
 *
 * A task is started again only when its former run is known to have ended, or when the lease that it
 * held must have run out.
 */
#ifndef WAXWING_CELL_H
#define WAXWING_CELL_H

#include "generated/node.pb-c.h"
#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_cell;
struct waxwing_histogram;

/**
 * Nodes that do not hear each other for so long take each other for cut off or gone, in milliseconds: an
 * owner stops the jobs of such an issuer, an issuer counts on its jobs' owner no more.
 */
#define WAXWING_SILENT_MS 650

/** Issuer of jobs that the owner's own process took from callers. */
#define WAXWING_ISSUER_SELF 0

/** One run of one task. */
struct waxwing_run_name {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	uint32_t run; /**< from 1; rises with each start of the task */
};

/** What an executor is and has, as it says itself. */
struct waxwing_capacity {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
};

/** An executor's entry in the platform's list. Strings are valid during the call. */
struct waxwing_executor_entry {
	const char *id;
	const char *address; /**< IP:port */
	const char *service;
	const char *zone;
	const char *kind; /**< of hardware; executors of one kind are alike in speed */
	const char *rack;
	const char *const *labels; /**< null-terminated; kind and rack among them */
	struct waxwing_capacity capacity;
	int64_t born_ms; /**< start of its present life, since 1970; 0: not told */
	bool draining;
};

/** How an executor answered a start. */
enum waxwing_start_answer {
	WAXWING_START_RUNS, /**< it runs, or ran before this answer */
	WAXWING_START_NO_ROOM,
	WAXWING_START_OLD, /**< a run as high was stopped or ended there */
	WAXWING_START_LATE, /**< the lease asked for was over on its clock */
	WAXWING_START_FENCED, /**< it has seen a higher fencing token */
	WAXWING_START_NO_TICKET, /**< its ticket is not valid */
	WAXWING_START_REJECTED, /**< the order is malformed, or outside what it offers */
	WAXWING_START_UNHEALTHY, /**< it does nothing now */
	WAXWING_START_OTHER_LIFE, /**< another incarnation answered */
	WAXWING_START_NOT_SENT, /**< no connection was made */
	WAXWING_START_UNKNOWN, /**< no answer: it may run now or later */
};

/** How a run ended, as its executor says. */
enum waxwing_run_end {
	WAXWING_RUN_DONE,
	WAXWING_RUN_FAILED, /**< through its own fault or the executor's */
	WAXWING_RUN_STOPPED,
	WAXWING_RUN_LAPSED, /**< its lease ran out */
	WAXWING_RUN_BROKEN, /**< another member of its gang ended */
	WAXWING_RUN_ALONE, /**< the other members of its gang did not come */
};

struct waxwing_running_row {
	struct waxwing_run_name name;
	const char *checkpoint; /**< null: none */
};

struct waxwing_ended_row {
	uint64_t number; /**< from 1 in each life of the executor */
	struct waxwing_run_name name;
	enum waxwing_run_end end;
	const char *checkpoint; /**< null: none */
};

/** How an executor answered a hold. */
enum waxwing_hold_end {
	WAXWING_HOLD_ANSWERED,
	WAXWING_HOLD_FENCED,
	WAXWING_HOLD_OTHER_LIFE,
	WAXWING_HOLD_NO_ANSWER,
};

struct waxwing_hold_answer {
	enum waxwing_hold_end end;
	int64_t clock_ms; /**< of the executor, when it answered */
	int64_t born_ms; /**< 0: not told */
	const struct waxwing_running_row *running;
	size_t running_count;
	const struct waxwing_ended_row *ended;
	size_t ended_count;
};

/** Where an order goes; valid during the call. */
struct waxwing_order_target {
	const char *id;
	const char *address;
	uint64_t life; /**< names this life of the executor in answers */
	uint64_t fencing_token;
};

/**
 * An issuer that has not heard an owner for so long may count on the end of all orders that the owner
 * gave for its jobs, whatever became of the owner: none is given, nor any lease extended, once the issuer
 * is silent, and the last lease has run out by then.
 */
int64_t waxwing_cell_orders_last_ms(uint32_t lease_most_ms);

/** What a run is started with; valid during the call. */
struct waxwing_run_order {
	struct waxwing_run_name name;
	const char *spec;
	const char *checkpoint; /**< where an earlier run left off; null: from the start */
	const char *ticket; /**< shows that the step may run there; null: none is needed */
	int64_t until_ms; /**< of the lease, on the executor's clock */
};

/** Which of these executors may run a step? Valid during the call. */
struct waxwing_permit_question {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	const char *const *executors; /**< ids */
	const uint64_t *lives; /**< of the executors, as in struct waxwing_order_target */
	size_t count;
	uint32_t timeout_ms;
};

/** An executor that may run a step. */
struct waxwing_permit_row {
	const char *executor;
	const char *ticket; /**< that each start there must carry */
};

/** Executors that were asked about and are not among @good may not run the step, for good. */
struct waxwing_permit_answer {
	bool answered;
	const struct waxwing_permit_row *good;
	size_t good_count;
	uint32_t valid_ms; /**< of the tickets */
};

struct waxwing_cell_ops {
	void (*start)(void *data, const struct waxwing_order_target *target,
		      const struct waxwing_run_order *order);
	void (*stop)(void *data, const struct waxwing_order_target *target,
		     const struct waxwing_run_name *name);
	/** @until_ms 0: leases are not extended. */
	void (*hold)(void *data, const struct waxwing_order_target *target, int64_t until_ms,
		     uint64_t acked_upto, uint32_t wait_ms);
	void (*verdict)(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict);
	/** Answered by waxwing_cell_permits_answered(), once. */
	void (*ask_permits)(void *data, const struct waxwing_permit_question *question);
	/** Writes to the journal; returns the record's number, from 1, rising. */
	uint64_t (*record)(void *data, const Waxwing__JournalRecord *record);
	/** A job's state is told no more: its id may be used again. */
	void (*forget)(void *data, uint64_t job);
	/** Answers waxwing_cell_ask(). */
	void (*told)(void *data, uint64_t asker, const Waxwing__JobTold *told);
	/** An executor has seen a higher token: the cell is another's. */
	void (*fenced)(void *data, const char *executor);
};

/** What became of a job. Numbers are part of the peer protocol. */
enum waxwing_job_outcome {
	WAXWING_JOB_COMPLETED = 0,
	WAXWING_JOB_FAILED = 1, /**< a task failed as often as its queue allows */
	WAXWING_JOB_REFUSED = 2, /**< none of its tasks ran */
	WAXWING_JOB_GIVEN_UP = 3, /**< tasks ran, and the job will not end in time */
	WAXWING_JOB_STORED = 4, /**< a job that must be kept is; its state is asked for later */
};

/** State of a job that must be kept. Numbers are part of the peer protocol and of the journal. */
enum waxwing_job_state {
	WAXWING_STATE_NONE = 0, /**< there is no such job */
	WAXWING_STATE_QUEUED = 1,
	WAXWING_STATE_RUNNING = 2,
	WAXWING_STATE_COMPLETED = 3,
	WAXWING_STATE_FAILED = 4,
	WAXWING_STATE_CANCELLED = 5,
};

struct waxwing_cell_options {
	const struct waxwing_cell_ops *ops;
	void *data; /**< given to all ops */
	const char *name;
	uint64_t fencing_token;
	uint32_t lease_most_ms; /**< longest lease that executors give */
	uint32_t stop_ms; /**< longest time that a stop takes */
	double far_factor; /**< how much longer a task takes away from its data */
	bool took_over; /**< executors may hold runs of a former owner's orders */
	/**
	 * Executors that are not known yet may hold such runs too: tasks of jobs that a former owner had
	 * wait until the leases that it gave have run out.
	 */
	bool list_incomplete;
	/** The journal is being read: see waxwing_cell_replay(). */
	bool recovering;
	uint32_t status_ms; /**< how long the state of an ended job is told */
	bool permits; /**< somebody can be asked for them; jobs that need permits are refused otherwise */
};

struct waxwing_cell *waxwing_cell_create(int64_t now_ms,
					 const struct waxwing_cell_options *options);
void waxwing_cell_destroy(struct waxwing_cell *cell);

/** Goes on under a new, higher token: the same owner has claimed the cell anew. */
void waxwing_cell_set_token(struct waxwing_cell *cell, uint64_t fencing_token);

/** Jobs at set times go by the time of day: it less the caller's clock, in milliseconds. */
void waxwing_cell_set_day(struct waxwing_cell *cell, int64_t day_offset_ms);

/** All executors that the former owner could have known are known here too. */
void waxwing_cell_list_is_complete(struct waxwing_cell *cell);

/** Adds an executor, or takes over what its entry says now. Of other failure domains too. */
void waxwing_cell_set_executor(struct waxwing_cell *cell, int64_t now_ms,
			       const struct waxwing_executor_entry *entry);

/** The platform's list has lost an executor. It is used on for a short time if it answers. */
void waxwing_cell_lose_executor(struct waxwing_cell *cell, int64_t now_ms, const char *id);

/**
 * Takes a job, or answers it at once with a verdict. Owns @offer from now on. A job that is known, or
 * was until lately, is not taken again; its verdict is repeated.
 */
void waxwing_cell_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			Waxwing__JobOffer *offer);

/* jobs that must be kept */

/** True when the job was offered before and has not been refused. */
bool waxwing_cell_knows(const struct waxwing_cell *cell, uint64_t job);

/** A record of the journal, in order, before waxwing_cell_recovered(). */
void waxwing_cell_replay(struct waxwing_cell *cell, int64_t now_ms,
			 const Waxwing__JournalRecord *record);

/** The journal was read whole: jobs may start, and offers and asks are answered. */
void waxwing_cell_recovered(struct waxwing_cell *cell, int64_t now_ms);

/** True until waxwing_cell_recovered(). */
bool waxwing_cell_recovering(const struct waxwing_cell *cell);

/** All records up to @number are stored. */
void waxwing_cell_stored(struct waxwing_cell *cell, int64_t now_ms, uint64_t number);

/** The job is accepted already, by another cell or by an earlier owner of this one, and may be over. */
void waxwing_cell_taken(struct waxwing_cell *cell, int64_t now_ms, uint64_t job);

/** Records that say all that a successor must know, added to @segment. */
void waxwing_cell_snapshot(const struct waxwing_cell *cell, Waxwing__JournalSegment *segment);

/**
 * Tells a job's state, or cancels it first; answered through ops->told, a cancel once it is stored. Not
 * answered while the job is being stored or the journal read: the asker asks again.
 */
void waxwing_cell_ask(struct waxwing_cell *cell, int64_t now_ms, uint64_t asker,
		      const Waxwing__JobAsk *ask);

/** Stops a job for which nobody waits any more. */
void waxwing_cell_withdraw(struct waxwing_cell *cell, int64_t now_ms, uint64_t job);

/** Stops all jobs of an issuer that is silent or gone. */
void waxwing_cell_forget_issuer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer);

void waxwing_cell_start_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				 const struct waxwing_run_name *name,
				 enum waxwing_start_answer answer, int64_t clock_ms);
void waxwing_cell_stop_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				const struct waxwing_run_name *name, bool answered);
void waxwing_cell_hold_answered(struct waxwing_cell *cell, int64_t now_ms, uint64_t life,
				const struct waxwing_hold_answer *answer);

void waxwing_cell_permits_answered(struct waxwing_cell *cell, int64_t now_ms,
				   const struct waxwing_permit_question *question,
				   const struct waxwing_permit_answer *answer);

/** Lets time pass and gives all orders that are due. Call it after events, and at each tick. */
void waxwing_cell_run(struct waxwing_cell *cell, int64_t now_ms);

struct waxwing_cell_view {
	uint32_t executors;
	uint32_t usable; /**< executors that may be given work */
	uint32_t jobs;
	uint32_t waiting_tasks;
	uint32_t runs;
	uint32_t free_milli; /**< free thousandths of cores, weighted by speed */
	uint32_t wait_ms; /**< expected wait of a task that comes now */
	uint64_t starts;
	uint64_t done;
	uint64_t failed;
	uint64_t lapsed;
	uint64_t refused;
};

void waxwing_cell_view(struct waxwing_cell *cell, int64_t now_ms, struct waxwing_cell_view *view);

/** From a job's arrival at its node to the first start of a task. */
const struct waxwing_histogram *waxwing_cell_start_waits(const struct waxwing_cell *cell);

/** Calls @each with every queue that has jobs of which no task has started. */
void waxwing_cell_waiting(const struct waxwing_cell *cell,
			  void (*each)(void *data, const char *queue, uint32_t jobs), void *data);

/** Jobs of one queue of which no task has started. */
uint32_t waxwing_cell_waiting_of(const struct waxwing_cell *cell, const char *queue);

#endif
