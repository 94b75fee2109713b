/**
 * Configuration: queues by host and path, the services that run their tasks, and limits.
 *
 * A complete table is immutable. Lookups need no lock if the table is used by one thread or
 * published through an RCU pointer.
 */
#ifndef WAXWING_ROUTING_H
#define WAXWING_ROUTING_H

#include "str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct waxwing_service_route {
	char *name;
	bool enforces_capacity; /**< the service's executors reject runs above their capacity */
	uint32_t max_connections; /**< maximum connections per executor */
	uint32_t
		cold_start_ms; /**< how long executors are slow after their start; 0: they are not */
	double cold_starts_per_s; /**< starts that an executor bears meanwhile; 0: any number */
};

struct waxwing_queue_route {
	char *name;
	char *host; /**< in lower case, without port */
	char *prefix; /**< prefix of the path; the rest is the job's id */
	char *service; /**< service whose executors run the queue's tasks */
	/** the entry of @service; null: there is none, see waxwing_routing_link_services() */
	const struct waxwing_service_route *service_route;
	uint32_t priority; /**< 0 is the highest */
	uint32_t max_attempts; /**< failed runs of a task after which its job fails */
	double stretch; /**< target response time as a multiple of the job's critical path */
	uint32_t allowance_ms; /**< added to the target response time */
	uint32_t timeout_ms;
	bool permits_needed; /**< an outside service decides which executors may run a step */
	uint32_t permit_base_ms; /**< time that the service needs to answer */
	uint32_t permit_per_executor_ms; /**< additional time per executor in a query */
	uint32_t permit_valid_ms; /**< validity of a permit */
};

/** Limits on callers' requests. */
struct waxwing_request_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct waxwing_routing {
	uint64_t version; /**< a higher version replaces a lower one */
	GPtrArray *queues; /**< struct waxwing_queue_route */
	GPtrArray *services; /**< struct waxwing_service_route */
	struct waxwing_request_limits limits;
	GHashTable *queues_by_path; /**< host and prefix of a queue -> struct waxwing_queue_route */
	GArray *prefix_lengths; /**< size_t: lengths of the prefixes, each once, longest first */
};

/** Creates an empty table. Fill it, then treat it as immutable. */
struct waxwing_routing *waxwing_routing_create(uint64_t version);
void waxwing_routing_destroy(struct waxwing_routing *routing);

/**
 * Adds a queue for requests to @host, without port and in any case, whose path begins with @prefix.
 * The table owns it. A later queue of the same host and prefix takes an earlier one's place.
 */
struct waxwing_queue_route *waxwing_routing_add_queue(struct waxwing_routing *routing,
						      const char *host, const char *prefix);

/** Adds an empty service that the table owns. */
struct waxwing_service_route *waxwing_routing_add_service(struct waxwing_routing *routing);

/**
 * Sets the service_route of all queues, once all queues and services are there. Of services with one
 * name, the last counts.
 */
void waxwing_routing_link_services(struct waxwing_routing *routing);

/**
 * Returns the queue of @host with the longest prefix of @path; null if there is none. @host may
 * include a port. Takes one hash lookup for each distinct length of prefix, however many queues
 * there are.
 */
const struct waxwing_queue_route *waxwing_routing_find(const struct waxwing_routing *routing,
						       struct waxwing_str host,
						       struct waxwing_str path);

#endif
