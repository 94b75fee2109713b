/**
 * What an inheritance holds. Private to inheritance.c, which keeps it, and handover.c, which hands it on.
 */
#ifndef WAXWING_INHERITANCE_H
#define WAXWING_INHERITANCE_H

#include "handover.h"

#include <glib.h>

struct waxwing_inherited_id {
	uint64_t digest; /**< of the request */
	uint8_t *answer; /**< a packed JobAnswer */
	size_t answer_len;
};

/** The parts that one instance sent of an incarnation's ids. */
struct waxwing_inherited_parts {
	uint64_t from;
	GHashTable *numbers; /**< set of the parts that came */
	uint32_t count; /**< 0 until the last part came */
};

/** The ids of one incarnation that left. */
struct waxwing_inherited_table {
	uint64_t incarnation;
	GHashTable *ids; /**< id to struct waxwing_inherited_id */
	GArray *parts; /**< of struct waxwing_inherited_parts, one a sender */
	uint64_t oldest_epoch;
	uint64_t newest_epoch;
	int64_t expires_ms;
	uint64_t bytes;
};

struct waxwing_inherited_windows {
	GHashTable *tables; /**< incarnation to struct waxwing_inherited_table */
	Waxwing__JobAnswer *unpacked; /**< last answer handed out */
};

/** True when no part of some sender is missing. */
bool waxwing_inherited_complete(const struct waxwing_inherited_table *table);

#endif
