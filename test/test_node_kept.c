/*
 * Durable jobs with steps, failing tasks, cancellations and set times under few kinds of fault at a
 * time, which then come in series and overlap: what must last is kept, whatever the order of events.
 */
#include "node_sim_faults.h"

#define SEEDS 6
/*
 * Environment variables for more seeds and other faults by hand. The latter is a list of numbers of
 * enum sim_fault, separated by commas.
 */
#define FIRST_SEED_VARIABLE "WAXWING_TEST_FIRST"
#define LAST_SEED_VARIABLE  "WAXWING_TEST_LAST"
#define FAULTS_VARIABLE	    "WAXWING_TEST_FAULTS"
#define FAULTS_MS	    15000
#define REPAIR_SHARE	    0.35
#define KEPT_WORK_MS	    300

static struct cluster_sim *create_kept_sim(uint32_t seed)
{
	struct cluster_sim *sim = create_settled_sim(seed);

	sim->durable_share = 0.8;
	sim->repeated_share = seed % 2 ? 0.2 : 0;
	sim->step_share = 0.4;
	sim->cancel_share = 0.15;
	sim->task_failure_share = 0.05;
	sim->max_work_ms = KEPT_WORK_MS;
	return sim;
}

static void run_faults(const enum sim_fault *kinds, int kind_count)
{
	uint32_t first = seed_from_env(FIRST_SEED_VARIABLE, 1);
	uint32_t last = seed_from_env(LAST_SEED_VARIABLE, SEEDS);

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_kept_sim(seed);

		g_test_message("seed %u", seed);
		for (int64_t ms = 0; ms < FAULTS_MS; ms += FAULT_DURATION_MS) {
			inject_random_fault(sim, kinds, kind_count);
			submit_jobs(sim, FAULT_DURATION_MS);
			repair_faults(sim, REPAIR_SHARE);
		}
		repair_faults(sim, 1);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

struct fault_set {
	const char *path;
	enum sim_fault kinds[4];
	int count;
};

static void test_fault_set(gconstpointer data)
{
	const struct fault_set *set = data;

	run_faults(set->kinds, set->count);
}

static void test_chosen_faults(void)
{
	const char *text = g_getenv(FAULTS_VARIABLE);
	char **numbers = g_strsplit(text ? text : "", ",", 0);
	guint count = g_strv_length(numbers);
	enum sim_fault *kinds = g_new0(enum sim_fault, count + 1);

	for (guint i = 0; i < count; i++) {
		kinds[i] = (enum sim_fault)atoi(numbers[i]);
		g_assert_cmpint(kinds[i], <, FAULT_KINDS);
	}
	if (count)
		run_faults(kinds, (int)count);
	else
		g_test_skip("no faults are chosen by " FAULTS_VARIABLE);
	g_free(kinds);
	g_strfreev(numbers);
}

int main(int argc, char **argv)
{
	static const struct fault_set sets[] = {
		{ "/node_kept/zone_isolated", { FAULT_ZONE_ISOLATED }, 1 },
		{ "/node_kept/leave", { FAULT_LEAVE }, 1 },
		{ "/node_kept/leave_store_down", { FAULT_LEAVE, FAULT_STORE_DOWN }, 2 },
		{ "/node_kept/leave_store_unreachable",
		  { FAULT_LEAVE, FAULT_STORE_UNREACHABLE },
		  2 },
		{ "/node_kept/leave_zone_isolated", { FAULT_LEAVE, FAULT_ZONE_ISOLATED }, 2 },
		{ "/node_kept/leave_unanswered", { FAULT_LEAVE, FAULT_STORE_UNANSWERED }, 2 },
		{ "/node_kept/freeze_store_unreachable",
		  { FAULT_FREEZE, FAULT_STORE_UNREACHABLE },
		  2 },
		{ "/node_kept/freeze_restart", { FAULT_FREEZE, FAULT_EXECUTOR_RESTART }, 2 },
		{ "/node_kept/one_way_kill", { FAULT_STORE_ONE_WAY, FAULT_KILL }, 2 },
		{ "/node_kept/history_lost",
		  { FAULT_HISTORY_LOST, FAULT_STORE_UNREACHABLE, FAULT_KILL, FAULT_LEAVE },
		  4 },
		{ "/node_kept/delayed_slow", { FAULT_DELAYED_ORDERS, FAULT_STORE_SLOW }, 2 },
	};

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("WAXWING_TEST_EVENTS"))
		waxwing_event_log_open("test", "test");
	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		g_test_add_data_func(sets[i].path, &sets[i], test_fault_set);
	g_test_add_func("/node_kept/chosen", test_chosen_faults);
	return g_test_run();
}
