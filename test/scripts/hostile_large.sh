# Guards against running out of memory or descriptors by bodies far over the limit, at any path.
. "$(dirname "$0")/hostile_lib.sh"

start_limited_node
run_crowd large "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd large-chunked "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
