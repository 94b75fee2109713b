/**
 * Interface to the platform's services: a key-value store with compare-and-swap and watches, and
 * lists of service instances. Back ends implement struct waxwing_platform_ops; platform_consul.c is
 * a client of Consul's HTTP API for the KV store and health checks.
 *
 * Calls block. They may be made from any thread, and each uses its own connection. Every call is
 * counted in struct waxwing_platform, because the platform has a budget of calls.
 */
#ifndef WAXWING_PLATFORM_H
#define WAXWING_PLATFORM_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Maximum size of a value in bytes. */
#define WAXWING_PLATFORM_VALUE_BYTES (1024 * 1024)

struct waxwing_platform;

/** The value of a key with its revision. */
struct waxwing_platform_value {
	char *data; /**< free with g_free() or waxwing_platform_value_clear() */
	size_t len;
	uint64_t revision; /**< revision of the last change; 0 if the key is absent */
};

/** One live or leaving instance of a service. */
struct waxwing_platform_instance {
	char *name;
	char *address; /**< IP:port for HTTP requests */
	char *peer_address; /**< IP:port for peers; empty for upstreams */
	char *domain; /**< failure domain */
	uint32_t slots; /**< number of slots of an upstream; 0 if it registered none */
	bool leaving; /**< registered as leaving, or its health check is critical */
};

struct waxwing_platform_list {
	struct waxwing_platform_instance *items;
	size_t count;
	uint64_t index; /**< pass it to list() to wait for the next change */
};

struct waxwing_platform_ops {
	/**
	 * Reads a key; an absent key has revision 0. Errors: PLATFORM_DOWN, PLATFORM_ANSWER,
	 * TIMEOUT.
	 */
	enum waxwing_error_code (*get)(struct waxwing_platform *platform, const char *key,
				       struct waxwing_platform_value *value,
				       struct waxwing_error *error);
	/**
	 * Waits up to @wait_ms for a revision above @revision and returns the value. A lower
	 * revision may be returned too, possibly late, after a restore of the platform or a stale
	 * read. Returns WAXWING_ERROR_TIMEOUT if nothing changed. Other errors are those of get(),
	 * except that a missing response is PLATFORM_DOWN.
	 */
	enum waxwing_error_code (*watch)(struct waxwing_platform *platform, const char *key,
					 uint64_t revision, uint32_t wait_ms,
					 struct waxwing_platform_value *value,
					 struct waxwing_error *error);
	/**
	 * Writes the value if the key is still at @revision (0: absent). Errors: CONFLICT if the
	 * key isn't; TOO_LARGE, PLATFORM_DOWN or PLATFORM_ANSWER if the value was certainly not
	 * written; TIMEOUT if the write may have taken effect.
	 */
	enum waxwing_error_code (*put)(struct waxwing_platform *platform, const char *key,
				       uint64_t revision, struct waxwing_str data,
				       struct waxwing_error *error);
	/** Removes a key at any revision; an absent key is no error. Errors: as for get(). */
	enum waxwing_error_code (*remove)(struct waxwing_platform *platform, const char *key,
					  struct waxwing_error *error);
	/**
	 * Lists the instances of a service. Waits up to @wait_ms for a change after @index; returns
	 * at once if @wait_ms or @index is 0. Without a change the same list is returned. @filter
	 * is null or a Consul filter expression; a change to an instance that it excludes ends the
	 * wait too. Errors are those of get().
	 */
	enum waxwing_error_code (*list)(struct waxwing_platform *platform, const char *service,
					const char *filter, uint64_t index, uint32_t wait_ms,
					struct waxwing_platform_list *list,
					struct waxwing_error *error);
	void (*destroy)(struct waxwing_platform *platform);
};

/** Common part of all back ends; must be the first member of a back end's struct. */
struct waxwing_platform {
	const struct waxwing_platform_ops *ops;
	uint64_t calls; /**< number of calls made, including watches; atomic */
	uint64_t failures; /**< calls without a complete response; atomic */
};

/** Frees the contents of a value or list, but not the struct itself. */
void waxwing_platform_value_clear(struct waxwing_platform_value *value);
void waxwing_platform_list_clear(struct waxwing_platform_list *list);
/** Fills @copy with a deep copy of @list. */
void waxwing_platform_list_copy(struct waxwing_platform_list *copy,
				const struct waxwing_platform_list *list);

struct waxwing_platform_consul_options {
	const char *address; /**< IP:port */
	uint32_t timeout_ms; /**< timeout of a call beyond its wait; rounded up to whole seconds */
};

/**
 * Creates the Consul back end. Returns null and sets @error to WAXWING_ERROR_RANGE if the address
 * is malformed.
 */
struct waxwing_platform *
waxwing_platform_consul_create(const struct waxwing_platform_consul_options *options,
			       struct waxwing_error *error);

#endif
