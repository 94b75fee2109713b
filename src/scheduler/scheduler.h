/**
 * The scheduler of one cell: decides when and on which upstream each task runs, or refuses it.
 *
 * A cell is a group of upstreams of one failure domain that is scheduled by one instance at a
 * time. Every instance of the domain, as an issuer, offers the tasks of its own jobs and starts a
 * task itself once a slot is granted to it. The scheduler knows tasks by number only: the issuer
 * keeps bodies and answers and guarantees that no task starts twice. When the scheduling instance
 * is lost, the issuers send their offers and their slots in use again, to its successor.
 *
 * The module has no sockets, threads or clock: callers pass in events with the current time and
 * take actions out with waxwing_scheduler_next_action(). All times are milliseconds of the caller's
 * clock. Not thread-safe: one thread owns a scheduler. Memory is bounded by the limits of the
 * queue and allocated with GLib, which aborts when none is left.
 */
#ifndef WAXWING_SCHEDULER_H
#define WAXWING_SCHEDULER_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct waxwing_scheduler;

/** Identifies a job: the issuer's incarnation and the issuer's number of the job. */
struct waxwing_job_key {
	uint64_t issuer;
	uint64_t job;
};

/** Outcome of a granted slot. The numbers are part of the peer protocol. */
enum waxwing_slot_outcome {
	WAXWING_SLOT_DONE = 0, /**< the task ran and succeeded */
	WAXWING_SLOT_FAILED = 1, /**< the task ran and failed */
	WAXWING_SLOT_UNKNOWN = 2, /**< the task may have run: no complete answer arrived */
	WAXWING_SLOT_BUSY = 3, /**< not started: the upstream had no slot */
	WAXWING_SLOT_UNREACHABLE = 4, /**< not started: no connection was made */
	WAXWING_SLOT_LEAVING =
		5, /**< not started: the upstream reported that it is shutting down */
	WAXWING_SLOT_UNUSED = 6, /**< not started: the issuer no longer needed the slot */
};

/** State of an upstream, as known from the membership and from the upstream's answers. */
enum waxwing_upstream_state {
	WAXWING_UPSTREAM_LIVE = 0,
	WAXWING_UPSTREAM_LEAVING = 1, /**< shutting down: gets no new tasks */
	WAXWING_UPSTREAM_REMOVED = 2, /**< removed once none of its slots is in use */
};

/** Settings of a branch. The scheduler copies what it keeps. */
struct waxwing_branch_policy {
	struct waxwing_str branch; /**< path in the settings tree */
	struct waxwing_str team; /**< empty: no team and no quota */
	uint32_t weight; /**< weight in fair sharing among branches, at least 1 */
	uint32_t declared_ms; /**< used until run times are measured; 0: default */
	uint32_t queue_tasks; /**< limit of queued tasks; 0: no limit */
	bool retired;
};

/** Quota of a team. */
struct waxwing_team_policy {
	struct waxwing_str team;
	uint32_t slots; /**< limit of slots in use; 0: no limit */
	uint32_t queued_tasks; /**< limit of queued tasks; 0: no limit */
};

struct waxwing_scheduler_options {
	uint64_t seed; /**< seed of all random choices */
	uint32_t queue_tasks; /**< limit of queued tasks in all branches; 0: default */
	uint64_t queue_bytes; /**< limit of the bytes of queued bodies; 0: default */
	uint32_t round_trip_ms; /**< time from the end of a task to the next start in its slot */
};

/** An offer of the tasks [first_task, first_task + task_count) of a job. */
struct waxwing_offer {
	struct waxwing_job_key key;
	struct waxwing_str branch;
	uint32_t first_task;
	uint32_t task_count;
	int64_t admitted_ms; /**< when the issuer accepted the job */
	int64_t deadline_ms; /**< when the job's answer becomes useless */
	uint64_t bytes; /**< total size of the bodies */
	const uint32_t
		*declared_ms; /**< declared run time of each task; null: that of the branch */
	bool readmitted; /**< admitted before by another scheduler: not refused for load */
};

enum waxwing_action_kind {
	WAXWING_ACTION_GRANT, /**< the issuer may start the task on the upstream */
	WAXWING_ACTION_REFUSE, /**< the job's queued tasks were dropped; see reason */
};

struct waxwing_action {
	enum waxwing_action_kind kind;
	uint32_t task; /**< of a grant: the task's number in its job */
	struct waxwing_job_key key;
	uint64_t grant; /**< unique number of the grant */
	struct waxwing_str upstream; /**< of a grant; valid until the next call */
	enum waxwing_error_code reason; /**< why a refused job was refused */
	uint32_t retry_after_ms; /**< of a refusal: delay before a retry; 0: no advice */
};

/** Creates an empty scheduler, to be freed with waxwing_scheduler_destroy(). */
struct waxwing_scheduler *waxwing_scheduler_create(const struct waxwing_scheduler_options *options);
void waxwing_scheduler_destroy(struct waxwing_scheduler *scheduler);

/**
 * Changes the limits of the queue; 0 selects the default. Tasks beyond a lowered limit stay queued.
 */
void waxwing_scheduler_set_limits(struct waxwing_scheduler *scheduler, uint32_t queue_tasks,
				  uint64_t queue_bytes);

/**
 * Sets or replaces a branch's policy. The queued tasks of a branch that is now retired are
 * refused with WAXWING_ERROR_RETIRED.
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
 * Queues all tasks of an offer or refuses them all. An offer of a known job adds to it: tasks that
 * are queued or running are skipped, and all others are queued, including those that have ended.
 *
 * Returns WAXWING_OK, or one of WAXWING_ERROR_QUEUE_FULL, WAXWING_ERROR_OVERLOAD,
 * WAXWING_ERROR_QUOTA, WAXWING_ERROR_RETIRED, WAXWING_ERROR_NEVER_FITS, WAXWING_ERROR_NO_UPSTREAM,
 * WAXWING_ERROR_UNKNOWN_BRANCH; error->retry_after_ms is the delay after which a retry may succeed;
 * 0: no advice.
 */
enum waxwing_error_code waxwing_scheduler_offer(struct waxwing_scheduler *scheduler, int64_t now_ms,
						const struct waxwing_offer *offer,
						struct waxwing_error *error);

/** Removes a job's queued tasks; its running tasks keep their slots. Unknown keys are ignored. */
void waxwing_scheduler_withdraw(struct waxwing_scheduler *scheduler, int64_t now_ms,
				struct waxwing_job_key key);

/**
 * Records a slot in use that another scheduler granted. The upstream and the job need not be
 * known yet, and an earlier or later offer of the job may include the task.
 */
void waxwing_scheduler_adopt(struct waxwing_scheduler *scheduler, int64_t now_ms,
			     struct waxwing_job_key key, uint32_t task, struct waxwing_str upstream,
			     int64_t started_ms);

/**
 * Ends the use of a granted slot. A task that was not started is queued again ahead of the job's
 * other tasks, except after WAXWING_SLOT_UNUSED. Unknown grants are ignored.
 */
void waxwing_scheduler_slot_ended(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  struct waxwing_job_key key, uint32_t task,
				  struct waxwing_str upstream, enum waxwing_slot_outcome outcome,
				  uint32_t run_ms);

/**
 * Removes the queued tasks of a lost issuer; its running tasks keep their slots until their
 * expected ends.
 */
void waxwing_scheduler_issuer_lost(struct waxwing_scheduler *scheduler, int64_t now_ms,
				   uint64_t issuer);

/**
 * Removes an issuer's queued tasks and slots in use immediately and keeps the estimates. The issuer
 * then sends its offers and slots in use again.
 */
void waxwing_scheduler_forget_issuer(struct waxwing_scheduler *scheduler, int64_t now_ms,
				     uint64_t issuer);

/**
 * Updates the estimates with a run for which the scheduler granted no slot. Unknown branches and
 * upstreams are ignored.
 */
void waxwing_scheduler_record_run(struct waxwing_scheduler *scheduler, int64_t now_ms,
				  struct waxwing_str branch, struct waxwing_str upstream,
				  uint32_t run_ms);

/** Takes the next action; returns false when there is none. */
bool waxwing_scheduler_next_action(struct waxwing_scheduler *scheduler, int64_t now_ms,
				   struct waxwing_action *action);

/**
 * Returns when waxwing_scheduler_next_action() may next have an action if no event is passed in
 * before; INT64_MAX: never.
 */
int64_t waxwing_scheduler_next_wake(const struct waxwing_scheduler *scheduler);

/** Returns the expected wait of a new task in ms, which lets issuers refuse jobs themselves. */
uint32_t waxwing_scheduler_expected_wait(const struct waxwing_scheduler *scheduler);

/** View of an upstream, for dumps and tests. */
struct waxwing_upstream_view {
	struct waxwing_str name; /**< valid until the next call */
	uint32_t slots;
	uint32_t used_slots;
	double speed; /**< estimate relative to the mean of the cell */
	enum waxwing_upstream_state state;
	const char *breaker; /**< "closed", "open" or "half-open" */
};

struct waxwing_scheduler_view {
	uint64_t queued_tasks;
	uint64_t queued_bytes;
	uint64_t queued_jobs;
	uint64_t slots;
	uint64_t used_slots; /**< slots in use */
	uint64_t grants; /**< number of grants since creation */
	uint64_t refusals; /**< number of refusals since creation */
	uint64_t busy_answers; /**< grants that the upstream rejected as busy */
	size_t upstreams;
};

void waxwing_scheduler_view(const struct waxwing_scheduler *scheduler,
			    struct waxwing_scheduler_view *view);
bool waxwing_scheduler_upstream_view(const struct waxwing_scheduler *scheduler, size_t index,
				     struct waxwing_upstream_view *view);

#endif
