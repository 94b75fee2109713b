# Sourced by the hostile_* scripts: one waxwing-node with lowered limits, and a crowd of hostile connections to it.
. "$(dirname "$0")/lib.sh"

MEMORY_MB=64 # Limits.MemoryMb of the node, and the bound of its peak memory
FILE_DESCRIPTORS=500 # Limits.FileDescriptors of the node
MAX_OPEN=$((FILE_DESCRIPTORS - 200)) # bound of its open descriptors: 200 are reserved for files
NODE=${ADDRESS%.1}.101
FRONT=$NODE:8000
READY=$NODE:8001
METRICS=$NODE:9464

put_key() { curl -s -o /dev/null -X PUT --data-binary "$2" "http://$STORE/control/key?Key=$1"; }
ready() { [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$READY/readiness")" = 200 ]; }

start_limited_node() {
	start store "$BUILD/standin-store"
	wait_until "the store is ready" has_ready_line store
	STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
	start x1 "$BUILD/standin-executor" --id i-1 --log "$WORK/x1.tasks"
	wait_until "the executor is ready" has_ready_line x1
	put_key servers/i-1 "{\"Service\":\"s\",\"Address\":\"$(sed -n 's/^ready //p' "$WORK/x1.out")\",\"Zone\":\"east\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"Sequence\":1}"
	put_key op/config '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":2000,"IdleTimeoutMs":4000}}'
	cat >"$WORK/node.conf" <<-END
	Node=node-1
	Ip=$NODE
	Zone=east
	Zones.east=region
	Listen.Front=$FRONT
	Listen.Ready=$READY
	InternalPorts=7700,7715
	Bounds.GraceS=6
	Limits.MemoryMb=$MEMORY_MB
	Limits.FileDescriptors=$FILE_DESCRIPTORS
	platform.Address=$STORE
	END
	start node "$BUILD/waxwing-node" --settings "$WORK/node.conf"
	wait_until "the node is ready" ready
	JOBS=0
	MOST_OPEN=0
	wait_until "a job is completed" ordinary_job
}

# ordinary_job: submits a job, with a new id each time, and succeeds if it is completed
ordinary_job() {
	JOBS=$((JOBS + 1))
	curl -s -m 8 -X POST -H "Host: orders.example" -H "X-Deadline-Remaining: 5000" \
		--data-binary '{"Spec":"sleep=20","BestEffort":true,"Steps":[{"Count":1,"Cpu":1000,"EstimatedMs":20}]}' \
		"http://$FRONT/q/$(printf '%016x' $((0xc0000000 + JOBS)))" | grep -q completed
}

note_open() {
	open=$(ls "/proc/$(pid_of node)/fd" | wc -l)
	[ "$open" -le "$MOST_OPEN" ] || MOST_OPEN=$open
}

# run_crowd FORM TARGET...: a crowd that holds its connections while an ordinary job is served, and then leaves. A job
# that is refused or not answered during the crowd is submitted again, as an ordinary client would.
run_crowd() {
	form=$1
	shift
	rm -f "$WORK/crowd.out" # of the crowd before, which would count as ready
	start crowd "$BUILD/standin-hostile_client" --form "$form" --count 640 "$@"
	wait_until "the crowd is connected" has_ready_line crowd
	note_open
	wait_until "an ordinary job is completed beside $form" ordinary_job
	note_open
	kill "$(pid_of crowd)"
	wait "$(pid_of crowd)" 2>/dev/null
	wait_until "an ordinary job is completed after $form" ordinary_job
	wait_until "the node is ready after $form" ready
	check_node "$form"
}

# check_node FORM: the process has not been replaced and has stayed under its bounds. Prints no figures when it has, so
# that the output does not depend on the machine. A sanitizer's own memory counts as the process's, so that the peak is
# not checked there.
check_node() {
	kill -0 "$(pid_of node)" 2>/dev/null && echo "$1: the node runs"
	peak_mb=$(($(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$(pid_of node)/status") / 1024))
	echo "$1: peak $peak_mb MB, $MOST_OPEN descriptors" >>"$WORK/figures.log"
	if [ -z "${WAXWING_SANITIZE:-}" ] && [ "$peak_mb" -ge $MEMORY_MB ]; then
		echo "$1: peak memory $peak_mb MB, bound $MEMORY_MB MB"
	fi
	[ "$MOST_OPEN" -lt $MAX_OPEN ] || echo "$1: $MOST_OPEN open descriptors, bound $MAX_OPEN"
}
