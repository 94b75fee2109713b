/*
 * Tests of complete nodes: calls to executors whose answers are lost, which arrive late, or whose
 * connection is closed.
 */
#include "node_sim_faults.h"

#define SEEDS 12
/* Time in which the owners learn how soon executors answer. */
#define LEARNING_MS 8000
#define FAULTS_MS   6000
/* Longest work of tasks that may end before a repeated order arrives. */
#define SHORT_WORK_MS 60

/* Returns the sum of a metric over all nodes and cells. */
static uint64_t sum_metric(struct cluster_sim *sim, const char *name)
{
	char *start = g_strdup_printf("%s{", name);
	uint64_t sum = 0;

	for (int i = 0; i < NODES; i++) {
		char *text = sim->hosts[i].node ? waxwing_node_metrics(sim->hosts[i].node) : NULL;
		char **lines = g_strsplit(text ? text : "", "\n", -1);

		for (char **line = lines; *line; line++)
			if (g_str_has_prefix(*line, start))
				sum += g_ascii_strtoull(strrchr(*line, ' '), NULL, 10);
		g_strfreev(lines);
		g_free(text);
	}
	g_free(start);
	return sum;
}

/*
 * Guards against tasks that run twice because the list of a second hold, or of one that was
 * overtaken, was taken for the present state. The executors check each start.
 */
static void test_lost(gconstpointer durable)
{
	uint32_t first = seed_from_env("WAXWING_TEST_FIRST", 1);
	uint32_t last = seed_from_env("WAXWING_TEST_LAST", SEEDS);
	uint64_t hedged = 0;
	uint64_t confirmed = 0;

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);

		g_test_message("seed %u", seed);
		sim->durable_share = durable ? 0.5 : 0;
		submit_jobs(sim, LEARNING_MS);
		g_assert_cmpuint(sum_metric(sim, "waxwing_cell_holds_hedged_total"), ==, 0);
		sim->lost_answer_share = 0.06;
		sim->late_order_share = 0.02;
		sim->delayed_order_share = 0.02;
		sim->slow_answer_share = 0.1;
		submit_jobs(sim, FAULTS_MS);
		sim->lost_answer_share = 0;
		sim->late_order_share = 0;
		sim->delayed_order_share = 0;
		sim->slow_answer_share = 0;
		hedged += sum_metric(sim, "waxwing_cell_holds_hedged_total");
		confirmed += sum_metric(sim, "waxwing_cell_starts_confirmed_total");
		assert_all_answered(sim);
		g_test_message("completed: %.3f", completed_share(sim));
		sim_destroy(sim);
	}
	g_test_message("hedged: %llu, confirmed: %llu", (unsigned long long)hedged,
		       (unsigned long long)confirmed);
	g_assert_cmpuint(hedged, >, 0);
	g_assert_cmpuint(confirmed, >, 0);
}

/*
 * Guards against a task that runs twice because its start order was carried out twice, and the second
 * answer was taken for the first. The executors check each start.
 */
static void test_closed(gconstpointer durable)
{
	uint32_t first = seed_from_env("WAXWING_TEST_FIRST", 1);
	uint32_t last = seed_from_env("WAXWING_TEST_LAST", SEEDS);

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);

		g_test_message("seed %u", seed);
		sim->durable_share = durable ? 0.5 : 0;
		sim->max_work_ms = SHORT_WORK_MS;
		submit_jobs(sim, LEARNING_MS);
		g_assert_cmpuint(sum_metric(sim, "waxwing_cell_starts_resent_total"), ==, 0);
		sim->closed_call_share = 0.1;
		sim->refused_start_share = 0.03;
		sim->lost_answer_share = 0.02;
		submit_jobs(sim, FAULTS_MS);
		sim->closed_call_share = 0;
		sim->refused_start_share = 0;
		sim->lost_answer_share = 0;
		g_assert_cmpuint(sum_metric(sim, "waxwing_cell_starts_resent_total"), >, 0);
		assert_all_answered(sim);
		g_test_message("completed: %.3f", completed_share(sim));
		sim_destroy(sim);
	}
}

/* Connections that are closed while idle neither cost a job nor put an executor out of use. */
static void test_closed_only(void)
{
	struct cluster_sim *sim = create_settled_sim(1);

	sim->durable_share = 0.5;
	sim->closed_call_share = 0.02;
	submit_jobs(sim, FAULTS_MS);
	sim->closed_call_share = 0;
	assert_all_answered(sim);
	g_assert_cmpfloat(completed_share(sim), ==, 1);
	sim_destroy(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/node_lost_answers/best_effort", NULL, test_lost);
	g_test_add_data_func("/node_lost_answers/durable", "durable", test_lost);
	g_test_add_data_func("/node_closed_connections/best_effort", NULL, test_closed);
	g_test_add_data_func("/node_closed_connections/durable", "durable", test_closed);
	g_test_add_func("/node_closed_connections/alone", test_closed_only);
	return g_test_run();
}
