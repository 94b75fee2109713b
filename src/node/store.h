/**
 * Non-blocking interface to the platform's key-value store.
 *
 * Each call ends with one callback from the event loop, never from within the call. Back ends
 * implement struct waxwing_store_ops. Not thread-safe.
 */
#ifndef WAXWING_STORE_H
#define WAXWING_STORE_H

#include "str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct waxwing_store;

/** Result of a call. */
enum waxwing_store_status {
	WAXWING_STORE_OK,
	/**
	 * A precondition failed and nothing was changed, or an earlier copy of the call took effect
	 * and changed what the precondition refers to.
	 */
	WAXWING_STORE_CONFLICT,
	WAXWING_STORE_NOT_FOUND, /**< no such lease or key */
	/** a watch's revision is no longer available; read the range again */
	WAXWING_STORE_HISTORY_LOST,
	WAXWING_STORE_REFUSED, /**< rate limit exceeded or store unhealthy; nothing was done */
	WAXWING_STORE_UNKNOWN, /**< no answer; the call may have taken effect, or may still do so */
};

/** An entry or, if @deleted, the removal of one. */
struct waxwing_store_item {
	struct waxwing_str key;
	struct waxwing_str value;
	uint64_t revision;
	bool deleted;
};

struct waxwing_store_answer {
	enum waxwing_store_status status;
	uint64_t revision; /**< revision of the store or, for a transaction, of that transaction */
	uint64_t lease;
	uint32_t ttl_ms; /**< TTL that the store granted to a lease */
	bool more; /**< the range continues after the key of the last item */
	const struct waxwing_store_item *items; /**< valid during the callback */
	size_t item_count;
};

/** Callback for the answer to a call, called once. */
struct waxwing_store_callback {
	void (*done)(void *data, const struct waxwing_store_answer *answer);
	void *data;
};

/** Puts one key if it is at the expected revision. */
struct waxwing_store_put {
	const char *key;
	uint64_t expected_revision; /**< 0: the key must not exist */
	struct waxwing_str value;
	uint64_t lease; /**< 0: none */
};

/**
 * Puts new keys and removes old ones in one transaction, on condition that the guard key is at
 * @guard_revision. A transaction may have at most WAXWING_STORE_MAX_ENTRIES entries:
 * WAXWING_STORE_APPEND_ENTRIES for the new key and the guard, WAXWING_STORE_CLAIM_ENTRIES for each
 * claim, and one for each removed key.
 */
struct waxwing_store_append {
	const char *guard_key;
	uint64_t guard_revision;
	const char *key; /**< must not exist yet */
	struct waxwing_str value;
	/** keys that must not exist yet; each is put with @claim_value */
	const char *const *claims;
	size_t claim_count;
	const char *claim_value;
	const char *const *removed_keys;
	size_t removed_count;
};

/**
 * Maximum number of conditions, puts and removals in one transaction, as documented by the
 * platform.
 */
#define WAXWING_STORE_MAX_ENTRIES 32
/** The guard's condition, the new key's condition and its put. */
#define WAXWING_STORE_APPEND_ENTRIES 3
/** The claimed key's condition and its put. */
#define WAXWING_STORE_CLAIM_ENTRIES 2
/** Maximum number of claims in one append, with one entry left for a removal. */
#define WAXWING_STORE_MAX_CLAIMS                                                                   \
	((WAXWING_STORE_MAX_ENTRIES - WAXWING_STORE_APPEND_ENTRIES - 1) /                          \
	 WAXWING_STORE_CLAIM_ENTRIES)

struct waxwing_store_ops {
	void (*range)(struct waxwing_store *store, const char *prefix, const char *after_key,
		      struct waxwing_store_callback reply);
	void (*watch)(struct waxwing_store *store, const char *prefix, uint64_t after_revision,
		      uint32_t wait_ms, struct waxwing_store_callback reply);
	void (*put)(struct waxwing_store *store, const struct waxwing_store_put *put,
		    struct waxwing_store_callback reply);
	/**
	 * After a conflict, the answer's items are the current entries of the guard, the key and
	 * the claims.
	 */
	void (*append)(struct waxwing_store *store, const struct waxwing_store_append *append,
		       struct waxwing_store_callback reply);
	void (*grant_lease)(struct waxwing_store *store, uint32_t ttl_ms,
			    struct waxwing_store_callback reply);
	void (*renew_lease)(struct waxwing_store *store, uint64_t lease,
			    struct waxwing_store_callback reply);
};

struct waxwing_store {
	const struct waxwing_store_ops *ops;
};

#endif
