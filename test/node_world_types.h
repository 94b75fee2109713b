/** What the world in virtual time is made of, and its events. Part of node_world.h. */
#ifndef WAXWING_TEST_NODE_WORLD_TYPES_H
#define WAXWING_TEST_NODE_WORLD_TYPES_H

#include "node.h"

#include <stdio.h>
#include <stdlib.h>

#define NODES		  6
#define ZONES		  3
#define EXECUTORS	  12
#define EXECUTOR_CPU	  16000
#define WAY_MS		  1
#define STORE_WAY_MS	  2
#define CALL_TIMEOUT_MS	  1000
#define LEASE_MOST_MS	  1000
#define STOP_MS		  50
#define RESEND_MS	  1300
#define ASK_MS		  300
#define WORK_MOST_MS	  400
#define CLIENT_TASKS_MOST 4
/* Times that a repeated job's step runs, and between two of them. */
#define REPETITIONS 3
#define INTERVAL_MS 300
/* The time of day of the world's clock at 0, since 1970. */
#define DAY_MS 1700000000000
/* An occurrence may start so much before its time, and so much more when clocks jump: by the users' pages. */
#define EARLY_MS	 250
#define EARLY_JUMPED_MS	 5000
#define STORE_WATCH_KEYS 64

struct world;

struct event {
	int64_t due_ms;
	uint64_t sequence;
	void (*happen)(struct world *world, void *data);
	void *data;
};

struct store_entry {
	char *value;
	size_t len;
	uint64_t revision;
	uint64_t lease;
};

struct store_event {
	char *key;
	char *value;
	size_t len;
	uint64_t revision;
	bool deleted;
};

struct store_lease {
	uint64_t id;
	uint32_t ttl_ms;
	int64_t until_ms;
};

struct watcher {
	struct store_call *call;
	int64_t until_ms;
};

struct world_node {
	struct waxwing_store store; /* first: the node's own way to the store */
	struct world *world;
	int index;
	int zone;
	struct waxwing_executors executors;
	struct waxwing_permits permits;
	struct waxwing_link link;
	struct waxwing_node *node; /* null: dead */
	uint64_t incarnation;
	int64_t frozen_until_ms;
	GPtrArray *held; /* events that came while it was frozen */
	struct waxwing_virtual_clock day; /* its time of day */
	int64_t day_off_ms; /* by how much that is wrong */
	bool store_cut;
	bool deaf; /* other nodes' messages to it are lost */
	int64_t lag_ms; /* its messages are read so late */
	char name[32];
	char address[32];
};

struct executor_run {
	struct waxwing_run_name name;
	int64_t started_ms;
	int64_t ends_ms;
	int64_t stops_ms; /* 0: it is not being stopped */
};

struct world_executor {
	int index;
	int zone;
	char id[16];
	GArray *runs; /* struct executor_run */
	GArray *ended; /* struct waxwing_ended_row */
	GArray *ended_ms; /* int64_t: when each of them came about */
	int64_t lapsed_ms; /* its lease was over for the last time; what ended before counts as not noted */
	uint64_t last_end;
	uint64_t forgotten_upto; /* ends that were acknowledged */
	uint64_t token;
	int64_t lease_until_ms; /* on its clock */
	int64_t offset_ms; /* of its clock */
	double pace; /* of its clock: it may be 2% slow */
	int64_t relist_ms; /* its entry has lapsed, and is back then; 0: it is listed */
	int64_t born_ms;
	bool dark; /* answers nothing and is reached by nothing */
	bool cut; /* from all nodes; runs on */
	double speed;
	GPtrArray *holds; /* struct executor_call that wait for an end */
};

enum client_state {
	CLIENT_WAITS,
	CLIENT_STORED, /* its job is kept, and asked for */
	CLIENT_SERVED,
	CLIENT_REFUSED, /* every submission was */
	CLIENT_LEFT,
};

struct client_job {
	struct waxwing_ticket ticket; /* first */
	struct waxwing_ask_ticket ask;
	struct world *world;
	uint64_t id;
	bool kept;
	bool asking;
	uint64_t noted; /* tasks, by bit, whose end was acknowledged */
	int64_t last_start_ms[CLIENT_TASKS_MOST * REPETITIONS]; /* by task */
	bool permitted; /* only some executors may run it */
	uint32_t repetitions; /* 0: it runs once */
	int64_t first_ms; /* of the world's clock, when its first occurrence is due */
	enum client_state state;
	int node;
	uint64_t incarnation; /* of the node it waits at */
	uint32_t tasks;
	uint32_t work_ms;
	uint32_t tries;
	bool started;
	bool asleep; /* until it sends again */
	uint32_t done;
	int64_t sent_ms;
};

struct world {
	struct waxwing_virtual_clock clock;
	GSequence *events;
	uint64_t sequence;
	GRand *random;
	/* store */
	GHashTable *entries; /* key -> store_entry */
	GPtrArray *history; /* store_event */
	GArray *leases;
	GPtrArray *watchers;
	uint64_t revision;
	uint64_t next_lease;
	bool store_down;
	bool store_silent; /* takes calls, and never answers them; waiting watches are lost */
	double store_lost_share; /* of changes: done, and not answered */
	double kept_share; /* of jobs that must be kept */
	double repeated_share; /* of those: at set times */
	double permit_share; /* of jobs that only some executors may run */
	double permits_lost_share; /* of questions about that: not answered */
	bool day_jumped; /* some machine's time of day was off */
	int64_t latest_ms; /* that a first run of an occurrence began after its time, or its job's acceptance */
	uint32_t work_most_ms; /* of a task */
	double late_share; /* of orders: not answered, and carried out seconds later */
	bool zone_cut[ZONES]; /* from the other failure domains and the store */
	bool zone_shunned[ZONES]; /* callers do not come to its nodes */
	struct world_node nodes[NODES];
	struct world_executor executors[EXECUTORS];
	GHashTable *jobs; /* id -> client_job */
	uint64_t next_job;
	uint32_t violations;
	uint32_t starts;
	char first_violation[200];
};

/* A task of a job, whichever of its occurrences it is of. */
static uint32_t task_slot(const struct waxwing_run_name *name)
{
	return name->occurrence * CLIENT_TASKS_MOST + name->index;
}

static uint32_t client_task_count(const struct client_job *job)
{
	return job->tasks * MAX(job->repetitions, 1);
}

static int64_t world_now(const struct world *world)
{
	return world->clock.now_ms;
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)user;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void world_later(struct world *world, int64_t after_ms,
			void (*happen)(struct world *world, void *data), void *data)
{
	struct event *event = g_new0(struct event, 1);

	event->due_ms = world_now(world) + after_ms;
	event->sequence = world->sequence++;
	event->happen = happen;
	event->data = data;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

static void world_violation(struct world *world, const char *rule, uint64_t job, uint32_t index)
{
	if (!world->violations++)
		snprintf(world->first_violation, sizeof(world->first_violation),
			 "%s at %lld ms: job %llu task %u", rule, (long long)world_now(world),
			 (unsigned long long)job, index);
}

static bool world_chance(struct world *world, double share)
{
	return share > 0 && g_rand_double(world->random) < share;
}

/* True when two failure domains reach each other; -1 is the store's. */
static bool zones_meet(const struct world *world, int a, int b)
{
	if (a == b)
		return true;
	return !(a >= 0 && world->zone_cut[a]) && !(b >= 0 && world->zone_cut[b]);
}

/* A node that the process of an answer or message is still alive in. */
static struct world_node *node_alive(struct world *world, int index, uint64_t incarnation)
{
	struct world_node *at = &world->nodes[index];

	return at->node && at->incarnation == incarnation ? at : NULL;
}

/* Keeps what happens at a frozen node until it runs again. */
static bool hold_back(struct world_node *at, void (*happen)(struct world *, void *), void *data)
{
	struct event *event;

	if (at->frozen_until_ms <= world_now(at->world))
		return false;
	event = g_new0(struct event, 1);
	event->happen = happen;
	event->data = data;
	g_ptr_array_add(at->held, event);
	return true;
}

#endif
