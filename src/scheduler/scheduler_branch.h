/**
 * Branches and teams, with the estimated run times of each branch.
 *
 * Internal to the scheduler. Within a branch, tasks are classified by their declared run time, and
 * each class has its own estimate. If the declared run times are unrelated to the measured ones,
 * the estimates of all classes become alike.
 */
#ifndef WAXWING_SCHEDULER_BRANCH_H
#define WAXWING_SCHEDULER_BRANCH_H

#include "estimate.h"
#include "fair.h"
#include "scheduler.h"

#include <glib.h>

/**
 * Classes of declared run times, one per power of two in ms; the last one also holds all longer
 * times.
 */
#define WAXWING_WORK_CLASSES 16

/** A team's quota and its use by the branches of the team. */
struct waxwing_team {
	struct waxwing_str name;
	uint32_t max_slots; /**< limit of slots in use; 0: no limit */
	uint32_t max_queued_tasks; /**< limit of queued tasks; 0: no limit */
	uint32_t used_slots;
	uint64_t queued_tasks;
	double work_ms; /**< expected work of the queued tasks */
};

/** A branch with its queued jobs. */
struct waxwing_queue_branch {
	struct waxwing_share share;
	struct waxwing_str name;
	struct waxwing_team *team; /**< null: no quota */
	uint32_t declared_ms; /**< 0: none declared */
	uint32_t max_queued_tasks; /**< limit of queued tasks; 0: no limit */
	uint64_t queued_tasks;
	double work_ms; /**< expected work of the queued tasks */
	uint32_t used_slots;
	bool retired;
	struct waxwing_work_estimate work; /**< estimate over all its tasks */
	/** Estimates by declared run time; null: no samples. */
	struct waxwing_work_estimate *classes[WAXWING_WORK_CLASSES];
	GTree *by_rank; /**< struct waxwing_queue_job with queued tasks, the lowest rank first */
};

struct waxwing_branches {
	GHashTable *by_name; /**< struct waxwing_queue_branch */
	GHashTable *teams; /**< struct waxwing_team by name */
	struct waxwing_fair_queue fair_queue;
};

void waxwing_branches_init(struct waxwing_branches *branches);
void waxwing_branches_clear(struct waxwing_branches *branches);

void waxwing_branches_set_team(struct waxwing_branches *branches,
			       const struct waxwing_team_policy *policy);

/** Adds a branch or changes its policy; @by_rank is the order of a new branch's jobs. */
struct waxwing_queue_branch *waxwing_branches_set(struct waxwing_branches *branches,
						  const struct waxwing_branch_policy *policy,
						  GCompareDataFunc by_rank);

struct waxwing_queue_branch *waxwing_branches_find(const struct waxwing_branches *branches,
						   struct waxwing_str name);

/**
 * Returns the estimate for tasks of a declared run time, or that of the branch if none is
 * declared (0) or the class has few samples.
 */
struct waxwing_work_estimate *waxwing_branch_work(struct waxwing_queue_branch *branch,
						  uint32_t declared_ms);

/** Updates the estimates of the branch and the upstream with a run. */
void waxwing_branch_learn(struct waxwing_queue_branch *branch, uint32_t declared_ms,
			  struct waxwing_speed_estimate *speed, uint32_t run_ms);

/** Adds to the queued tasks and their work; negative values subtract. */
void waxwing_branch_add_queued(struct waxwing_queue_branch *branch, int64_t tasks, double work_ms);

/** Adds to the slots in use; negative values subtract. */
void waxwing_branch_add_used(struct waxwing_queue_branch *branch, int slots);

/** Returns whether the team's quota allows the branch one more slot. */
static inline bool waxwing_branch_has_quota(const struct waxwing_queue_branch *branch)
{
	const struct waxwing_team *team = branch->team;

	return !team || team->max_slots == 0 || team->used_slots < team->max_slots;
}

/** Returns the branch that contains a share. */
static inline struct waxwing_queue_branch *waxwing_branch_of_share(struct waxwing_share *share)
{
	return (struct waxwing_queue_branch *)share;
}

#endif
