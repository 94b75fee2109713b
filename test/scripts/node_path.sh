# Runs waxwing-node processes against a stand-in store and stand-in executors: job submission, invalid input, durable
# and repeated jobs, transfer of cell ownership, and loss of the store.
. "$(dirname "$0")/lib.sh"

start store "$BUILD/standin-store"
wait_until "the store is ready" has_ready_line store
STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
# put_key KEY VALUE: writes an entry of the store
put_key() { curl -s -o /dev/null -X PUT --data-binary "$2" "http://$STORE/control/key?Key=$1"; }

# start_executor NUMBER ZONE: starts an executor and registers it in the store
start_executor() {
	start "x$1" "$BUILD/standin-executor" --id "i-$1" --log "$WORK/x$1.tasks"
	wait_until "executor $1 is ready" has_ready_line "x$1"
	put_key "servers/i-$1" "{\"Service\":\"s\",\"Address\":\"$(sed -n 's/^ready //p' "$WORK/x$1.out")\",\"Zone\":\"$2\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"Sequence\":1}"
}

# start_node NUMBER ZONE: starts a node on its own IP address
start_node() {
	IP=${ADDRESS%.1}.$((100 + $1))
	cat >"$WORK/node$1.conf" <<-END
	Node=node-$1
	Ip=$IP
	Zone=$2
	Zones.east=region
	Listen.Front=$IP:8000
	Listen.Ready=$IP:8001
	InternalPorts=7700,7715
	Bounds.GraceS=6
	platform.Address=$STORE
	END
	start "node$1" "$BUILD/waxwing-node" --settings "$WORK/node$1.conf"
}
node_address() { echo "${ADDRESS%.1}.$((100 + $1))"; }
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(node_address "$1"):8001/readiness")" = 200 ]; }

# call NUMBER METHOD PATH [BODY]: prints the response body and status
call() {
	curl -s -X "$2" -H "Host: orders.example" -H "X-Deadline-Remaining: 8000" -w ' %{http_code}\n' \
		${4:+--data-binary "$4"} "http://$(node_address "$1"):8000$3"
}
best_effort_job() { echo "{\"Spec\":\"sleep=$1 $2\",\"BestEffort\":true,\"Steps\":[{\"Count\":${3:-3},\"Cpu\":6000,\"EstimatedMs\":$1}]}"; }

echo "# a faulty settings file"
"$BUILD/waxwing-node" --settings /nonexistent 2>/dev/null || echo "exit $?"
printf 'Node=a\nIp=127.0.0.1\nZone=east\nListen.Front=here\n' >"$WORK/bad.conf"
"$BUILD/waxwing-node" --settings "$WORK/bad.conf" 2>&1 || echo "exit $?"

start_executor 1 east
start_executor 2 east
put_key servers/i-bad "not an entry"
start_node 1 east
wait_until "node 1 listens" call 1 GET /q/
echo "# no configuration yet"
call 1 POST /q/00000000000000a1 "$(best_effort_job 20 x)"
put_key op/config '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{"MaxBodyBytes":5000}}'
wait_until "node 1 is ready" ready 1

echo "# a job, again, and one that fails"
call 1 POST /q/00000000000000a1 "$(best_effort_job 50 x)"
call 1 POST /q/00000000000000a2 "$(best_effort_job 20 fail=1 1)"
call 1 GET /q/
echo "starts: $(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000a1')" "$(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000a2')"

echo "# what is refused"
call 1 POST /other/00000000000000a3 "$(best_effort_job 20 x)"
call 1 POST /q/12 "$(best_effort_job 20 x)"
call 1 POST /q/00000000000000a3 "{"
call 1 POST /q/00000000000000a3 '{"BestEffort":true,"Steps":[{"Count":1,"After":[0]}]}'
call 1 POST /q/00000000000000a3 '{"BestEffort":true,"Repetitions":3,"Steps":[{"Count":1}]}'
call 1 POST /q/00000000000000a3 '{"BestEffort":true,"Steps":[{"Count":1,"Cpu":99000}]}'
call 1 POST /q/00000000000000a3 "$(best_effort_job 20 "$(printf '%06000d' 0)")"
call 1 PATCH /q/00000000000000a3
call 1 GET /q/00000000000000a1
echo "starts: $(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000a3')"

echo "# a job that must be kept, and one that is cancelled"
durable_job() { echo "{\"Spec\":\"sleep=$1\",\"Steps\":[{\"Count\":2,\"Cpu\":6000,\"EstimatedMs\":$1}]}"; }
state_is() { call 1 GET "/q/$1" | grep -q "\"$2\""; }
call 1 POST /q/00000000000000c1 "$(durable_job 50)"
wait_until "it is completed" state_is 00000000000000c1 completed
call 1 POST /q/00000000000000c1 "$(durable_job 50)"
call 1 POST /q/00000000000000c2 "$(durable_job 60000)"
wait_until "it runs" state_is 00000000000000c2 running
call 1 DELETE /q/00000000000000c2
call 1 GET /q/00000000000000c2
echo "starts: $(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000c1')"

# Guards against two runs of one task: the caller of a paused node has left, and submits its job elsewhere, before the
# node reads the request.
echo "# a caller that leaves while its node is paused"
kill -STOP "$(pid_of node1)"
curl -s -m 0.3 -X POST -H "Host: orders.example" --data-binary "$(best_effort_job 50 x)" \
	"http://$(node_address 1):8000/q/00000000000000e1" || echo "curl: exit $?"
kill -CONT "$(pid_of node1)"
call 1 POST /q/00000000000000e2 "$(best_effort_job 50 x)"
echo "starts: $(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000e1')" "$(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000e2')"

echo "# a job at set times"
repeated_job() { echo "{\"Spec\":\"sleep=20\",\"Repetitions\":3,\"FirstMs\":$(($(date +%s%3N) + 200)),\"IntervalMs\":150,\"Steps\":[{\"Count\":2,\"Cpu\":1000}]}"; }
call 1 POST /q/00000000000000d1 "$(repeated_job)"
wait_until "it is completed" state_is 00000000000000d1 completed
cat "$WORK"/x?.tasks | sed -n 's/^start \(00000000000000d1[^ ]*\).*/\1/p' | sort

echo "# the owner leaves while a job of another node runs"
start_node 2 east
wait_until "node 2 is ready" ready 2
call 2 POST /q/00000000000000b1 "$(best_effort_job 1500 x)" >"$WORK/b1" &
caller=$!
started() { [ "$(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000b1')" = 3 ]; }
wait_until "the job runs" started
kill "$(pid_of node1)"
wait $caller
cat "$WORK/b1"
echo "starts: $(cat "$WORK"/x?.tasks | grep -c '^start 00000000000000b1')"
grep -o '"event":"cell_taken".*' "$WORK/node2.out" | grep -o '"orderly":1'
node1_ended() { ! kill -0 "$(pid_of node1)" 2>/dev/null; }
wait_until "node 1 has ended" node1_ended
grep -o '"event":"stopped".*"idle":1' "$WORK/node1.out" | sed 's/.*"idle"/idle/'

echo "# without the store"
curl -s -o /dev/null -X PUT "http://$STORE/control/mode?mode=busy"
store_lost() { grep -q '"event":"store_lost"' "$WORK/node2.out"; }
wait_until "node 2 has lost the store" store_lost
call 2 POST /q/00000000000000b2 "$(best_effort_job 50 x)"
curl -s "http://$(node_address 2):9464/metrics" | grep -E '^waxwing_node_(completed|takeovers)_total'
