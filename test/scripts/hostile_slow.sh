# Guards against running out of descriptors by clients that send or read slowly or stop half-way.
. "$(dirname "$0")/hostile_lib.sh"

start_limited_node
run_crowd slow-send "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd slow-read "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd half "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
