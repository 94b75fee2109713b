#!/bin/sh
# The store is down for 4.5 s; the entries of some executors expire and come back a little after it. As the store returns,
# the machine that owns the executors is stopped. See claim.txt.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"

start_store review-2-store
put_config 3
for n in 1 2; do start_executor $n east --silent "$WORK/outage" --return-ms 500; done
for n in 3 4 5 6; do start_executor $n east --silent "$WORK/outage"; done
for n in 1 2; do start_node $n east east; done
wait_ready 1 2
record "nodes are ready"

round=0
while [ $round -lt 8 ]; do
	round=$((round + 1))
	sleep 3
	owner=1
	owns 2 && owner=2
	other=$((3 - owner))
	jobid=$(printf '%016x' $round)
	record "POST $jobid: $(call $other POST "/q/$jobid" 3000 "$(job "sleep=4200" 6 9000 4200)")"
	if [ "$TROUBLE" = 1 ]; then
		set_store_mode busy
		touch "$WORK/outage"
		record "round $round: the store is down"
		sleep 4.4
		for n in 1 2; do delete_key "servers/e$n"; done
		kill -TERM "$(pid_of node$owner)"
		record "SIGTERM node $owner"
		sleep 0.05
		rm -f "$WORK/outage"
		set_store_mode live
		record "the store is back"
		wait "$(pid_of node$owner)" 2>/dev/null
		start_node $owner east east
		record "node $owner starts again"
	else
		sleep 4.5
	fi
	wait_ready 1 2
	record "GET $jobid: $(call $other GET "/q/$jobid" 3000)"
done
executor_logs >>"$RECORD"
executor_logs | "$HERE/../twice.sh" >"$WORK/verdict"
code=$?
cat "$WORK/verdict" >>"$RECORD"
tail -4 "$WORK/verdict"
exit $code
