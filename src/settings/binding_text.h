/**
 * Parses text to json-c objects; syntax errors are reported with their line.
 */
#ifndef WAXWING_BINDING_TEXT_H
#define WAXWING_BINDING_TEXT_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sets @error with the line of a byte offset in @text; returns null. */
json_object *waxwing_binding_text_error(struct waxwing_error *error, enum waxwing_error_code code,
					struct waxwing_str text, size_t offset, const char *detail);

/**
 * Parses a whole text nested at most @depth levels deep; free with json_object_put(). Returns
 * null with WAXWING_ERROR_SYNTAX, WAXWING_ERROR_TOO_DEEP or WAXWING_ERROR_TOO_LARGE. Also
 * returns null, without an error, if the text is just `null`.
 */
json_object *waxwing_binding_text_parse(struct waxwing_str text, uint32_t depth,
					struct waxwing_error *error);

/**
 * Checks that @text has exactly @members object members, the number found in the parsed objects.
 * The numbers differ if a key is duplicate, since json-c keeps only the last. A key with a NUL
 * character, which json-c truncates, is also rejected. On failure sets WAXWING_ERROR_SYNTAX,
 * with the path and line of a duplicate key.
 */
bool waxwing_binding_text_check_keys(struct waxwing_str text, size_t members,
				     struct waxwing_error *error);

#endif
