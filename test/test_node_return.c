/*
 * An owner comes back to its cell after another node owned it for a while: what it remembers of the
 * cell does not hold any more.
 */
#include "node_sim_faults.h"

#define SEEDS 20
/* Environment variables for more seeds by hand. */
#define FIRST_SEED_VARIABLE "WAXWING_TEST_FIRST"
#define LAST_SEED_VARIABLE  "WAXWING_TEST_LAST"
/* Until the lease of a lost owner's entry has ended and another node has claimed the cell. */
#define MAX_TAKEOVER_MS 2500
/* Less than nodes of other failure domains wait before they claim the cell. */
#define MAX_VACANT_MS	     4000
#define OTHER_NODES_LATER_MS 1500
#define MAX_FREEZE_MS	     6000
#define SHORT_TASK_MS	     30
#define LONG_TASK_MS	     3000
#define VISIBLE_AFTER_MS     3000

/* The watch that waits at the store still tells the host that its own entry was removed. */
static void lose_requests(struct cluster_sim *sim, struct sim_host *host)
{
	while (sim_now(sim) - host->owners_read_ms != 2 * STORE_DELAY_MS)
		sim_run(sim, 1);
	host->store_requests_lost = true;
	host->drops_incoming = true;
}

static void cut_off(struct cluster_sim *sim, struct sim_host *host)
{
	(void)sim;
	host->store_unreachable = true;
	host->drops_incoming = true;
}

static void freeze(struct cluster_sim *sim, struct sim_host *host)
{
	host->frozen_until_ms = sim_now(sim) + MAX_FREEZE_MS;
}

static void reconnect(struct cluster_sim *sim, struct sim_host *host)
{
	(void)sim;
	host->store_requests_lost = false;
	host->store_unreachable = false;
	host->drops_incoming = false;
}

/* Other nodes, which would tell it of the owner in between, reach it later. */
static void reconnect_to_store(struct cluster_sim *sim, struct sim_host *host)
{
	host->store_requests_lost = false;
	host->store_unreachable = false;
	sim_run(sim, OTHER_NODES_LATER_MS);
	host->drops_incoming = false;
}

static void reconnect_without_history(struct cluster_sim *sim, struct sim_host *host)
{
	store_forget_history(sim);
	reconnect(sim, host);
}

/* The store is down as the former owner reaches it again, and loses its history. */
static void reconnect_after_outage(struct cluster_sim *sim, struct sim_host *host)
{
	store_fail(sim, 500);
	reconnect(sim, host);
	sim_run(sim, 500);
	store_forget_history(sim);
	sim->store_down = false;
}

static void wake(struct cluster_sim *sim, struct sim_host *host)
{
	host->frozen_until_ms = sim_now(sim);
}

static void wake_without_history(struct cluster_sim *sim, struct sim_host *host)
{
	store_forget_history(sim);
	wake(sim, host);
}

struct absence {
	const char *path;
	void (*begin)(struct cluster_sim *sim, struct sim_host *host);
	void (*end)(struct cluster_sim *sim, struct sim_host *host);
};

static bool await_owner(struct cluster_sim *sim, int owner, int64_t timeout_ms)
{
	int64_t end_ms = sim_now(sim) + timeout_ms;

	while (sim_now(sim) < end_ms && find_owner(sim, 0) != owner)
		sim_run(sim, 1);
	return find_owner(sim, 0) == owner;
}

/* The owner in between accepts jobs, of which some end, and is lost. */
static void run_as_owner(struct cluster_sim *sim, int owner)
{
	sim->max_work_ms = SHORT_TASK_MS;
	submit_jobs(sim, 300);
	sim->max_work_ms = LONG_TASK_MS;
	submit_jobs(sim, 300);
	sim->max_work_ms = MAX_WORK_MS;
	node_kill(sim, owner);
}

/*
 * Guards against accepted jobs that are answered "no such job", or run again after they ended: an
 * owner that was away claimed its cell again and went on with its state from before, although
 * another node had owned the cell and accepted jobs in between (review/6). Also guards against a
 * cell that stays without an owner: the owner in between was known by other nodes' reports only, and
 * its entry was gone when the store had dropped its history.
 */
static void test_owner_returns(gconstpointer data)
{
	const struct absence *absence = data;
	uint32_t first = seed_from_env(FIRST_SEED_VARIABLE, 1);
	uint32_t last = seed_from_env(LAST_SEED_VARIABLE, SEEDS);

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		int away = find_owner(sim, 0);
		int between = (away + ZONES) % NODES; /* in the same failure domain */

		g_test_message("seed %u", seed);
		sim->durable_share = seed % 2 ? 1 : 0.5;
		/* the owner calls idle executors each 5 s, and again only after its return */
		sim_run(sim, g_rand_int_range(sim->random, 2400, 2800));
		sim->zone_avoided[0] = true;
		absence->begin(sim, &sim->hosts[away]);
		if (await_owner(sim, between, MAX_TAKEOVER_MS)) {
			sim_run(sim, 100);
			run_as_owner(sim, between);
			sim_run(sim, g_rand_int_range(sim->random, 0, 1500));
		}
		absence->end(sim, &sim->hosts[away]);
		g_assert_true(await_owner(sim, away, MAX_VACANT_MS));
		sim_run(sim, VISIBLE_AFTER_MS);
		sim->zone_avoided[0] = false;
		if (!sim->hosts[between].node)
			node_start(sim, between);
		submit_jobs(sim, 500);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

int main(int argc, char **argv)
{
	static const struct absence absences[] = {
		{ "/node_return/one_way", lose_requests, reconnect_to_store },
		{ "/node_return/one_way_history_lost", lose_requests, reconnect_without_history },
		{ "/node_return/cut", cut_off, reconnect_to_store },
		{ "/node_return/cut_history_lost", cut_off, reconnect_without_history },
		{ "/node_return/cut_then_outage", cut_off, reconnect_after_outage },
		{ "/node_return/freeze", freeze, wake },
		{ "/node_return/freeze_history_lost", freeze, wake_without_history },
	};

	g_test_init(&argc, &argv, NULL);
	if (g_getenv("WAXWING_TEST_EVENTS"))
		waxwing_event_log_open("test", "test");
	for (size_t i = 0; i < G_N_ELEMENTS(absences); i++)
		g_test_add_data_func(absences[i].path, &absences[i], test_owner_returns);
	return g_test_run();
}
