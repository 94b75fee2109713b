/** Types and event queue of the cluster simulation in virtual time. Part of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_TYPES_H
#define WAXWING_TEST_NODE_SIM_TYPES_H

#include "node.h"

#include <stdio.h>
#include <stdlib.h>

/* A test file may set another number before it includes the simulation. */
#ifndef NODES
#define NODES 6
#endif
#define ZONES		      3
#define EXECUTORS	      12
#define EXECUTOR_CPU_MILLI    16000
#define NETWORK_DELAY_MS      1
#define STORE_DELAY_MS	      2
#define STORE_CALL_TIMEOUT_MS 1000
#define MAX_LEASE_MS	      1000
#define STOP_MS		      50
#define RESUBMIT_DELAY_MS     1300
/* How long a client waits for a job's answer, unless a test sets another time. */
#define CLIENT_PATIENCE_MS 6000
#define QUERY_INTERVAL_MS  300
#define MAX_WORK_MS	   400
#define MAX_CLIENT_TASKS   4
#define MAX_CLIENT_STEPS   2
#define MAX_ATTEMPTS	   3
/* Number of occurrences of a repeated job, and the interval between them. */
#define REPETITIONS	       3
#define OCCURRENCE_INTERVAL_MS 300
/* Tasks of a client's job in all steps and occurrences; they are the bits of a bit set. */
#define MAX_CLIENT_TASK_BITS (MAX_CLIENT_TASKS * MAX_CLIENT_STEPS * REPETITIONS)
/* Longest time from a job's acceptance to its cancellation. */
#define MAX_CANCEL_AFTER_MS 1500
/* Time after the acknowledgement of a cancellation in which tasks may still start. */
#define CANCEL_MS 3000
/* Time of day, in ms since 1970, when the simulation's clock is at 0. */
#define DAY_CLOCK_START_MS 1700000000000
/* How early an occurrence may start, normally and after clock jumps, as documented for users. */
#define MAX_EARLY_MS	    250
#define MAX_EARLY_JUMPED_MS 5000
#define STORE_WATCH_KEYS    64

/* evacuation_ms of nodes that are started; 0: they know no evacuations */
static uint32_t sim_evacuation_ms;

struct cluster_sim;

struct sim_event {
	int64_t due_ms;
	uint64_t sequence;
	void (*callback)(struct cluster_sim *sim, void *data);
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
	int64_t expires_ms;
};

struct store_watcher {
	struct store_call *call;
	int64_t timeout_at_ms;
};

struct sim_host {
	/* must be the first member; the node's connection to the store */
	struct waxwing_store store;
	struct cluster_sim *sim;
	int index;
	int zone;
	struct waxwing_executors executors;
	struct waxwing_permits permits;
	struct waxwing_link link;
	struct waxwing_node *node; /* null: the node's process is not running */
	uint64_t incarnation;
	int64_t frozen_until_ms;
	GPtrArray *deferred_events; /* struct sim_event received while the process was frozen */
	struct waxwing_virtual_clock day; /* the host's time of day */
	int64_t day_offset_ms; /* error of the host's time of day */
	bool store_unreachable;
	bool store_requests_lost; /* the store's answers to earlier requests still arrive */
	bool leaving;
	bool drops_incoming; /* messages from other nodes are lost */
	int64_t receive_delay_ms; /* delay until the node reads a message */
	int64_t list_read_ms; /* last time at which the node called for executors' entries */
	bool operator_calls_lost; /* calls for the keys below "op/" are not answered */
	/* calls for the keys below "op/", and the prefix of the last of them */
	uint32_t operator_calls;
	char operator_prefix[32];
	int64_t owners_read_ms; /* the same for the owners' entries */
	char name[32];
	char address[32];
};

struct executor_run {
	struct waxwing_run_id run_id;
	int64_t started_ms;
	int64_t done_ms;
	int64_t stop_done_ms; /* 0: the run is not being stopped */
};

struct sim_executor {
	int index;
	int zone;
	char id[16];
	GArray *runs; /* struct executor_run */
	GArray *ended; /* struct waxwing_ended_run */
	GArray *ended_at_ms; /* int64_t, end time of the run at the same index in ended */
	/* last time at which the lease had expired; acks of ends up to then are not recorded */
	int64_t last_expiry_ms;
	uint64_t last_end_number;
	uint64_t acked_upto; /* ends up to this number were acknowledged */
	uint64_t token;
	int64_t lease_expires_ms; /* on the executor's clock */
	int64_t clock_offset_ms; /* executor's clock minus the simulation's */
	double clock_rate; /* speed of the executor's clock; 0.98: 2% slow */
	int64_t relist_ms; /* time at which the expired entry returns; 0: the entry exists */
	int64_t started_ms;
	int64_t last_start_ms; /* when a run last started; 0: never */
	bool powered_off; /* neither runs tasks nor answers */
	bool isolated; /* unreachable from all nodes; continues to run tasks */
	bool isolated_from[NODES]; /* unreachable from this node */
	bool loses_answers; /* orders take effect, but no answer arrives */
	double speed;
	GPtrArray *pending_holds; /* struct executor_call waiting for a run to end */
};

enum client_state {
	CLIENT_WAITING,
	CLIENT_STORED, /* the job is stored, and the client queries its state */
	CLIENT_COMPLETED,
	CLIENT_REFUSED, /* the only submission was refused */
	CLIENT_ABANDONED,
	CLIENT_FAILED, /* a task of the durable job has failed MAX_ATTEMPTS times */
	CLIENT_CANCELLED,
};

/* One submission of a client's job. */
struct client_submission {
	struct waxwing_job_waiter waiter; /* must be the first member */
	struct client_job *job;
	int host_index;
	uint64_t incarnation; /* of the node process that serves the client */
	bool ended; /* answered, or the client has closed its connection */
};

struct client_job {
	struct waxwing_job_query query;
	GPtrArray *submissions; /* struct client_submission; the last is the current one */
	struct cluster_sim *sim;
	uint64_t id;
	bool durable;
	bool query_pending;
	/* bit set of tasks whose end was acknowledged, indexed by task_bit_index() */
	uint64_t acked_tasks;
	uint64_t done_tasks; /* the same of tasks that have ended as done */
	uint8_t failures[MAX_CLIENT_TASK_BITS]; /* failed runs, indexed by task_bit_index() */
	uint8_t acked_failures[MAX_CLIENT_TASK_BITS]; /* those of them that were acknowledged */
	int64_t last_start_ms[MAX_CLIENT_TASK_BITS]; /* indexed by task_bit_index() */
	uint32_t steps; /* each but the first depends on the one before it */
	bool cancel_wanted;
	int64_t cancelled_ms; /* when the cancellation was acknowledged; 0: it was not */
	bool permits_needed; /* only some executors may run the job */
	uint32_t repetitions; /* 0: the job runs once */
	int64_t first_ms; /* due time of the first occurrence, on the simulation's clock */
	enum client_state state;
	int host_index;
	uint32_t tasks;
	uint32_t work_ms;
	bool started;
	bool resubmit_scheduled;
	uint32_t completed_tasks;
	int64_t submitted_ms;
};

/* A message between nodes on its way. */
struct sim_packet {
	int to;
	uint64_t to_incarnation; /* 0: any process on the host */
	uint64_t sender;
	size_t len;
	uint8_t *data;
};

struct cluster_sim {
	struct waxwing_virtual_clock clock;
	GSequence *events;
	uint64_t sequence;
	GRand *random;
	/* called with each message before it is delivered; null: none */
	void (*corrupt_message)(struct sim_host *host, const struct sim_packet *packet);
	/* called when a run starts, with the node that ordered it; null: none */
	void (*run_started)(struct cluster_sim *sim, int host_index, int zone);
	/* state of the store: */
	GHashTable *entries; /* key -> struct store_entry */
	GPtrArray *history; /* struct store_event */
	GArray *leases;
	GPtrArray *watchers;
	uint64_t revision;
	uint64_t next_lease;
	uint64_t forgotten_revision; /* changes up to this revision are no longer available */
	bool store_down;
	bool store_unresponsive; /* calls are never answered, and pending watches are lost */
	double store_unanswered_share; /* share of changes that take effect without an answer */
	double durable_share; /* share of durable jobs */
	double repeated_share; /* share of durable jobs that repeat at set times */
	double step_share; /* share of durable jobs that have MAX_CLIENT_STEPS steps */
	double cancel_share; /* share of durable jobs that are cancelled */
	double task_failure_share; /* share of runs that fail */
	double permit_share; /* share of jobs that only some executors may run */
	/* share of queries to the permits service that are not answered */
	double permits_unanswered_share;
	bool day_jumped; /* some host's time of day was wrong */
	/*
	 * longest delay of an occurrence's first run after its due time or after the job's
	 * submission, whichever is later
	 */
	int64_t max_start_delay_ms;
	uint32_t max_work_ms; /* longest run time of a task */
	/* share of orders that are not answered and arrive seconds later */
	double late_order_share;
	/*
	 * share of orders that arrive late, but before the lease that they grant has expired, and
	 * are not answered in time
	 */
	double delayed_order_share;
	double lost_answer_share; /* share of orders that take effect without an answer */
	double slow_answer_share; /* of the answers to holds */
	double refused_start_share; /* of the starts; the executor does nothing */
	double closed_call_share; /* of the starts and holds; their connection is closed instead */
	double lost_message_share; /* share of messages between nodes that are lost */
	int64_t store_delay_ms; /* one-way delay of the store's calls */
	uint32_t client_patience_ms;
	bool events_first; /* a process that wakes handles its events before its timers */
	bool zone_isolated[ZONES]; /* isolated from the other failure domains and the store */
	bool zone_avoided[ZONES]; /* clients do not use this domain's nodes */
	struct sim_host hosts[NODES];
	struct sim_executor executors[EXECUTORS];
	GHashTable *jobs; /* id -> struct client_job */
	uint64_t next_job;
	uint32_t violations;
	uint32_t starts;
	uint32_t zone_starts[ZONES];
	uint32_t rack_pongs; /* pongs that named racks */
	char first_violation[200];
};

/*
 * Returns the index of a task in a job's bit set and arrays, counting each occurrence's tasks
 * separately.
 */
static uint32_t task_bit_index(const struct waxwing_run_id *run_id)
{
	return (run_id->occurrence * MAX_CLIENT_STEPS + run_id->step) * MAX_CLIENT_TASKS +
	       run_id->index;
}

/* Returns the client whose task it is; null for a task that no client asked for. */
static struct client_job *find_client(struct cluster_sim *sim, const struct waxwing_run_id *run_id)
{
	struct client_job *job = g_hash_table_lookup(sim->jobs, &run_id->job);

	return run_id->index < MAX_CLIENT_TASKS && run_id->step < MAX_CLIENT_STEPS &&
			       run_id->occurrence < REPETITIONS ?
		       job :
		       NULL;
}

static uint32_t client_task_count(const struct client_job *job)
{
	return job->tasks * MAX(job->steps, 1) * MAX(job->repetitions, 1);
}

static int64_t sim_now(const struct cluster_sim *sim)
{
	return sim->clock.now_ms;
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct sim_event *left = a;
	const struct sim_event *right = b;

	(void)user;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void sim_schedule(struct cluster_sim *sim, int64_t after_ms,
			 void (*callback)(struct cluster_sim *sim, void *data), void *data)
{
	struct sim_event *event = g_new0(struct sim_event, 1);

	event->due_ms = sim_now(sim) + after_ms;
	event->sequence = sim->sequence++;
	event->callback = callback;
	event->data = data;
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

static void sim_report_violation(struct cluster_sim *sim, const char *rule, uint64_t job,
				 uint32_t index)
{
	if (!sim->violations++)
		snprintf(sim->first_violation, sizeof(sim->first_violation),
			 "%s at %lld ms: job %llu task %u", rule, (long long)sim_now(sim),
			 (unsigned long long)job, index);
}

static bool sim_chance(struct cluster_sim *sim, double share)
{
	return share > 0 && g_rand_double(sim->random) < share;
}

/* Returns true if two failure domains can reach each other; -1 is the store. */
static bool zones_connected(const struct cluster_sim *sim, int a, int b)
{
	if (a == b)
		return true;
	return !(a >= 0 && sim->zone_isolated[a]) && !(b >= 0 && sim->zone_isolated[b]);
}

/* Returns the host if the process with @incarnation is still running there; null otherwise. */
static struct sim_host *find_live_host(struct cluster_sim *sim, int index, uint64_t incarnation)
{
	struct sim_host *host = &sim->hosts[index];

	return host->node && host->incarnation == incarnation ? host : NULL;
}

/*
 * Stores an event for a frozen process until it resumes. Returns false if the process is not
 * frozen.
 */
static bool defer_if_frozen(struct sim_host *host, void (*callback)(struct cluster_sim *, void *),
			    void *data)
{
	struct sim_event *event;

	if (host->frozen_until_ms <= sim_now(host->sim))
		return false;
	event = g_new0(struct sim_event, 1);
	event->callback = callback;
	event->data = data;
	g_ptr_array_add(host->deferred_events, event);
	return true;
}

#endif
