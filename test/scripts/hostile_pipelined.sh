# Guards against running out of memory or descriptors by many pipelined requests whose answers are not read.
. "$(dirname "$0")/hostile_lib.sh"

start_limited_node
run_crowd pipelined "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
