/** Random faults for tests with the simulation of nodes. Include in place of node_sim_helpers.h. */
#ifndef WAXWING_TEST_NODE_SIM_FAULTS_H
#define WAXWING_TEST_NODE_SIM_FAULTS_H

#include "node_sim_helpers.h"

#define FAULT_DURATION_MS 700
/* One-way delay of the store's calls while it is slow. */
#define SLOW_STORE_DELAY_MS 300

enum sim_fault {
	FAULT_KILL,
	FAULT_FREEZE,
	FAULT_STORE_UNREACHABLE,
	FAULT_ZONE_ISOLATED,
	FAULT_STORE_DOWN,
	FAULT_STORE_UNANSWERED,
	FAULT_LATE_ORDERS,
	FAULT_EXECUTOR_ISOLATED,
	FAULT_EXECUTOR_RESTART,
	FAULT_OWNER_REMOVED, /* the entry of a cell's owner, although no node has requested it */
	FAULT_DELAYED_ORDERS,
	FAULT_LOST_MESSAGES,
	FAULT_STORE_SLOW,
	FAULT_PATHS_CUT, /* from some nodes to an executor */
	FAULT_EXECUTOR_ONE_WAY,
	FAULT_LOST_ANSWERS,
	FAULT_LEAVE, /* a node shuts down gracefully and starts again */
	FAULT_HISTORY_LOST,
	FAULT_STORE_ONE_WAY, /* a node's requests to the store are lost, but not the answers */
	FAULT_KINDS,
};

static G_GNUC_UNUSED uint32_t seed_from_env(const char *variable, uint32_t default_seed)
{
	const char *text = g_getenv(variable);

	return text ? (uint32_t)atoi(text) : default_seed;
}

static void remove_owner_entry(struct cluster_sim *sim, int zone)
{
	char key[16];

	if (find_owner(sim, zone) < 0)
		return;
	snprintf(key, sizeof(key), "cells/%s", zone_names[zone]);
	store_remove(sim, key);
}

struct leaving_process {
	int host_index;
	uint64_t incarnation;
};

static void node_left(struct cluster_sim *sim, void *data)
{
	struct leaving_process *leaving = data;
	int index = leaving->host_index;

	if (find_live_host(sim, index, leaving->incarnation)) {
		node_kill(sim, index);
		node_start(sim, index);
	}
	g_free(leaving);
}

/* Shuts a node down gracefully. Its process ends, and another starts, after its time to leave. */
static void node_leave(struct cluster_sim *sim, int index)
{
	struct sim_host *host = &sim->hosts[index];
	struct leaving_process *leaving;

	if (!host->node || host->leaving || host->frozen_until_ms)
		return;
	leaving = g_new0(struct leaving_process, 1);
	leaving->host_index = index;
	leaving->incarnation = host->incarnation;
	host->leaving = true;
	waxwing_node_leave(host->node, LEAVE_TIME_MS);
	waxwing_node_process_events(host->node);
	sim_schedule(sim, LEAVE_TIME_MS, node_left, leaving);
}

static G_GNUC_UNUSED void inject_random_fault(struct cluster_sim *sim, const enum sim_fault *kinds,
					      int kind_count)
{
	int node = g_rand_int_range(sim->random, 0, NODES);
	int executor = g_rand_int_range(sim->random, 0, EXECUTORS);
	int zone = g_rand_int_range(sim->random, 0, ZONES);

	switch (kinds[g_rand_int_range(sim->random, 0, kind_count)]) {
	case FAULT_KILL:
		node_kill(sim, node);
		break;
	case FAULT_FREEZE:
		if (sim->hosts[node].node && !sim->hosts[node].frozen_until_ms)
			sim->hosts[node].frozen_until_ms =
				sim_now(sim) + g_rand_int_range(sim->random, 100, 4000);
		break;
	case FAULT_STORE_UNREACHABLE:
		sim->hosts[node].store_unreachable = true;
		break;
	case FAULT_ZONE_ISOLATED:
		sim->zone_isolated[zone] = true;
		break;
	case FAULT_STORE_DOWN:
		store_fail(sim, FAULT_DURATION_MS);
		break;
	case FAULT_STORE_UNANSWERED:
		sim->store_unanswered_share = 0.4;
		break;
	case FAULT_LATE_ORDERS:
		sim->late_order_share = 0.05;
		break;
	case FAULT_EXECUTOR_ISOLATED:
		sim->executors[executor].isolated = true;
		break;
	case FAULT_EXECUTOR_RESTART:
		restart_executor(sim, &sim->executors[executor]);
		put_executor_entry(sim, &sim->executors[executor]);
		break;
	case FAULT_OWNER_REMOVED:
		remove_owner_entry(sim, zone);
		break;
	case FAULT_DELAYED_ORDERS:
		sim->delayed_order_share = 0.1;
		break;
	case FAULT_LOST_MESSAGES:
		sim->lost_message_share = 0.05;
		break;
	case FAULT_STORE_SLOW:
		sim->store_delay_ms = SLOW_STORE_DELAY_MS;
		break;
	case FAULT_PATHS_CUT:
		for (int i = 0; i < NODES; i++)
			sim->executors[executor].isolated_from[i] = sim_chance(sim, 0.5);
		break;
	case FAULT_EXECUTOR_ONE_WAY:
		sim->executors[executor].loses_answers = true;
		break;
	case FAULT_LOST_ANSWERS:
		sim->lost_answer_share = 0.1;
		break;
	case FAULT_LEAVE:
		node_leave(sim, node);
		break;
	case FAULT_HISTORY_LOST:
		store_forget_history(sim);
		break;
	case FAULT_STORE_ONE_WAY:
		sim->hosts[node].store_requests_lost = true;
		break;
	case FAULT_KINDS:
		g_assert_not_reached();
	}
}

static void repair_paths(struct cluster_sim *sim, struct sim_executor *executor, double share)
{
	if (executor->loses_answers && sim_chance(sim, share))
		executor->loses_answers = false;
	for (int i = 0; i < NODES; i++)
		if (executor->isolated_from[i] && sim_chance(sim, share))
			executor->isolated_from[i] = false;
}

/* Repairs each fault with the probability @share. */
static G_GNUC_UNUSED void repair_faults(struct cluster_sim *sim, double share)
{
	for (int i = 0; i < NODES; i++) {
		struct sim_host *host = &sim->hosts[i];

		if (!host->node && sim_chance(sim, share))
			node_start(sim, i);
		if (sim_chance(sim, share))
			host->store_unreachable = false;
		if (host->store_requests_lost && sim_chance(sim, share))
			host->store_requests_lost = false;
	}
	for (int i = 0; i < EXECUTORS; i++)
		if (sim_chance(sim, share))
			sim->executors[i].isolated = false;
	for (int i = 0; i < ZONES; i++)
		if (sim_chance(sim, share))
			sim->zone_isolated[i] = false;
	sim->store_down = false;
	if (sim_chance(sim, share))
		sim->store_unanswered_share = 0;
	if (sim_chance(sim, share))
		sim->late_order_share = 0;
	/* no numbers are drawn for faults that a test does not have, so that its seeds still hold */
	if (sim->delayed_order_share > 0 && sim_chance(sim, share))
		sim->delayed_order_share = 0;
	if (sim->lost_message_share > 0 && sim_chance(sim, share))
		sim->lost_message_share = 0;
	if (sim->lost_answer_share > 0 && sim_chance(sim, share))
		sim->lost_answer_share = 0;
	for (int i = 0; i < EXECUTORS; i++)
		repair_paths(sim, &sim->executors[i], share);
	if (sim->store_delay_ms > STORE_DELAY_MS && sim_chance(sim, share))
		sim->store_delay_ms = STORE_DELAY_MS;
}

#endif
