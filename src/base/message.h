/** Copies of protobuf-c messages. */
#ifndef WAXWING_MESSAGE_H
#define WAXWING_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

/** A copy of a message with all that it holds, freed with its type's free_unpacked(). Any thread. */
void *waxwing_message_copy(const ProtobufCMessage *message);

#endif
