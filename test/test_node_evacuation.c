/*
 * Failure domains that the operator evacuates, in virtual time: when the last task starts there, and
 * what callers get meanwhile.
 */
#include "node_sim_faults.h"

/* Bounds of the rule: see docs/design/evacuation.md. */
#define EVACUATION_MS 5000
#define CONTACT_MS    4000
/* Time for a withdrawn order to reach the owner and for tasks to start again. */
#define RESUME_MS      2000
#define PROPERTY_SEEDS 12

static void evacuate(struct cluster_sim *sim, int zone)
{
	char key[32];

	snprintf(key, sizeof(key), "op/evacuate/%s", zone_names[zone]);
	store_put(sim, key, "{}", 2, 0);
}

static void withdraw_order(struct cluster_sim *sim, int zone)
{
	char key[32];

	snprintf(key, sizeof(key), "op/evacuate/%s", zone_names[zone]);
	store_remove(sim, key);
}

static struct cluster_sim *create_sim(uint32_t seed)
{
	sim_evacuation_ms = EVACUATION_MS;
	return create_settled_sim(seed);
}

/* Returns when a run last started in a failure domain. */
static int64_t last_start_ms(const struct cluster_sim *sim, int zone)
{
	int64_t last_ms = 0;

	for (int i = 0; i < EXECUTORS; i++)
		if (sim->executors[i].zone == zone)
			last_ms = MAX(last_ms, sim->executors[i].last_start_ms);
	return last_ms;
}

static void assert_metric(const struct cluster_sim *sim, const char *line)
{
	for (int i = 0; i < NODES; i++) {
		char *text = waxwing_node_metrics(sim->hosts[i].node);

		g_assert_nonnull(strstr(text, line));
		g_free(text);
	}
}

/* Returns how many offers the owner of a domain's cell has refused. */
static uint64_t offers_refused(struct cluster_sim *sim, int zone)
{
	char *text = waxwing_node_metrics(sim->hosts[find_owner(sim, zone)].node);
	char name[64];
	const char *line;
	uint64_t value;

	snprintf(name, sizeof(name), "waxwing_cell_refused_total{cell=\"%s\"} ", zone_names[zone]);
	line = strstr(text, name);
	g_assert_nonnull(line);
	value = g_ascii_strtoull(line + strlen(name), NULL, 10);
	g_free(text);
	return value;
}

/*
 * Tasks must not start in an evacuated domain after the bound, and jobs must not be lost for it; a
 * withdrawn order must let the domain be used again.
 */
static void test_bound(void)
{
	for (uint32_t seed = 1; seed <= 6; seed++) {
		struct cluster_sim *sim = create_sim(seed);
		int64_t ordered_ms;
		uint64_t refused;

		sim->durable_share = seed % 2 ? 0.3 : 0;
		/* a load that the other domains can bear */
		sim->max_work_ms = MAX_WORK_MS / 3;
		submit_jobs(sim, 1000);
		ordered_ms = sim_now(sim);
		g_assert_cmpint(last_start_ms(sim, 0), >, ordered_ms - 500);
		evacuate(sim, 0);
		submit_jobs(sim, EVACUATION_MS);
		refused = offers_refused(sim, 0);
		submit_jobs(sim, EVACUATION_MS);
		g_assert_cmpint(last_start_ms(sim, 0), <=, ordered_ms + EVACUATION_MS);
		/* issuers must not go on to offer jobs there, which would cost each a round trip */
		g_assert_cmpuint(offers_refused(sim, 0), ==, refused);
		g_assert_cmpint(last_start_ms(sim, 1), >, sim_now(sim) - 500);
		assert_metric(sim, "waxwing_node_evacuated{zone=\"z0\"} 1\n");
		assert_metric(sim, "waxwing_node_evacuated{zone=\"z1\"} 0\n");
		withdraw_order(sim, 0);
		submit_jobs(sim, RESUME_MS);
		g_assert_cmpint(last_start_ms(sim, 0), >, sim_now(sim) - RESUME_MS);
		assert_metric(sim, "waxwing_node_evacuated{zone=\"z0\"} 0\n");
		assert_all_answered(sim);
		g_assert_cmpfloat(completed_share(sim), >=, 0.9);
		sim_destroy(sim);
	}
}

/* With no domain left, a best-effort job is refused at once instead of waiting for a cell. */
static void test_all_evacuated(void)
{
	struct cluster_sim *sim = create_sim(1);

	for (int zone = 0; zone < ZONES; zone++)
		evacuate(sim, zone);
	sim_run(sim, 500);
	for (int i = 0; i < 10; i++)
		client_create(sim);
	sim_run(sim, 2 * WAXWING_NODE_TICK_MS);
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_REFUSED), ==, 10);
	g_assert_cmpuint(sim->starts, ==, 0);
	sim_destroy(sim);
}

/*
 * Durable jobs that were stored before all domains are evacuated must not be reported as not run
 * when they are submitted again, nor be lost; they run once the orders are withdrawn.
 */
static void test_durable_kept(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct cluster_sim *sim = create_sim(seed);
		uint32_t starts;

		sim->durable_share = 1;
		for (int i = 0; i < 60; i++)
			client_create(sim);
		for (int zone = 0; zone < ZONES; zone++)
			evacuate(sim, zone);
		submit_jobs(sim, EVACUATION_MS);
		starts = sim->starts;
		restart_all_nodes(sim, 200);
		sim_run(sim, EVACUATION_MS);
		g_assert_cmpuint(sim->starts, ==, starts);
		/* some of the jobs must be waiting, or the test shows nothing */
		g_assert_cmpuint(sim_count_clients(sim, CLIENT_STORED), >, 0);
		for (int zone = 0; zone < ZONES; zone++)
			withdraw_order(sim, zone);
		assert_all_answered(sim);
		g_assert_cmpuint(sim->starts, >, starts);
		sim_destroy(sim);
	}
}

struct submission_result {
	struct waxwing_job_waiter waiter; /* must be the first member */
	bool answered;
	struct waxwing_node_answer answer;
};

static void record_answer(struct waxwing_job_waiter *waiter,
			  const struct waxwing_node_answer *answer)
{
	struct submission_result *result = (struct submission_result *)waiter;

	result->answered = true;
	result->answer = *answer;
}

/*
 * A durable job that is submitted again while all domains are evacuated must be confirmed, although
 * new ones are refused.
 */
static void test_durable_confirmed(void)
{
	struct cluster_sim *sim = create_sim(1);
	struct client_job job = { .id = 1000, .durable = true, .tasks = 1, .work_ms = 3000 };
	struct client_job other = { .id = 1001, .durable = true, .tasks = 1, .work_ms = 100 };
	struct submission_result results[3] = { 0 };

	for (int i = 0; i < 3; i++)
		results[i].waiter.answer = record_answer;
	waxwing_node_submit(sim->hosts[0].node, make_job(&job), &results[0].waiter);
	sim_run(sim, 500);
	g_assert_cmpint(results[0].answer.outcome, ==, WAXWING_JOB_STORED);
	for (int zone = 0; zone < ZONES; zone++)
		evacuate(sim, zone);
	sim_run(sim, 500);
	waxwing_node_submit(sim->hosts[1].node, make_job(&job), &results[1].waiter);
	waxwing_node_submit(sim->hosts[2].node, make_job(&other), &results[2].waiter);
	sim_run(sim, 500);
	g_assert_true(results[1].answered && results[2].answered);
	g_assert_cmpint(results[1].answer.outcome, ==, WAXWING_JOB_STORED);
	g_assert_cmpint(results[2].answer.outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_false(results[2].answer.may_have_run);
	g_assert_cmpuint(results[2].answer.retry_after_ms, ==, 1000);
	sim_destroy(sim);
}

/* Nodes that start during an evacuation must not start tasks before they know of it. */
static void test_nodes_restart(void)
{
	for (uint32_t seed = 1; seed <= 6; seed++) {
		struct cluster_sim *sim = create_sim(seed);
		int64_t killed_ms;

		sim->store_delay_ms = seed % 2 ? STORE_DELAY_MS : SLOW_STORE_DELAY_MS;
		submit_jobs(sim, 500);
		kill_all_nodes(sim);
		killed_ms = sim_now(sim);
		evacuate(sim, 0);
		sim_run(sim, 200);
		for (int i = 0; i < NODES; i++)
			node_start(sim, i);
		submit_jobs(sim, EVACUATION_MS);
		g_assert_cmpint(last_start_ms(sim, 0), <=, killed_ms + NETWORK_DELAY_MS);
		g_assert_cmpint(last_start_ms(sim, 1), >, sim_now(sim) - 1000);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/*
 * An owner whose read of the orders is lost must not start tasks: a domain that it takes for usable
 * may be evacuated.
 */
static void test_orders_unread(void)
{
	struct cluster_sim *sim = create_sim(1);
	int64_t started_ms;

	kill_all_nodes(sim);
	evacuate(sim, 0);
	sim_run(sim, 200);
	started_ms = sim_now(sim);
	for (int i = 0; i < NODES; i++) {
		sim->hosts[i].operator_calls_lost = true;
		node_start(sim, i);
	}
	submit_jobs(sim, STORE_CALL_TIMEOUT_MS - 200);
	g_assert_cmpint(find_owner(sim, 0), >=, 0);
	for (int zone = 0; zone < ZONES; zone++)
		g_assert_cmpint(last_start_ms(sim, zone), <=, started_ms);
	for (int i = 0; i < NODES; i++)
		sim->hosts[i].operator_calls_lost = false;
	submit_jobs(sim, RESUME_MS);
	g_assert_cmpint(last_start_ms(sim, 0), <=, started_ms);
	g_assert_cmpint(last_start_ms(sim, 1), >, sim_now(sim) - 500);
	assert_all_answered(sim);
	sim_destroy(sim);
}

/*
 * Orders and withdrawals that are given while the nodes are cut off from the store, and whose
 * history the store has dropped since, must take effect once the store can be reached.
 */
static void test_history_lost(void)
{
	for (uint32_t seed = 1; seed <= 6; seed++) {
		struct cluster_sim *sim = create_sim(seed);
		int64_t back_ms;

		evacuate(sim, 1);
		submit_jobs(sim, 500);
		for (int i = 0; i < NODES; i++)
			sim->hosts[i].store_unreachable = true;
		submit_jobs(sim, 300);
		withdraw_order(sim, 1);
		evacuate(sim, 0);
		store_forget_history(sim);
		submit_jobs(sim, 300);
		for (int i = 0; i < NODES; i++)
			sim->hosts[i].store_unreachable = false;
		back_ms = sim_now(sim);
		submit_jobs(sim, 2 * CONTACT_MS);
		g_assert_cmpint(last_start_ms(sim, 0), <, back_ms + CONTACT_MS);
		g_assert_cmpint(last_start_ms(sim, 1), >, sim_now(sim) - 500);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/*
 * An order that is found by reading the range may be old: its reader must not start tasks for
 * longer, as it may for a recent one.
 */
static void test_old_order(void)
{
	struct cluster_sim *sim = create_sim(1);
	struct sim_host *owner = &sim->hosts[find_owner(sim, 0)];
	int64_t known_ms = 0;

	sim->durable_share = 1;
	submit_jobs(sim, 500);
	owner->operator_calls_lost = true;
	submit_jobs(sim, 1500);
	evacuate(sim, 0);
	store_forget_history(sim);
	submit_jobs(sim, 500);
	owner->operator_calls_lost = false;
	for (int i = 0; i < 6000 && !known_ms; i += ARRIVAL_INTERVAL_MS) {
		char *text = waxwing_node_metrics(owner->node);

		if (strstr(text, "waxwing_node_evacuated{zone=\"z0\"} 1\n"))
			known_ms = sim_now(sim);
		g_free(text);
		/* keeps jobs waiting in the cell */
		for (int k = 0; k < 4 && !known_ms; k++)
			client_create(sim);
		if (!known_ms)
			submit_jobs(sim, ARRIVAL_INTERVAL_MS);
	}
	g_assert_cmpint(known_ms, >, 0);
	sim_run(sim, 1000);
	g_assert_cmpint(last_start_ms(sim, 0), <=, known_ms + 2 * NETWORK_DELAY_MS);
	withdraw_order(sim, 0);
	assert_all_answered(sim);
	sim_destroy(sim);
}

/* Keeps durable jobs waiting in all cells for @ms. */
static void submit_many(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += ARRIVAL_INTERVAL_MS) {
		for (int i = 0; i < 3; i++)
			client_create(sim);
		sim_run(sim, ARRIVAL_INTERVAL_MS);
	}
}

/*
 * A store that loses some answers, here three in a row to the owner, must not extend the bound. A
 * start order may take effect until its lease has expired, so the last one is sent that much earlier.
 */
static void test_answers_lost(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct cluster_sim *sim = create_sim(seed);
		struct sim_host *owner = &sim->hosts[find_owner(sim, 0)];
		uint32_t calls = owner->operator_calls;
		int64_t ordered_ms;

		sim->durable_share = 1;
		owner->operator_calls_lost = true;
		while (owner->operator_calls == calls)
			submit_many(sim, ARRIVAL_INTERVAL_MS);
		ordered_ms = sim_now(sim);
		evacuate(sim, 0);
		while (owner->operator_calls < calls + 3)
			submit_many(sim, ARRIVAL_INTERVAL_MS);
		sim_run(sim, 2 * STORE_DELAY_MS);
		owner->operator_calls_lost = false;
		g_assert_cmpint(last_start_ms(sim, 0), >, sim_now(sim) - 500);
		submit_many(sim, 4000);
		g_assert_cmpint(last_start_ms(sim, 0), <=,
				ordered_ms + EVACUATION_MS - MAX_LEASE_MS);
		withdraw_order(sim, 0);
		sim_run(sim, 2 * MAX_SETTLE_MS);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/* A domain that does not exist must be reported and must change nothing. */
static void test_unknown_zone(void)
{
	struct cluster_sim *sim = create_sim(1);

	store_put(sim, "op/evacuate/nowhere", "{}", 2, 0);
	store_put(sim, "op/evacuate/", "{}", 2, 0);
	store_put(sim, "op/wave/1", "{}", 2, 0);
	submit_jobs(sim, 2000);
	assert_metric(sim, "waxwing_node_evacuations_refused_total 2\n");
	for (int zone = 0; zone < ZONES; zone++)
		g_assert_cmpint(last_start_ms(sim, zone), >, sim_now(sim) - 500);
	assert_all_answered(sim);
	sim_destroy(sim);
}

/*
 * Without the setting, the store's calls stay as they are; with it, they are as many, also while
 * other keys below the prefix change often.
 */
static void test_store_calls(void)
{
	uint32_t calls[2];

	for (int on = 0; on < 2; on++) {
		struct cluster_sim *sim;

		sim_evacuation_ms = on ? EVACUATION_MS : 0;
		sim = create_settled_sim(1);
		sim_run(sim, 10000);
		g_assert_cmpstr(sim->hosts[0].operator_prefix, ==, on ? "op/" : "op/config");
		calls[on] = sim->hosts[0].operator_calls;
		for (int i = 0; i < 1000; i++) {
			store_put(sim, "op/wave/1", "{}", 2, 0);
			sim_run(sim, 5);
		}
		g_assert_cmpuint(sim->hosts[0].operator_calls - calls[on], <=, 27);
		sim_destroy(sim);
	}
	g_assert_cmpuint(calls[1], ==, calls[0]);
}

/* State of the property test. */
static int64_t ordered_at_ms[ZONES]; /* 0: not evacuated */
static int64_t out_of_touch_ms[NODES]; /* when the node last was out of touch */

/* The rule: a machine in touch starts nothing in a domain evacuated for longer than the bound. */
static void check_rule(struct cluster_sim *sim, int host_index, int zone)
{
	int64_t now_ms = sim_now(sim);

	if (ordered_at_ms[zone] && now_ms - ordered_at_ms[zone] > EVACUATION_MS &&
	    now_ms - out_of_touch_ms[host_index] > CONTACT_MS)
		sim_report_violation(sim, "EVACUATED", 0, (uint32_t)zone);
}

static bool is_in_touch(const struct cluster_sim *sim, const struct sim_host *host)
{
	return host->node && !host->frozen_until_ms && !host->store_unreachable &&
	       !host->store_requests_lost && !sim->zone_isolated[host->zone];
}

static void run_and_note_touch(struct cluster_sim *sim, int64_t ms)
{
	for (int64_t passed = 0; passed < ms; passed += ARRIVAL_INTERVAL_MS) {
		client_create(sim);
		sim_run(sim, ARRIVAL_INTERVAL_MS);
		for (int i = 0; i < NODES; i++)
			if (!is_in_touch(sim, &sim->hosts[i]))
				out_of_touch_ms[i] = sim_now(sim);
	}
}

static void toggle_order(struct cluster_sim *sim, int zone)
{
	if (ordered_at_ms[zone])
		withdraw_order(sim, zone);
	else
		evacuate(sim, zone);
	ordered_at_ms[zone] = ordered_at_ms[zone] ? 0 : sim_now(sim);
}

/*
 * Whatever is killed, paused or cut off, also twice, the rule holds for machines in touch, no task
 * runs twice, and refused jobs have not run. The store's own outages end before the bound.
 */
static void test_rule_under_faults(void)
{
	static const enum sim_fault kinds[] = {
		FAULT_KILL,	  FAULT_FREEZE,	       FAULT_STORE_UNREACHABLE, FAULT_ZONE_ISOLATED,
		FAULT_STORE_DOWN, FAULT_HISTORY_LOST,  FAULT_LOST_MESSAGES,	FAULT_OWNER_REMOVED,
		FAULT_LEAVE,	  FAULT_STORE_ONE_WAY, FAULT_STORE_SLOW,
	};
	uint32_t first = seed_from_env("EVACUATION_SEED", 1);
	uint32_t count = g_getenv("EVACUATION_SEED") ? 1 : PROPERTY_SEEDS;

	for (uint32_t seed = first; seed < first + count; seed++) {
		struct cluster_sim *sim = create_sim(seed);

		sim->durable_share = seed % 2 ? 0.3 : 0;
		sim->run_started = check_rule;
		memset(ordered_at_ms, 0, sizeof(ordered_at_ms));
		for (int i = 0; i < NODES; i++)
			out_of_touch_ms[i] = sim_now(sim);
		for (int round = 0; round < 40; round++) {
			if (sim_chance(sim, 0.12))
				toggle_order(sim, g_rand_int_range(sim->random, 0, ZONES));
			if (sim_chance(sim, 0.4))
				inject_random_fault(sim, kinds, G_N_ELEMENTS(kinds));
			run_and_note_touch(sim, FAULT_DURATION_MS);
			repair_faults(sim, 0.5);
		}
		g_test_message("seed %u: %s", seed, sim->first_violation);
		repair_faults(sim, 1);
		for (int zone = 0; zone < ZONES; zone++)
			if (ordered_at_ms[zone])
				toggle_order(sim, zone);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_evacuation/bound", test_bound);
	g_test_add_func("/node_evacuation/all_evacuated", test_all_evacuated);
	g_test_add_func("/node_evacuation/durable_kept", test_durable_kept);
	g_test_add_func("/node_evacuation/durable_confirmed", test_durable_confirmed);
	g_test_add_func("/node_evacuation/nodes_restart", test_nodes_restart);
	g_test_add_func("/node_evacuation/orders_unread", test_orders_unread);
	g_test_add_func("/node_evacuation/history_lost", test_history_lost);
	g_test_add_func("/node_evacuation/old_order", test_old_order);
	g_test_add_func("/node_evacuation/answers_lost", test_answers_lost);
	g_test_add_func("/node_evacuation/unknown_zone", test_unknown_zone);
	g_test_add_func("/node_evacuation/store_calls", test_store_calls);
	g_test_add_func("/node_evacuation/rule_under_faults", test_rule_under_faults);
	return g_test_run();
}
