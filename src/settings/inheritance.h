/**
 * Ids of finished submissions that other instances handed over before they shut down. Private to
 * inheritance.c, which stores them, and handover.c, which hands them over again.
 */
#ifndef WAXWING_INHERITANCE_H
#define WAXWING_INHERITANCE_H

#include "handover.h"

#include <glib.h>

struct waxwing_inherited_id {
	uint64_t digest; /**< digest of the request */
	uint8_t *answer; /**< a packed JobAnswer */
	size_t answer_len;
};

/** The parts of a hand-over that came from one sender. */
struct waxwing_inherited_parts {
	uint64_t sender;
	GHashTable *received; /**< set of the part numbers received */
	uint32_t total; /**< number of parts; 0 until the last one is received */
};

/** The ids of one incarnation that shut down. */
struct waxwing_inherited_table {
	uint64_t incarnation;
	GHashTable *ids; /**< maps id to struct waxwing_inherited_id */
	GArray *parts; /**< struct waxwing_inherited_parts, one for each sender */
	uint64_t oldest_epoch;
	uint64_t newest_epoch;
	int64_t expires_ms;
	uint64_t bytes;
};

struct waxwing_inherited_windows {
	GHashTable *tables; /**< maps incarnation to struct waxwing_inherited_table */
	Waxwing__JobAnswer *last_answer; /**< answer of the last lookup, owned; null if none */
};

/** True if all parts of at least one sender were received. */
bool waxwing_inherited_complete(const struct waxwing_inherited_table *table);

#endif
