#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They go to target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -I. -Iinclude -Iplatform $(printf ' -I%s' src/*/)"
libs="target/libplatform.a target/libwaxwingswitch.a"
packages="libmicrohttpd libcurl libuv liburcu liburcu-cds libzmq libprotobuf-c json-c glib-2.0 libxxhash"
system="$(pkg-config --libs $packages) -lpthread -lm"
cc $flags $(pkg-config --cflags $packages) -o target/review/store test/standin/store.c $libs $system
cc $flags $(pkg-config --cflags $packages) -o target/review/executor review/standin/executor.c $libs $system
cc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -o target/review/call review/standin/call.c
