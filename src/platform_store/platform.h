/**
 * What the platform gives: a key-value service with compare-and-swap, leases and watches, and the
 * instance list. Back ends implement struct waxwing_platform_ops; src/platform_store/platform_consul.c speaks the
 * published HTTP dialect of Consul's KV, session and health API.
 *
 * Calls block; any thread may make them, each over a connection of its own. Every call is counted
 * against the budget.
 */
#ifndef WAXWING_PLATFORM_H
#define WAXWING_PLATFORM_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <stdbool.h>
#include <stdint.h>

/** Largest value the platform holds, in bytes. */
#define WAXWING_PLATFORM_VALUE_BYTES (1024 * 1024)

struct waxwing_platform;

/** A value with its revision. */
struct waxwing_platform_value {
	char *data; /**< g_free() */
	size_t len;
	uint64_t revision; /**< of the last change; 0: the key is absent */
};

/** One live or leaving instance of a service. */
struct waxwing_platform_instance {
	char *name;
	char *address; /**< IP:port of HTTP */
	char *peer_address; /**< IP:port for peers; empty for upstreams */
	char *domain; /**< failure domain */
	uint32_t slots; /**< of an upstream */
	bool leaving;
};

struct waxwing_platform_list {
	struct waxwing_platform_instance *items;
	size_t count;
	uint64_t index; /**< to wait for the next change */
};

struct waxwing_platform_ops {
	/** Reads a key; an absent one has revision 0. Errors: PLATFORM_DOWN, PLATFORM_ANSWER, TIMEOUT. */
	enum waxwing_error_code (*get)(struct waxwing_platform *platform, const char *key,
				       struct waxwing_platform_value *value,
				       struct waxwing_error *error);
	/**
	 * Waits up to @wait_ms for a revision above @revision, then reads. A lower one comes back too,
	 * late: from a restored platform, or a stale read. Returns WAXWING_ERROR_TIMEOUT when nothing
	 * changed. Other errors as get(), but no answer at all
	 * is PLATFORM_DOWN.
	 */
	enum waxwing_error_code (*watch)(struct waxwing_platform *platform, const char *key,
					 uint64_t revision, uint32_t wait_ms,
					 struct waxwing_platform_value *value,
					 struct waxwing_error *error);
	/**
	 * Writes when the key is still at @revision (0: absent). Errors: CONFLICT; TOO_LARGE,
	 * PLATFORM_DOWN and PLATFORM_ANSWER when surely not written; TIMEOUT when the write may have
	 * taken effect.
	 */
	enum waxwing_error_code (*put)(struct waxwing_platform *platform, const char *key,
				       uint64_t revision, struct waxwing_str data,
				       struct waxwing_error *error);
	/** Removes a key, whatever it holds; an absent one too. Errors as get(). */
	enum waxwing_error_code (*remove)(struct waxwing_platform *platform, const char *key,
					  struct waxwing_error *error);
	/**
	 * Lists a service, waiting up to @wait_ms for a change after @index; at once when either is 0.
	 * @filter is null or an expression of Consul's; a change of what it leaves out ends the wait too.
	 * Without a change the same list comes back. Errors as get().
	 */
	enum waxwing_error_code (*list)(struct waxwing_platform *platform, const char *service,
					const char *filter, uint64_t index, uint32_t wait_ms,
					struct waxwing_platform_list *list,
					struct waxwing_error *error);
	void (*destroy)(struct waxwing_platform *platform);
};

/** First member of every back end. */
struct waxwing_platform {
	const struct waxwing_platform_ops *ops;
	uint64_t calls; /**< made so far, watches included; atomic */
	uint64_t failures; /**< atomic */
};

/** Frees what a value or list holds, not the struct itself. */
void waxwing_platform_value_clear(struct waxwing_platform_value *value);
void waxwing_platform_list_clear(struct waxwing_platform_list *list);
/** Fills @copy with a copy of its own. */
void waxwing_platform_list_copy(struct waxwing_platform_list *copy,
				const struct waxwing_platform_list *list);

struct waxwing_platform_consul_options {
	const char *address; /**< IP:port */
	uint32_t timeout_ms; /**< of a call, beyond its wait; rounded up to whole seconds */
};

/** Creates the Consul back end; null with @error on a malformed address (WAXWING_ERROR_RANGE). */
struct waxwing_platform *
waxwing_platform_consul_create(const struct waxwing_platform_consul_options *options,
			       struct waxwing_error *error);

#endif
