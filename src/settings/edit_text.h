/**
 * Edits single values of JSON text; comments and layout of the rest are preserved.
 *
 * The text must have been accepted by waxwing_binding_parse().
 */
#ifndef WAXWING_EDIT_TEXT_H
#define WAXWING_EDIT_TEXT_H

#include "str.h"

struct json_object;

/** Parses JSON text; free with json_object_put(). Null if it isn't JSON. */
struct json_object *waxwing_text_parse(struct waxwing_str text);

/** Location of a value: the object keys that lead to it from the root. */
struct waxwing_key_path {
	const char *const *keys;
	size_t count;
};

/**
 * Sets @value to the part of @text that is the value at @key_path; false if there is none. Any
 * thread.
 */
bool waxwing_text_get(struct waxwing_str text, struct waxwing_key_path key_path,
		      struct waxwing_str *value);

/**
 * Sets the value at @key_path to the JSON @value and creates missing objects above it. Returns
 * the new text, to be freed with g_free(), or null if a value above @key_path isn't an object.
 * Any thread.
 */
char *waxwing_text_set(struct waxwing_str text, struct waxwing_key_path key_path,
		       struct waxwing_str value);

/**
 * Removes the member at @key_path, if there is one. Returns the new text, to be freed with
 * g_free(). Any thread.
 */
char *waxwing_text_remove(struct waxwing_str text, struct waxwing_key_path key_path);

/** Returns @text as a quoted JSON string, to be freed with g_free(). Any thread. */
char *waxwing_text_quote(const char *text);

#endif
