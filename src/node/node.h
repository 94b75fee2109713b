/**
 * One node: accepts callers' jobs, chooses a cell to run each job, and runs the cells that it owns.
 * Nodes coordinate through the platform's store, which is not involved in handling single requests.
 *
 * The module has no sockets, threads or clock of its own. struct waxwing_node_loop runs it on a
 * libuv loop; tests run it in virtual time. Not thread-safe. Times are in milliseconds.
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
		*clock; /**< monotonic, including time during which the machine is suspended */
	const struct waxwing_clock *day_clock; /**< time of day since 1970; may jump */
	struct waxwing_link *link;
	uint64_t incarnation; /**< unique number of this process */
	struct waxwing_store *store;
	struct waxwing_executors *executors;
	struct waxwing_permits *permits; /**< null: there is no permit service */
	const char *name;
	const char *zone; /**< failure domain of this node */
	/**
	 * Null-terminated list of all failure domains, at most WAXWING_NODE_MAX_ZONES. Each has a
	 * cell.
	 */
	const char *const *zones;
	const char *address; /**< IP:port for messages from other nodes */
	/** CPU cores available to this node; nodes with more cores claim cells first */
	double cpu_share;
	uint32_t max_lease_ms; /**< longest lease that executors grant */
	uint32_t max_stop_ms; /**< longest time that an executor needs to stop a run */
	uint32_t state_retention_ms; /**< how long the state of an ended job can be queried */
	uint32_t max_value_bytes; /**< maximum size of a value in the store */
	uint32_t min_ttl_ms; /**< shortest lease TTL that the store grants */
	/** factor by which a task takes longer on another rack than its data */
	double remote_data_factor;
	/**
	 * Parses an executor's entry and passes it to @use. Returns false, with the reason logged,
	 * if the entry is unusable.
	 */
	bool (*read_executor)(const struct waxwing_store_item *item,
			      void (*use)(void *data, const struct waxwing_executor_entry *entry),
			      void *data);
	/** Parses a configuration, which the caller then owns. Returns null if it is invalid. */
	struct waxwing_routing *(*read_routing)(const struct waxwing_store_item *item);
	const char *routing_key; /**< the store's key for the configuration */
	/**
	 * Prefix of the keys that evacuate failure domains, followed by the domain's name; null:
	 * there are none. It and routing_key must have a part up to a slash in common, whose keys
	 * one watch follows.
	 */
	const char *evacuation_prefix;
	/** time from an evacuation's acknowledgement after which no task starts in the domain */
	uint32_t evacuation_ms;
	/** prefix of the executors' keys, followed by the executor's id */
	const char *executor_prefix;
};

/**
 * A caller's request to query the state of a job or to cancel it. Owned by the caller until
 * answered.
 */
struct waxwing_job_query {
	/** @answered false: no cell could answer in time. */
	void (*answer)(struct waxwing_job_query *query, bool answered,
		       enum waxwing_job_state state);
	uint64_t job;
	bool cancel;
	uint32_t timeout_ms; /**< how long the caller waits */
};

/** Final answer to a submission. */
struct waxwing_node_answer {
	enum waxwing_job_outcome outcome;
	enum waxwing_error_code reason; /**< why the job was not completed */
	bool may_have_run; /**< the outcome is unknown; the caller may submit the job again */
	uint32_t retry_after_ms; /**< 0: no recommendation */
};

/** A caller that waits for a job's end. Owned by the caller until answered or withdrawn. */
struct waxwing_job_waiter {
	void (*answer)(struct waxwing_job_waiter *waiter, const struct waxwing_node_answer *answer);
	uint32_t waited_ms; /**< how long the request has waited at this node before */
	uint64_t job; /**< set by waxwing_node_submit() */
	struct waxwing_job_waiter *next; /**< next caller that waits for the same job */
};

/** A request that arrived before this node had a configuration. Owned by the caller. */
struct waxwing_routing_waiter {
	/** @in_force false: there is still none, and the request should be refused. */
	void (*done)(struct waxwing_routing_waiter *waiter, bool in_force);
	uint32_t timeout_ms; /**< how long the caller waits for a response */
	int64_t arrived_ms; /**< set by waxwing_node_await_routing() */
	uint32_t waited_ms; /**< set before done() is called */
};

struct waxwing_node *waxwing_node_create(const struct waxwing_node_options *options);
void waxwing_node_destroy(struct waxwing_node *node);

/** Maximum number of failure domains. The users' largest target system has 11. */
#define WAXWING_NODE_MAX_ZONES 32

/** Interval between calls of waxwing_node_run(). */
#define WAXWING_NODE_TICK_MS 10

/** Handles timeouts and sends all messages and store requests that are due. */
void waxwing_node_run(struct waxwing_node *node);

/**
 * Processes the events since the last call and delivers the results. Call after each batch of
 * events.
 */
void waxwing_node_process_events(struct waxwing_node *node);

/**
 * Handles a message. @sender 0: the message answers one that this node sent to an owner. The node
 * may move parts out of @message and keep them; the caller frees the rest.
 */
void waxwing_node_handle_message(struct waxwing_node *node, uint64_t sender,
				 Waxwing__NodeMessage *message);

/**
 * Returns the configuration in force; null if there is none yet. Valid until the loop's next
 * iteration.
 */
const struct waxwing_routing *waxwing_node_routing(const struct waxwing_node *node);

/**
 * Waits until a configuration is in force, for a part of the caller's timeout at most. A node that
 * has just started reads it within some hundred milliseconds. waiter->done() is called once, never
 * from within the call.
 */
void waxwing_node_await_routing(struct waxwing_node *node, struct waxwing_routing_waiter *waiter);

/** Removes @waiter, whose caller has disconnected; its done() is not called. */
void waxwing_node_cancel_routing_wait(struct waxwing_node *node,
				      struct waxwing_routing_waiter *waiter);

/**
 * Accepts a job and takes ownership of @job. @waiter is answered once, never from within the call.
 * If a job with the same id is already pending, @waiter waits for that one.
 */
void waxwing_node_submit(struct waxwing_node *node, Waxwing__Job *job,
			 struct waxwing_job_waiter *waiter);

/**
 * Queries or cancels a job at the owners of all cells. @query is answered once, never from within
 * the call.
 */
void waxwing_node_query_job(struct waxwing_node *node, struct waxwing_job_query *query);

/** Removes @query, whose caller has disconnected; it is not answered. */
void waxwing_node_cancel_query(struct waxwing_node *node, struct waxwing_job_query *query);

/** Removes @waiter, whose caller has disconnected; it is not answered. */
void waxwing_node_withdraw(struct waxwing_node *node, struct waxwing_job_waiter *waiter);

/**
 * Returns the number of accepted jobs in @queue of which no task has started, as last reported by
 * the cells' owners.
 */
uint32_t waxwing_node_count_waiting(const struct waxwing_node *node, const char *queue);

/** Returns true if this node can serve callers' requests. */
bool waxwing_node_ready(const struct waxwing_node *node);

/**
 * Returns the number of cells whose owner is reachable, including the cells that this node owns.
 */
uint32_t waxwing_node_reachable_cells(const struct waxwing_node *node);

/**
 * Releases the cells that this node owns and claims no further ones. Pending jobs continue, and new
 * ones are accepted as long as they can be expected to end within @time_left_ms.
 */
void waxwing_node_leave(struct waxwing_node *node, uint32_t time_left_ms);

/**
 * Answers all waiting callers because the process is about to exit. Jobs that were offered to a
 * cell may have run. Callers that query or cancel a job learn that no cell could answer.
 */
void waxwing_node_abort_pending(struct waxwing_node *node);

/** Returns true if no caller waits for an answer and no release of a cell is outstanding. */
bool waxwing_node_idle(const struct waxwing_node *node);

/** Returns the metrics in the Prometheus text format; free with g_free(). */
char *waxwing_node_metrics(struct waxwing_node *node);

#endif
