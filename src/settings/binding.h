/**
 * Converts between JSON with comments and protobuf messages, driven by protobuf-c descriptors.
 *
 * Supports booleans, uint32, uint64, strings, bytes (as JSON strings), messages and repeated
 * fields. A repeated message whose first field is a string called `name` is written as a JSON
 * object keyed by that name. Unknown keys, wrong types, missing required keys, duplicate keys
 * and values outside the range table are rejected; the error holds the path and, if the path is
 * in the text, the line.
 */
#ifndef WAXWING_BINDING_H
#define WAXWING_BINDING_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Permitted range of one field: the value of a number, the length in bytes of a string, or the
 * maximum number of items of a repeated field.
 */
struct waxwing_field_range {
	const char *message; /**< short name of the message type, e.g. "Limits" */
	const char *field;
	uint64_t min;
	uint64_t max;
	const char *unit; /**< e.g. "ms"; empty if there is none */
	const char *description; /**< one-line description for the settings reference */
};

struct waxwing_binding_options {
	uint32_t max_depth; /**< maximum nesting depth; 0 means 32 */
	const struct waxwing_field_range
		*ranges; /**< terminated by a null message; null: no ranges */
	GHashTable *skip_paths; /**< set of paths to leave unparsed; null: none */
};

/**
 * Parses @text into a new message of @type; free it with protobuf_c_message_free_unpacked(m, NULL).
 *
 * Returns null and sets @error, with path and line, to SYNTAX, UNKNOWN_KEY, TYPE, RANGE, MISSING,
 * TOO_DEEP, TOO_MANY or TOO_LARGE. Any thread.
 */
ProtobufCMessage *waxwing_binding_parse(const ProtobufCMessageDescriptor *type,
					struct waxwing_str text,
					const struct waxwing_binding_options *options,
					struct waxwing_error *error);

/**
 * Returns the line, counted from 1, of a path such as "branches.meals.values.weight" in @text,
 * which must have been parsed before. If the path is missing, returns the line of its longest
 * prefix that is present, or 0 if there is none. Any thread.
 */
uint32_t waxwing_binding_path_line(struct waxwing_str text, const char *path);

/** Maximum number of parse errors reported for one text. */
#define WAXWING_MAX_ERRORS 100

/** Called for each error, which holds its path and line. */
struct waxwing_error_visitor {
	void (*on_error)(void *context, const struct waxwing_error *error);
	void *context;
};

/**
 * Reports the errors in @text, not only the first, up to WAXWING_MAX_ERRORS, and at most one
 * duplicate key; returns the number reported. Any thread.
 */
size_t waxwing_binding_find_errors(const ProtobufCMessageDescriptor *type, struct waxwing_str text,
				   const struct waxwing_binding_options *options,
				   const struct waxwing_error_visitor *visitor);

/** Writes a message as JSON, indented if @pretty; free with g_free(). Any thread. */
char *waxwing_binding_print(const ProtobufCMessage *message, bool pretty);

#endif
