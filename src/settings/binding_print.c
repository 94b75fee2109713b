#include "binding.h"

#include "binding_field.h"

#include <json-c/json.h>
#include <stdlib.h>

#define CONST_MEMBER(type, message, offset) (*(const type *)((const char *)(message) + (offset)))

static json_object *print_message(const ProtobufCMessage *message, unsigned int first_field);

static json_object *print_value(const ProtobufCFieldDescriptor *field, const void *value)
{
	const ProtobufCBinaryData *bytes = value;

	switch (field->type) {
	case PROTOBUF_C_TYPE_BOOL:
		return json_object_new_boolean(*(const protobuf_c_boolean *)value);
	case PROTOBUF_C_TYPE_UINT32:
		return json_object_new_uint64(*(const uint32_t *)value);
	case PROTOBUF_C_TYPE_UINT64:
		return json_object_new_uint64(*(const uint64_t *)value);
	case PROTOBUF_C_TYPE_STRING:
		return json_object_new_string(*(const char *const *)value);
	case PROTOBUF_C_TYPE_BYTES:
		return json_object_new_string_len((const char *)bytes->data, (int)bytes->len);
	case PROTOBUF_C_TYPE_MESSAGE:
		return print_message(*(const ProtobufCMessage *const *)value, 0);
	default:
		return NULL;
	}
}

static json_object *print_keyed(const ProtobufCMessage *const *items, size_t count)
{
	json_object *json = json_object_new_object();

	for (size_t i = 0; i < count; i++) {
		const ProtobufCMessageDescriptor *type = items[i]->descriptor;

		json_object_object_add(json, CONST_MEMBER(char *, items[i], type->fields[0].offset),
				       print_message(items[i], 1));
	}
	return json;
}

static json_object *print_array(const ProtobufCFieldDescriptor *field, const char *items,
				size_t count)
{
	json_object *json = json_object_new_array_ext((int)count);
	size_t size = waxwing_field_size(field->type);

	for (size_t i = 0; i < count; i++)
		json_object_array_add(json, print_value(field, items + i * size));
	return json;
}

static bool is_present(const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return CONST_MEMBER(size_t, message, field->quantifier_offset) > 0;
	if (field->type == PROTOBUF_C_TYPE_STRING || field->type == PROTOBUF_C_TYPE_MESSAGE)
		return CONST_MEMBER(void *, message, field->offset) != NULL;
	if (field->label == PROTOBUF_C_LABEL_REQUIRED)
		return true;
	return CONST_MEMBER(protobuf_c_boolean, message, field->quantifier_offset);
}

static json_object *print_field(const ProtobufCMessage *message,
				const ProtobufCFieldDescriptor *field)
{
	const char *value = (const char *)message + field->offset;
	size_t count;

	if (field->label != PROTOBUF_C_LABEL_REPEATED)
		return print_value(field, value);
	count = CONST_MEMBER(size_t, message, field->quantifier_offset);
	if (waxwing_field_is_keyed(field))
		return print_keyed(*(const ProtobufCMessage *const *const *)value, count);
	return print_array(field, *(const char *const *)value, count);
}

static json_object *print_message(const ProtobufCMessage *message, unsigned int first_field)
{
	json_object *json = json_object_new_object();

	for (unsigned int i = first_field; i < message->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &message->descriptor->fields[i];

		if (is_present(message, field))
			json_object_object_add(json, field->name, print_field(message, field));
	}
	return json;
}

char *waxwing_binding_print(const ProtobufCMessage *message, bool pretty)
{
	json_object *json = print_message(message, 0);
	int flags = JSON_C_TO_STRING_NOSLASHESCAPE;
	char *text;

	if (pretty)
		flags |= JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED;
	text = g_strdup(json_object_to_json_string_ext(json, flags));
	json_object_put(json);
	return text;
}
