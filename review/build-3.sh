#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3. Run it after the build of
# the deploy file. It needs only packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.c; do
	# shellcheck disable=SC2046
	gcc -std=gnu11 -O2 -g -Wall -Wextra -o "target/review-3/$(basename "$source" .c)" "$source" \
		$(pkg-config --cflags --libs json-c glib-2.0)
done
