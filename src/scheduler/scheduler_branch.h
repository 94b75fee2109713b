/**
 * Branches and teams as the scheduler knows them, with the run times learnt per branch.
 *
 * Part of the scheduler. Within a branch, tasks are told apart by their declared run time: if that
 * says something, each class learns a distribution of its own; if it lies, the classes turn out alike.
 */
#ifndef WAXWING_SCHEDULER_BRANCH_H
#define WAXWING_SCHEDULER_BRANCH_H

#include "estimate.h"
#include "fair.h"
#include "scheduler.h"

#include <glib.h>

/** Classes of declared run times, one an octave, the last of them for all longer. */
#define WAXWING_WORK_CLASSES 16

/** A team's quota and what counts against it. */
struct waxwing_team {
	struct waxwing_str name;
	uint32_t slots;
	uint32_t queued_limit;
	uint32_t used;
	uint64_t queued;
	double work_ms; /**< expected, of the queued tasks */
};

/** A branch and what it has in the queue. */
struct waxwing_queue_branch {
	struct waxwing_share share;
	struct waxwing_str name;
	struct waxwing_team *team; /**< null: no quota */
	uint32_t declared_ms;
	uint32_t queue_limit;
	uint64_t queued;
	double work_ms; /**< expected, of the queued tasks */
	uint32_t used; /**< slots in use */
	bool retired;
	struct waxwing_work work; /**< of all its tasks */
	struct waxwing_work
		*classes[WAXWING_WORK_CLASSES]; /**< by declared time; null: none seen */
	GTree *by_rank; /**< its jobs with queued tasks */
};

struct waxwing_branches {
	GHashTable *by_name;
	GHashTable *teams;
	struct waxwing_fair fair;
};

void waxwing_branches_init(struct waxwing_branches *branches);
void waxwing_branches_clear(struct waxwing_branches *branches);

void waxwing_branches_set_team(struct waxwing_branches *branches,
			       const struct waxwing_team_policy *policy);

/** Sets a branch's policy; @by_rank orders the jobs of a new one. */
struct waxwing_queue_branch *waxwing_branches_set(struct waxwing_branches *branches,
						  const struct waxwing_branch_policy *policy,
						  GCompareDataFunc by_rank);

struct waxwing_queue_branch *waxwing_branches_find(const struct waxwing_branches *branches,
						   struct waxwing_str name);

/** What is known of tasks with a declared run time (0: none declared). */
struct waxwing_work *waxwing_branch_work(struct waxwing_queue_branch *branch, uint32_t declared_ms);

/** Learns one run. */
void waxwing_branch_learn(struct waxwing_queue_branch *branch, uint32_t declared_ms,
			  struct waxwing_speed *speed, uint32_t run_ms);

/** Counts tasks and their work as queued, or (below zero) as no longer queued. */
void waxwing_branch_count_queued(struct waxwing_queue_branch *branch, int64_t tasks,
				 double work_ms);

/** Counts a slot as in use (1) or free (-1). */
void waxwing_branch_count_used(struct waxwing_queue_branch *branch, int slots);

/** True when the team's quota lets the branch use one more slot. */
static inline bool waxwing_branch_may_start(const struct waxwing_queue_branch *branch)
{
	const struct waxwing_team *team = branch->team;

	return !team || team->slots == 0 || team->used < team->slots;
}

/** The branch that a share belongs to. */
static inline struct waxwing_queue_branch *waxwing_branch_of_share(struct waxwing_share *share)
{
	return (struct waxwing_queue_branch *)share;
}

#endif
