/**
 * Budget of bytes and connections for the clients of one process, shared by all its listeners.
 *
 * Over the budget, the youngest incomplete request is refused or closed first. A request that was
 * accepted is never closed. Has no sockets, threads or clock; not thread-safe.
 */
#ifndef WAXWING_CLIENT_BUDGET_H
#define WAXWING_CLIENT_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum waxwing_client_class {
	WAXWING_CLIENT_CALLER,
	WAXWING_CLIENT_BALANCER,
	WAXWING_CLIENT_METRICS,
	WAXWING_CLIENT_CLASSES,
};

enum waxwing_client_refusal {
	WAXWING_CLIENT_NO_CONNECTION, /**< refused: too many connections */
	WAXWING_CLIENT_NO_BYTES, /**< refused: too many bytes */
	WAXWING_CLIENT_TOO_LARGE, /**< refused: the declared body is over the limit */
	WAXWING_CLIENT_SHED, /**< closed for the bytes of an older request */
	WAXWING_CLIENT_LATE, /**< closed at its deadline */
	WAXWING_CLIENT_REFUSALS,
};

/** One connection; embedded by the owner and zeroed before it is opened. */
struct waxwing_budget_client {
	GList link; /**< by age; private */
	uint64_t bytes; /**< held by its request; private */
	int64_t deadline_ms; /**< 0: none */
	enum waxwing_client_class class;
	bool incomplete; /**< its request is still being read */
};

struct waxwing_client_budget_options {
	uint64_t max_bytes;
	uint32_t max_connections;
	/** Bytes that each connection takes for as long as it is open. */
	uint32_t connection_bytes;
	/** Closes the connection of @client and drops what it holds; must not free @client. */
	void (*close)(void *data, struct waxwing_budget_client *client);
	void *data;
};

/**
 * Sets the limits for a machine with this memory and this many descriptors. 0 stands for unknown:
 * the limit is then one that no client inside the configured limits reaches.
 */
void waxwing_client_budget_defaults(uint32_t memory_mb, uint32_t descriptors,
				    struct waxwing_client_budget_options *options);

struct waxwing_client_budget;

struct waxwing_client_budget *
waxwing_client_budget_create(const struct waxwing_client_budget_options *options);
void waxwing_client_budget_destroy(struct waxwing_client_budget *budget);

/** Returns whether a connection of the class may be opened; else counts a refusal. */
bool waxwing_client_budget_allow(struct waxwing_client_budget *budget,
				 enum waxwing_client_class class);
void waxwing_client_budget_open(struct waxwing_client_budget *budget,
				struct waxwing_budget_client *client,
				enum waxwing_client_class class);
/** Releases the connection and its bytes. */
void waxwing_client_budget_close(struct waxwing_client_budget *budget,
				 struct waxwing_budget_client *client);

/** Returns whether this many more bytes are free; takes nothing. */
bool waxwing_client_budget_has(const struct waxwing_client_budget *budget, uint64_t bytes);
/**
 * Takes bytes for the request of @client. If they are not free, closes younger incomplete requests.
 * Returns false, and takes nothing, if that is not enough.
 */
bool waxwing_client_budget_take(struct waxwing_client_budget *budget,
				struct waxwing_budget_client *client, uint64_t bytes);
/** Releases all bytes of the request of @client. */
void waxwing_client_budget_release(struct waxwing_client_budget *budget,
				   struct waxwing_budget_client *client);

/** Closes each connection whose deadline has passed. */
void waxwing_client_budget_expire(struct waxwing_client_budget *budget, int64_t now_ms);

void waxwing_client_budget_count(struct waxwing_client_budget *budget,
				 enum waxwing_client_refusal reason);
/** Returns the number of refused and closed requests and connections, of all reasons. */
uint64_t waxwing_client_budget_refused(const struct waxwing_client_budget *budget);
/** Appends the metrics in the Prometheus text format. */
void waxwing_client_budget_print(const struct waxwing_client_budget *budget, GString *text);

#endif
