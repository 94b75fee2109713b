/**
 * Simulation of nodes, executors and the platform's store in virtual time, with clients that
 * resubmit jobs whose outcome is unknown.
 *
 * Tests inject the faults. The simulation checks at all times that no task runs twice at once, that
 * no executor exceeds its capacity, and that no task runs of a job whose only submission was
 * refused.
 *
 * Include in one test file only.
 */
#ifndef WAXWING_TEST_NODE_SIM_H
#define WAXWING_TEST_NODE_SIM_H

#include "node_sim_nodes.h"

static void entry_free(gpointer value)
{
	struct store_entry *entry = value;

	g_free(entry->value);
	g_free(entry);
}

static void history_free(gpointer value)
{
	struct store_event *event = value;

	g_free(event->key);
	g_free(event->value);
	g_free(event);
}

static void put_executor_entry(struct cluster_sim *sim, struct sim_executor *executor)
{
	char key[32];
	char value[64];

	snprintf(key, sizeof(key), "servers/%s", executor->id);
	snprintf(value, sizeof(value), "%s 10.0.0.1:%d %lld", zone_names[executor->zone],
		 1000 + executor->index, (long long)executor->started_ms);
	store_put(sim, key, value, strlen(value), 0);
}

/*
 * Stops the store. Executor entries that expire meanwhile return within two seconds after the store
 * is back.
 */
static G_GNUC_UNUSED void store_fail(struct cluster_sim *sim, int64_t for_ms)
{
	char key[32];

	sim->store_down = true;
	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *executor = &sim->executors[i];

		if (!sim_chance(sim, 0.6) || executor->relist_ms)
			continue;
		snprintf(key, sizeof(key), "servers/%s", executor->id);
		store_remove(sim, key);
		executor->relist_ms =
			sim_now(sim) + for_ms + g_rand_int_range(sim->random, 50, 1950);
	}
}

/*
 * Expires the executor entries of an isolated failure domain. They return within two seconds after
 * @back_ms.
 */
static G_GNUC_UNUSED void expire_zone_entries(struct cluster_sim *sim, int zone, int64_t back_ms)
{
	char key[32];

	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *executor = &sim->executors[i];

		if (executor->zone != zone)
			continue;
		snprintf(key, sizeof(key), "servers/%s", executor->id);
		store_remove(sim, key);
		executor->relist_ms = back_ms + g_rand_int_range(sim->random, 50, 1950);
	}
}

static struct cluster_sim *sim_create(uint32_t seed)
{
	struct cluster_sim *sim = g_new0(struct cluster_sim, 1);

	waxwing_virtual_clock_init(&sim->clock, 10000);
	sim->random = g_rand_new_with_seed(seed);
	sim->max_work_ms = MAX_WORK_MS;
	sim->store_delay_ms = STORE_DELAY_MS;
	sim->client_patience_ms = CLIENT_PATIENCE_MS;
	sim->events = g_sequence_new(g_free);
	sim->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	sim->history = g_ptr_array_new_with_free_func(history_free);
	sim->leases = g_array_new(FALSE, FALSE, sizeof(struct store_lease));
	sim->watchers = g_ptr_array_new();
	sim->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, client_free);
	for (int i = 0; i < EXECUTORS; i++) {
		struct sim_executor *executor = &sim->executors[i];

		executor->index = i;
		executor->zone = i % ZONES;
		snprintf(executor->id, sizeof(executor->id), "x%d", i);
		executor->runs = g_array_new(FALSE, FALSE, sizeof(struct executor_run));
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_run));
		executor->ended_at_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
		executor->pending_holds = g_ptr_array_new();
		executor->speed = i % 3 ? 0.8 : 1.6;
		executor->started_ms = 1;
		executor->clock_rate = i % 2 ? 0.98 : 1;
		executor->clock_offset_ms = g_rand_int_range(sim->random, -5000, 500000);
		put_executor_entry(sim, executor);
	}
	store_put(sim, "op/config", "x", 1, 0);
	for (int i = 0; i < NODES; i++) {
		struct sim_host *host = &sim->hosts[i];

		host->sim = sim;
		host->index = i;
		host->zone = i % ZONES;
		host->store.ops = &fake_store_ops;
		host->executors.ops = &fake_executor_ops;
		host->permits.ops = &fake_permits_ops;
		host->link.ops = &fake_link_ops;
		host->deferred_events = g_ptr_array_new();
		waxwing_virtual_clock_init(&host->day, DAY_CLOCK_START_MS + sim_now(sim));
		snprintf(host->name, sizeof(host->name), "node-%d", i);
		snprintf(host->address, sizeof(host->address), "10.1.0.1:%d", i);
		node_start(sim, i);
	}
	return sim;
}

static void sim_run(struct cluster_sim *sim, int64_t ms)
{
	int64_t end_ms = sim_now(sim) + ms;

	while (sim_now(sim) < end_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);

		while (!g_sequence_iter_is_end(first) &&
		       ((struct sim_event *)g_sequence_get(first))->due_ms <= sim_now(sim)) {
			struct sim_event event = *(struct sim_event *)g_sequence_get(first);

			g_sequence_remove(first);
			event.callback(sim, event.data);
			first = g_sequence_get_begin_iter(sim->events);
		}
		sim->clock.now_ms++;
		for (int i = 0; i < NODES; i++)
			sim->hosts[i].day.now_ms =
				DAY_CLOCK_START_MS + sim_now(sim) + sim->hosts[i].day_offset_ms;
		run_executors(sim);
		if (sim_now(sim) % WAXWING_NODE_TICK_MS == 0) {
			if (!sim->store_down)
				expire_leases(sim);
			answer_watchers(sim);
			run_nodes(sim);
		}
	}
}

static uint32_t sim_count_clients(const struct cluster_sim *sim, enum client_state state)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, sim->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct client_job *)value)->state == state;
	return count;
}

static void kill_all_nodes(struct cluster_sim *sim)
{
	for (int i = 0; i < NODES; i++)
		node_kill(sim, i);
}

/* Lets all pending events complete, then frees the simulation. */
static void sim_destroy(struct cluster_sim *sim)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct client_job *)value)->state = CLIENT_ABANDONED;
	kill_all_nodes(sim);
	sim_run(sim, 40000);
	for (int i = 0; i < EXECUTORS; i++) {
		g_array_free(sim->executors[i].runs, TRUE);
		g_array_free(sim->executors[i].ended, TRUE);
		g_array_free(sim->executors[i].ended_at_ms, TRUE);
		g_ptr_array_free(sim->executors[i].pending_holds, TRUE);
	}
	for (int i = 0; i < NODES; i++)
		g_ptr_array_free(sim->hosts[i].deferred_events, TRUE);
	g_hash_table_destroy(sim->jobs);
	g_hash_table_destroy(sim->entries);
	g_ptr_array_free(sim->history, TRUE);
	g_array_free(sim->leases, TRUE);
	g_ptr_array_free(sim->watchers, TRUE);
	g_sequence_free(sim->events);
	g_rand_free(sim->random);
	g_free(sim);
}

#endif
