#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: the project's own store, and an executor
# and a client of this review. Everything goes to target/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j4 --target waxwing-node standin-store >/dev/null
for name in executor call proxy; do
	# shellcheck disable=SC2046
	cc -std=gnu11 -O1 -Wall -Wextra -D_GNU_SOURCE -o "target/review-2-$name" "review/standin-2/$name.c" \
		$(pkg-config --cflags --libs json-c) -lpthread
done
includes="-Itest/standin -Iplatform -I. $(for folder in src/*; do printf ' -I%s' "$folder"; done)"
# shellcheck disable=SC2046,SC2086
cc -std=gnu11 -O1 -D_GNU_SOURCE $includes -o target/review-2-store review/standin-2/store.c target/libplatform.a \
	target/libwaxwingswitch.a \
	$(pkg-config --cflags --libs libmicrohttpd json-c glib-2.0 libprotobuf-c libcurl libuv libzmq libxxhash) -lpthread -lm
