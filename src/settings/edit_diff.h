/**
 * Compares two settings documents value by value.
 */
#ifndef WAXWING_EDIT_DIFF_H
#define WAXWING_EDIT_DIFF_H

#include "str.h"

struct waxwing_difference {
	const char *path; /**< e.g. "branches.meals.values.weight" */
	const char *before; /**< JSON; null if unset */
	const char *after; /**< JSON; null if unset */
};

/**
 * Calls @visit, if not null, for each value that differs, sorted by path, and returns their number.
 * Ignores recent_changes. Both texts must be valid documents. Any thread.
 */
size_t waxwing_settings_diff(struct waxwing_str before, struct waxwing_str after,
			     void (*visit)(void *context,
					   const struct waxwing_difference *difference),
			     void *context);

#endif
