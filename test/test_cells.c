/* Invariants while the number of cells changes and issuers send their full state again. */
#include "world.h"

/*
 * Makes every instance request a sync from every other; only the scheduler's request is effective.
 */
static void request_syncs(struct world *world)
{
	for (int from = 0; from < INSTANCES; from++) {
		for (int to = 0; to < INSTANCES; to++) {
			Waxwing__Batch batch = WAXWING__BATCH__INIT;

			batch.from = world->instances[from].incarnation;
			batch.has_want_sync = batch.want_sync = true;
			waxwing_dispatcher_receive_batch(world->instances[to].dispatcher,
							 world->now_ms, &batch);
		}
	}
}

/*
 * A busy answer arrives after a sync was started and before the sync is sent. The task is queued
 * again, at a scheduler that must know its job.
 */
static void test_busy_during_sync(void)
{
	struct world *world = world_new(0);

	world->fail_percent = 0;
	advance_world(world, 1000);
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < UPSTREAMS; i++)
			world->used_slots[i] = SLOTS;
		world->busy = 0;
		for (int i = 0; i < INSTANCES; i++)
			submit_new(world);
		while (!world->busy)
			step(world);
		request_syncs(world);
		step(world);
		for (int i = 0; i < UPSTREAMS; i++)
			world->used_slots[i] = 0;
		advance_world(world, 2000);
	}
	check_invariants(world, 0);
	g_assert_cmpuint(count_answered(world, "complete"), ==, world->next_waiter);
	world_free(world);
}

/*
 * The instances change the number of cells one after the other. Without other faults every job must
 * complete.
 */
static void test_split_no_loss(void)
{
	struct world *world = world_new(0);

	world->fail_percent = 0;
	advance_world(world, 1000);
	for (world->cells = 2; world->cells <= 3; world->cells++) {
		run_with_load(world, 100);
		for (int i = 0; i < INSTANCES; i++) {
			set_settings(world, &world->instances[(i + (int)world->cells) % INSTANCES]);
			run_with_load(world, g_test_rand_int_range(0, 300));
		}
		run_with_load(world, 500);
	}
	advance_world(world, 2 * DEADLINE_MS);
	check_invariants(world, 0);
	g_assert_cmpuint(count_answered(world, "complete"), ==, world->next_waiter);
	world_free(world);
}

/* The number of cells grows under load, while instances crash and batches are lost. */
static void test_split_with_faults(void)
{
	struct world *world = world_new(2);
	uint64_t lost = 0;

	advance_world(world, 1000);
	for (world->cells = 2; world->cells <= 3; world->cells++) {
		int index = g_test_rand_int_range(0, INSTANCES);

		for (int i = 0; i < INSTANCES; i++) {
			set_settings(world, &world->instances[i]);
			run_with_load(world, 100);
		}
		run_with_load(world, 1500);
		lost += count_unanswered(world);
		stop_instance(world, index);
		run_with_load(world, 500);
		start_instance(world, index);
		run_with_load(world, 1500);
	}
	world->loss_percent = 0;
	advance_world(world, 2 * DEADLINE_MS);
	check_invariants(world, lost);
	g_assert_cmpuint(count_answered(world, "complete"), >, count_answered(world, "failed"));
	world_free(world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	waxwing_log_set_level(WAXWING_LOG_ERROR);
	g_test_add_func("/cells/split", test_split_with_faults);
	g_test_add_func("/cells/whole", test_split_no_loss);
	g_test_add_func("/cells/sync_and_busy", test_busy_during_sync);
	return g_test_run();
}
