/*
 * A cell changes hands while tasks run on executors that are not in the platform's list: they do
 * not reach the store, but they answer nodes. The new owner must not start those tasks again while
 * they run.
 */
#include "node_sim_faults.h"

#define SEEDS 20
/* Environment variables for more seeds by hand. */
#define FIRST_SEED_VARIABLE "WAXWING_TEST_FIRST"
#define LAST_SEED_VARIABLE  "WAXWING_TEST_LAST"
#define LONG_TASKS_MS	    4000
#define LONG_JOBS	    6
#define UNLISTED_FOR_MS	    6000
/* Longer than an owner leaves an idle executor alone. */
#define OUTLASTING_TASKS_MS 9000
/* Less than the time for which an owner goes on using an executor that left the list. */
#define MAX_UNLISTED_MS 1800
/* The time that a node of the domain must have been there before it is given the cell. */
#define HAND_BACK_DELAY_MS 3000

static uint32_t first_seed(void)
{
	return seed_from_env(FIRST_SEED_VARIABLE, 1);
}

static uint32_t last_seed(void)
{
	return seed_from_env(LAST_SEED_VARIABLE, SEEDS);
}

static void unlist_executor(struct cluster_sim *sim, struct sim_executor *executor)
{
	char key[32];

	snprintf(key, sizeof(key), "servers/%s", executor->id);
	store_remove(sim, key);
	executor->relist_ms = sim_now(sim) + UNLISTED_FOR_MS;
}

/*
 * Removes some of failure domain 0's executors that have runs from the list. Returns false if none
 * has.
 */
static bool unlist_busy_executors(struct cluster_sim *sim)
{
	bool found = false;

	for (int i = 0; i < EXECUTORS; i += ZONES) {
		struct sim_executor *executor = &sim->executors[i];

		if (!executor->runs->len || (found && sim_chance(sim, 0.5)))
			continue;
		found = true;
		unlist_executor(sim, executor);
	}
	return found;
}

/* Submits long jobs that fill half of the executors. */
static void submit_long_jobs(struct cluster_sim *sim)
{
	sim->max_work_ms = LONG_TASKS_MS;
	submit_jobs(sim, LONG_JOBS * ARRIVAL_INTERVAL_MS);
	sim->max_work_ms = MAX_WORK_MS;
}

/* Half of the jobs are durable. */
static struct cluster_sim *create_busy_sim(uint32_t seed)
{
	struct cluster_sim *sim = create_settled_sim(seed);

	sim->durable_share = 0.5;
	submit_long_jobs(sim);
	return sim;
}

static void wait_for_owner(struct cluster_sim *sim, int other_than)
{
	for (int ms = 0; ms < 12000; ms += WAXWING_NODE_TICK_MS) {
		int owner = find_owner(sim, 0);

		if (owner >= 0 && owner != other_than)
			return;
		sim_run(sim, WAXWING_NODE_TICK_MS);
	}
	g_assert_not_reached();
}

static void leave(struct cluster_sim *sim, int owner)
{
	waxwing_node_leave(sim->hosts[owner].node, LEAVE_TIME_MS);
}

/* The successor leaves soon after it has taken the cell over. */
static void leave_in_series(struct cluster_sim *sim, int owner)
{
	leave(sim, owner);
	sim_run(sim, g_rand_int_range(sim->random, 50, 400));
	wait_for_owner(sim, -1);
	if (find_owner(sim, 0) != owner)
		leave(sim, find_owner(sim, 0));
}

/* The store answers the release late or not at all; the release is repeated. */
static void leave_unanswered(struct cluster_sim *sim, int owner)
{
	leave(sim, owner);
	sim->store_unanswered_share = 0.7;
	sim_run(sim, 300);
	sim->store_unanswered_share = 0;
}

static void kill_owner(struct cluster_sim *sim, int owner)
{
	node_kill(sim, owner);
}

/* The owner's new process takes its cell back, and releases it soon after. */
static void kill_and_leave(struct cluster_sim *sim, int owner)
{
	node_kill(sim, owner);
	sim_run(sim, g_rand_int_range(sim->random, 50, 300));
	node_start(sim, owner);
	sim_run(sim, g_rand_int_range(sim->random, 50, 300));
	leave(sim, owner);
}

static void pause_owner(struct cluster_sim *sim, int owner)
{
	sim->hosts[owner].frozen_until_ms = sim_now(sim) + g_rand_int_range(sim->random, 700, 3500);
}

/* The owner wakes while its successor, which was not told anything, releases the cell. */
static void pause_and_leave(struct cluster_sim *sim, int owner)
{
	sim->hosts[owner].frozen_until_ms =
		sim_now(sim) + g_rand_int_range(sim->random, 1500, 2500);
	wait_for_owner(sim, owner);
	sim_run(sim, g_rand_int_range(sim->random, 0, 500));
	leave(sim, find_owner(sim, 0));
}

static void cut_from_store(struct cluster_sim *sim, int owner)
{
	sim->hosts[owner].store_unreachable = true;
}

static void cut_from_store_and_nodes(struct cluster_sim *sim, int owner)
{
	sim->hosts[owner].store_unreachable = true;
	sim->hosts[owner].drops_incoming = true;
}

static void repair(struct cluster_sim *sim)
{
	for (int i = 0; i < NODES; i++) {
		sim->hosts[i].store_unreachable = false;
		sim->hosts[i].drops_incoming = false;
	}
}

struct owner_change {
	const char *path;
	void (*change)(struct cluster_sim *sim, int owner);
};

/* Changes the owner of the cell after some of its executors have left the list. */
static void test_owner_changes(gconstpointer data)
{
	const struct owner_change *way = data;
	uint32_t unlisted = 0;

	for (uint32_t seed = first_seed(); seed <= last_seed(); seed++) {
		struct cluster_sim *sim = create_busy_sim(seed);
		int owner = find_owner(sim, 0);

		unlisted += unlist_busy_executors(sim);
		sim_run(sim, g_rand_int_range(sim->random, 0, MAX_UNLISTED_MS));
		way->change(sim, owner);
		sim_run(sim, 2500);
		repair(sim);
		submit_jobs(sim, 1000);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
	g_assert_cmpuint(unlisted, >, (last_seed() - first_seed()) / 2);
}

/*
 * Guards against two runs of one durable task: an owner that reached neither the store nor other
 * nodes had runs on unlisted executors only. It called the other ones, which had seen its successor's
 * token, after seconds, and kept its runs alive until then.
 */
static void test_owner_cut_off(void)
{
	for (uint32_t seed = first_seed(); seed <= last_seed(); seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);

		sim->durable_share = 1;
		sim->max_work_ms = OUTLASTING_TASKS_MS;
		submit_jobs(sim, LONG_JOBS * ARRIVAL_INTERVAL_MS);
		sim->max_work_ms = MAX_WORK_MS;
		for (int i = 0; i < EXECUTORS; i += ZONES)
			if (sim->executors[i].runs->len)
				unlist_executor(sim, &sim->executors[i]);
		sim_run(sim, g_rand_int_range(sim->random, 0, MAX_UNLISTED_MS));
		cut_from_store_and_nodes(sim, find_owner(sim, 0));
		sim_run(sim, OUTLASTING_TASKS_MS);
		repair(sim);
		submit_jobs(sim, 1000);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/* The cell returns from a node of another failure domain to its own. */
static void test_hand_back(void)
{
	uint32_t unlisted = 0;

	for (uint32_t seed = first_seed(); seed <= last_seed(); seed++) {
		struct cluster_sim *sim = create_busy_sim(seed);
		int outside;

		for (int i = 0; i < NODES; i += ZONES)
			leave(sim, i);
		submit_jobs(sim, 1500);
		for (int i = 0; i < NODES; i += ZONES)
			node_kill(sim, i);
		outside = find_owner(sim, 0);
		g_assert_cmpint(outside % ZONES, !=, 0);
		node_start(sim, 0);
		sim_run(sim, HAND_BACK_DELAY_MS - MAX_UNLISTED_MS);
		submit_long_jobs(sim);
		sim_run(sim, g_rand_int_range(sim->random, 0, MAX_UNLISTED_MS));
		unlisted += unlist_busy_executors(sim);
		sim_run(sim, 2 * HAND_BACK_DELAY_MS);
		g_assert_cmpint(find_owner(sim, 0), ==, 0);
		node_start(sim, ZONES);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
	g_assert_cmpuint(unlisted, >, (last_seed() - first_seed()) / 2);
}

static uint32_t count_lapsed(const struct cluster_sim *sim)
{
	uint32_t count = 0;

	for (int i = 0; i < EXECUTORS; i++) {
		const GArray *ended = sim->executors[i].ended;

		for (guint k = 0; k < ended->len; k++)
			count += g_array_index(ended, struct waxwing_ended_run, k).end ==
				 WAXWING_RUN_LAPSED;
	}
	return count;
}

/*
 * Guards against work lost in an orderly handover: the successor goes on with runs on executors
 * that had left the list before the owner released the cell.
 */
static void test_runs_adopted(void)
{
	uint32_t unlisted = 0;

	for (uint32_t seed = first_seed(); seed <= last_seed(); seed++) {
		struct cluster_sim *sim = create_busy_sim(seed);

		unlisted += unlist_busy_executors(sim);
		sim_run(sim, g_rand_int_range(sim->random, 1000, MAX_UNLISTED_MS));
		leave(sim, find_owner(sim, 0));
		sim_run(sim, 2500);
		g_assert_cmpuint(count_lapsed(sim), ==, 0);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
	g_assert_cmpuint(unlisted, >, (last_seed() - first_seed()) / 2);
}

int main(int argc, char **argv)
{
	static const struct owner_change changes[] = {
		{ "/node_unlisted/leave", leave },
		{ "/node_unlisted/leave_in_series", leave_in_series },
		{ "/node_unlisted/leave_unanswered", leave_unanswered },
		{ "/node_unlisted/kill", kill_owner },
		{ "/node_unlisted/kill_and_leave", kill_and_leave },
		{ "/node_unlisted/pause", pause_owner },
		{ "/node_unlisted/pause_and_leave", pause_and_leave },
		{ "/node_unlisted/cut_from_store", cut_from_store },
		{ "/node_unlisted/cut_from_store_and_nodes", cut_from_store_and_nodes },
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		g_test_add_data_func(changes[i].path, &changes[i], test_owner_changes);
	g_test_add_func("/node_unlisted/owner_cut_off", test_owner_cut_off);
	g_test_add_func("/node_unlisted/hand_back", test_hand_back);
	g_test_add_func("/node_unlisted/runs_adopted", test_runs_adopted);
	return g_test_run();
}
