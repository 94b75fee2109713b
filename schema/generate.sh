#!/bin/sh
# Regenerates generated/ from the schema. Needs protobuf-c-compiler.
set -eu
cd "$(dirname "$0")"
protoc-c --c_out=../generated settings.proto settings_log.proto api.proto peer.proto node.proto
