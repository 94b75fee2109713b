/**
 * Hash and equality functions for GHashTable with struct waxwing_str keys.
 *
 * A key points to a struct waxwing_str inside the value.
 */
#ifndef WAXWING_SCHEDULER_TABLE_H
#define WAXWING_SCHEDULER_TABLE_H

#include "str.h"

static inline unsigned int waxwing_name_hash(const void *key)
{
	return (unsigned int)waxwing_str_hash(*(const struct waxwing_str *)key, 0);
}

static inline gboolean waxwing_name_equal(const void *a, const void *b)
{
	return waxwing_str_equal(*(const struct waxwing_str *)a, *(const struct waxwing_str *)b);
}

#endif
