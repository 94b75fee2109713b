/*
 * Nodes that start, restart and leave, and cells that change hands: what callers get meanwhile, in
 * virtual time.
 */
#include "node_sim_helpers.h"

/* How long nodes are without power; the owners' leases last 1000 ms. */
#define POWER_CYCLE_MS 200
/* Reading the store, one claim, and pings of the new owners. */
#define RECLAIM_MS 300
/* The delay after a release, with its spread, and a claim. */
#define REMOTE_TAKEOVER_MS 1100
/* The time that a node of the domain must have been there, a release and a claim. */
#define HAND_BACK_MS 4000
/* Shorter than the lease of the owner's entry, after which its domain may claim the cell. */
#define STORE_LOST_MS 900
/* Shorter than what is left of the lease of an owner that was just killed. */
#define LEASE_LEFT_MS 500

/*
 * All nodes lose power for less than the time to live of the owners' leases. The owners' new
 * processes replace their own entries; they do not wait for the leases to lapse.
 */
static void test_power_cycle(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		int owners[ZONES];

		sim->late_order_share = 0.05;
		sim->durable_share = seed % 2 ? 0.5 : 0;
		submit_jobs(sim, 1000);
		for (int zone = 0; zone < ZONES; zone++)
			owners[zone] = find_owner(sim, zone);
		restart_all_nodes(sim, POWER_CYCLE_MS);
		submit_jobs(sim, RECLAIM_MS);
		for (int zone = 0; zone < ZONES; zone++) {
			const struct waxwing_node *node = sim->hosts[owners[zone]].node;

			g_assert_cmpint(find_owner(sim, zone), ==, owners[zone]);
			g_assert_cmpuint(waxwing_node_reachable_cells(node), ==, ZONES);
		}
		submit_jobs(sim, 2000);
		sim->late_order_share = 0;
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/*
 * The write that releases a cell takes effect without an answer. The leaving node must not repeat
 * it against the entry of its successor.
 */
static void test_release_unanswered(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		int owner = find_owner(sim, 0);
		uint64_t token;

		submit_jobs(sim, 500);
		waxwing_node_leave(sim->hosts[owner].node, LEAVE_TIME_MS);
		sim->store_unanswered_share = 1;
		sim_run(sim, 20);
		sim->store_unanswered_share = 0;
		submit_jobs(sim, 500);
		g_assert_cmpint(find_owner(sim, 0), !=, owner);
		token = store_revision(sim, "cells/z0");
		submit_jobs(sim, 3000);
		g_assert_cmpint(find_owner(sim, 0), !=, owner);
		g_assert_cmpuint(store_revision(sim, "cells/z0"), ==, token);
		node_kill(sim, owner);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/*
 * All nodes of a failure domain leave. Another domain's node takes the cell without the delay that
 * an isolated domain is given, and hands it back once the domain has a node again.
 */
static void test_domain_restarts(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);

		submit_jobs(sim, 500);
		for (int i = 0; i < NODES; i += ZONES)
			waxwing_node_leave(sim->hosts[i].node, LEAVE_TIME_MS);
		submit_jobs(sim, REMOTE_TAKEOVER_MS);
		g_assert_cmpint(find_owner(sim, 0), >=, 0);
		g_assert_cmpint(find_owner(sim, 0) % ZONES, !=, 0);
		for (int i = 0; i < NODES; i += ZONES)
			node_kill(sim, i);
		submit_jobs(sim, 500);
		node_start(sim, 0);
		submit_jobs(sim, HAND_BACK_MS);
		g_assert_cmpint(find_owner(sim, 0), ==, 0);
		node_start(sim, ZONES);
		submit_jobs(sim, 500);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

/*
 * A domain's only node cannot reach the store. The owner outside does not hand the cell over to it,
 * since it could not claim the cell.
 */
static void test_hand_back_needs_store(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	uint64_t token;
	int owner;

	for (int i = 0; i < NODES; i += ZONES)
		waxwing_node_leave(sim->hosts[i].node, LEAVE_TIME_MS);
	sim_run(sim, REMOTE_TAKEOVER_MS);
	for (int i = 0; i < NODES; i += ZONES)
		node_kill(sim, i);
	node_start(sim, 0);
	sim_run(sim, 200);
	sim->hosts[0].store_unreachable = true;
	token = store_revision(sim, "cells/z0");
	g_assert_cmpuint(token, !=, 0);
	submit_jobs(sim, 3 * HAND_BACK_MS);
	g_assert_cmpuint(store_revision(sim, "cells/z0"), ==, token);
	/* nor does an owner that cannot reach the store itself */
	owner = find_owner(sim, 0);
	sim->hosts[0].store_unreachable = false;
	sim->hosts[owner].store_unreachable = true;
	submit_jobs(sim, STORE_LOST_MS);
	g_assert_cmpuint(waxwing_node_reachable_cells(sim->hosts[owner].node), ==, ZONES);
	sim->hosts[owner].store_unreachable = false;
	submit_jobs(sim, 2 * HAND_BACK_MS);
	g_assert_cmpint(find_owner(sim, 0), ==, 0);
	assert_all_answered(sim);
	sim_destroy(sim);
}

/*
 * An owner that had been paused finds that it was replaced. What it tells its issuers then is not
 * about its successor, which they go on using.
 */
static void test_former_owner_wakes(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		int former = find_owner(sim, 0);

		submit_jobs(sim, 500);
		sim->hosts[former].frozen_until_ms = sim_now(sim) + 3000;
		submit_jobs(sim, 2900);
		g_assert_cmpint(find_owner(sim, 0), !=, former);
		for (int ms = 0; ms < 300; ms++) {
			for (int i = 0; i < NODES; i++)
				if (i != former)
					g_assert_cmpuint(
						waxwing_node_reachable_cells(sim->hosts[i].node),
						==, ZONES);
			sim_run(sim, 1);
		}
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

struct job_wait {
	struct waxwing_job_waiter waiter; /* must be the first member */
	struct waxwing_node_answer answer;
	bool answered;
};

static void wait_answered(struct waxwing_job_waiter *waiter,
			  const struct waxwing_node_answer *answer)
{
	struct job_wait *wait = (struct job_wait *)waiter;

	wait->answer = *answer;
	wait->answered = true;
}

/*
 * Guards against two runs of one task: an owner that wakes from a pause read an issuer's message
 * that answers what it had just sent, before it noticed that it had not been heard for long. It went
 * on with jobs that the issuer had moved to another cell.
 */
static void test_silence_before_message(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	struct sim_host *owner = &sim->hosts[find_owner(sim, 0)];
	struct sim_host *issuer = &sim->hosts[(owner->index + 1) % NODES];
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	struct client_job *job = g_new0(struct client_job, 1);
	struct job_wait wait = { .waiter = { .answer = wait_answered } };
	uint32_t running = 0;

	job->id = 1000001;
	job->tasks = 1;
	job->work_ms = 4000;
	job->submissions = g_ptr_array_new();
	g_hash_table_insert(sim->jobs, &job->id, job);
	/* for a while the other cells have no owner */
	for (int zone = 1; zone < ZONES; zone++)
		node_kill(sim, find_owner(sim, zone));
	if (!issuer->node)
		issuer = &sim->hosts[(issuer->index + ZONES) % NODES];
	sim_run(sim, WAXWING_PEER_TIMEOUT_MS + 10);
	waxwing_node_submit(issuer->node, make_job(job), &wait.waiter);
	sim_run(sim, 100);
	for (int i = 0; i < EXECUTORS; i += ZONES)
		running += sim->executors[i].runs->len;
	g_assert_cmpuint(running, ==, 1);
	owner->frozen_until_ms = sim_now(sim) + 10000;
	sim_run(sim, 800);
	message.cell = (char *)"z0";
	message.fencing_token = store_revision(sim, "cells/z0");
	message.has_echo_ms = true;
	message.echo_ms = (uint64_t)sim_now(sim);
	waxwing_node_handle_message(owner->node, issuer->incarnation, &message);
	waxwing_node_process_events(owner->node);
	sim_run(sim, STOP_MS + 10);
	for (int i = 0; i < EXECUTORS; i += ZONES)
		g_assert_cmpuint(sim->executors[i].runs->len, ==, 0);
	sim_destroy(sim);
}

/* Submits a job of a task of 100 ms, and returns the outcome after half a second. */
static struct job_wait submit_to(struct cluster_sim *sim, int node, uint64_t id)
{
	struct client_job job = { .id = id, .tasks = 1, .work_ms = 100 };
	struct job_wait wait = { .waiter = { .answer = wait_answered } };

	waxwing_node_submit(sim->hosts[node].node, make_job(&job), &wait.waiter);
	sim_run(sim, 500);
	return wait;
}

/*
 * Callers whose connections a leaving node still gets are served as long as their jobs can end
 * before it exits. After that they are told at once that nothing of the job has run.
 */
static void test_leaving_serves(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	struct job_wait early;
	struct job_wait late;

	waxwing_node_leave(sim->hosts[0].node, LEAVE_TIME_MS);
	sim_run(sim, 4500);
	early = submit_to(sim, 0, 1000001);
	sim_run(sim, 300);
	late = submit_to(sim, 0, 1000002);
	g_assert_true(early.answered);
	g_assert_cmpint(early.answer.outcome, ==, WAXWING_JOB_COMPLETED);
	g_assert_true(late.answered);
	g_assert_cmpint(late.answer.outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_cmpint(late.answer.reason, ==, WAXWING_ERROR_LEAVING);
	g_assert_false(late.answer.may_have_run);
	sim_destroy(sim);
}

/*
 * A failure domain is cut off just after its owner was lost. No node of it can claim the cell, so
 * jobs are refused without waiting for an owner.
 */
static void test_isolated_without_owner(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	int owner = find_owner(sim, 0);
	int other = (owner + ZONES) % NODES; /* in the same failure domain */
	struct job_wait wait = { .waiter = { .answer = wait_answered } };
	struct client_job job = { .id = 1000001, .tasks = 1, .work_ms = 100 };

	node_kill(sim, owner);
	sim->zone_isolated[0] = true;
	sim_run(sim, 5000);
	waxwing_node_submit(sim->hosts[other].node, make_job(&job), &wait.waiter);
	sim_run(sim, 30);
	g_assert_true(wait.answered);
	g_assert_cmpint(wait.answer.outcome, ==, WAXWING_JOB_REFUSED);
	g_assert_false(wait.answer.may_have_run);
	sim_destroy(sim);
}

/*
 * Guards against a cell that no node claims: a node that had just started believed another one,
 * which did not reach the store, in an owner whose entry was gone before it started. Nothing that it
 * read later contradicted that.
 */
static void test_outdated_news(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct cluster_sim *sim = create_settled_sim(seed);
		struct sim_host *outdated = &sim->hosts[find_owner(sim, 0)];
		int lost = find_owner(sim, 1);

		for (int i = 1; i < NODES; i += ZONES)
			node_kill(sim, i);
		sim_run(sim, LEASE_LEFT_MS);
		outdated->store_unreachable = true;
		while (find_owner(sim, 1) == lost)
			sim_run(sim, 1);
		node_start(sim, 1);
		sim_run(sim, 1000);
		g_assert_cmpint(find_owner(sim, 1), ==, 1);
		outdated->store_unreachable = false;
		submit_jobs(sim, 500);
		assert_all_answered(sim);
		sim_destroy(sim);
	}
}

struct query_wait {
	struct waxwing_job_query query; /* must be the first member */
	uint32_t answers;
	bool answered;
};

static void query_wait_answered(struct waxwing_job_query *query, bool answered,
				enum waxwing_job_state state)
{
	struct query_wait *wait = (struct query_wait *)query;

	(void)state;
	wait->answers++;
	wait->answered = answered;
}

/*
 * Guards against connections that end without an answer: a process that exited after SIGTERM
 * answered those who waited for a job, but not those who waited for a job's state (review/9).
 */
static void test_abort_answers_queries(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	struct query_wait waits[2];

	for (int i = 1; i < NODES; i++)
		node_kill(sim, i);
	waxwing_node_leave(sim->hosts[0].node, LEAVE_TIME_MS);
	sim_run(sim, 500);
	for (int i = 0; i < 2; i++) {
		waits[i] = (struct query_wait){ .query = { .answer = query_wait_answered,
							   .job = 1,
							   .cancel = i == 1,
							   .timeout_ms = 20000 } };
		waxwing_node_query_job(sim->hosts[0].node, &waits[i].query);
	}
	sim_run(sim, LEAVE_TIME_MS - 500);
	g_assert_cmpuint(waits[0].answers + waits[1].answers, ==, 0);
	waxwing_node_abort_pending(sim->hosts[0].node);
	waxwing_node_process_events(sim->hosts[0].node);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpuint(waits[i].answers, ==, 1);
		g_assert_false(waits[i].answered);
	}
	g_assert_true(waxwing_node_idle(sim->hosts[0].node));
	sim_destroy(sim);
}

struct routing_wait {
	struct waxwing_routing_waiter waiter; /* must be the first member */
	struct cluster_sim *sim;
	int64_t done_ms; /* 0: not done */
	bool in_force;
};

static void routing_wait_done(struct waxwing_routing_waiter *waiter, bool in_force)
{
	struct routing_wait *wait = (struct routing_wait *)waiter;

	g_assert_cmpint(wait->done_ms, ==, 0);
	wait->done_ms = sim_now(wait->sim);
	wait->in_force = in_force;
}

/*
 * A request that arrives before its node has read the configuration waits for it, unless the store
 * does not answer in time or the caller leaves.
 */
static void test_await_routing(void)
{
	struct cluster_sim *sim = create_settled_sim(1);
	struct routing_wait waits[3];
	int64_t start_ms;

	for (int i = 0; i < 3; i++)
		waits[i] = (struct routing_wait){ { .done = routing_wait_done, .timeout_ms = 1500 },
						  .sim = sim };
	node_kill(sim, 0);
	node_kill(sim, 1);
	sim->hosts[1].store_unreachable = true;
	node_start(sim, 0);
	node_start(sim, 1);
	start_ms = sim_now(sim);
	waxwing_node_await_routing(sim->hosts[0].node, &waits[0].waiter);
	waxwing_node_await_routing(sim->hosts[1].node, &waits[1].waiter);
	waxwing_node_await_routing(sim->hosts[1].node, &waits[2].waiter);
	waxwing_node_cancel_routing_wait(sim->hosts[1].node, &waits[2].waiter);
	sim_run(sim, 1500);
	g_assert_true(waits[0].in_force);
	g_assert_cmpint(waits[0].done_ms - start_ms, <=, 50);
	g_assert_cmpuint(waits[0].waiter.waited_ms, ==, waits[0].done_ms - start_ms);
	g_assert_false(waits[1].in_force);
	g_assert_cmpint(waits[1].done_ms - start_ms, >=, 600);
	g_assert_cmpint(waits[1].done_ms - start_ms, <=, 650);
	g_assert_cmpint(waits[2].done_ms, ==, 0);
	sim_destroy(sim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node_change/power_cycle", test_power_cycle);
	g_test_add_func("/node_change/outdated_news", test_outdated_news);
	g_test_add_func("/node_change/abort_answers_queries", test_abort_answers_queries);
	g_test_add_func("/node_change/await_routing", test_await_routing);
	g_test_add_func("/node_change/leaving_serves", test_leaving_serves);
	g_test_add_func("/node_change/domain_restarts", test_domain_restarts);
	g_test_add_func("/node_change/hand_back_needs_store", test_hand_back_needs_store);
	g_test_add_func("/node_change/isolated_without_owner", test_isolated_without_owner);
	g_test_add_func("/node_change/silence_before_message", test_silence_before_message);
	g_test_add_func("/node_change/former_owner_wakes", test_former_owner_wakes);
	g_test_add_func("/node_change/release_unanswered", test_release_unanswered);
	return g_test_run();
}
