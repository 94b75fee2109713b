/**
 * Differences between two settings documents, value by value.
 */
#ifndef WAXWING_EDIT_DIFF_H
#define WAXWING_EDIT_DIFF_H

#include "str.h"

/** One value that differs. */
struct waxwing_difference {
	const char *path; /**< e.g. "branches.meals.values.weight" */
	const char *before; /**< JSON; null: unset */
	const char *after; /**< JSON; null: unset */
};

/**
 * Calls @visit for each difference in the order of the paths and returns their number;
 * recent_changes are passed over. Both texts have been taken by the binding. Any thread.
 */
size_t waxwing_diff(struct waxwing_str before, struct waxwing_str after,
		    void (*visit)(void *context, const struct waxwing_difference *difference),
		    void *context);

#endif
