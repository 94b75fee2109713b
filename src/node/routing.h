/**
 * The configuration in force: queues by host and path, the services that run their tasks, limits.
 *
 * A table is not changed once it is complete. Lookups need no lock: one thread, or a table that is
 * published through an RCU pointer.
 */
#ifndef WAXWING_ROUTING_H
#define WAXWING_ROUTING_H

#include "str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A queue of jobs. */
struct waxwing_queue_route {
	char *name;
	char *host; /**< lower case, without port */
	char *prefix; /**< of paths; what follows it is a job's id */
	char *service; /**< whose executors run its tasks */
	uint32_t priority; /**< 0 comes first */
	uint32_t max_attempts; /**< failed runs of a task before its job has failed */
	double stretch; /**< objective: this many times the longest chain of work */
	uint32_t allowance_ms; /**< objective: and so much more */
	uint32_t timeout_ms;
	bool permits_needed; /**< an outside service says which executors may run a step */
	uint32_t permit_base_ms; /**< that it takes to answer */
	uint32_t permit_each_ms; /**< and for each executor that it is asked about */
	uint32_t permit_valid_ms; /**< how long a permit counts */
};

/** A service of executors. */
struct waxwing_service_route {
	char *name;
	bool enforces_capacity; /**< its executors reject what does not fit */
	uint32_t connections_most; /**< to one executor */
};

/** What callers may send. */
struct waxwing_request_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms;
	uint32_t idle_ms;
};

struct waxwing_routing {
	uint64_t version; /**< higher ones replace lower ones */
	GPtrArray *queues; /**< struct waxwing_queue_route */
	GPtrArray *services; /**< struct waxwing_service_route */
	struct waxwing_request_limits limits;
};

/** An empty table; add to its arrays, then leave it alone. */
struct waxwing_routing *waxwing_routing_create(uint64_t version);
void waxwing_routing_destroy(struct waxwing_routing *routing);

/** Adds an empty queue or service, owned by the table. */
struct waxwing_queue_route *waxwing_routing_add_queue(struct waxwing_routing *routing);
struct waxwing_service_route *waxwing_routing_add_service(struct waxwing_routing *routing);

/** The queue of @host with the longest prefix of @path; null: none. @host may end in a port. */
const struct waxwing_queue_route *waxwing_routing_find(const struct waxwing_routing *routing,
						       struct waxwing_str host,
						       struct waxwing_str path);

#endif
