/*
 * Which cell runs jobs whose data is on a rack that only one failure domain has.
 */
#include "event_log.h"
#include "node_sim.h"

#define SETTLE_MS	    6000
#define ARRIVAL_INTERVAL_MS 200
#define LOAD_MS		    10000
#define MAX_TASK_MS	    100
#define ANSWERS_MS	    25000
/* The lease of the owner's entry, the claim's delay and the reading of the entries. */
#define TAKEOVER_MS 4000
/* Share of the starts in the domain that has the rack; the rest finds no room there. */
#define MIN_NEAR_SHARE 0.9

static struct cluster_sim *create_settled(uint32_t seed)
{
	struct cluster_sim *sim;

	racks_by_zone = true;
	next_data_factor = 2;
	sim = sim_create(seed);
	waxwing_event_log_set_clock(&sim->clock.base);
	sim->max_work_ms = MAX_TASK_MS;
	sim_run(sim, SETTLE_MS);
	return sim;
}

static void destroy(struct cluster_sim *sim)
{
	racks_by_zone = false;
	next_data_factor = 1;
	pongs_without_racks = false;
	sim_destroy(sim);
}

/* Submits jobs for data on @rack, and waits until all are answered. */
static void run_jobs(struct cluster_sim *sim, const char *rack)
{
	memset(sim->zone_starts, 0, sizeof(sim->zone_starts));
	next_affinity = rack;
	for (int64_t ms = 0; ms < LOAD_MS; ms += ARRIVAL_INTERVAL_MS) {
		client_create(sim);
		sim_run(sim, ARRIVAL_INTERVAL_MS);
	}
	sim_run(sim, ANSWERS_MS);
	next_affinity = NULL;
	g_assert_cmpuint(sim_count_clients(sim, CLIENT_WAITING), ==, 0);
	g_assert_cmpstr(sim->first_violation, ==, "");
	g_assert_cmpfloat((double)sim_count_clients(sim, CLIENT_COMPLETED), >,
			  0.95 * g_hash_table_size(sim->jobs));
}

static double zone_share(const struct cluster_sim *sim, int zone)
{
	uint32_t all = 0;

	for (int i = 0; i < ZONES; i++)
		all += sim->zone_starts[i];
	g_test_message("starts by domain: %u %u %u", sim->zone_starts[0], sim->zone_starts[1],
		       sim->zone_starts[2]);
	return (double)sim->zone_starts[zone] / MAX(all, 1);
}

/* Every owner exports the counters of waits for a rack. */
static void assert_metrics(struct cluster_sim *sim)
{
	static const char *const names[] = { "waits",	      "waits_ended_near", "waits_ended_far",
					     "waits_dropped", "waited_ms",	  "saved_ms",
					     "lost_ms" };
	GString *all = g_string_new(NULL);

	for (int i = 0; i < NODES; i++) {
		char *text = waxwing_node_metrics(sim->hosts[i].node);

		g_string_append(all, text);
		g_free(text);
	}
	for (int zone = 0; zone < ZONES; zone++) {
		for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
			char *line = g_strdup_printf("\nwaxwing_cell_near_%s_total{cell=\"%s\"} ",
						     names[i], zone_names[zone]);

			g_assert_nonnull(strstr(all->str, line));
			g_free(line);
		}
	}
	g_string_free(all, TRUE);
}

/*
 * Load: 5 jobs a second for data in one domain, submitted at all nodes. Guards against running
 * them far from their data while their domain has room; also while messages are lost, and after
 * owners were lost.
 */
static void test_job_goes_to_its_rack(void)
{
	struct cluster_sim *sim = create_settled(1);

	run_jobs(sim, "z1");
	g_assert_cmpfloat(zone_share(sim, 1), >=, MIN_NEAR_SHARE);
	assert_metrics(sim);
	sim->lost_message_share = 0.2;
	run_jobs(sim, "z2");
	g_assert_cmpfloat(zone_share(sim, 2), >=, MIN_NEAR_SHARE);
	destroy(sim);
}

static void test_after_takeover(void)
{
	struct cluster_sim *sim = create_settled(2);

	for (int i = 0; i < ZONES; i++)
		node_kill(sim, i);
	sim_run(sim, TAKEOVER_MS);
	run_jobs(sim, "z1");
	g_assert_cmpfloat(zone_share(sim, 1), >=, MIN_NEAR_SHARE);
	destroy(sim);
}

/* A rack that no cell has is far everywhere: the jobs are spread as those without a rack. */
static void test_unknown_rack(void)
{
	struct cluster_sim *sim = create_settled(3);

	run_jobs(sim, "elsewhere");
	for (int zone = 0; zone < ZONES; zone++)
		g_assert_cmpfloat(zone_share(sim, zone), >, 0.15);
	destroy(sim);
}

/* Rolling upgrade: owners that name no racks are offered jobs as before. */
static void test_old_owners(void)
{
	struct cluster_sim *sim;

	pongs_without_racks = true;
	sim = create_settled(4);
	run_jobs(sim, "z1");
	for (int zone = 0; zone < ZONES; zone++)
		g_assert_cmpfloat(zone_share(sim, zone), >, 0.05);
	g_assert_cmpuint(sim->rack_pongs, ==, 0);
	destroy(sim);
}

/* Guards against pongs, ten a second from each owner to each node, that always name all racks. */
static void test_named_once(void)
{
	struct cluster_sim *sim = create_settled(5);
	uint32_t named = sim->rack_pongs;

	g_assert_cmpuint(named, >, 0);
	sim_run(sim, LOAD_MS);
	g_assert_cmpuint(sim->rack_pongs, ==, named);
	destroy(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_racks/job_goes_to_its_rack", test_job_goes_to_its_rack);
	g_test_add_func("/node_racks/after_takeover", test_after_takeover);
	g_test_add_func("/node_racks/unknown_rack", test_unknown_rack);
	g_test_add_func("/node_racks/old_owners", test_old_owners);
	g_test_add_func("/node_racks/named_once", test_named_once);
	return g_test_run();
}
