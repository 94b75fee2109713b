# Guards against running out of memory by requests of legal size that consist of very many short fields.
. "$(dirname "$0")/hostile_lib.sh"

start_limited_node
run_crowd fields "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
run_crowd header-fields "$FRONT/q/" "$FRONT/none" "$READY/readiness" "$METRICS/metrics"
