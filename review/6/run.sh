#!/bin/sh
# The machine that owns the executors is cut off from the store in one direction for some seconds; its successor accepts
# jobs and loses power. See claim.txt.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib-2.sh"

start_store
put_config 3
for n in 1 2; do start_executor $n east; done
STORE_OF_1=$NET.200:8169
spawn proxy "$BIN/review-2-proxy" "$STORE_OF_1" "$STORE" "$WORK/cut"
wait_for 5 has_ready_line proxy || cannot_run "no path to the store"
start_node 1 east east
wait_ready 1
start_node 2 east east
wait_ready 2
record "nodes are ready"

id=0
# submit NODE SPEC: a job of two tasks that must be kept; appends the ids of accepted jobs to "accepted"
submit() {
	id=$((id + 1))
	jobid=$(printf '%016x' $id)
	answer=$(call "$1" POST "/q/$jobid" 3000 "$(job "$2" 2 9000 100)")
	record "POST $jobid node $1: $answer"
	case $answer in 200*) echo "$jobid $(now)" >>"$WORK/accepted" ;; esac
}
is_completed() { call 1 GET "/q/$1" 2000 | grep -q completed; }
cut_has_begun() { [ "$(grep -c begins "$WORK/proxy.out")" -gt "$1" ]; }
: >"$WORK/accepted"

round=0
lost=0
began=$(now)
while [ $round -lt 8 ] && [ $lost = 0 ] && [ $(($(now) - began)) -lt 90000 ]; do
	round=$((round + 1))
	if [ "$TROUBLE" = 1 ] && ! owns 1; then
		record "node 2 is stopped and started, so that node 1 owns the executors"
		kill -TERM "$(pid_of node2)"
		wait "$(pid_of node2)" 2>/dev/null
		start_node 2 east east
		wait_ready 1 2
		wait_for 5 owns 1 || continue
		sleep 3
	fi
	submit 1 "sleep=20"
	wait_for 5 is_completed "$jobid" || cannot_run "the first job of round $round is not completed"
	if [ "$TROUBLE" = 1 ]; then
		cuts=$(grep -c begins "$WORK/proxy.out")
		touch "$WORK/cut"
		wait_for 3 cut_has_begun "$cuts" || cannot_run "the cut does not begin"
		record "round $round: node 1 is cut off from the store, one way"
		if ! wait_for 4 owns 2; then
			rm -f "$WORK/cut"
			record "node 2 did not take over"
			sleep 3
			continue
		fi
		record "node 2 owns the executors"
	fi
	for spec in sleep=20 sleep=20 sleep=20; do submit 2 $spec; done
	sleep 0.3
	for spec in sleep=1500 sleep=1500 sleep=20 sleep=20; do submit 2 $spec; done
	if [ "$TROUBLE" = 1 ]; then
		record "node 2 loses power"
		kill -KILL "$(pid_of node2)"
		wait "$(pid_of node2)" 2>/dev/null
		sleep 1.1
		rm -f "$WORK/cut"
		record "the cut ends"
		sleep 2.4
		start_node 2 east east
		record "node 2 starts"
	fi
	sleep 5 # beyond ContactMs and visible_ms
	while read -r each at; do
		answer=$(call 1 GET "/q/$each" 4000)
		record "GET $each node 1: $answer"
		case $answer in 410*)
			lost=$((lost + 1))
			record "LOST: $each was accepted at $at, and is answered 410"
			;;
		esac
	done <"$WORK/accepted"
done
executor_logs >>"$RECORD"
cat "$WORK/proxy.out" >>"$RECORD"
grep 'cell_taken\|cell_owner\|cell_given\|fenced' "$WORK/node1.out" | tail -20 >"$WORK/events"
record "accepted jobs that are answered 410: $lost"
echo "accepted jobs that are answered 410: $lost, in round $round"
[ $lost = 0 ]
