/**
 * One run of a workload in virtual time: clients, issuers and upstreams as small fakes, round the
 * policy under test.
 *
 * A job goes from its client to its issuer, which hands it to the policy. The policy starts tasks on
 * upstreams through waxwing_bench_sim_start() and hears of their ends; messages of its own take the
 * delays that it gives. Upstreams run tasks in slots; with no slot free they answer busy, or queue the
 * task for policies that want that. The sim counts what must never happen. Not thread-safe.
 */
#ifndef WAXWING_BENCH_SIM_H
#define WAXWING_BENCH_SIM_H

#include "bench_workload.h"
#include "scheduler.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_bench_sim;

/** A policy's own message; the fields mean what the policy likes. */
struct waxwing_bench_message {
	uint32_t type;
	uint32_t domain;
	uint32_t issuer;
	uint32_t job;
	uint32_t task;
	uint32_t upstream;
	uint32_t outcome;
	uint32_t value;
	uint32_t head;
};

struct waxwing_bench_policy;

/** What a policy does. Tasks, jobs and upstreams are indexes over all domains. */
struct waxwing_bench_policy_ops {
	const char *name;
	const char *about;
	bool queues_at_upstream; /**< upstreams queue tasks instead of answering busy */
	struct waxwing_bench_policy *(*create)(struct waxwing_bench_sim *sim);
	void (*destroy)(struct waxwing_bench_policy *policy);
	/** A job is at its issuer. */
	void (*arrive)(struct waxwing_bench_policy *policy, uint32_t job);
	/** The issuer heard the end of a task that it started. */
	void (*ended)(struct waxwing_bench_policy *policy, uint32_t task, uint32_t upstream,
		      enum waxwing_slot_outcome outcome, uint32_t run_ms);
	/** The job is over: its tasks that aren't started are not wanted any more. */
	void (*withdraw)(struct waxwing_bench_policy *policy, uint32_t job);
	/** A message that the policy posted has arrived. May be null. */
	void (*message)(struct waxwing_bench_policy *policy,
			const struct waxwing_bench_message *message);
};

struct waxwing_bench_policy {
	const struct waxwing_bench_policy_ops *ops;
	struct waxwing_bench_sim *sim;
};

enum waxwing_bench_task_state {
	WAXWING_BENCH_TASK_QUEUED = 0,
	WAXWING_BENCH_TASK_COMMITTED, /**< sent, or running */
	WAXWING_BENCH_TASK_DONE,
	WAXWING_BENCH_TASK_FAILED,
};

enum waxwing_bench_job_state {
	WAXWING_BENCH_JOB_RUNNING = 0,
	WAXWING_BENCH_JOB_COMPLETE,
	WAXWING_BENCH_JOB_FAILED, /**< a task failed */
	WAXWING_BENCH_JOB_ABANDONED, /**< the rest was refused after a start */
	WAXWING_BENCH_JOB_LATE, /**< its deadline passed after a start */
	WAXWING_BENCH_JOB_CANCELLED,
	WAXWING_BENCH_JOB_REFUSED, /**< "not run", at once */
	WAXWING_BENCH_JOB_DROPPED, /**< "not run", after it was admitted */
};

/** What became of a task. */
struct waxwing_bench_task_run {
	enum waxwing_bench_task_state state;
	uint32_t starts; /**< as the upstreams counted them */
	int64_t start_us; /**< of the last start */
	int64_t end_us;
	bool done; /**< an upstream ran it to a good end */
};

/** What became of a job. */
struct waxwing_bench_job_run {
	enum waxwing_bench_job_state state;
	uint32_t left; /**< tasks not done */
	uint32_t committed; /**< tasks ever sent */
	int64_t answered_us; /**< at the client */
};

struct waxwing_bench_sim_counts {
	uint64_t starts;
	uint64_t busy;
	uint64_t unused; /**< grants that the issuer no longer wanted */
	uint64_t control_messages; /**< of the policy, between processes */
	uint64_t events;
	uint64_t double_starts;
	uint64_t partial_answers;
	uint64_t false_not_run;
	uint64_t resubmissions;
	uint64_t failed_starts; /**< starts on an upstream that fails everything */
	uint64_t unanswered; /**< jobs that still waited at the end of the run */
};

/** A sim that hasn't run yet. The workload must outlive it. */
struct waxwing_bench_sim *waxwing_bench_sim_create(const struct waxwing_bench_workload *workload,
						   const struct waxwing_bench_policy_ops *ops);
void waxwing_bench_sim_destroy(struct waxwing_bench_sim *sim);

/** Runs until every job is answered and every slot is back. @progress may be null. */
void waxwing_bench_sim_run(struct waxwing_bench_sim *sim,
			   void (*progress)(uint32_t answered, uint32_t jobs));

/* For policies. */

const struct waxwing_bench_workload *
waxwing_bench_sim_workload(const struct waxwing_bench_sim *sim);
int64_t waxwing_bench_sim_now_us(const struct waxwing_bench_sim *sim);

/** True while the job runs and the task has neither been sent nor ended. */
bool waxwing_bench_sim_wanted(const struct waxwing_bench_sim *sim, uint32_t task);

/** Commits a wanted task and sends it from its issuer to the upstream. */
void waxwing_bench_sim_start(struct waxwing_bench_sim *sim, uint32_t task, uint32_t upstream);

/** Refuses what isn't started of a job; @admitted when it had been taken before. */
void waxwing_bench_sim_refuse(struct waxwing_bench_sim *sim, uint32_t job, bool admitted);

/** Delivers @message to the policy after @delay_us. Counts as a control message unless 0. */
void waxwing_bench_sim_post(struct waxwing_bench_sim *sim, int64_t delay_us,
			    const struct waxwing_bench_message *message);

/** Delivers @message to the policy at @at_us; a timer, not counted. */
void waxwing_bench_sim_wake(struct waxwing_bench_sim *sim, int64_t at_us,
			    const struct waxwing_bench_message *message);

/** Counts a grant that started nothing since its task was no longer wanted. */
void waxwing_bench_sim_count_unused(struct waxwing_bench_sim *sim);

/** Upstreams of a domain: [first, first + the returned count). */
uint32_t waxwing_bench_sim_upstreams(const struct waxwing_bench_sim *sim, uint32_t domain,
				     uint32_t *first);
double waxwing_bench_sim_speed(const struct waxwing_bench_sim *sim, uint32_t upstream);

/* For measures, after the run. */

const struct waxwing_bench_task_run *waxwing_bench_sim_task_run(const struct waxwing_bench_sim *sim,
								uint32_t task);
const struct waxwing_bench_job_run *waxwing_bench_sim_job_run(const struct waxwing_bench_sim *sim,
							      uint32_t job);
const struct waxwing_bench_sim_counts *
waxwing_bench_sim_counts(const struct waxwing_bench_sim *sim);

#endif
