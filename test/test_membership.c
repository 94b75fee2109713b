#include "clock.h"
#include "membership.h"

#define MEMBERS_MAX	  800
#define STEP_MS		  50
#define FAN_OUT		  8
#define DEATH_ROUNDS	  6 /* number of deaths in each call of check_deaths() */
#define DEATH_DETECTED_MS 5000 /* limit for all nodes of the domain to detect a death */
#define BYTES_BUDGET	  5000 /* bytes per second and node */

struct sim_node {
	struct waxwing_membership *membership;
	uint64_t incarnation;
	char name[16];
	char address[24];
	const char *domain;
	int side; /**< side of a network partition that the node is on */
	bool down;
	bool paused; /**< gets no messages and no ticks */
	uint64_t scheduler;
};

struct message {
	size_t to;
	Waxwing__Heartbeat *heartbeat;
};

/** Simulated network, which delivers heartbeats one step after they were sent. */
struct net {
	struct sim_node nodes[MEMBERS_MAX];
	size_t count;
	int64_t now_ms;
	int drop_percent;
	uint64_t incarnations; /**< number of incarnations assigned so far */
	GHashTable *by_address;
	GArray *messages;
	struct waxwing_platform_instance items[MEMBERS_MAX];
	uint64_t sent_bytes;
	uint64_t sent; /**< number of heartbeats sent */
};

static void node_start(struct net *net, struct sim_node *node)
{
	struct waxwing_platform_list list = { net->items, net->count, 1 };
	struct waxwing_membership_options options = {
		.name = waxwing_str(node->name),
		.domain = waxwing_str(node->domain),
		.http_address = waxwing_str("127.0.0.1:8080"),
		.peer_address = waxwing_str(node->address),
		.incarnation = ++net->incarnations * 0x9e3779b97f4a7c15u,
		.seed = g_test_rand_int(),
		.fan_out = FAN_OUT,
	};

	waxwing_membership_destroy(node->membership);
	node->membership = waxwing_membership_create(&options, net->now_ms);
	node->incarnation = options.incarnation;
	waxwing_membership_set_instances(node->membership, net->now_ms, &list);
}

static struct net *net_create(size_t count, size_t domains, int drop_percent)
{
	static const char *const names[] = { "can-tho", "an-giang", "dong-thap", "soc-trang" };
	struct net *net = g_new0(struct net, 1);

	net->count = count;
	net->drop_percent = drop_percent;
	net->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	net->messages = g_array_new(false, false, sizeof(struct message));
	for (size_t i = 0; i < count; i++) {
		struct sim_node *node = &net->nodes[i];

		g_snprintf(node->name, sizeof(node->name), "n-%zu", i);
		g_snprintf(node->address, sizeof(node->address), "10.0.%zu.%zu:7000", i / 250,
			   i % 250);
		node->domain = names[i % domains];
		g_hash_table_insert(net->by_address, node->address, node);
		net->items[i] = (struct waxwing_platform_instance){
			node->name, "127.0.0.1:8080", node->address, (char *)node->domain, 0, false
		};
	}
	for (size_t i = 0; i < count; i++)
		node_start(net, &net->nodes[i]);
	return net;
}

static void net_destroy(struct net *net)
{
	for (guint i = 0; i < net->messages->len; i++)
		waxwing__heartbeat__free_unpacked(
			g_array_index(net->messages, struct message, i).heartbeat, NULL);
	for (size_t i = 0; i < net->count; i++)
		waxwing_membership_destroy(net->nodes[i].membership);
	g_array_free(net->messages, true);
	g_hash_table_destroy(net->by_address);
	g_free(net);
}

static void deliver(struct net *net)
{
	GArray *messages = net->messages;

	net->messages = g_array_new(false, false, sizeof(struct message));
	for (guint i = 0; i < messages->len; i++) {
		struct message *message = &g_array_index(messages, struct message, i);
		struct sim_node *node = &net->nodes[message->to];

		if (!node->down && !node->paused)
			waxwing_membership_receive_heartbeat(node->membership, net->now_ms,
							     message->heartbeat);
		waxwing__heartbeat__free_unpacked(message->heartbeat, NULL);
	}
	g_array_free(messages, true);
}

static void send_due_heartbeat(struct net *net, struct sim_node *node)
{
	struct waxwing_str addresses[2 * FAN_OUT];
	Waxwing__Heartbeat heartbeat;
	uint8_t packed[4096];
	size_t watchers;
	size_t targets =
		waxwing_membership_next_heartbeat(node->membership, net->now_ms, &heartbeat,
						  addresses, G_N_ELEMENTS(addresses), &watchers);
	size_t bytes;

	g_assert_cmpuint(targets, <=, FAN_OUT);
	g_assert_cmpuint(watchers, <=, targets);
	net->sent += targets;
	for (size_t i = 0; i < targets; i++) {
		char *address = waxwing_str_dup(addresses[i]);
		const struct sim_node *to = g_hash_table_lookup(net->by_address, address);
		struct message message;

		g_free(address);
		heartbeat.has_watched = heartbeat.watched = i < watchers;
		bytes = waxwing__heartbeat__get_packed_size(&heartbeat);
		g_assert_cmpuint(bytes, <=, sizeof(packed));
		waxwing__heartbeat__pack(&heartbeat, packed);
		net->sent_bytes += bytes;
		g_assert_nonnull(to);
		g_assert_true(to != node);
		if (to->side != node->side || g_test_rand_int_range(0, 100) < net->drop_percent)
			continue;
		message.to = (size_t)(to - net->nodes);
		message.heartbeat = waxwing__heartbeat__unpack(NULL, bytes, packed);
		g_array_append_val(net->messages, message);
	}
}

static size_t count_dead(const struct sim_node *node)
{
	struct waxwing_member member;
	size_t dead = 0;

	for (size_t i = 0; waxwing_membership_member_at(node->membership, i, &member); i++)
		dead += member.incarnation && !member.alive;
	return dead;
}

static void run_for(struct net *net, int64_t ms)
{
	for (int64_t end_ms = net->now_ms + ms; net->now_ms < end_ms;) {
		net->now_ms += STEP_MS;
		deliver(net);
		for (size_t i = 0; i < net->count; i++) {
			struct sim_node *node = &net->nodes[i];

			if (node->down || node->paused)
				continue;
			waxwing_membership_tick(node->membership, net->now_ms);
			send_due_heartbeat(net, node);
		}
	}
}

/** Checks that all running nodes on one side agree on a scheduler that is one of them. */
static void check_agreement(const struct net *net, int side)
{
	uint64_t scheduler = 0;
	bool found = false;

	for (size_t i = 0; i < net->count; i++) {
		const struct sim_node *node = &net->nodes[i];
		uint64_t seen;

		if (node->down || node->paused || node->side != side)
			continue;
		seen = waxwing_membership_scheduler(node->membership, 0);
		if (!scheduler)
			scheduler = seen;
		g_assert_cmpuint(seen, ==, scheduler);
		found |= node->incarnation == scheduler;
	}
	g_assert_true(found || !scheduler);
}

static void inject_fault(struct net *net)
{
	struct sim_node *node = &net->nodes[g_test_rand_int_range(0, (gint32)net->count)];

	switch (g_test_rand_int_range(0, 5)) {
	case 0:
		node->down = !node->down;
		if (!node->down)
			node_start(net, node);
		break;
	case 1:
		node->paused = !node->paused;
		break;
	case 2:
		node_start(net, node);
		break;
	case 3:
		for (size_t i = 0; i < net->count; i++)
			net->nodes[i].side = g_test_rand_int_range(0, 2);
		break;
	default:
		for (size_t i = 0; i < net->count; i++)
			net->nodes[i].side = 0;
	}
}

/**
 * Time after which all nodes must know of a change: twice the time until a member is considered
 * dead, and a margin.
 */
static int64_t settle_ms(size_t members)
{
	int64_t direct_ms = (int64_t)(6 * 250 * (members / (FAN_OUT - 1) + 1));

	return 2 * MAX(1500, direct_ms) + 4000;
}

static void test_agreement(void)
{
	for (int round = 0; round < 12; round++) {
		size_t members = (size_t)g_test_rand_int_range(2, 41);
		struct net *net = net_create(members, 1, g_test_rand_int_range(0, 11));

		for (int events = 0; events < 10; events++) {
			inject_fault(net);
			run_for(net, g_test_rand_int_range(0, 6000));
		}
		run_for(net, settle_ms(members));
		check_agreement(net, 0);
		check_agreement(net, 1);
		for (size_t i = 0; i < members; i++)
			net->nodes[i].side = 0;
		run_for(net, settle_ms(members));
		check_agreement(net, 0);
		net_destroy(net);
	}
}

static void set_upstream_list(struct net *net, size_t node, bool leaving)
{
	struct waxwing_platform_instance item = { "u-1", "10.1.0.1:80", "", "can-tho", 8, leaving };
	struct waxwing_platform_list list = { &item, 1, 1 };

	waxwing_membership_set_upstreams(net->nodes[node].membership, net->now_ms, &list);
}

static size_t count_state(const struct net *net, enum waxwing_upstream_state state)
{
	struct waxwing_upstream upstream;
	size_t count = 0;

	for (size_t i = 0; i < net->count; i++)
		count += waxwing_membership_upstream_at(net->nodes[i].membership, 0, &upstream) &&
			 upstream.state == state;
	return count;
}

static void test_leaving_upstream(void)
{
	for (int round = 0; round < 8; round++) {
		size_t members = (size_t)g_test_rand_int_range(2, 41);
		struct net *net = net_create(members, 1, 10);
		size_t first = (size_t)g_test_rand_int_range(0, (gint32)members);

		for (size_t i = 0; i < members; i++)
			set_upstream_list(net, i, false);
		run_for(net, 3000);
		if (round % 2)
			set_upstream_list(net, first, true);
		else
			waxwing_membership_mark_upstream_leaving(net->nodes[first].membership,
								 net->now_ms, waxwing_str("u-1"));
		run_for(net, 2000);
		g_assert_cmpuint(count_state(net, WAXWING_UPSTREAM_LEAVING), ==, members);
		/*
		 * The list still shows the upstream as live, then as leaving, then as live again.
		 * The nodes see each change at a different time.
		 */
		for (size_t i = 0; i < members; i++)
			set_upstream_list(net, i, false);
		g_assert_cmpuint(count_state(net, WAXWING_UPSTREAM_LEAVING), >=, members - 1);
		for (size_t i = 0; i < members; i++) {
			set_upstream_list(net, i, true);
			run_for(net, STEP_MS);
			set_upstream_list(net, i, false);
		}
		run_for(net, 10000);
		g_assert_cmpuint(count_state(net, WAXWING_UPSTREAM_LIVE), ==, members);
		net_destroy(net);
	}
}

/** The version increases only when an upstream changes. */
static void test_upstream_version(void)
{
	struct net *net = net_create(2, 1, 0);
	const struct waxwing_membership *membership = net->nodes[0].membership;
	struct waxwing_upstream upstream;
	uint64_t version;

	g_assert_cmpuint(waxwing_membership_upstreams_version(membership), ==, 0);
	set_upstream_list(net, 0, false);
	version = waxwing_membership_upstreams_version(membership);
	g_assert_cmpuint(version, >, 0);
	set_upstream_list(net, 0, false);
	run_for(net, 1000);
	g_assert_cmpuint(waxwing_membership_upstreams_version(membership), ==, version);
	set_upstream_list(net, 0, true);
	g_assert_cmpuint(waxwing_membership_upstreams_version(membership), >, version);
	g_assert_true(waxwing_membership_find_upstream(membership, waxwing_str("u-1"), &upstream));
	g_assert_cmpint(upstream.state, ==, WAXWING_UPSTREAM_LEAVING);
	g_assert_cmpuint(upstream.version, ==, waxwing_membership_upstreams_version(membership));
	g_assert_false(waxwing_membership_find_upstream(membership, waxwing_str("u"), &upstream));
	net_destroy(net);
}

/**
 * A node that was paused considers no other node dead. Other nodes know the successors of nodes
 * that left.
 */
static void test_pause_and_leave(void)
{
	struct net *net = net_create(6, 1, 0);
	struct waxwing_member member;
	uint64_t chain[2] = { net->nodes[1].incarnation, net->nodes[2].incarnation };

	run_for(net, 3000);
	net->nodes[0].paused = true;
	run_for(net, 5000);
	net->nodes[0].paused = false;
	g_assert_cmpuint(count_dead(&net->nodes[0]), ==, 0);
	waxwing_membership_tick(net->nodes[0].membership, net->now_ms);
	g_assert_cmpuint(count_dead(&net->nodes[0]), ==, 0);
	run_for(net, 3000);
	check_agreement(net, 0);
	waxwing_membership_leave(net->nodes[1].membership, net->now_ms, chain[1]);
	run_for(net, 1000);
	g_assert_true(waxwing_membership_find_member(net->nodes[5].membership, chain[0], &member));
	g_assert_true(member.leaving);
	net->nodes[1].down = true;
	waxwing_membership_leave(net->nodes[2].membership, net->now_ms, net->nodes[3].incarnation);
	run_for(net, 3000);
	g_assert_cmpuint(waxwing_membership_last_successor(net->nodes[5].membership, chain[0]), ==,
			 net->nodes[3].incarnation);
	g_assert_cmpuint(waxwing_membership_scheduler(net->nodes[5].membership, 0), !=, chain[0]);
	g_assert_cmpuint(waxwing_membership_scheduler(net->nodes[5].membership, 0), !=, chain[1]);
	net_destroy(net);
}

/**
 * After all nodes were replaced one by one, each knows the last successor of the first
 * incarnations.
 */
static void test_replacement(void)
{
	struct net *net = net_create(4, 1, 10);
	uint64_t former[8];
	size_t count = 0;

	run_for(net, 3000);
	for (size_t i = 0; i < net->count; i++) {
		struct sim_node *leaver = &net->nodes[i];
		struct sim_node *successor = &net->nodes[(i + 1) % net->count];

		former[count++] = leaver->incarnation;
		waxwing_membership_leave(leaver->membership, net->now_ms, successor->incarnation);
		waxwing_membership_set_inherited(successor->membership, former, count);
		run_for(net, 500);
		node_start(net, leaver);
		run_for(net, 3000);
	}
	/*
	 * Restart all nodes but the last successor, so that only it knows of the former
	 * incarnations.
	 */
	for (size_t i = 1; i < net->count; i++)
		node_start(net, &net->nodes[i]);
	run_for(net, 1500);
	for (size_t i = 0; i < net->count; i++)
		for (size_t j = 0; i != 0 && j < count; j++)
			g_assert_cmpuint(waxwing_membership_last_successor(net->nodes[i].membership,
									   former[j]),
					 ==, net->nodes[0].incarnation);
	net_destroy(net);
}

/** Listed members that were never heard from get heartbeats but are never selected as scheduler. */
static void test_list_only(void)
{
	struct net *net = net_create(20, 1, 0);

	for (size_t i = 1; i < net->count; i++)
		net->nodes[i].down = true;
	run_for(net, 5000);
	g_assert_cmpuint(waxwing_membership_scheduler(net->nodes[0].membership, 0), ==,
			 net->nodes[0].incarnation);
	g_assert_cmpuint(net->sent, >=, 5000 / 250 - 1);
	net_destroy(net);
}

/**
 * Returns the bytes per second that a node sent after a warm-up. *@dead counts the members
 * considered dead by any node, sampled every 250 ms; all nodes are running.
 */
static double measure_bytes(struct net *net, int64_t warm_up_ms, int64_t measured_ms, size_t *dead)
{
	run_for(net, warm_up_ms);
	net->sent_bytes = 0;
	*dead = 0;
	for (int64_t ms = 0; ms < measured_ms; ms += 250) {
		run_for(net, 250);
		for (size_t i = 0; i < net->count; i++)
			*dead += count_dead(&net->nodes[i]);
	}
	return (double)net->sent_bytes * 1000 / (double)measured_ms / (double)net->count;
}

static bool death_detected(const struct net *net, const struct sim_node *victim)
{
	struct waxwing_member member;

	for (size_t i = 0; i < net->count; i++) {
		const struct sim_node *node = &net->nodes[i];

		if (node == victim || node->domain != victim->domain)
			continue;
		if (!waxwing_membership_find_member(node->membership, victim->incarnation,
						    &member) ||
		    member.alive)
			return false;
	}
	return true;
}

static void check_rate_and_death(size_t members, size_t domains)
{
	struct net *net = net_create(members, domains, 2);
	int64_t killed_ms;
	size_t dead;
	double rate = measure_bytes(net, 30000, 10000, &dead);

	killed_ms = net->now_ms;
	net->nodes[0].down = true;
	while (!death_detected(net, &net->nodes[0]) && net->now_ms < killed_ms + 300000)
		run_for(net, 250);
	g_test_message(
		"%zu members in %zu domains: %.0f bytes/s per node, %zu live members considered "
		"dead, a death detected by its whole domain after %ld ms",
		members, domains, rate, dead, (long)(net->now_ms - killed_ms));
	g_assert_cmpfloat(rate, <=, BYTES_BUDGET);
	g_assert_cmpuint(dead, ==, 0);
	net_destroy(net);
}

/** Counts the pairs of a running node and another running node that considers it dead. */
static size_t count_false_deaths(const struct net *net)
{
	struct waxwing_member member;
	size_t count = 0;

	for (size_t i = 0; i < net->count; i++)
		for (size_t j = 0; j < net->count; j++)
			count += !net->nodes[i].down && !net->nodes[j].down &&
				 waxwing_membership_find_member(net->nodes[i].membership,
								net->nodes[j].incarnation,
								&member) &&
				 !member.alive;
	return count;
}

static int64_t kill_and_detect_ms(struct net *net, struct sim_node *victim)
{
	int64_t killed_ms = net->now_ms;

	victim->down = true;
	while (!death_detected(net, victim) && net->now_ms < killed_ms + 60000)
		run_for(net, STEP_MS);
	return net->now_ms - killed_ms;
}

/** A whole domain of any size detects a death in time, and no running node is considered dead. */
static void check_deaths(size_t members, int drop_percent)
{
	struct net *net = net_create(members, 1, drop_percent);
	int64_t longest_ms = 0;
	int64_t detected_ms;

	run_for(net, 20000);
	for (int round = 0; round < DEATH_ROUNDS; round++) {
		struct sim_node *victim = &net->nodes[g_test_rand_int_range(0, (gint32)net->count)];

		detected_ms = kill_and_detect_ms(net, victim);
		longest_ms = MAX(longest_ms, detected_ms);
		victim->down = false;
		node_start(net, victim);
		for (int64_t ms = 0; ms < 10000; ms += 250) {
			run_for(net, 250);
			g_assert_cmpuint(count_false_deaths(net), ==, 0);
		}
	}
	g_test_message("%zu members, %d%% of messages lost: a death detected after at most %ld ms",
		       members, drop_percent, (long)longest_ms);
	g_assert_cmpint(longest_ms, <=, DEATH_DETECTED_MS);
	net_destroy(net);
}

static void test_deaths(void)
{
	check_deaths(3, 5);
	check_deaths(13, 5);
	check_deaths(80, 2);
	check_deaths(80, 5);
}

/** Simulates the batches that the scheduler sends to its issuers. */
static void deliver_scheduler_batches(struct net *net)
{
	uint64_t scheduler = waxwing_membership_scheduler(net->nodes[0].membership, 0);

	for (size_t i = 0; i < net->count; i++)
		waxwing_membership_receive_batch(net->nodes[i].membership, net->now_ms, scheduler);
}

/** A dead scheduler is replaced as fast in a large domain as in a small one. */
static void test_scheduler_death(void)
{
	struct net *net = net_create(40, 1, 5);
	uint64_t scheduler;

	for (int i = 0; i < 60; i++) {
		run_for(net, 250);
		deliver_scheduler_batches(net);
	}
	check_agreement(net, 0);
	scheduler = waxwing_membership_scheduler(net->nodes[0].membership, 0);
	for (size_t i = 0; i < net->count; i++)
		net->nodes[i].down = net->nodes[i].incarnation == scheduler;
	run_for(net, 1500 + 500);
	check_agreement(net, 0);
	for (size_t i = 0; i < net->count; i++)
		if (!net->nodes[i].down)
			g_assert_cmpuint(waxwing_membership_scheduler(net->nodes[i].membership, 0),
					 !=, scheduler);
	net_destroy(net);
}

/**
 * Traffic per node doesn't depend on the number of members; send_due_heartbeat() checks the
 * fan-out.
 */
static void test_cost(void)
{
	struct net *net = net_create(MEMBERS_MAX, 4, 2);
	size_t dead;
	double rate = measure_bytes(net, 8000, 2000, &dead);

	g_test_message("%d members in 4 domains: %.0f bytes/s per node", MEMBERS_MAX, rate);
	g_assert_cmpfloat(rate, <=, BYTES_BUDGET);
	net_destroy(net);
	check_rate_and_death(8, 1);
	check_rate_and_death(32, 4);
	check_rate_and_death(80, 4);
}

static void set_lists_without(struct net *net, size_t left_out)
{
	struct waxwing_platform_instance items[MEMBERS_MAX];
	struct waxwing_platform_list list = { .items = items };

	for (size_t i = 0; i < net->count; i++)
		if (i != left_out)
			items[list.count++] = net->items[i];
	for (size_t i = 0; i < net->count; i++)
		waxwing_membership_set_instances(net->nodes[i].membership, net->now_ms, &list);
}

/**
 * Takes the released addresses of all nodes, each of which must be that of @expected; returns their
 * number.
 */
static size_t count_released(struct net *net, const struct sim_node *expected)
{
	size_t count = 0;
	char *address;

	for (size_t i = 0; i < net->count; i++)
		while (!net->nodes[i].down &&
		       (address = waxwing_membership_take_released_address(net->nodes[i].membership,
									   net->now_ms)) != NULL) {
			g_assert_nonnull(expected);
			g_assert_cmpstr(address, ==, expected->address);
			g_free(address);
			count++;
		}
	return count;
}

/**
 * The address of a dead member is released once it is unlisted and has been unresponsive for
 * WAXWING_PROBE_MS. The address of a replaced member, which its successor uses, isn't.
 */
static void test_address_release(void)
{
	struct net *net = net_create(4, 1, 5);

	run_for(net, 3000);
	node_start(net, &net->nodes[2]);
	net->nodes[1].down = true;
	run_for(net, 700 * 1000);
	g_assert_cmpuint(count_released(net, NULL), ==, 0);
	set_lists_without(net, 1);
	run_for(net, 250);
	g_assert_cmpuint(count_released(net, &net->nodes[1]), ==, 3);
	set_lists_without(net, net->count);
	run_for(net, 250);
	net->nodes[1].down = false;
	run_for(net, 3000);
	g_assert_cmpuint(count_released(net, NULL), ==, 0);
	net->nodes[1].down = true;
	run_for(net, 3000);
	set_lists_without(net, 1);
	run_for(net, 590 * 1000);
	g_assert_cmpuint(count_released(net, NULL), ==, 0);
	run_for(net, 15 * 1000);
	g_assert_cmpuint(count_released(net, &net->nodes[1]), ==, 3);
	/* The address is released again when the member's record is removed. */
	run_for(net, 3600 * 1000);
	g_assert_cmpuint(count_released(net, &net->nodes[1]), ==, 3);
	net_destroy(net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/membership/agreement", test_agreement);
	g_test_add_func("/membership/leaving_upstream", test_leaving_upstream);
	g_test_add_func("/membership/upstream_version", test_upstream_version);
	g_test_add_func("/membership/pause_and_leave", test_pause_and_leave);
	g_test_add_func("/membership/replacement", test_replacement);
	g_test_add_func("/membership/scheduler_death", test_scheduler_death);
	g_test_add_func("/membership/list_only", test_list_only);
	g_test_add_func("/membership/gone", test_address_release);
	g_test_add_func("/membership/deaths", test_deaths);
	g_test_add_func("/membership/cost", test_cost);
	return g_test_run();
}
