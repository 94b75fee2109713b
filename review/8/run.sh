#!/bin/sh
# The machine that owns the executors freezes for 3.4 s, and one executor crashes and is back shortly before it wakes.
# Meanwhile a job runs at set times. See claim.txt.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"

start_store
put_config 3
for n in 1 2 3 4 5 6 7; do start_executor $n east; done
for n in 1 2; do start_node $n east east; done
wait_ready 1 2
record "nodes are ready"

# repeated: 100 occurrences of 7 tasks of 30 ms, one each second
repeated() {
	echo "{\"Spec\":\"sleep=30\",\"Repetitions\":100,\"FirstMs\":$(($(date +%s%3N) + 500)),\"IntervalMs\":1000,\"Steps\":[{\"Count\":7,\"Cpu\":9000,\"MemMb\":64,\"EstimatedMs\":30}]}"
}
jobid=00000000000000a1
record "POST $jobid: $(call 1 POST "/q/$jobid" 8000 "$(repeated)")"

round=0
while [ $round -lt 8 ]; do
	round=$((round + 1))
	sleep 4
	owner=1
	owns 2 && owner=2
	victim=$((round % 2 + 1))
	if [ "$TROUBLE" = 1 ]; then
		record "round $round: node $owner freezes"
		kill -STOP "$(pid_of node$owner)"
		sleep 3.3
		record "executor $victim crashes and starts again"
		kill -KILL "$(pid_of "x$victim")"
		wait "$(pid_of "x$victim")" 2>/dev/null
		echo "$(now) e$victim crash" >>"$WORK/x$victim.log"
		start_executor $victim east
		record "node $owner wakes"
		kill -CONT "$(pid_of node$owner)"
	else
		sleep 3.4
	fi
done
sleep 6
record "GET $jobid: $(call 1 GET "/q/$jobid" 3000)"
record "DELETE $jobid: $(call 2 DELETE "/q/$jobid" 3000)"
sleep 1
executor_logs >>"$RECORD"
executor_logs | "$HERE/../twice.sh" >"$WORK/verdict"
code=$?
cat "$WORK/verdict" >>"$RECORD"
tail -4 "$WORK/verdict"
exit $code
