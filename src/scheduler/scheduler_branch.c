#include "scheduler_branch.h"

#include "scheduler_table.h"

/** Run time taken for a branch that declares none, in milliseconds. */
#define DEFAULT_RUN_MS 300u

/** Samples from which a class is believed by itself. */
#define CLASS_SAMPLES 30.0

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
	waxwing_fair_init(&branches->fair);
}

void waxwing_branches_clear(struct waxwing_branches *branches)
{
	waxwing_fair_clear(&branches->fair);
	g_hash_table_destroy(branches->by_name);
	g_hash_table_destroy(branches->teams);
}

static struct waxwing_team *team_get(struct waxwing_branches *branches, struct waxwing_str name)
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
	struct waxwing_team *team = team_get(branches, policy->team);

	if (!team)
		return;
	team->slots = policy->slots;
	team->queued_limit = policy->queued_tasks;
}

static void move_to_team(struct waxwing_queue_branch *branch, struct waxwing_team *team)
{
	if (branch->team) {
		branch->team->used -= branch->used;
		branch->team->queued -= branch->queued;
		branch->team->work_ms -= branch->work_ms;
	}
	if (team) {
		team->used += branch->used;
		team->queued += branch->queued;
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
	waxwing_share_init(&branches->fair, &branch->share, policy->weight);
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
	move_to_team(branch, team_get(branches, policy->team));
	waxwing_fair_set_weight(&branches->fair, &branch->share, policy->weight);
	branch->declared_ms = policy->declared_ms;
	branch->queue_limit = policy->queue_tasks;
	branch->retired = policy->retired;
	return branch;
}

struct waxwing_queue_branch *waxwing_branches_find(const struct waxwing_branches *branches,
						   struct waxwing_str name)
{
	return g_hash_table_lookup(branches->by_name, &name);
}

static size_t class_of(uint32_t declared_ms)
{
	size_t octave = g_bit_storage(declared_ms) - 1;

	return MIN(octave, WAXWING_WORK_CLASSES - 1);
}

struct waxwing_work *waxwing_branch_work(struct waxwing_queue_branch *branch, uint32_t declared_ms)
{
	struct waxwing_work *kind;

	if (declared_ms == 0)
		return &branch->work;
	kind = branch->classes[class_of(declared_ms)];
	return kind && kind->samples >= CLASS_SAMPLES ? kind : &branch->work;
}

static void learn_class(struct waxwing_queue_branch *branch, uint32_t declared_ms, double work_ms)
{
	struct waxwing_work **kind = &branch->classes[class_of(declared_ms)];

	if (!*kind) {
		*kind = g_new(struct waxwing_work, 1);
		waxwing_work_init(*kind, declared_ms);
	}
	waxwing_work_learn(*kind, work_ms);
}

void waxwing_branch_learn(struct waxwing_queue_branch *branch, uint32_t declared_ms,
			  struct waxwing_speed *speed, uint32_t run_ms)
{
	struct waxwing_work *kind = waxwing_branch_work(branch, declared_ms);
	double work_ms = run_ms * speed->value;

	waxwing_estimate_learn(kind, speed, run_ms);
	if (kind != &branch->work)
		waxwing_work_learn(&branch->work, work_ms);
	else if (declared_ms > 0)
		learn_class(branch, declared_ms, work_ms);
}

void waxwing_branch_count_queued(struct waxwing_queue_branch *branch, int64_t tasks, double work_ms)
{
	struct waxwing_team *team = branch->team;

	branch->queued += (uint64_t)tasks;
	branch->work_ms = branch->queued > 0 ? branch->work_ms + work_ms : 0;
	if (!team)
		return;
	team->queued += (uint64_t)tasks;
	team->work_ms = team->queued > 0 ? team->work_ms + work_ms : 0;
}

void waxwing_branch_count_used(struct waxwing_queue_branch *branch, int slots)
{
	branch->used += (uint32_t)slots;
	if (branch->team)
		branch->team->used += (uint32_t)slots;
}
