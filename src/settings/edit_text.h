/**
 * Edits of JSON text in place, so that the comments and the layout of the rest stay.
 *
 * Works on documents that the binding has taken. A place is a list of object keys from the root.
 */
#ifndef WAXWING_EDIT_TEXT_H
#define WAXWING_EDIT_TEXT_H

#include "str.h"

struct json_object;

/** Parses text that the binding has taken; freed with json_object_put(). Null when it isn't JSON. */
struct json_object *waxwing_text_parse(struct waxwing_str text);

/** A place in a document. */
struct waxwing_place {
	const char *const *keys;
	size_t count;
};

/** The text of the value at @place; false when there is none. Points into @text. Any thread. */
bool waxwing_text_get(struct waxwing_str text, struct waxwing_place place,
		      struct waxwing_str *value);

/**
 * Puts the JSON @value at @place, making the objects on the way; a new document is freed with g_free().
 * Null when something on the way is no object. Any thread.
 */
char *waxwing_text_set(struct waxwing_str text, struct waxwing_place place,
		       struct waxwing_str value);

/** Takes out the member at @place; a copy when there is none; freed with g_free(). Any thread. */
char *waxwing_text_remove(struct waxwing_str text, struct waxwing_place place);

/** @text as a JSON string with its quotes, freed with g_free(). Any thread. */
char *waxwing_text_quote(const char *text);

#endif
