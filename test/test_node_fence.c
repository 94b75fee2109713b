/*
 * An owner that was replaced while it was paused or cut off goes on giving orders until an executor
 * rejects its fencing token. An executor that has restarted has no fencing token to compare.
 */
#include "node_sim_faults.h"

#define SEEDS 20
/* Environment variables for more seeds by hand. */
#define FIRST_SEED_VARIABLE "WAXWING_TEST_FIRST"
#define LAST_SEED_VARIABLE  "WAXWING_TEST_LAST"
/* Longer than the lease of the owner's entry. */
#define MIN_AWAY_MS 2000
#define MAX_AWAY_MS 4000
/* How long before the owner's return an executor restarts, at most. */
#define MAX_RESTART_MS 150
#define SHORT_TASK_MS  60
#define MIXED_TASK_MS  1500
#define LONG_TASK_MS   4000

static void freeze(struct cluster_sim *sim, struct sim_host *host, int64_t for_ms)
{
	host->frozen_until_ms = sim_now(sim) + for_ms;
}

/* The host wakes without the store and other nodes, and reaches executors only. */
static void freeze_and_cut(struct cluster_sim *sim, struct sim_host *host, int64_t for_ms)
{
	host->frozen_until_ms = sim_now(sim) + for_ms;
	host->store_unreachable = true;
	host->drops_incoming = true;
}

static void cut(struct cluster_sim *sim, struct sim_host *host, int64_t for_ms)
{
	(void)sim;
	(void)for_ms;
	host->store_unreachable = true;
	host->drops_incoming = true;
}

/* The host does not reach the executors either; its paths to them are back first. */
static void cut_from_all(struct cluster_sim *sim, struct sim_host *host, int64_t for_ms)
{
	cut(sim, host, for_ms);
	for (int i = 0; i < EXECUTORS; i++)
		sim->executors[i].isolated_from[host->index] = true;
}

struct absence {
	const char *path;
	void (*begin)(struct cluster_sim *sim, struct sim_host *host, int64_t for_ms);
	double durable_share;
	double repeated_share;
	uint32_t work_ms;
};

static void restart_random_executor(struct cluster_sim *sim)
{
	struct sim_executor *executor =
		&sim->executors[ZONES * g_rand_int_range(sim->random, 0, EXECUTORS / ZONES)];

	restart_executor(sim, executor);
	put_executor_entry(sim, executor);
}

/*
 * Guards against tasks that start again after their acknowledged end, and against executors over
 * their capacity: an owner that woke gave orders to an executor that had restarted, before it heard
 * of its successor (review/8).
 */
static void test_executor_restarts(gconstpointer data)
{
	const struct absence *absence = data;
	uint32_t first = seed_from_env(FIRST_SEED_VARIABLE, 1);
	uint32_t last = seed_from_env(LAST_SEED_VARIABLE, SEEDS);

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		struct sim_host *away = &sim->hosts[find_owner(sim, 0)];
		int64_t away_ms = g_rand_int_range(sim->random, MIN_AWAY_MS, MAX_AWAY_MS);
		int64_t restart_ms = g_rand_int_range(sim->random, 1, MAX_RESTART_MS);

		g_test_message("seed %u", seed);
		sim->durable_share = absence->durable_share;
		sim->repeated_share = absence->repeated_share;
		sim->max_work_ms = absence->work_ms;
		submit_jobs(sim, 1000);
		absence->begin(sim, away, away_ms);
		submit_jobs(sim, away_ms / 2);
		sim_run(sim, away_ms / 2 - restart_ms);
		restart_random_executor(sim);
		sim_run(sim, restart_ms);
		for (int i = 0; i < EXECUTORS; i++)
			sim->executors[i].isolated_from[away->index] = false;
		sim_run(sim, g_rand_int_range(sim->random, 0, 1000));
		restart_random_executor(sim);
		sim_run(sim, g_rand_int_range(sim->random, 0, 1000));
		away->store_unreachable = false;
		away->drops_incoming = false;
		sim->max_work_ms = SHORT_TASK_MS;
		submit_jobs(sim, 500);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

int main(int argc, char **argv)
{
	static const struct absence absences[] = {
		{ "/node_fence/freeze/repeated", freeze, 1, 1, SHORT_TASK_MS },
		{ "/node_fence/freeze/durable", freeze, 1, 0, LONG_TASK_MS },
		{ "/node_fence/freeze/best_effort", freeze, 0, 0, LONG_TASK_MS },
		{ "/node_fence/freeze_and_cut/repeated", freeze_and_cut, 1, 1, SHORT_TASK_MS },
		{ "/node_fence/freeze_and_cut/durable", freeze_and_cut, 1, 0, LONG_TASK_MS },
		{ "/node_fence/freeze_and_cut/best_effort", freeze_and_cut, 0, 0, LONG_TASK_MS },
		{ "/node_fence/cut/repeated", cut, 1, 1, SHORT_TASK_MS },
		{ "/node_fence/cut/durable", cut, 1, 0, LONG_TASK_MS },
		{ "/node_fence/cut/mixed", cut, 0.5, 0.5, MIXED_TASK_MS },
		{ "/node_fence/cut_from_all/repeated", cut_from_all, 1, 1, SHORT_TASK_MS },
		{ "/node_fence/cut_from_all/durable", cut_from_all, 1, 0, LONG_TASK_MS },
		{ "/node_fence/cut_from_all/mixed", cut_from_all, 0.5, 0.5, MIXED_TASK_MS },
	};

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("WAXWING_TEST_EVENTS"))
		waxwing_event_log_open("test", "test");
	for (size_t i = 0; i < G_N_ELEMENTS(absences); i++)
		g_test_add_data_func(absences[i].path, &absences[i], test_executor_restarts);
	return g_test_run();
}
