#!/bin/sh
# Jobs that are stored, of short tasks. Some executors carry out requests whose answers are lost: the connection breaks
# a little later. Checks that no task starts again after a run of it has ended done.
# Exit status: 0 the rule TWICE held, 1 it was broken, 2 the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-3.sh"
need target/waxwing-node target/review-3/world

ZONES=za
for number in 1 2; do
	write_settings $number za
	start_node $number
done
"$ROOT/target/review-3/world" --net "$NET" --record "$RECORD" --nodes 2 --executors 16 --seconds 90 --rate 120 \
	--tasks 8 --task-ms 10 --trouble "$TROUBLE" --seed $$
exit $?
