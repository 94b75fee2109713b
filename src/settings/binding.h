/**
 * Binds JSON with comments to the schema's messages, by walking protobuf-c descriptors.
 *
 * Scalars, strings, bytes (as strings), messages and repeated fields are taken. A repeated message
 * whose first field is a string called `name` is written as an object keyed by that name. Unknown
 * keys, wrong types, missing required keys, duplicate names and values outside the range table are
 * refused with the path and, where the text is at hand, the line.
 */
#ifndef WAXWING_BINDING_H
#define WAXWING_BINDING_H

#include "str.h"
#include "waxwingswitch/error.h"

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/** Range of one numeric field, or most bytes of a string, by message and field name. */
struct waxwing_range {
	const char *message; /**< short name, e.g. "Limits" */
	const char *field;
	uint64_t min;
	uint64_t max;
	const char *unit; /**< e.g. "ms"; may be empty */
	const char *text; /**< one line for the settings reference */
};

struct waxwing_binding_options {
	uint32_t depth; /**< deepest nesting taken; 0: 32 */
	const struct waxwing_range *ranges; /**< ends with a null message; may be null */
	GHashTable *known; /**< set of paths whose faults are passed over; may be null */
};

/**
 * Parses @text into a new message of @type, freed with protobuf_c_message_free_unpacked(m, NULL).
 *
 * Null with @error: SYNTAX, UNKNOWN_KEY, TYPE, RANGE, MISSING, TOO_DEEP, with path and line. Any thread.
 */
ProtobufCMessage *waxwing_binding_parse(const ProtobufCMessageDescriptor *type,
					struct waxwing_str text,
					const struct waxwing_binding_options *options,
					struct waxwing_error *error);

/**
 * The line, from 1, of a path such as "branches.meals.values.weight" in @text that was parsed; of the
 * longest part that is there, 0 when none is. Any thread.
 */
uint32_t waxwing_binding_line(struct waxwing_str text, const char *path);

/** Most faults that are told of one text. */
#define WAXWING_FAULTS_MOST 100

/** Told of each fault, with its path and line. */
struct waxwing_fault_visitor {
	void (*fault)(void *context, const struct waxwing_error *error);
	void *context;
};

/**
 * Finds every fault of @text, not only the first, up to WAXWING_FAULTS_MOST; returns their number. Any
 * thread.
 */
size_t waxwing_binding_faults(const ProtobufCMessageDescriptor *type, struct waxwing_str text,
			      const struct waxwing_binding_options *options,
			      const struct waxwing_fault_visitor *visitor);

/** Writes a message as JSON (pretty: indented); freed with g_free(). Any thread. */
char *waxwing_binding_print(const ProtobufCMessage *message, bool pretty);

#endif
