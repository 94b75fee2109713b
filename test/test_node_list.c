/*
 * Who reads the executors' entries: their changes are the largest part of what the store sends, so
 * only a cell's owner and the node that stands by to replace it may follow them.
 */
#define NODES 12
#include "event_log.h"
#include "node_sim.h"

#define SETTLE_MS	    6000
#define ARRIVAL_INTERVAL_MS 50
#define ANSWERS_MS	    25000
/* Followers of the entries call for them at least this often. */
#define FOLLOW_MS 3000
/*
 * The lease of the owner's entry, the claim's delay, and a reading of the entries by a node that
 * did not stand by.
 */
#define TAKEOVER_MS 1600
/* After this, an executor that left the list is not used: its grace and its runs are over. */
#define LEAVE_MS 3500
/* Shorter than the lease of an owner's entry. */
#define RESTART_MS 300

static struct cluster_sim *create_settled(uint32_t seed)
{
	struct cluster_sim *sim = sim_create(seed);

	waxwing_event_log_set_clock(&sim->clock.base);
	sim_run(sim, SETTLE_MS);
	return sim;
}

static void submit_jobs(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += ARRIVAL_INTERVAL_MS) {
		client_create(sim);
		sim_run(sim, ARRIVAL_INTERVAL_MS);
	}
}

static void assert_all_served(struct cluster_sim *sim)
{
	sim_run(sim, ANSWERS_MS);
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_WAITING), ==, 0);
	g_assert_cmpstr(sim->first_violation, ==, "");
	g_assert_cmpfloat((double)sim_count_clients(sim, CLIENT_COMPLETED), >,
			  0.95 * g_hash_table_size(sim->jobs));
}

static bool follows_entries(const struct cluster_sim *sim, int node)
{
	return sim->hosts[node].node &&
	       sim->clock.now_ms - sim->hosts[node].list_read_ms < FOLLOW_MS;
}

static uint32_t count_followers(const struct cluster_sim *sim, int zone)
{
	uint32_t count = 0;

	for (int i = 0; i < NODES; i++)
		count += sim->hosts[i].zone == zone && follows_entries(sim, i);
	return count;
}

static bool cell_has_owner(struct cluster_sim *sim, int zone)
{
	char key[16];

	snprintf(key, sizeof(key), "cells/%s", zone_names[zone]);
	return g_hash_table_contains(sim->entries, key);
}

/* Kills the nodes of failure domain 0 that follow the entries. */
static void kill_followers(struct cluster_sim *sim)
{
	for (int i = 0; i < NODES; i++)
		if (sim->hosts[i].zone == 0 && follows_entries(sim, i))
			node_kill(sim, i);
}

/* In each of the three domains of four nodes, the owner and one node that stands by. */
static void test_followers(void)
{
	struct cluster_sim *sim = create_settled(1);

	submit_jobs(sim, 2 * FOLLOW_MS);
	for (int zone = 0; zone < ZONES; zone++)
		g_assert_cmpuint(count_followers(sim, zone), ==, 2);
	assert_all_served(sim);
	sim_destroy(sim);
}

/* The owner and the node that stands by are lost at the same moment. */
static void test_both_lost(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled(seed);

		submit_jobs(sim, 2 * FOLLOW_MS);
		kill_followers(sim);
		submit_jobs(sim, TAKEOVER_MS);
		g_assert_true(cell_has_owner(sim, 0));
		submit_jobs(sim, 2 * FOLLOW_MS);
		g_assert_cmpuint(count_followers(sim, 0), ==, 2);
		assert_all_served(sim);
		sim_destroy(sim);
	}
}

/* Asserts that nothing runs on the executor at any time while jobs are submitted for @ms. */
static void assert_unused(struct cluster_sim *sim, const struct sim_executor *executor, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += ARRIVAL_INTERVAL_MS) {
		submit_jobs(sim, ARRIVAL_INTERVAL_MS);
		g_assert_cmpuint(executor->runs->len, ==, 0);
	}
}

/*
 * An executor leaves the list, though it still answers. Neither a node that read the list before
 * and takes the cell over later, nor the owner's new process, uses it again.
 */
static void test_left_executor(gconstpointer all_restart)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled(seed);
		struct sim_executor *left = &sim->executors[0]; /* in failure domain 0 */
		char key[32];

		submit_jobs(sim, FOLLOW_MS);
		snprintf(key, sizeof(key), "servers/%s", left->id);
		store_remove(sim, key);
		submit_jobs(sim, LEAVE_MS);
		if (all_restart) {
			for (int i = 0; i < NODES; i++)
				node_kill(sim, i);
			sim_run(sim, RESTART_MS);
			for (int i = 0; i < NODES; i++)
				node_start(sim, i);
		} else {
			kill_followers(sim);
		}
		assert_unused(sim, left, TAKEOVER_MS + 2 * FOLLOW_MS);
		assert_all_served(sim);
		sim_destroy(sim);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_list/followers", test_followers);
	g_test_add_func("/node_list/both_lost", test_both_lost);
	g_test_add_data_func("/node_list/left_executor/takeover", NULL, test_left_executor);
	g_test_add_data_func("/node_list/left_executor/restart", GINT_TO_POINTER(1),
			     test_left_executor);
	return g_test_run();
}
