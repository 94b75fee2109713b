/* The target for crests: a plan that knows all jobs and run times in advance. */
#include "crest_sim.h"

#define SEEDS 3
/* What must end in time, as a share of the plan's worth (issue 20). */
#define MIN_RATIO 0.9

static void test_target(gconstpointer load_times_ten)
{
	double load = GPOINTER_TO_INT(load_times_ten) / 10.0;
	double served = 0;
	double possible = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		guint first;
		struct crest_sim *sim = run_crest(seed, load, &first);

		served += served_worth(sim, first);
		possible += planned_worth(sim, first);
		crest_destroy(sim);
	}
	g_test_message("load %.1f: worth in time over the plan's %.3f", load, served / possible);
	g_assert_cmpfloat(served / possible, >=, MIN_RATIO);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/crest_targets/two_times", GINT_TO_POINTER(20), test_target);
	g_test_add_data_func("/crest_targets/three_times", GINT_TO_POINTER(30), test_target);
	g_test_add_data_func("/crest_targets/six_times", GINT_TO_POINTER(60), test_target);
	return g_test_run();
}
