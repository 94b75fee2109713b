/**
 * Shows the values of a branch and which branch sets each of them.
 */
#ifndef WAXWING_SETTINGS_EXPLAIN_H
#define WAXWING_SETTINGS_EXPLAIN_H

#include "settings.h"

struct waxwing_explained {
	const char *key;
	const char *value; /**< JSON; valid during the callback */
	struct waxwing_str source; /**< path of the branch that sets it; "" for root or default */
	bool is_set; /**< false if no branch sets it and this is the default */
};

/**
 * Calls @visit for every value of the branch at @path, in the schema's order; false if there is
 * no such branch. Any thread, as long as the snapshot is valid.
 */
bool waxwing_settings_explain(const struct waxwing_settings *settings, struct waxwing_str path,
			      void (*visit)(void *context, const struct waxwing_explained *value),
			      void *context);

#endif
