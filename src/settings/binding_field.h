/**
 * Properties of protobuf-c fields that both the JSON parser and the printer need.
 */
#ifndef WAXWING_BINDING_FIELD_H
#define WAXWING_BINDING_FIELD_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <string.h>

/** True for a repeated message that is a JSON object keyed by the first field, `name`. */
static inline bool waxwing_field_is_keyed(const ProtobufCFieldDescriptor *field)
{
	const ProtobufCMessageDescriptor *type = field->descriptor;

	return field->label == PROTOBUF_C_LABEL_REPEATED &&
	       field->type == PROTOBUF_C_TYPE_MESSAGE && type->n_fields > 0 &&
	       type->fields[0].type == PROTOBUF_C_TYPE_STRING &&
	       strcmp(type->fields[0].name, "name") == 0;
}

/** Size in bytes of one value of a type that the binding supports. */
static inline size_t waxwing_field_size(ProtobufCType type)
{
	switch (type) {
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_UINT32:
		return sizeof(uint32_t);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(void *);
	default:
		return sizeof(uint64_t);
	}
}

#endif
