/**
 * Nodes, executors and the platform's store in virtual time, with clients that send again what they
 * do not know the end of. Faults are made by the test; the world checks the promises as it goes:
 * no task runs twice at once, no executor is over its capacity, nothing runs of a job whose every
 * submission was refused.
 *
 * For a test file that includes it once.
 */
#ifndef WAXWING_TEST_NODE_WORLD_H
#define WAXWING_TEST_NODE_WORLD_H

#include "node_world_nodes.h"

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

static void list_executor(struct world *world, struct world_executor *executor)
{
	char key[32];
	char value[64];

	snprintf(key, sizeof(key), "servers/%s", executor->id);
	snprintf(value, sizeof(value), "%s 10.0.0.1:%d %lld", zone_names[executor->zone],
		 1000 + executor->index, (long long)executor->born_ms);
	store_put(world, key, value, strlen(value), 0);
}

/* Entries that lapse while the store is down are back within two seconds of its return. */
static void store_fails(struct world *world, int64_t for_ms)
{
	char key[32];

	world->store_down = true;
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		if (!world_chance(world, 0.6) || executor->relist_ms)
			continue;
		snprintf(key, sizeof(key), "servers/%s", executor->id);
		store_remove(world, key);
		executor->relist_ms =
			world_now(world) + for_ms + g_rand_int_range(world->random, 50, 1950);
	}
}

/* What is cut off for long loses its entries; they are back within two seconds of the cut's end. */
static void zone_lapses(struct world *world, int zone, int64_t back_ms)
{
	char key[32];

	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		if (executor->zone != zone)
			continue;
		snprintf(key, sizeof(key), "servers/%s", executor->id);
		store_remove(world, key);
		executor->relist_ms = back_ms + g_rand_int_range(world->random, 50, 1950);
	}
}

static struct world *world_create(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	waxwing_virtual_clock_init(&world->clock, 10000);
	world->random = g_rand_new_with_seed(seed);
	world->work_most_ms = WORK_MOST_MS;
	world->events = g_sequence_new(g_free);
	world->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	world->history = g_ptr_array_new_with_free_func(history_free);
	world->leases = g_array_new(FALSE, FALSE, sizeof(struct store_lease));
	world->watchers = g_ptr_array_new();
	world->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		executor->index = i;
		executor->zone = i % ZONES;
		snprintf(executor->id, sizeof(executor->id), "x%d", i);
		executor->runs = g_array_new(FALSE, FALSE, sizeof(struct executor_run));
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_row));
		executor->ended_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
		executor->holds = g_ptr_array_new();
		executor->speed = i % 3 ? 0.8 : 1.6;
		executor->born_ms = 1;
		executor->pace = i % 2 ? 0.98 : 1;
		executor->offset_ms = g_rand_int_range(world->random, -5000, 500000);
		list_executor(world, executor);
	}
	store_put(world, "op/config", "x", 1, 0);
	for (int i = 0; i < NODES; i++) {
		struct world_node *at = &world->nodes[i];

		at->world = world;
		at->index = i;
		at->zone = i % ZONES;
		at->store.ops = &fake_store_ops;
		at->executors.ops = &fake_executor_ops;
		at->permits.ops = &fake_permits_ops;
		at->link.ops = &fake_link_ops;
		at->held = g_ptr_array_new();
		waxwing_virtual_clock_init(&at->day, DAY_MS + world_now(world));
		snprintf(at->name, sizeof(at->name), "node-%d", i);
		snprintf(at->address, sizeof(at->address), "10.1.0.1:%d", i);
		node_start(world, i);
	}
	return world;
}

static void world_run(struct world *world, int64_t ms)
{
	int64_t end_ms = world_now(world) + ms;

	while (world_now(world) < end_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);

		while (!g_sequence_iter_is_end(first) &&
		       ((struct event *)g_sequence_get(first))->due_ms <= world_now(world)) {
			struct event event = *(struct event *)g_sequence_get(first);

			g_sequence_remove(first);
			event.happen(world, event.data);
			first = g_sequence_get_begin_iter(world->events);
		}
		world->clock.now_ms++;
		for (int i = 0; i < NODES; i++)
			world->nodes[i].day.now_ms =
				DAY_MS + world_now(world) + world->nodes[i].day_off_ms;
		run_executors(world);
		if (world_now(world) % WAXWING_NODE_TICK_MS == 0) {
			if (!world->store_down)
				lapse_leases(world);
			wake_watchers(world);
			run_nodes(world);
		}
	}
}

static uint32_t world_count(const struct world *world, enum client_state state)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct client_job *)value)->state == state;
	return count;
}

static void kill_all(struct world *world)
{
	for (int i = 0; i < NODES; i++)
		node_kill(world, i);
}

/* Lets everything that is under way come to nothing, then frees it. */
static void world_destroy(struct world *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct client_job *)value)->state = CLIENT_LEFT;
	kill_all(world);
	world_run(world, 40000);
	for (int i = 0; i < EXECUTORS; i++) {
		g_array_free(world->executors[i].runs, TRUE);
		g_array_free(world->executors[i].ended, TRUE);
		g_array_free(world->executors[i].ended_ms, TRUE);
		g_ptr_array_free(world->executors[i].holds, TRUE);
	}
	for (int i = 0; i < NODES; i++)
		g_ptr_array_free(world->nodes[i].held, TRUE);
	g_hash_table_destroy(world->jobs);
	g_hash_table_destroy(world->entries);
	g_ptr_array_free(world->history, TRUE);
	g_array_free(world->leases, TRUE);
	g_ptr_array_free(world->watchers, TRUE);
	g_sequence_free(world->events);
	g_rand_free(world->random);
	g_free(world);
}

#endif
