/**
 * Applies edits to the text of a settings document.
 *
 * Editors and instances replay the same edits and must get the same text byte for byte, since
 * its digest is checked. A change to the output of these functions is a change of the stored
 * format.
 */
#ifndef WAXWING_SPLICE_H
#define WAXWING_SPLICE_H

#include "str.h"

/** An edit of one value in a valid settings document. */
struct waxwing_splice {
	const char *change; /**< change id of the edit */
	const char *const *keys; /**< object keys from the root to the value */
	size_t key_count; /**< at least 1 */
	const char *value; /**< new JSON value; null removes the value */
};

/**
 * Applies the edits in order and puts their change ids first in recent_changes, newest first.
 * Returns the new text, to be freed with g_free(), or null if a value above the one to edit isn't
 * an object. Any thread.
 */
char *waxwing_splice_apply(const struct waxwing_splice *splices, size_t count,
			   struct waxwing_str document);

/**
 * Returns @document with its recent_changes set to @change followed by the ids in @before, to be
 * freed with g_free(). Null if @document isn't an object. Any thread.
 */
char *waxwing_splice_add_change(struct waxwing_str document, struct waxwing_str before,
				const char *change);

/**
 * Returns the change id of the last edit of a document, to be freed with g_free(); null if none.
 * Any thread.
 */
char *waxwing_splice_last_change(struct waxwing_str document);

#endif
