# Another writer leaves odd entries among those of the executors: deeply nested, with a number too large, with a port
# out of range. The nodes that read the list go on following it, and use none of these entries.
. "$(dirname "$0")/lib.sh"

start store "$BUILD/standin-store"
wait_until "the store is ready" has_ready_line store
STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
# put_key KEY: writes standard input to an entry of the store
put_key() { curl -s -o /dev/null -X PUT --data-binary @- "http://$STORE/control/key?Key=$1"; }

# entry ADDRESS CPU BORN [MORE]: an executor's entry
entry() {
	echo "{\"Service\":\"s\",\"Address\":\"$1\",\"Zone\":\"east\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":$2,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"born\":$3,\"Sequence\":1${4:-}}"
}
address_of() { sed -n 's/^ready //p' "$WORK/x$1.out"; }
# list_executor NUMBER: writes the executor's valid entry
list_executor() { entry "$(address_of "$1")" 16000 0 | put_key "servers/i-$1"; }
start_executor() {
	start "x$1" "$BUILD/standin-executor" --id "i-$1" --log "$WORK/x$1.tasks"
	wait_until "executor $1 is ready" has_ready_line "x$1"
}

node_address() { echo "${ADDRESS%.1}.$((100 + $1))"; }
start_node() {
	IP=$(node_address "$1")
	cat >"$WORK/node$1.conf" <<-END
	Node=node-$1
	Ip=$IP
	Zone=east
	Zones.east=region
	Listen.Front=$IP:8000
	Listen.Ready=$IP:8001
	InternalPorts=7700,7715
	Bounds.GraceS=6
	platform.Address=$STORE
	END
	start "node$1" "$BUILD/waxwing-node" --settings "$WORK/node$1.conf"
}
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(node_address "$1"):8001/readiness")" = 200 ]; }
# knows_executors NODE COUNT: the node owns the cell and has exactly COUNT executors
knows_executors() { curl -s "http://$(node_address "$1"):9464/metrics" | grep -qx "waxwing_cell_executors{cell=\"east\"} $2"; }
has_ended() { ! is_own_child "$(pid_of "$1")"; }
# run_job NODE ID: a job whose two tasks fill two executors
run_job() {
	curl -s -X POST -H "Host: orders.example" -H "X-Deadline-Remaining: 8000" -w ' %{http_code}\n' --data-binary \
		'{"Spec":"sleep=30","BestEffort":true,"Steps":[{"Count":2,"Cpu":16000,"EstimatedMs":30}]}' \
		"http://$(node_address "$1"):8000/q/$2"
}

nested() { printf '%*s' "$1" '' | tr ' ' '['; printf '%*s' "$1" '' | tr ' ' ']'; }
put_odd_entries() {
	nested 100000 | put_key servers/i-odd1
	printf '%*s' 100000 '' | tr ' ' '[' | put_key servers/i-odd2
	entry 127.0.0.1:9 16000 0 ",\"More\":$(nested 40000)" | put_key servers/i-odd3
	number=4
	for value in 1e400 -1e400 18446744073709551616 99999999999999999999999999 4294967296 1e18; do
		entry 127.0.0.1:9 $value 0 | put_key "servers/i-odd$number"
		number=$((number + 1))
	done
	for value in 1e400 9223372036854775807 18446744073709551615 99999999999999999999999999; do
		entry 127.0.0.1:9 16000 $value | put_key "servers/i-odd$number"
		number=$((number + 1))
	done
	for address in 127.0.0.1:65536 127.0.0.1:0 127.0.0.1:-1 127.0.0.1:99999999999999999999 127.0.0.1: 127.0.0.1; do
		entry $address 16000 0 | put_key "servers/i-odd$number"
		number=$((number + 1))
	done
}
# an entry of an executor in use becomes odd, and valid again
spoil_entry() {
	nested 100000 | put_key servers/i-1
	entry "127.0.0.1:70000" 16000 0 | put_key servers/i-1
	entry "$(address_of 1)" 1e400 0 | put_key servers/i-1
	list_executor 1
}

echo '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{}}' | put_key op/config
for executor in 1 2 3 4; do start_executor $executor; done
list_executor 1
start_node 1
wait_until "node 1 owns the cell" knows_executors 1 1
wait_until "node 1 is ready" ready 1
start_node 2
wait_until "node 2 is ready" ready 2

echo "# the owner goes on following the list"
put_odd_entries
spoil_entry
list_executor 2
wait_until "node 1 knows executor 2" knows_executors 1 2
run_job 1 00000000000000a1
run_job 2 00000000000000a2
count_refused() { grep "\"event\":\"executor_entry_faulty\"" "$WORK/node1.out" | grep -o "\"executor\":\"i-odd[0-9]*\"" | sort -u | wc -l; }
echo "entries refused: $(count_refused | tr -d " ")"

echo "# so does its successor, after an orderly handover and after a loss"
kill "$(pid_of node1)"
wait_until "node 2 owns the cell" knows_executors 2 2
wait_until "node 1 has ended" has_ended node1
put_odd_entries
spoil_entry
list_executor 3
wait_until "node 2 knows executor 3" knows_executors 2 3
run_job 2 00000000000000a3
start_node 1
wait_until "node 1 is ready again" ready 1
kill -KILL "$(pid_of node2)"
wait_until "node 1 owns the cell again" knows_executors 1 3
put_odd_entries
spoil_entry
list_executor 4
wait_until "node 1 knows executor 4" knows_executors 1 4
run_job 1 00000000000000a4
is_own_child "$(pid_of node1)" && echo "node 1 still runs"
