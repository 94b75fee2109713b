#include "message.h"

#include <glib.h>

void *waxwing_message_copy(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *packed = g_malloc(len);
	ProtobufCMessage *copy;

	protobuf_c_message_pack(message, packed);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, len, packed);
	g_free(packed);
	return copy;
}
