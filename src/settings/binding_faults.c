/*
 * All faults of a text: it is parsed again and again, each time passing over the faults told before.
 */
#include "binding.h"

#include "binding_scan.h"

/* Equal keys, which the parser does not see. */
static size_t tell_duplicate(struct waxwing_str text, const struct waxwing_fault_visitor *visitor)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint32_t line = 0;
	char *path = waxwing_scan_duplicate(text, &line);

	if (!path)
		return 0;
	waxwing_error_set(&error, WAXWING_ERROR_SYNTAX, path, "the key stands there twice");
	error.line = line;
	visitor->fault(visitor->context, &error);
	g_free(path);
	return 1;
}

size_t waxwing_binding_faults(const ProtobufCMessageDescriptor *type, struct waxwing_str text,
			      const struct waxwing_binding_options *options,
			      const struct waxwing_fault_visitor *visitor)
{
	struct waxwing_binding_options passing = *options;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	ProtobufCMessage *message;
	size_t count = 0;

	passing.known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	while (!(message = waxwing_binding_parse(type, text, &passing, &error)) &&
	       count < WAXWING_FAULTS_MOST &&
	       g_hash_table_add(passing.known, g_strdup(error.path))) {
		visitor->fault(visitor->context, &error);
		count++;
	}
	g_hash_table_destroy(passing.known);
	if (!message)
		return count;
	protobuf_c_message_free_unpacked(message, NULL);
	return count + tell_duplicate(text, visitor);
}
