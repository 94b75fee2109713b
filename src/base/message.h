/** Copying of protobuf-c messages. */
#ifndef WAXWING_MESSAGE_H
#define WAXWING_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

/** Returns a deep copy of a message, to be freed with its type's free_unpacked(). Any thread. */
void *waxwing_message_copy(const ProtobufCMessage *message);

#endif
