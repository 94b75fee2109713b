#include "scheduler_branch.h"

#include "scheduler_table.h"

/** Assumed run time of a branch that declares none, in milliseconds. */
#define DEFAULT_RUN_MS 300u

/** Minimum samples of a class for its estimate to be used instead of the branch's estimate. */
#define MIN_CLASS_SAMPLES 30.0

static void team_free(void *data)
{
	struct waxwing_team *team = data;

	g_free((char *)team->name.data);
	g_free(team);
}

static void branch_free(void *data)
{
	struct waxwing_queue_branch *branch = data;

	for (size_t i = 0; i < WAXWING_WORK_CLASSES; i++)
		g_free(branch->classes[i]);
	g_tree_destroy(branch->by_rank);
	g_free((char *)branch->name.data);
	g_free(branch);
}

void waxwing_branches_init(struct waxwing_branches *branches)
{
	branches->by_name =
		g_hash_table_new_full(waxwing_name_hash, waxwing_name_equal, NULL, branch_free);
	branches->teams =
		g_hash_table_new_full(waxwing_name_hash, waxwing_name_equal, NULL, team_free);
	waxwing_fair_init(&branches->fair_queue);
}

void waxwing_branches_clear(struct waxwing_branches *branches)
{
	waxwing_fair_clear(&branches->fair_queue);
	g_hash_table_destroy(branches->by_name);
	g_hash_table_destroy(branches->teams);
}

static struct waxwing_team *team_find_or_create(struct waxwing_branches *branches,
						struct waxwing_str name)
{
	struct waxwing_team *team;

	if (name.len == 0)
		return NULL;
	team = g_hash_table_lookup(branches->teams, &name);
	if (team)
		return team;
	team = g_new0(struct waxwing_team, 1);
	team->name = (struct waxwing_str){ name.len, waxwing_str_dup(name) };
	g_hash_table_insert(branches->teams, &team->name, team);
	return team;
}

void waxwing_branches_set_team(struct waxwing_branches *branches,
			       const struct waxwing_team_policy *policy)
{
	struct waxwing_team *team = team_find_or_create(branches, policy->team);

	if (!team)
		return;
	team->max_slots = policy->slots;
	team->max_queued_tasks = policy->queued_tasks;
}

static void set_team(struct waxwing_queue_branch *branch, struct waxwing_team *team)
{
	if (branch->team) {
		branch->team->used_slots -= branch->used_slots;
		branch->team->queued_tasks -= branch->queued_tasks;
		branch->team->work_ms -= branch->work_ms;
	}
	if (team) {
		team->used_slots += branch->used_slots;
		team->queued_tasks += branch->queued_tasks;
		team->work_ms += branch->work_ms;
	}
	branch->team = team;
}

static struct waxwing_queue_branch *branch_create(struct waxwing_branches *branches,
						  const struct waxwing_branch_policy *policy,
						  GCompareDataFunc by_rank)
{
	struct waxwing_queue_branch *branch = g_new0(struct waxwing_queue_branch, 1);

	branch->name = (struct waxwing_str){ policy->branch.len, waxwing_str_dup(policy->branch) };
	branch->by_rank = g_tree_new_full(by_rank, NULL, NULL, NULL);
	waxwing_share_init(&branches->fair_queue, &branch->share, policy->weight);
	waxwing_work_init(&branch->work,
			  policy->declared_ms ? policy->declared_ms : DEFAULT_RUN_MS);
	g_hash_table_insert(branches->by_name, &branch->name, branch);
	return branch;
}

struct waxwing_queue_branch *waxwing_branches_set(struct waxwing_branches *branches,
						  const struct waxwing_branch_policy *policy,
						  GCompareDataFunc by_rank)
{
	struct waxwing_queue_branch *branch = waxwing_branches_find(branches, policy->branch);

	if (!branch)
		branch = branch_create(branches, policy, by_rank);
	set_team(branch, team_find_or_create(branches, policy->team));
	waxwing_fair_set_weight(&branches->fair_queue, &branch->share, policy->weight);
	branch->declared_ms = policy->declared_ms;
	branch->max_queued_tasks = policy->queue_tasks;
	branch->retired = policy->retired;
	return branch;
}

struct waxwing_queue_branch *waxwing_branches_find(const struct waxwing_branches *branches,
						   struct waxwing_str name)
{
	return g_hash_table_lookup(branches->by_name, &name);
}

static size_t declared_class(uint32_t declared_ms)
{
	size_t octave = g_bit_storage(declared_ms) - 1;

	return MIN(octave, WAXWING_WORK_CLASSES - 1);
}

struct waxwing_work_estimate *waxwing_branch_work(struct waxwing_queue_branch *branch,
						  uint32_t declared_ms)
{
	struct waxwing_work_estimate *work;

	if (declared_ms == 0)
		return &branch->work;
	work = branch->classes[declared_class(declared_ms)];
	return work && work->samples >= MIN_CLASS_SAMPLES ? work : &branch->work;
}

static void learn_class(struct waxwing_queue_branch *branch, uint32_t declared_ms, double work_ms)
{
	struct waxwing_work_estimate **work = &branch->classes[declared_class(declared_ms)];

	if (!*work) {
		*work = g_new(struct waxwing_work_estimate, 1);
		waxwing_work_init(*work, declared_ms);
	}
	waxwing_work_learn(*work, work_ms);
}

void waxwing_branch_learn(struct waxwing_queue_branch *branch, uint32_t declared_ms,
			  struct waxwing_speed_estimate *speed, uint32_t run_ms)
{
	struct waxwing_work_estimate *work = waxwing_branch_work(branch, declared_ms);
	double work_ms = run_ms * speed->value;

	waxwing_estimate_learn(work, speed, run_ms);
	if (work != &branch->work)
		waxwing_work_learn(&branch->work, work_ms);
	else if (declared_ms > 0)
		learn_class(branch, declared_ms, work_ms);
}

void waxwing_branch_add_queued(struct waxwing_queue_branch *branch, int64_t tasks, double work_ms)
{
	struct waxwing_team *team = branch->team;

	branch->queued_tasks += (uint64_t)tasks;
	branch->work_ms = branch->queued_tasks > 0 ? branch->work_ms + work_ms : 0;
	if (!team)
		return;
	team->queued_tasks += (uint64_t)tasks;
	team->work_ms = team->queued_tasks > 0 ? team->work_ms + work_ms : 0;
}

void waxwing_branch_add_used(struct waxwing_queue_branch *branch, int slots)
{
	branch->used_slots += (uint32_t)slots;
	if (branch->team)
		branch->team->used_slots += (uint32_t)slots;
}
