/*
 * Reports all errors of a text by parsing it repeatedly, each time skipping the paths reported
 * before.
 */
#include "binding.h"

#include "binding_scan.h"

/* Scans for a duplicate key, since the parser doesn't check for them if it skips paths. */
static size_t report_duplicate_key(struct waxwing_str text,
				   const struct waxwing_error_visitor *visitor)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint32_t line = 0;
	char *path = waxwing_scan_duplicate_key(text, &line);

	if (!path)
		return 0;
	waxwing_error_set(&error, WAXWING_ERROR_SYNTAX, path, "duplicate key");
	error.line = line;
	visitor->on_error(visitor->context, &error);
	g_free(path);
	return 1;
}

size_t waxwing_binding_find_errors(const ProtobufCMessageDescriptor *type, struct waxwing_str text,
				   const struct waxwing_binding_options *options,
				   const struct waxwing_error_visitor *visitor)
{
	struct waxwing_binding_options skipping = *options;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	ProtobufCMessage *message;
	size_t count = 0;

	skipping.skip_paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	while (!(message = waxwing_binding_parse(type, text, &skipping, &error)) &&
	       count < WAXWING_MAX_ERRORS &&
	       g_hash_table_add(skipping.skip_paths, g_strdup(error.path))) {
		visitor->on_error(visitor->context, &error);
		count++;
	}
	g_hash_table_destroy(skipping.skip_paths);
	if (!message)
		return count;
	protobuf_c_message_free_unpacked(message, NULL);
	return count + report_duplicate_key(text, visitor);
}
