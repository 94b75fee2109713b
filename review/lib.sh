# Shell functions of the review's scripts, which source it as ". review/lib.sh" from the root of the repository.
# CASE is the case's folder. All processes listen on loopback; their files are in a temporary folder.

TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
NET=127.$((20 + $$ / 250 % 200)).$((1 + $$ % 250))
HOST=orders.example
PIDS=
NODE_COMMAND=$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)
: >"$RECORD"

# could_not_run REASON: the case is neither shown nor refuted
could_not_run() {
	note "could not run: $1"
	echo "could not run: $1"
	exit 2
}

is_own_child() { [ "$(sed 's/.*) [A-Z] \([0-9]*\) .*/\1/' "/proc/$1/stat" 2>/dev/null)" = $$ ]; }

end_all() {
	for pid in $PIDS; do
		is_own_child "$pid" && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
	done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

now() { target/review/call now; }
note() { echo "@$(now) script $*" >>"$RECORD"; }

# start NAME COMMAND...: runs a process in the background; its output goes to NAME.out in the work folder
start() {
	name=$1
	shift
	"$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
	echo $! >"$WORK/$name.pid"
	PIDS="$PIDS $!"
}
pid_of() { cat "$WORK/$1.pid"; }
signal() { kill "-$1" "$(pid_of "$2")"; }

# await WHAT SECONDS COMMAND...: polls until the command succeeds; returns 1 if it does not in time
await() {
	what=$1
	until_ms=$(($(now) + $2 * 1000))
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$(now)" -lt "$until_ms" ] || return 1
		sleep 0.05
	done
}

has_ready_line() { grep -q '^ready ' "$WORK/$1.out"; }
address_of() { sed -n 's/^ready //p' "$WORK/$1.out"; }

start_store() {
	start store target/review/store
	await store 10 has_ready_line store || could_not_run "no store"
	STORE=$(address_of store)
}
put_key() { target/review/call PUT "$STORE" "/control/key?Key=$1" store "$2" >/dev/null; }
remove_key() { target/review/call DELETE "$STORE" "/control/key?Key=$1" >/dev/null; }
set_store() {
	note "store is $1"
	target/review/call PUT "$STORE" "/control/mode?mode=$1" >/dev/null
}

# start_executor ID ZONE KIND RACK [OPTION...]
start_executor() {
	id=$1
	set -- --id "$1" --zone "$2" --kind "$3" --rack "$4" $(shift 4 && echo "$@")
	start "$id" target/review/executor --store "$STORE" --log "$RECORD" "$@"
	await "$id" 10 has_ready_line "$id" || could_not_run "no executor $id"
}

# put_config VERSION ROUTES
put_config() {
	put_key op/config "{\"Version\":$1,\"Routes\":[$2],\"Services\":[{\"Name\":\"s\",\"EnforcesCapacity\":false}],\"Limits\":{}}"
}
# route NAME MAX_ATTEMPTS TARGET_MS
route() {
	echo "{\"Name\":\"$1\",\"Host\":\"$HOST\",\"Prefix\":\"/$1/\",\"Service\":\"s\",\"Priority\":0,\"MaxAttempts\":$2,\"Stretch\":1.6,\"TargetDurationMs\":$3,\"TimeoutMs\":8000}"
}

node_ip() { echo "$NET.$((100 + $1))"; }
# start_node NUMBER ZONE ZONES...: the settings are those of DEPLOY.md
start_node() {
	number=$1
	zone=$2
	shift 2
	{
		cat <<-END
		Node=front-$zone-$number
		Role=entry
		MachineClass=front
		Serves=front
		Ip=$(node_ip "$number")
		Zone=$zone
		Region=region-1
		Listen.Front=$(node_ip "$number"):8161
		Listen.Ready=$(node_ip "$number"):8167
		InternalPorts=7720,7735
		Bootstrap=true
		Limits.CpuShare=0.25
		Limits.Cores=1
		Limits.MemoryMb=260
		Bounds.ContactMs=3000
		Bounds.GraceS=6
		Bounds.HoldMaxMs=1000
		Bounds.StopMs=50
		Bounds.status_s=120
		Bounds.FarFactor=1.5
		Orders=call
		platform.Address=$STORE
		platform.form=kv
		platform.ValueBytes=1048576
		platform.TtlMinMs=1000
		END
		for name in "$@"; do echo "Zones.$name=region-1"; done
	} >"$WORK/node$number.conf"
	WAXWINGSWITCH_SETTINGS=$WORK/node$number.conf
	export WAXWINGSWITCH_SETTINGS
	start "node$number" $NODE_COMMAND
}
is_ready() { target/review/call GET "$(node_ip "$1"):8167" /readiness | grep -q '^200'; }
await_ready() {
	for number in "$@"; do
		await "node $number" 20 is_ready "$number" || could_not_run "node $number is not ready"
	done
}

# job NODE METHOD PATH [BODY]: a client's request; prints its answer
job() { target/review/call -r "$RECORD" -t "${PATIENCE:-4000}" "$2" "$(node_ip "$1"):8161" "$3" "$HOST" "${4:-}"; }
state_of() { job "$1" GET "$2" | sed -n 's/^200 .*"State":"\([a-z]*\)".*/\1/p'; }
state_is() { [ "$(state_of "$1" "$2")" = "$3" ]; }

# start_three_zones: 3 nodes and 12 executors; each zone has one executor of kind b, which is e-ZONE-4
start_three_zones() {
	start_store
	for zone in east north west; do
		for n in 1 2 3; do start_executor "e-$zone-$n" $zone a "r-$zone"; done
		start_executor "e-$zone-4" $zone b "r-$zone"
	done
	start_node 1 east east north west
	start_node 2 north east north west
	start_node 3 west east north west
	put_config 3 "$(route q 4 ${TARGET_MS:-4000})"
	await_ready 1 2 3
	sleep 2
}

# check_stuck ID SECONDS: LOST if the job is not completed and nothing of it has run for the last SECONDS
check_stuck() {
	state=$(state_of 2 "/q/$1")
	last=$(awk -v id="$1" 'index($4, id ".") == 1 { at = $1 } END { print substr(at, 2) }' "$RECORD")
	idle=$((($(now) - ${last:-0}) / 1000))
	note "job $1 is ${state:-unknown}, nothing of it has run for $idle s"
	echo "job $1 is ${state:-unknown}, nothing of it has run for $idle s"
	[ "$state" != completed ] && [ "$idle" -ge "$2" ]
}
