/**
 * Discrete-event simulation of a workload: clients, issuers and upstreams as simple models around
 * the policy under test.
 *
 * A job goes from its client to its issuer, which passes it to the policy. The policy starts tasks
 * on upstreams through waxwing_bench_sim_start_task() and is notified when they end; it sets the
 * delay of its own messages. Upstreams run tasks in slots. If no slot is free they answer
 * busy, or queue the task if the policy asks for that. The simulation counts violated invariants.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_BENCH_SIM_H
#define WAXWING_BENCH_SIM_H

#include "bench_workload.h"
#include "scheduler.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

struct waxwing_bench_sim;

/** Payload of an event. Policies define the meaning of the fields in their own messages. */
struct waxwing_bench_message {
	uint32_t type;
	uint32_t domain;
	uint32_t issuer;
	uint32_t job;
	uint32_t task;
	uint32_t upstream;
	uint32_t outcome;
	uint32_t value;
	uint32_t head_tasks;
};

struct waxwing_bench_policy;

/** Operations of a policy. Tasks, jobs and upstreams are numbered across all domains. */
struct waxwing_bench_policy_ops {
	const char *name;
	const char *description;
	bool queues_at_upstream; /**< upstreams queue tasks instead of answering busy */
	struct waxwing_bench_policy *(*create)(struct waxwing_bench_sim *sim);
	void (*destroy)(struct waxwing_bench_policy *policy);
	/** A job arrived at its issuer. */
	void (*job_arrived)(struct waxwing_bench_policy *policy, uint32_t job);
	/** The issuer received the upstream's answer, which may be busy, for a task. */
	void (*task_ended)(struct waxwing_bench_policy *policy, uint32_t task, uint32_t upstream,
			   enum waxwing_slot_outcome outcome, uint32_t run_ms);
	/**
	 * The job failed, passed its deadline or was cancelled; its tasks that have not started are
	 * no longer wanted.
	 */
	void (*job_aborted)(struct waxwing_bench_policy *policy, uint32_t job);
	/** A message of the policy arrives or a timer expires. May be null. */
	void (*receive)(struct waxwing_bench_policy *policy,
			const struct waxwing_bench_message *message);
};

struct waxwing_bench_policy {
	const struct waxwing_bench_policy_ops *ops;
	struct waxwing_bench_sim *sim;
};

enum waxwing_bench_task_state {
	WAXWING_BENCH_TASK_QUEUED = 0,
	WAXWING_BENCH_TASK_COMMITTED, /**< sent or running */
	WAXWING_BENCH_TASK_DONE,
	WAXWING_BENCH_TASK_FAILED,
};

enum waxwing_bench_job_state {
	WAXWING_BENCH_JOB_RUNNING = 0,
	WAXWING_BENCH_JOB_COMPLETE,
	WAXWING_BENCH_JOB_FAILED, /**< a task failed */
	WAXWING_BENCH_JOB_ABANDONED, /**< refused after a task was sent */
	WAXWING_BENCH_JOB_LATE, /**< deadline passed after a task was sent */
	WAXWING_BENCH_JOB_CANCELLED,
	WAXWING_BENCH_JOB_REFUSED, /**< answered "not run"; was not admitted */
	WAXWING_BENCH_JOB_DROPPED, /**< answered "not run"; was admitted, or its deadline passed */
};

/** Result of a task. */
struct waxwing_bench_task_result {
	enum waxwing_bench_task_state state;
	uint32_t starts; /**< number of starts, counted at the upstreams */
	int64_t start_us; /**< time of the last start */
	int64_t end_us;
	bool succeeded; /**< completed on an upstream */
};

/** Result of a job. */
struct waxwing_bench_job_result {
	enum waxwing_bench_job_state state;
	uint32_t tasks_left; /**< number of tasks not completed */
	uint32_t tasks_committed; /**< number of tasks sent, except those answered busy */
	int64_t answered_us; /**< when the client gets the answer */
};

struct waxwing_bench_sim_counts {
	uint64_t starts;
	uint64_t busy_answers;
	uint64_t unused_grants; /**< grants for tasks no longer wanted */
	uint64_t control_messages; /**< messages between processes of the policy */
	uint64_t events;
	uint64_t double_starts; /**< starts of tasks that had already started */
	uint64_t partial_answers; /**< "complete" answers with a task that did not succeed */
	uint64_t false_not_run; /**< "not run" answers to jobs that had started */
	uint64_t resubmissions;
	uint64_t failed_starts; /**< starts on an upstream that fails all tasks */
	uint64_t unanswered; /**< jobs still running at the end of the run */
};

/** Creates a simulation that has not run yet. The workload must outlive it. */
struct waxwing_bench_sim *waxwing_bench_sim_create(const struct waxwing_bench_workload *workload,
						   const struct waxwing_bench_policy_ops *ops);
void waxwing_bench_sim_destroy(struct waxwing_bench_sim *sim);

/**
 * Runs until all jobs are answered and no task is in flight, but at most one hour of simulation
 * time after the last job is sent. @progress may be null.
 */
void waxwing_bench_sim_run(struct waxwing_bench_sim *sim,
			   void (*progress)(uint32_t answered, uint32_t jobs));

/* For policies. */

const struct waxwing_bench_workload *
waxwing_bench_sim_workload(const struct waxwing_bench_sim *sim);
int64_t waxwing_bench_sim_now_us(const struct waxwing_bench_sim *sim);

/** True while the job runs and the task has not been sent. */
bool waxwing_bench_sim_task_wanted(const struct waxwing_bench_sim *sim, uint32_t task);

/** Commits a wanted task and sends it from its issuer to the upstream. */
void waxwing_bench_sim_start_task(struct waxwing_bench_sim *sim, uint32_t task, uint32_t upstream);

/**
 * Refuses a running job; does nothing if it has ended. @admitted is true if the job was admitted
 * before. A job with committed tasks ends as abandoned.
 */
void waxwing_bench_sim_refuse_job(struct waxwing_bench_sim *sim, uint32_t job, bool admitted);

/** Delivers @message to the policy after @delay_us; a control message unless @delay_us is 0. */
void waxwing_bench_sim_post_message(struct waxwing_bench_sim *sim, int64_t delay_us,
				    const struct waxwing_bench_message *message);

/** Delivers @message to the policy at @at_us. Not counted as a control message. */
void waxwing_bench_sim_set_timer(struct waxwing_bench_sim *sim, int64_t at_us,
				 const struct waxwing_bench_message *message);

/** Counts a grant whose task was no longer wanted. */
void waxwing_bench_sim_count_unused_grant(struct waxwing_bench_sim *sim);

/** Returns how many upstreams a domain has; sets @first to the index of its first upstream. */
uint32_t waxwing_bench_sim_upstreams(const struct waxwing_bench_sim *sim, uint32_t domain,
				     uint32_t *first);
double waxwing_bench_sim_upstream_speed(const struct waxwing_bench_sim *sim, uint32_t upstream);

/* For measures, after the run. */

const struct waxwing_bench_task_result *
waxwing_bench_sim_task_result(const struct waxwing_bench_sim *sim, uint32_t task);
const struct waxwing_bench_job_result *
waxwing_bench_sim_job_result(const struct waxwing_bench_sim *sim, uint32_t job);
const struct waxwing_bench_sim_counts *
waxwing_bench_sim_counts(const struct waxwing_bench_sim *sim);

#endif
