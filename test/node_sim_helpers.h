/** Common steps of tests with the simulation of nodes. Include in place of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_HELPERS_H
#define WAXWING_TEST_NODE_SIM_HELPERS_H

#include "event_log.h"
#include "node_sim.h"

/* Time allowed after the last fault for every client to get a final answer. */
#define MAX_SETTLE_MS	    25000
#define ARRIVAL_INTERVAL_MS 25
#define STARTUP_MS	    3000
/* The platform's grace, less the time in which callers that still wait are answered. */
#define LEAVE_TIME_MS 5400

static G_GNUC_UNUSED void assert_no_violations(const struct cluster_sim *sim)
{
	if (sim->violations)
		g_test_message("%u violations, first: %s", sim->violations, sim->first_violation);
	g_assert_cmpstr(sim->first_violation, ==, "");
}

/* Submits jobs for @ms. */
static G_GNUC_UNUSED void submit_jobs(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += ARRIVAL_INTERVAL_MS) {
		client_create(sim);
		sim_run(sim, ARRIVAL_INTERVAL_MS);
	}
}

static G_GNUC_UNUSED void assert_all_answered(struct cluster_sim *sim)
{
	sim_run(sim, MAX_SETTLE_MS);
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_WAITING), ==, 0);
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_STORED), ==, 0);
	for (int i = 0; i < EXECUTORS; i++)
		g_assert_cmpuint(sim->executors[i].runs->len, ==, 0);
	assert_no_violations(sim);
}

static G_GNUC_UNUSED double completed_share(const struct cluster_sim *sim)
{
	return (double)sim_count_clients(sim, CLIENT_COMPLETED) /
	       (double)g_hash_table_size(sim->jobs);
}

static G_GNUC_UNUSED struct cluster_sim *create_settled_sim(uint32_t seed)
{
	struct cluster_sim *sim = sim_create(seed);

	waxwing_event_log_set_clock(&sim->clock.base);
	sim_run(sim, STARTUP_MS);
	return sim;
}

/* Returns the node that owns a failure domain's cell, by the store's entry; -1: none. */
static G_GNUC_UNUSED int find_owner(struct cluster_sim *sim, int zone)
{
	char key[16];
	struct store_entry *entry;
	Waxwing__CellOwner *owner;
	int index;

	snprintf(key, sizeof(key), "cells/%s", zone_names[zone]);
	entry = g_hash_table_lookup(sim->entries, key);
	if (!entry)
		return -1;
	owner = waxwing__cell_owner__unpack(NULL, entry->len, (uint8_t *)entry->value);
	index = atoi(owner->node + strlen("node-"));
	waxwing__cell_owner__free_unpacked(owner, NULL);
	return index;
}

static G_GNUC_UNUSED uint64_t store_revision(struct cluster_sim *sim, const char *key)
{
	struct store_entry *entry = g_hash_table_lookup(sim->entries, key);

	return entry ? entry->revision : 0;
}

/* Kills all nodes at once and starts them again after @ms. */
static G_GNUC_UNUSED void restart_all_nodes(struct cluster_sim *sim, int64_t ms)
{
	kill_all_nodes(sim);
	sim_run(sim, ms);
	for (int i = 0; i < NODES; i++)
		node_start(sim, i);
}

#endif
