/**
 * One entry node: takes callers' jobs, finds the cell that is to run each, and runs the cells that it
 * owns. Nodes meet in the platform's store; nothing is agreed on the path of a request.
 *
 * The module has no sockets, threads or clock of its own: struct waxwing_node_loop turns it on a libuv
 * loop, tests turn it in virtual time. Not thread-safe. Times are milliseconds.
 */
#ifndef WAXWING_NODE_H
#define WAXWING_NODE_H

#include "cell.h"
#include "clock.h"
#include "executors.h"
#include "link.h"
#include "permits.h"
#include "routing.h"
#include "store.h"
#include "waxwingswitch/error.h"

struct waxwing_node;

struct waxwing_node_options {
	const struct waxwing_clock
		*clock; /**< counts the time that the machine was suspended too */
	const struct waxwing_clock *day; /**< the time of day, since 1970: it may jump */
	struct waxwing_link *link;
	uint64_t incarnation; /**< of this process, never used twice */
	struct waxwing_store *store;
	struct waxwing_executors *executors;
	struct waxwing_permits *permits; /**< null: there is none */
	const char *name;
	const char *zone; /**< failure domain of this node */
	/** All failure domains, null-terminated, at most WAXWING_NODE_ZONES_MOST; each has a cell. */
	const char *const *zones;
	const char *address; /**< IP:port for messages of other nodes */
	double cpu_share; /**< cores of this node: those with more of them claim cells first */
	uint32_t lease_most_ms; /**< longest lease that executors give */
	uint32_t stop_ms; /**< longest time that a stop takes */
	uint32_t status_ms; /**< how long the state of an ended job is told */
	uint32_t value_bytes_most; /**< of an entry in the store */
	uint32_t ttl_least_ms; /**< shortest lease that the store gives */
	double far_factor; /**< how much longer a task takes away from its data */
	/** Reads an executor's entry; false (with a reason logged) when it names none to use. */
	bool (*read_executor)(const struct waxwing_store_item *item,
			      void (*use)(void *data, const struct waxwing_executor_entry *entry),
			      void *data);
	/** Reads a configuration; null when it cannot be read. The caller owns it. */
	struct waxwing_routing *(*read_routing)(const struct waxwing_store_item *item);
	const char *routing_key; /**< the store's key of the configuration */
	const char *executor_prefix; /**< of the executors' keys; the rest is their id */
};

/** A caller that asks for the state of a job, or cancels it. Owned by the caller until it is answered. */
struct waxwing_ask_ticket {
	/** @answered false: nobody could say in time. */
	void (*answer)(struct waxwing_ask_ticket *ticket, bool answered,
		       enum waxwing_job_state state);
	uint64_t job;
	bool cancel;
	uint32_t patience_ms; /**< how long the caller waits */
};

/** What a caller is told in the end. */
struct waxwing_node_answer {
	enum waxwing_job_outcome outcome;
	enum waxwing_error_code reason; /**< of what was not completed */
	bool may_have_run; /**< nothing certain is known: the caller may send it again */
	uint32_t retry_after_ms; /**< 0: nothing to say */
};

/** A caller that waits for a job's end. Owned by the caller until it is answered or withdrawn. */
struct waxwing_ticket {
	void (*answer)(struct waxwing_ticket *ticket, const struct waxwing_node_answer *answer);
	uint64_t job; /**< set by waxwing_node_submit() */
	struct waxwing_ticket *next;
};

struct waxwing_node *waxwing_node_create(const struct waxwing_node_options *options);
void waxwing_node_destroy(struct waxwing_node *node);

/** Failure domains that a node can tell apart; the users' largest target has 11. */
#define WAXWING_NODE_ZONES_MOST 32

/** Time between two calls of waxwing_node_run(). */
#define WAXWING_NODE_TICK_MS 10

/** Lets time pass: sends what is due. */
void waxwing_node_run(struct waxwing_node *node);

/** Does what the events since the last call ask for, and tells what came of them. Call after events. */
void waxwing_node_settle(struct waxwing_node *node);

/** A message came; @sender 0: from an owner that this node has sent to. Takes what it keeps out of it. */
void waxwing_node_received(struct waxwing_node *node, uint64_t sender,
			   Waxwing__NodeMessage *message);

/** The configuration in force; null: none yet. Valid until the loop's next turn. */
const struct waxwing_routing *waxwing_node_routing(const struct waxwing_node *node);

/**
 * Takes a job; @ticket is answered later, once, never from within the call. Owns @job from now on. The
 * same id submitted again waits for the same job.
 */
void waxwing_node_submit(struct waxwing_node *node, Waxwing__Job *job,
			 struct waxwing_ticket *ticket);

/** Asks the owner of the job's cell; @ticket is answered later, once, never from within the call. */
void waxwing_node_ask(struct waxwing_node *node, struct waxwing_ask_ticket *ticket);

/** The caller has gone; @ticket is not answered any more. */
void waxwing_node_stop_asking(struct waxwing_node *node, struct waxwing_ask_ticket *ticket);

/** The caller has gone; @ticket is not answered any more. */
void waxwing_node_withdraw(struct waxwing_node *node, struct waxwing_ticket *ticket);

/** Jobs of a queue that were taken and of which no task has started, as of lately. */
uint32_t waxwing_node_waiting(const struct waxwing_node *node, const char *queue);

/** True when callers' requests can be served here. */
bool waxwing_node_ready(const struct waxwing_node *node);

/** Cells whose owner is heard of, this node's own among them. */
uint32_t waxwing_node_reachable_cells(const struct waxwing_node *node);

/** Gives up owned cells and takes none again. What callers wait for goes on. */
void waxwing_node_leave(struct waxwing_node *node);

/** Answers everyone who waits, as the process must end: what was offered may have run. */
void waxwing_node_give_up(struct waxwing_node *node);

/** True when nobody waits for an answer and no cell is owned or being given up. */
bool waxwing_node_idle(const struct waxwing_node *node);

/** Counters and gauges in the Prometheus text format; freed with g_free(). */
char *waxwing_node_metrics(struct waxwing_node *node);

#endif
