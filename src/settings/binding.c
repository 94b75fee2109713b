#include "binding.h"

#include "binding_field.h"
#include "binding_scan.h"
#include "binding_text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define DEFAULT_MAX_DEPTH 32

#define MEMBER(type, message, offset) (*(type *)((char *)(message) + (offset)))

struct parse_context {
	const struct waxwing_binding_options *options;
	GString *path;
	size_t members; /* number of JSON object members parsed */
	struct waxwing_error *error;
};

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count ? count : 1, size);

	if (!memory)
		abort();
	return memory;
}

static size_t path_push(struct parse_context *context, const char *key)
{
	size_t outer = context->path->len;

	if (outer)
		g_string_append_c(context->path, '.');
	g_string_append(context->path, key);
	return outer;
}

static size_t path_push_index(struct parse_context *context, size_t index)
{
	size_t outer = context->path->len;

	g_string_append_printf(context->path, "[%zu]", index);
	return outer;
}

static void path_pop(struct parse_context *context, size_t outer)
{
	g_string_truncate(context->path, outer);
}

/* Sets the error with the current path. */
static void record_error(struct parse_context *context, enum waxwing_error_code code,
			 const char *format, ...) __attribute__((format(printf, 3, 4)));

static void record_error(struct parse_context *context, enum waxwing_error_code code,
			 const char *format, ...)
{
	char detail[WAXWING_ERROR_DETAIL_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	waxwing_error_set(context->error, code, context->path->str, "%s", detail);
}

/* Calls record_error() and evaluates to false. */
#define FAIL(context, code, ...) (record_error(context, code, __VA_ARGS__), false)

static const struct waxwing_field_range *find_range(const struct parse_context *context,
						    const ProtobufCFieldDescriptor *field,
						    const ProtobufCMessageDescriptor *type)
{
	const struct waxwing_field_range *range =
		context->options ? context->options->ranges : NULL;

	for (; range && range->message; range++)
		if (strcmp(range->message, type->short_name) == 0 &&
		    strcmp(range->field, field->name) == 0)
			return range;
	return NULL;
}

static bool check_number(struct parse_context *context, const struct waxwing_field_range *range,
			 uint64_t value, uint64_t highest)
{
	uint64_t min = range ? range->min : 0;
	uint64_t max = range && range->max < highest ? range->max : highest;

	if (value >= min && value <= max)
		return true;
	return FAIL(context, WAXWING_ERROR_RANGE,
		    "%" G_GUINT64_FORMAT " is outside %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
		    "%s%s",
		    value, min, max, range && *range->unit ? " " : "", range ? range->unit : "");
}

static bool parse_number(struct parse_context *context, const struct waxwing_field_range *range,
			 json_object *json, uint64_t highest, uint64_t *value)
{
	if (!json_object_is_type(json, json_type_int))
		return FAIL(context, WAXWING_ERROR_TYPE, "expected a whole number, found %s",
			    json_type_to_name(json_object_get_type(json)));
	if (json_object_get_int64(json) < 0)
		return FAIL(context, WAXWING_ERROR_RANGE, "%lld is below 0",
			    (long long)json_object_get_int64(json));
	*value = json_object_get_uint64(json);
	return check_number(context, range, *value, highest);
}

static bool check_string(struct parse_context *context, const struct waxwing_field_range *range,
			 struct waxwing_str text)
{
	if (!range || (text.len >= range->min && text.len <= range->max))
		return true;
	return FAIL(context, WAXWING_ERROR_RANGE,
		    "%zu bytes are outside %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT, text.len,
		    range->min, range->max);
}

static bool read_string(struct parse_context *context, json_object *json, struct waxwing_str *text)
{
	if (!json_object_is_type(json, json_type_string))
		return FAIL(context, WAXWING_ERROR_TYPE, "expected a string, found %s",
			    json_type_to_name(json_object_get_type(json)));
	text->data = json_object_get_string(json);
	text->len = (size_t)json_object_get_string_len(json);
	return true;
}

static bool parse_string(struct parse_context *context, const struct waxwing_field_range *range,
			 json_object *json, char **value)
{
	struct waxwing_str text;

	if (!read_string(context, json, &text))
		return false;
	if (memchr(text.data, '\0', text.len))
		return FAIL(context, WAXWING_ERROR_TYPE, "the string contains a NUL character");
	if (!check_string(context, range, text))
		return false;
	*value = allocate(text.len + 1, 1);
	memcpy(*value, text.data, text.len);
	return true;
}

static bool parse_bytes(struct parse_context *context, const struct waxwing_field_range *range,
			json_object *json, ProtobufCBinaryData *value)
{
	struct waxwing_str text;

	if (!read_string(context, json, &text) || !check_string(context, range, text))
		return false;
	value->data = allocate(text.len, 1);
	value->len = text.len;
	memcpy(value->data, text.data, text.len);
	return true;
}

static bool parse_bool(struct parse_context *context, json_object *json, protobuf_c_boolean *value)
{
	if (!json_object_is_type(json, json_type_boolean))
		return FAIL(context, WAXWING_ERROR_TYPE, "expected true or false, found %s",
			    json_type_to_name(json_object_get_type(json)));
	*value = json_object_get_boolean(json);
	return true;
}

static ProtobufCMessage *parse_message(struct parse_context *context,
				       const ProtobufCMessageDescriptor *type, json_object *json,
				       const char *name);

/* Parses one value of @field into the memory at @target. */
static bool parse_value(struct parse_context *context, const ProtobufCFieldDescriptor *field,
			const struct waxwing_field_range *range, json_object *json, void *target)
{
	uint64_t number;

	switch (field->type) {
	case PROTOBUF_C_TYPE_BOOL:
		return parse_bool(context, json, target);
	case PROTOBUF_C_TYPE_UINT32:
		if (!parse_number(context, range, json, UINT32_MAX, &number))
			return false;
		*(uint32_t *)target = (uint32_t)number;
		return true;
	case PROTOBUF_C_TYPE_UINT64:
		/* json-c returns UINT64_MAX for larger numbers too, so it is rejected. */
		return parse_number(context, range, json, UINT64_MAX - 1, target);
	case PROTOBUF_C_TYPE_STRING:
		return parse_string(context, range, json, target);
	case PROTOBUF_C_TYPE_BYTES:
		return parse_bytes(context, range, json, target);
	case PROTOBUF_C_TYPE_MESSAGE:
		*(ProtobufCMessage **)target =
			parse_message(context, field->descriptor, json, NULL);
		return *(ProtobufCMessage **)target != NULL;
	default:
		return FAIL(context, WAXWING_ERROR_TYPE, "fields of this type are not supported");
	}
}

/* True if the caller asked to leave the value at the current path unparsed. */
static bool is_skipped(const struct parse_context *context)
{
	GHashTable *paths = context->options ? context->options->skip_paths : NULL;

	return paths && g_hash_table_contains(paths, context->path->str);
}

static bool check_count(struct parse_context *context, const struct waxwing_field_range *range,
			size_t count)
{
	if (!range || count <= range->max)
		return true;
	return FAIL(context, WAXWING_ERROR_TOO_MANY,
		    "%zu items exceed the maximum of %" G_GUINT64_FORMAT, count, range->max);
}

static bool parse_array(struct parse_context *context, const ProtobufCFieldDescriptor *field,
			const struct waxwing_field_range *range, json_object *json,
			ProtobufCMessage *message)
{
	size_t size = waxwing_field_size(field->type);
	size_t *count = &MEMBER(size_t, message, field->quantifier_offset);
	size_t length;
	char *items;

	if (!json_object_is_type(json, json_type_array))
		return FAIL(context, WAXWING_ERROR_TYPE, "expected an array, found %s",
			    json_type_to_name(json_object_get_type(json)));
	length = json_object_array_length(json);
	if (!check_count(context, range, length))
		return false;
	items = allocate(length, size);
	MEMBER(void *, message, field->offset) = items;
	for (*count = 0; *count < length; ++*count) {
		size_t outer = path_push_index(context, *count);

		if (!is_skipped(context) &&
		    !parse_value(context, field, NULL, json_object_array_get_idx(json, *count),
				 items + *count * size))
			return false;
		path_pop(context, outer);
	}
	return true;
}

static bool check_name(struct parse_context *context, const char *name)
{
	if (!*name)
		return FAIL(context, WAXWING_ERROR_RANGE, "a name must not be empty");
	for (const char *c = name; *c; c++)
		if (*c == '/' || g_ascii_iscntrl(*c))
			return FAIL(context, WAXWING_ERROR_RANGE,
				    "a name must not contain '/' or control characters");
	return true;
}

static bool parse_keyed(struct parse_context *context, const ProtobufCFieldDescriptor *field,
			const struct waxwing_field_range *range, json_object *json,
			ProtobufCMessage *message)
{
	size_t *count = &MEMBER(size_t, message, field->quantifier_offset);
	ProtobufCMessage **items;

	if (!json_object_is_type(json, json_type_object))
		return FAIL(context, WAXWING_ERROR_TYPE,
			    "expected an object keyed by name, found %s",
			    json_type_to_name(json_object_get_type(json)));
	context->members += (size_t)json_object_object_length(json);
	if (!check_count(context, range, (size_t)json_object_object_length(json)))
		return false;
	items = allocate((size_t)json_object_object_length(json), sizeof(void *));
	MEMBER(void *, message, field->offset) = items;
	json_object_object_foreach(json, name, value)
	{
		size_t outer = path_push(context, name);

		if (!is_skipped(context)) {
			if (!check_name(context, name))
				return false;
			items[*count] = parse_message(context, field->descriptor, value, name);
			if (!items[*count])
				return false;
			++*count;
		}
		path_pop(context, outer);
	}
	return true;
}

static void set_present(const ProtobufCFieldDescriptor *field, ProtobufCMessage *message)
{
	if (field->label == PROTOBUF_C_LABEL_OPTIONAL && field->quantifier_offset)
		MEMBER(protobuf_c_boolean, message, field->quantifier_offset) = 1;
}

static bool parse_field(struct parse_context *context, const ProtobufCFieldDescriptor *field,
			json_object *json, ProtobufCMessage *message)
{
	const struct waxwing_field_range *range = find_range(context, field, message->descriptor);

	if (waxwing_field_is_keyed(field))
		return parse_keyed(context, field, range, json, message);
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return parse_array(context, field, range, json, message);
	if (!parse_value(context, field, range, json, (char *)message + field->offset))
		return false;
	set_present(field, message);
	return true;
}

/*
 * Fails if @json lacks a required field. If @named, the first field was set from the key of
 * the message and isn't checked.
 */
static bool check_required(struct parse_context *context, const ProtobufCMessageDescriptor *type,
			   json_object *json, bool named)
{
	for (unsigned int i = named ? 1 : 0; i < type->n_fields; i++) {
		size_t outer;

		if (type->fields[i].label != PROTOBUF_C_LABEL_REQUIRED ||
		    json_object_object_get_ex(json, type->fields[i].name, NULL))
			continue;
		outer = path_push(context, type->fields[i].name);
		if (!is_skipped(context))
			return FAIL(context, WAXWING_ERROR_MISSING, "the key is required");
		path_pop(context, outer);
	}
	return true;
}

static bool parse_member(struct parse_context *context, const ProtobufCFieldDescriptor *field,
			 json_object *json, ProtobufCMessage *message, bool named)
{
	if (!field || (named && field == &message->descriptor->fields[0]))
		return FAIL(context, WAXWING_ERROR_UNKNOWN_KEY, "%s has no such key",
			    message->descriptor->short_name);
	return parse_field(context, field, json, message);
}

static bool parse_members(struct parse_context *context, ProtobufCMessage *message,
			  json_object *json, bool named)
{
	context->members += (size_t)json_object_object_length(json);
	json_object_object_foreach(json, key, value)
	{
		const ProtobufCFieldDescriptor *field =
			protobuf_c_message_descriptor_get_field_by_name(message->descriptor, key);
		size_t outer = path_push(context, key);

		if (!is_skipped(context) && !parse_member(context, field, value, message, named))
			return false;
		path_pop(context, outer);
	}
	return check_required(context, message->descriptor, json, named);
}

static bool set_name(struct parse_context *context, ProtobufCMessage *message, const char *name)
{
	const ProtobufCFieldDescriptor *field = &message->descriptor->fields[0];
	size_t size = strlen(name) + 1;
	char *copy = allocate(size, 1);

	memcpy(copy, name, size);
	MEMBER(char *, message, field->offset) = copy;
	return check_string(context, find_range(context, field, message->descriptor),
			    waxwing_str(name));
}

/* @name is the key of a keyed message, or null for any other message. */
static ProtobufCMessage *parse_message(struct parse_context *context,
				       const ProtobufCMessageDescriptor *type, json_object *json,
				       const char *name)
{
	ProtobufCMessage *message;

	if (!json_object_is_type(json, json_type_object)) {
		record_error(context, WAXWING_ERROR_TYPE, "expected an object, found %s",
			     json_type_to_name(json_object_get_type(json)));
		return NULL;
	}
	message = allocate(1, type->sizeof_message);
	protobuf_c_message_init(type, message);
	if ((!name || set_name(context, message, name)) &&
	    parse_members(context, message, json, name != NULL))
		return message;
	protobuf_c_message_free_unpacked(message, NULL);
	return NULL;
}

static ProtobufCMessage *bind_message(const ProtobufCMessageDescriptor *type,
				      struct waxwing_str text,
				      const struct waxwing_binding_options *options,
				      json_object *json, struct waxwing_error *error)
{
	struct parse_context context = { .options = options,
					 .path = g_string_new(NULL),
					 .error = error };
	ProtobufCMessage *message = parse_message(&context, type, json, NULL);

	if (!message && error)
		error->line = waxwing_scan_path_line(text, context.path->str);
	g_string_free(context.path, TRUE);
	/* Members below skipped paths are not counted, so the count can't be checked with them. */
	if (message && !(options && options->skip_paths) &&
	    !waxwing_binding_text_check_keys(text, context.members, error)) {
		protobuf_c_message_free_unpacked(message, NULL);
		return NULL;
	}
	return message;
}

ProtobufCMessage *waxwing_binding_parse(const ProtobufCMessageDescriptor *type,
					struct waxwing_str text,
					const struct waxwing_binding_options *options,
					struct waxwing_error *error)
{
	uint32_t depth = options && options->max_depth ? options->max_depth : DEFAULT_MAX_DEPTH;
	struct waxwing_error failure = WAXWING_ERROR_INIT;
	json_object *json = waxwing_binding_text_parse(text, depth, &failure);
	ProtobufCMessage *message;

	if (!json) {
		/* The text `null` parses to a null object without an error. */
		if (failure.code == WAXWING_OK)
			waxwing_binding_text_error(&failure, WAXWING_ERROR_TYPE, text, 0,
						   "expected an object");
		if (error)
			*error = failure;
		return NULL;
	}
	message = bind_message(type, text, options, json, error);
	json_object_put(json);
	return message;
}

uint32_t waxwing_binding_path_line(struct waxwing_str text, const char *path)
{
	return waxwing_scan_path_line(text, path);
}
