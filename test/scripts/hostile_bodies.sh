# Guards against running out of memory by bodies of legal size that stop just short of their end.
. "$(dirname "$0")/hostile_lib.sh"

start_limited_node
run_crowd bodies-whole "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd bodies-pieces "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd bodies-chunked "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
