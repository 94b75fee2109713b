/*
 * Clients that stop waiting, or lose their connection, submit the same job again at another node,
 * where another cell may run it. By then nothing of the first submission may run any more. In
 * virtual time.
 */
#include "node_sim_faults.h"

/* How long clients wait, as on the users' sites. */
#define PATIENCE_MS 1500
/* Longest run time of a task: several times longer than clients wait. */
#define LONG_WORK_MS	    3000
#define RANDOM_FAULT_SEEDS  40
#define RANDOM_FAULT_ROUNDS 20
/* Interval between submissions of long jobs. */
#define LONG_JOB_INTERVAL_MS 100

/* Submits long jobs for @ms. */
static void submit_long_jobs(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += LONG_JOB_INTERVAL_MS) {
		client_create(sim);
		sim_run(sim, LONG_JOB_INTERVAL_MS);
	}
}

static struct cluster_sim *create_impatient_sim(uint32_t seed)
{
	struct cluster_sim *sim = create_settled_sim(seed);

	sim->client_patience_ms = PATIENCE_MS;
	sim->max_work_ms = LONG_WORK_MS;
	return sim;
}

/* Some clients never get an answer, so only the rules are checked. */
static void finish(struct cluster_sim *sim)
{
	sim_run(sim, MAX_SETTLE_MS);
	assert_no_violations(sim);
	sim_destroy(sim);
}

/*
 * Guards against two runs of one task: the message by which a node withdrew the job of a client
 * that had gone was lost, so the owner ran the job on while it was submitted again elsewhere.
 */
static void test_withdrawal_lost(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct cluster_sim *sim = create_impatient_sim(seed);

		for (int i = 0; i < 10; i++) {
			sim->lost_message_share = i % 2 ? 0.05 : 0.2;
			submit_long_jobs(sim, FAULT_DURATION_MS);
		}
		sim->lost_message_share = 0;
		finish(sim);
	}
}

/*
 * Guards against two runs of one task: an owner that had been paused told its issuers, under its
 * successor's token, that the cell was released. For a moment they sent the successor no
 * withdrawals, and it ran jobs on whose callers had gone.
 */
static void test_former_owner_wakes(void)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		struct cluster_sim *sim = create_impatient_sim(seed);

		for (int i = 0; i < 6; i++) {
			int owner = find_owner(sim, i % ZONES);

			if (owner >= 0)
				sim->hosts[owner].frozen_until_ms =
					sim_now(sim) + g_rand_int_range(sim->random, 2000, 3500);
			submit_long_jobs(sim, 4000);
		}
		finish(sim);
	}
}

/*
 * Guards against two runs of one task: an owner that had been paused started tasks of its own
 * callers' jobs before it found that these callers had stopped waiting. No other node of its
 * failure domain was there to replace it.
 */
static void test_sole_owner_wakes(void)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		struct cluster_sim *sim = create_impatient_sim(seed);
		int owner = find_owner(sim, 0);

		sim->events_first = seed % 2;
		node_kill(sim, (owner + ZONES) % NODES);
		sim_run(sim, 1000);
		for (int i = 0; i < 5; i++) {
			sim->lost_answer_share = 0.5;
			submit_long_jobs(sim, 600);
			sim->lost_answer_share = 0;
			sim_run(sim, 50);
			sim->hosts[owner].frozen_until_ms =
				sim_now(sim) + g_rand_int_range(sim->random, 2600, 3400);
			submit_long_jobs(sim, 4000);
		}
		finish(sim);
	}
}

static void run_random_faults(const enum sim_fault *kinds, int kind_count)
{
	uint32_t first = seed_from_env("WAXWING_TEST_FIRST", 1);
	uint32_t last = seed_from_env("WAXWING_TEST_LAST", RANDOM_FAULT_SEEDS);

	for (uint32_t seed = first; seed <= last; seed++) {
		struct cluster_sim *sim = create_impatient_sim(seed);

		g_test_message("seed %u", seed);
		sim->durable_share = seed % 3 ? 0 : 0.4;
		for (int i = 0; i < RANDOM_FAULT_ROUNDS; i++) {
			inject_random_fault(sim, kinds, kind_count);
			submit_long_jobs(sim, FAULT_DURATION_MS);
			repair_faults(sim, 0.35);
		}
		repair_faults(sim, 1);
		finish(sim);
	}
}

/*
 * Guards against two runs of one task (TWICE, first seen on luachung-sched): a start order arrived
 * after a list of runs without it, or after the time by which its lease was thought to be over.
 */
static void test_delayed_orders(void)
{
	static const enum sim_fault kinds[] = { FAULT_DELAYED_ORDERS, FAULT_EXECUTOR_ISOLATED,
						FAULT_PATHS_CUT };

	run_random_faults(kinds, G_N_ELEMENTS(kinds));
}

static void test_mix(void)
{
	static const enum sim_fault kinds[] = {
		FAULT_KILL,
		FAULT_FREEZE,
		FAULT_STORE_UNREACHABLE,
		FAULT_ZONE_ISOLATED,
		FAULT_STORE_DOWN,
		FAULT_STORE_UNANSWERED,
		FAULT_LATE_ORDERS,
		FAULT_EXECUTOR_ISOLATED,
		FAULT_EXECUTOR_RESTART,
		FAULT_OWNER_REMOVED,
		FAULT_DELAYED_ORDERS,
		FAULT_LOST_MESSAGES,
		FAULT_STORE_SLOW,
		FAULT_PATHS_CUT,
		FAULT_EXECUTOR_ONE_WAY,
		FAULT_LOST_ANSWERS,
	};

	run_random_faults(kinds, G_N_ELEMENTS(kinds));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (g_getenv("WAXWING_TEST_EVENTS"))
		waxwing_event_log_open("test", "test");
	g_test_add_func("/node_resubmit/withdrawal_lost", test_withdrawal_lost);
	g_test_add_func("/node_resubmit/former_owner_wakes", test_former_owner_wakes);
	g_test_add_func("/node_resubmit/sole_owner_wakes", test_sole_owner_wakes);
	g_test_add_func("/node_resubmit/delayed_orders", test_delayed_orders);
	g_test_add_func("/node_resubmit/mix", test_mix);
	return g_test_run();
}
