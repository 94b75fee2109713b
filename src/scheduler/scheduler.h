/**
 * The scheduler of one cell: which task goes to which upstream, now, later or not at all.
 *
 * A cell is a group of upstreams of one failure domain. One entry instance at a time schedules it;
 * every instance of the domain (an issuer) offers the tasks of its own jobs and starts them itself
 * once they are granted a slot. The scheduler knows tasks by number only: bodies, answers and the
 * promise that nothing starts twice stay with the issuer. When the scheduling instance is lost, its
 * successor is told the offers and the held slots again.
 *
 * The module has no sockets, threads or clock: events and a time go in, actions come out through
 * waxwing_scheduler_take(). All times are milliseconds of the caller's clock. Not thread-safe: one
 * thread owns a scheduler. Memory for bounded queues is allocated with GLib, which aborts when there
 * is none.
 */
#ifndef WAXWING_SCHEDULER_H
#define WAXWING_SCHEDULER_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct waxwing_scheduler;

/** Who a job belongs to: the issuer's incarnation and its number for the job. */
struct waxwing_job_key {
	uint64_t issuer;
	uint64_t job;
};

/** How a granted slot came back. Numbers are part of the peer protocol. */
enum waxwing_slot_outcome {
	WAXWING_SLOT_DONE = 0, /**< ran and succeeded */
	WAXWING_SLOT_FAILED = 1, /**< ran and failed */
	WAXWING_SLOT_UNKNOWN = 2, /**< may have run: no whole answer */
	WAXWING_SLOT_BUSY = 3, /**< not started: the upstream had no slot */
	WAXWING_SLOT_UNREACHABLE = 4, /**< not started: no connection was made */
	WAXWING_SLOT_LEAVING = 5, /**< not started: the upstream said it is leaving */
	WAXWING_SLOT_UNUSED = 6, /**< not started: the issuer no longer wanted it */
};

/** State of an upstream as the members and its own answers tell it. */
enum waxwing_upstream_state {
	WAXWING_UPSTREAM_LIVE = 0,
	WAXWING_UPSTREAM_LEAVING = 1, /**< gets nothing new */
	WAXWING_UPSTREAM_GONE = 2, /**< forgotten once its slots are back */
};

/** What the settings say of a branch. The scheduler copies what it keeps. */
struct waxwing_branch_policy {
	struct waxwing_str branch; /**< path in the settings tree */
	struct waxwing_str team; /**< empty: no quota */
	uint32_t weight; /**< share among branches, at least 1 */
	uint32_t declared_ms; /**< run time to assume until some is learnt */
	uint32_t queue_tasks; /**< most queued tasks; 0: no limit of its own */
	bool retired;
};

/** Quota of a team. */
struct waxwing_team_policy {
	struct waxwing_str team;
	uint32_t slots; /**< most slots in use; 0: no limit */
	uint32_t queued_tasks; /**< most queued tasks; 0: no limit */
};

struct waxwing_scheduler_options {
	uint64_t seed; /**< of every random choice */
	uint32_t queue_tasks; /**< most queued tasks in all; 0: default */
	uint64_t queue_bytes; /**< most bytes of queued bodies in all; 0: default */
	uint32_t round_trip_ms; /**< from a slot's end to the next start there */
};

/** Tasks [first_task, first_task + task_count) of a job. */
struct waxwing_offer {
	struct waxwing_job_key key;
	struct waxwing_str branch;
	uint32_t first_task;
	uint32_t task_count;
	int64_t admitted_ms; /**< when the issuer took the job */
	int64_t deadline_ms; /**< when its answer is worth nothing any more */
	uint64_t bytes; /**< of all bodies */
	const uint32_t *declared_ms; /**< one a task; null: the branch's */
	bool readmitted; /**< offered before, to another scheduler: not refused for load */
};

enum waxwing_action_kind {
	WAXWING_ACTION_GRANT, /**< the issuer may start the task on the upstream */
	WAXWING_ACTION_REFUSE, /**< the job's tasks still queued are dropped, with the reason */
};

struct waxwing_action {
	enum waxwing_action_kind kind;
	uint32_t task; /**< of a grant */
	struct waxwing_job_key key;
	uint64_t grant; /**< number of the grant, never used twice */
	struct waxwing_str upstream; /**< of a grant; valid until the next call */
	enum waxwing_error_code reason; /**< of a refusal */
	uint32_t retry_after_ms; /**< of a refusal; 0: none */
};

/** Creates an empty scheduler; freed with waxwing_scheduler_destroy(). */
struct waxwing_scheduler *waxwing_scheduler_create(const struct waxwing_scheduler_options *options);
void waxwing_scheduler_destroy(struct waxwing_scheduler *scheduler);

/** Changes the queue's limits; 0 is the default. What is queued beyond them stays. */
void waxwing_scheduler_set_limits(struct waxwing_scheduler *scheduler, uint32_t queue_tasks,
				  uint64_t queue_bytes);

/**
 * Sets or replaces a branch's policy. A branch that becomes retired has its queued tasks refused with
 * WAXWING_ERROR_RETIRED.
 */
void waxwing_scheduler_set_branch(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  const struct waxwing_branch_policy *policy);
void waxwing_scheduler_set_team(struct waxwing_scheduler *scheduler, int64_t now_ms,
				const struct waxwing_team_policy *policy);

/** Adds an upstream or changes its slots and state. */
void waxwing_scheduler_set_upstream(struct waxwing_scheduler *scheduler, int64_t now_ms,
				    struct waxwing_str upstream, uint32_t slots,
				    enum waxwing_upstream_state state);

/**
 * Takes a job's tasks into the queue, or refuses them all. An offer of a job that is known adds to it;
 * tasks that are queued or running already are passed over, others are queued, also when they ended before.
 *
 * Returns WAXWING_OK, or one of WAXWING_ERROR_QUEUE_FULL, WAXWING_ERROR_OVERLOAD,
 * WAXWING_ERROR_QUOTA, WAXWING_ERROR_RETIRED, WAXWING_ERROR_NEVER_FITS, WAXWING_ERROR_NO_UPSTREAM,
 * WAXWING_ERROR_UNKNOWN_BRANCH; error->retry_after_ms says when a retry may help.
 */
enum waxwing_error_code waxwing_scheduler_offer(struct waxwing_scheduler *scheduler, int64_t now_ms,
						const struct waxwing_offer *offer,
						struct waxwing_error *error);

/** Forgets a job's queued tasks; its slots in use stay until they end. Unknown keys are ignored. */
void waxwing_scheduler_withdraw(struct waxwing_scheduler *scheduler, int64_t now_ms,
				struct waxwing_job_key key);

/**
 * A slot in use by a task that another scheduler granted. The upstream and the job need not be known
 * yet; an offer of the job, later or before, may name the task again.
 */
void waxwing_scheduler_adopt(struct waxwing_scheduler *scheduler, int64_t now_ms,
			     struct waxwing_job_key key, uint32_t task, struct waxwing_str upstream,
			     int64_t started_ms);

/**
 * A granted slot came back. After an outcome that started nothing, but for WAXWING_SLOT_UNUSED, the
 * task is queued again, before tasks that never had a grant. Ends of unknown grants are ignored.
 */
void waxwing_scheduler_ended(struct waxwing_scheduler *scheduler, int64_t now_ms,
			     struct waxwing_job_key key, uint32_t task, struct waxwing_str upstream,
			     enum waxwing_slot_outcome outcome, uint32_t run_ms);

/** The issuer is gone: its queued tasks are forgotten, its slots stay busy for their expected time. */
void waxwing_scheduler_issuer_gone(struct waxwing_scheduler *scheduler, int64_t now_ms,
				   uint64_t issuer);

/**
 * Forgets an issuer's queued tasks and its slots in use at once, keeping what was learnt. It offers and
 * has its slots adopted all over again.
 */
void waxwing_scheduler_forget_issuer(struct waxwing_scheduler *scheduler, int64_t now_ms,
				     uint64_t issuer);

/** Learns a run time without a grant. Unknown branches and upstreams are ignored. */
void waxwing_scheduler_observe(struct waxwing_scheduler *scheduler, int64_t now_ms,
			       struct waxwing_str branch, struct waxwing_str upstream,
			       uint32_t run_ms);

/** Takes the next action; false when there is none. */
bool waxwing_scheduler_take(struct waxwing_scheduler *scheduler, int64_t now_ms,
			    struct waxwing_action *action);

/** When waxwing_scheduler_take() may have an action though no event came; INT64_MAX: never. */
int64_t waxwing_scheduler_next_wake(const struct waxwing_scheduler *scheduler);

/** Expected wait of a task offered now, told to issuers so that they can refuse by themselves. */
uint32_t waxwing_scheduler_expected_wait(const struct waxwing_scheduler *scheduler);

/** One upstream as the scheduler sees it, for dumps and tests. */
struct waxwing_upstream_view {
	struct waxwing_str name; /**< valid until the next call */
	uint32_t slots;
	uint32_t used;
	double speed; /**< learnt; 1 is the cell's average */
	enum waxwing_upstream_state state;
	const char *breaker; /**< "closed", "open" or "half-open" */
};

struct waxwing_scheduler_view {
	uint64_t queued_tasks;
	uint64_t queued_bytes;
	uint64_t queued_jobs;
	uint64_t slots;
	uint64_t used;
	uint64_t grants;
	uint64_t refusals;
	uint64_t busy; /**< grants that an upstream answered with busy */
	size_t upstreams;
};

void waxwing_scheduler_view(const struct waxwing_scheduler *scheduler,
			    struct waxwing_scheduler_view *view);
bool waxwing_scheduler_upstream_view(const struct waxwing_scheduler *scheduler, size_t index,
				     struct waxwing_upstream_view *view);

#endif
