/*
 * Under an overload of several times the capacity, issuers refuse most excess jobs without a
 * message to the scheduling instance, and no refused job has run.
 */
#include "counters.h"
#include "world.h"

#define OVERLOAD_MS 15000

/*
 * 230 jobs per second of 3.5 tasks of 100 ms on average, on 16 slots, are five times the
 * capacity. Deadlines vary as in real use.
 */
static void submit_overload(struct world *world)
{
	for (int64_t passed = 0; passed < OVERLOAD_MS; passed += STEP_MS) {
		world->deadline_ms = (uint32_t)g_test_rand_int_range(DEADLINE_MS / 2, DEADLINE_MS);
		if (g_test_rand_int_range(0, 100) < 46)
			submit_new(world);
		step(world);
	}
}

static void check_overload(uint32_t loss_percent)
{
	struct world *world = world_new(loss_percent);
	uint64_t refused_early = waxwing_counters.refused_early;
	uint64_t not_run;

	world->fail_percent = 0;
	advance_world(world, 1000);
	run_with_load(world, 1000);
	submit_overload(world);
	world->loss_percent = 0;
	advance_world(world, DEADLINE_MS + 5000);
	not_run = count_answered(world, "not_run");
	refused_early = waxwing_counters.refused_early - refused_early;
	g_test_message("%u jobs, %" G_GUINT64_FORMAT " complete, %" G_GUINT64_FORMAT
		       " not run, %" G_GUINT64_FORMAT " of them refused early, %" G_GUINT64_FORMAT
		       " offers and %" G_GUINT64_FORMAT " refusals sent",
		       world->ids->len, count_answered(world, "complete"), not_run, refused_early,
		       world->offers, world->refusals);
	g_assert_cmpuint(world->double_starts, ==, 0);
	g_assert_cmpuint(world->double_answers, ==, 0);
	g_assert_cmpuint(world->false_not_run, ==, 0);
	g_assert_cmpuint(g_hash_table_size(world->answers), ==, world->next_waiter);
	g_assert_cmpuint(not_run, >, 500);
	/*
	 * A third of the jobs are submitted to the scheduling instance itself. If issuers did not
	 * know the expected wait, each refusal of the other jobs would take a message.
	 */
	g_assert_cmpuint(4 * world->refusals, <, not_run);
	world_free(world);
}

static void test_overload(void)
{
	check_overload(0);
}

static void test_overload_lossy(void)
{
	check_overload(5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	waxwing_log_set_level(WAXWING_LOG_ERROR);
	g_test_add_func("/refusal/crest", test_overload);
	g_test_add_func("/refusal/crest_lossy", test_overload_lossy);
	return g_test_run();
}
