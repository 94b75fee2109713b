/**
 * Where a branch's values come from.
 */
#ifndef WAXWING_SETTINGS_EXPLAIN_H
#define WAXWING_SETTINGS_EXPLAIN_H

#include "settings.h"

/** One value of a branch. */
struct waxwing_explained {
	const char *key;
	const char *value; /**< JSON; valid during the call */
	struct waxwing_str from; /**< path of the branch that sets it */
	bool set; /**< false: the default, set nowhere */
};

/**
 * Calls @visit for every value of the branch at @path, in the schema's order; false when there is no
 * such branch. Any thread that holds the snapshot.
 */
bool waxwing_settings_explain(const struct waxwing_settings *settings, struct waxwing_str path,
			      void (*visit)(void *context, const struct waxwing_explained *value),
			      void *context);

#endif
