/**
 * The platform's key-value store, asked without blocking.
 *
 * Each call ends with one callback from the loop, never from within the call. Back ends implement
 * struct waxwing_store_ops. One thread.
 */
#ifndef WAXWING_STORE_H
#define WAXWING_STORE_H

#include "str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct waxwing_store;

/** How a call ended. */
enum waxwing_store_end {
	WAXWING_STORE_OK,
	WAXWING_STORE_CONFLICT, /**< a precondition does not hold; nothing was changed */
	WAXWING_STORE_NOT_FOUND, /**< no such lease, or no such key */
	WAXWING_STORE_HISTORY_LOST, /**< a watch's revision is too old: read the range again */
	WAXWING_STORE_REFUSED, /**< over its rate, or unwell: nothing was done */
	WAXWING_STORE_UNKNOWN, /**< no answer: it may have been done, or may be done later */
};

/** An entry; or, with @deleted, that there is none any more. */
struct waxwing_store_item {
	struct waxwing_str key;
	struct waxwing_str value;
	uint64_t revision;
	bool deleted;
};

struct waxwing_store_answer {
	enum waxwing_store_end end;
	uint64_t revision; /**< of the store; of a transaction, its own */
	uint64_t lease;
	uint32_t ttl_ms; /**< of a lease, as it applies */
	bool more; /**< a range has more pages, after the last item's key */
	const struct waxwing_store_item *items; /**< valid during the callback */
	size_t item_count;
};

/** Receives the one answer of a call. */
struct waxwing_store_reply {
	void (*done)(void *data, const struct waxwing_store_answer *answer);
	void *data;
};

/** Puts one key if it stands at a revision. */
struct waxwing_store_change {
	const char *key;
	uint64_t expected_revision; /**< 0: there must be no such key */
	struct waxwing_str value;
	uint64_t lease; /**< 0: none */
};

/**
 * Puts new keys under the condition that another one still stands, and removes old ones: all of it, or
 * nothing. At most WAXWING_STORE_ENTRIES_MOST entries, with WAXWING_STORE_APPEND_ENTRIES for its own key and
 * guard, WAXWING_STORE_CLAIM_ENTRIES for each claim and one for each key that is removed.
 */
struct waxwing_store_append {
	const char *guard_key;
	uint64_t guard_revision;
	const char *key; /**< must not exist yet */
	struct waxwing_str value;
	const char *const *claims; /**< keys that must not exist yet, put with @claim_value */
	size_t claim_count;
	const char *claim_value;
	const char *const *removes;
	size_t remove_count;
};

/** What the store takes in one transaction: conditions, puts and removals together. By the users' pages. */
#define WAXWING_STORE_ENTRIES_MOST 32
/** The guard's condition, the new key's, and its put. */
#define WAXWING_STORE_APPEND_ENTRIES 3
/** The claimed key's condition and its put. */
#define WAXWING_STORE_CLAIM_ENTRIES 2
/** Claims in one append that still has an entry left for a removal. */
#define WAXWING_STORE_CLAIMS_MOST                                                                  \
	((WAXWING_STORE_ENTRIES_MOST - WAXWING_STORE_APPEND_ENTRIES - 1) /                         \
	 WAXWING_STORE_CLAIM_ENTRIES)

struct waxwing_store_ops {
	void (*range)(struct waxwing_store *store, const char *prefix, const char *after_key,
		      struct waxwing_store_reply reply);
	void (*watch)(struct waxwing_store *store, const char *prefix, uint64_t after_revision,
		      uint32_t wait_ms, struct waxwing_store_reply reply);
	void (*change)(struct waxwing_store *store, const struct waxwing_store_change *change,
		       struct waxwing_store_reply reply);
	/** After a conflict, the answer's items show the guard, the key and the claims as they stand. */
	void (*append)(struct waxwing_store *store, const struct waxwing_store_append *append,
		       struct waxwing_store_reply reply);
	void (*lease)(struct waxwing_store *store, uint32_t ttl_ms,
		      struct waxwing_store_reply reply);
	void (*keep)(struct waxwing_store *store, uint64_t lease, struct waxwing_store_reply reply);
};

struct waxwing_store {
	const struct waxwing_store_ops *ops;
};

#endif
