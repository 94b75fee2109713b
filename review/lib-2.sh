# Functions for the scripts of cases 6 to 10. Processes run on loopback addresses of their own, from a temporary folder.
# A script sets HERE (its folder) and sources this file from there.

ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/target
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
RECORD=$HERE/record.txt
NET=127.$((10 + $$ / 250 % 200)).$((1 + $$ % 250))
HOST=orders.example
PIDS=
: >"$RECORD"

record() { echo "$(now) $*" >>"$RECORD"; }
now() { "$BIN/review-2-call" now; }
own_child() { [ "$(sed 's/.*) [A-Z] \([0-9]*\) .*/\1/' "/proc/$1/stat" 2>/dev/null)" = $$ ]; }

stop_all() {
	for pid in $PIDS; do own_child "$pid" && kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 2' HUP INT TERM

cannot_run() {
	record "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# spawn NAME COMMAND...: runs a process; its id is in NAME.pid, its output in NAME.out
spawn() {
	name=$1
	shift
	"$@" >>"$WORK/$name.out" 2>&1 &
	echo $! >"$WORK/$name.pid"
	PIDS="$PIDS $!"
}
pid_of() { cat "$WORK/$1.pid"; }
running() { own_child "$(pid_of "$1")" && ! grep -q '^State:.Z' "/proc/$(pid_of "$1")/status"; }

# wait_for SECONDS COMMAND...: polls until the command succeeds
wait_for() {
	tries=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.05
	done
}

has_ready_line() { grep -q '^ready ' "$WORK/$1.out"; }
# start_store [PROGRAM]
start_store() {
	spawn store "$BIN/${1:-standin-store}"
	wait_for 10 has_ready_line store || cannot_run "no store"
	STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
}
set_store_mode() { "$BIN/review-2-call" PUT "$STORE" store "/control/mode?mode=$1" 3000 >/dev/null; }
put_key() { "$BIN/review-2-call" PUT "$STORE" store "/control/key?Key=$1" 3000 "$2" >/dev/null; }
delete_key() { "$BIN/review-2-call" DELETE "$STORE" store "/control/key?Key=$1" 3000 >/dev/null; }

# start_executor NUMBER ZONE [OPTION VALUE]...
start_executor() {
	number=$1
	zone=$2
	shift 2
	spawn "x$number" "$BIN/review-2-executor" --id "e$number" --address "$NET.$((100 + number)):9000" --zone "$zone" \
		--store "$STORE" --log "$WORK/x$number.log" "$@"
	wait_for 5 has_ready_line "x$number" || cannot_run "no executor $number"
}

node_ip() { echo "$NET.$1"; }
front() { echo "$(node_ip "$1"):8161"; }

# start_node NUMBER ZONE ZONES...: with the settings of a small deployment; STORE_OF_N is node N's address of the store,
# if it is another
start_node() {
	ip=$(node_ip "$1")
	eval "store_address=\${STORE_OF_$1:-$STORE}"
	{
		cat <<-END
		Node=front-$1
		Role=entry
		MachineClass=front
		Serves=front
		Ip=$ip
		Zone=$2
		Region=r
		Listen.Front=$ip:8161
		Listen.Ready=$ip:8167
		InternalPorts=7720,7735
		Bootstrap=false
		Limits.CpuShare=0.25
		Limits.Cores=1
		HeartbeatMs=1500
		Bounds.ContactMs=3000
		Bounds.DrainMs=2000
		Bounds.GraceS=6
		Bounds.LossSlackMs=200
		Bounds.ConfigApplyMs=2000
		Bounds.HoldMaxMs=1000
		Bounds.StopMs=50
		Bounds.cancel_ms=3000
		Bounds.visible_ms=3000
		Bounds.status_s=120
		Bounds.FarFactor=1.5
		Orders=call
		platform.Address=$store_address
		platform.form=kv
		platform.ValueBytes=1048576
		platform.TtlMinMs=1000
		END
		shift 2
		for z in "$@"; do echo "Zones.$z=r"; done
	} >"$WORK/node-$ip.conf"
	number=${ip##*.}
	export WAXWINGSWITCH_SETTINGS="$WORK/node-$ip.conf"
	spawn "node$number" "$BIN/waxwing-node"
}

# owns NUMBER: whether the node gives orders to executors
owns() { "$BIN/review-2-call" GET "$(node_ip "$1"):9464" x /metrics 2000 | grep -q waxwing_cell_executors; }

# call NUMBER METHOD PATH DEADLINE_MS [BODY]: one request of a client to a node; prints "STATUS MS BODY"
call() {
	number=$1
	method=$2
	path=$3
	shift 3
	"$BIN/review-2-call" "$method" "$(front "$number")" $HOST "$path" "$@"
}
is_ready() { [ "$("$BIN/review-2-call" GET "$(node_ip "$1"):8167" x /readiness 1000 | cut -d' ' -f1)" = 200 ]; }
wait_ready() {
	for n in "$@"; do wait_for 20 is_ready "$n" || cannot_run "node $n is not ready"; done
}

# put_config VERSION [MAX_ATTEMPTS]: one queue, /q/, for the service "s"
put_config() {
	put_key op/config "{\"Version\":$1,\"Routes\":[{\"Name\":\"q\",\"Host\":\"$HOST\",\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":0,\"MaxAttempts\":${2:-3},\"Stretch\":3,\"TargetDurationMs\":3000,\"TimeoutMs\":10000}],\"Services\":[{\"Name\":\"s\",\"EnforcesCapacity\":false}],\"Limits\":{}}"
}

# job SPEC COUNT CPU ESTIMATE_MS [FIELDS]: a job that must be kept, of one step
job() { echo "{\"Spec\":\"$1\",\"Steps\":[{\"Count\":$2,\"Cpu\":$3,\"MemMb\":64,\"EstimatedMs\":$4${5:-}}]}"; }

# the executors' logs of starts and ends, by time
executor_logs() { sort -n "$WORK"/x*.log 2>/dev/null; }
