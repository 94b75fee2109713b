/**
 * Text to json-c objects for the binding, with every fault of the text told by its line.
 */
#ifndef WAXWING_BINDING_TEXT_H
#define WAXWING_BINDING_TEXT_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Notes a fault at a byte offset of the text, and returns null. */
json_object *waxwing_binding_text_refuse(struct waxwing_error *error, enum waxwing_error_code code,
					 struct waxwing_str text, size_t offset,
					 const char *detail);

/**
 * Parses a whole text of at most @depth levels; json_object_put() frees it. Null with
 * WAXWING_ERROR_SYNTAX, WAXWING_ERROR_TOO_DEEP or WAXWING_ERROR_TOO_LARGE, and null without an error for a
 * lone `null`.
 */
json_object *waxwing_binding_text_parse(struct waxwing_str text, uint32_t depth,
					struct waxwing_error *error);

/**
 * Whether the text holds as many keys as were taken from it: json-c keeps the last of several equal
 * keys, and cuts a key at a zero character. Otherwise WAXWING_ERROR_SYNTAX with the key and its line.
 */
bool waxwing_binding_text_keys(struct waxwing_str text, size_t members,
			       struct waxwing_error *error);

#endif
