/**
 * One edit of a settings document's text.
 *
 * Editors and instances make the same edits of the same text and must get the same text, byte for byte:
 * what these functions give is part of the form of the settings at the platform.
 */
#ifndef WAXWING_SPLICE_H
#define WAXWING_SPLICE_H

#include "str.h"

/** An edit of a document that the binding has taken. */
struct waxwing_splice {
	const char *change; /**< its id */
	const char *const *keys; /**< place in the document */
	size_t key_count; /**< at least 1 */
	const char *value; /**< JSON to put there; null: to take out what is there */
};

/**
 * Makes the edits one after the other and puts their ids first in recent_changes, the last one's foremost;
 * freed with g_free(). Null when something on the way of one is no object. Any thread.
 */
char *waxwing_splice_make(const struct waxwing_splice *splices, size_t count,
			  struct waxwing_str document);

/** @document with the ids of @before, and @change before them; freed with g_free(). Any thread. */
char *waxwing_splice_changes(struct waxwing_str document, struct waxwing_str before,
			     const char *change);

/** The id of the last edit of a document, freed with g_free(); null when it tells none. Any thread. */
char *waxwing_splice_last(struct waxwing_str document);

#endif
