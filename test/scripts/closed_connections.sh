# Executors carry out calls, and the connections break before the answers arrive; some runs end before that. Each start
# order is then sent again, and no task of a stored job starts after its end.
. "$(dirname "$0")/lib.sh"

EXECUTORS="1 2 3"
CALLERS=6
JOBS=40 # of each caller

start store "$BUILD/standin-store"
wait_until "the store is ready" has_ready_line store
STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
put_key() { curl -s -o /dev/null -X PUT --data-binary "$2" "http://$STORE/control/key?Key=$1"; }

set --
for number in $EXECUTORS; do
	start "x$number" "$BUILD/standin-executor" --id "i-$number" --log "$WORK/x$number.tasks"
	wait_until "executor $number is ready" has_ready_line "x$number"
	set -- "$@" "x$number=$ADDRESS:$((7100 + number)),$(sed -n 's/^ready //p' "$WORK/x$number.out")"
	put_key "servers/i-$number" "{\"Service\":\"s\",\"Address\":\"$ADDRESS:$((7100 + number))\",\"Zone\":\"east\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":64000,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"Sequence\":1}"
done
start relay "$BUILD/standin-relay" "$@"
wait_until "the relay is ready" has_ready_line relay
RELAY=$(sed -n 's/^ready //p' "$WORK/relay.out")
put_key op/config '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{}}'

NODE=${ADDRESS%.1}.101
cat >"$WORK/node.conf" <<END
Node=node-1
Ip=$NODE
Zone=east
Zones.east=region
Listen.Front=$NODE:8000
Listen.Ready=$NODE:8001
InternalPorts=7700,7715
Bounds.GraceS=6
platform.Address=$STORE
END
start node "$BUILD/waxwing-node" --settings "$WORK/node.conf"
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$NODE:8001/readiness")" = 200 ]; }
wait_until "the node is ready" ready
metric() { curl -s "http://$NODE:9464/metrics" | sed -n "s/^$1{cell=\"east\"} //p"; }
has_executors() { [ "$(metric waxwing_cell_usable)" = 3 ]; }
wait_until "the node has its executors" has_executors

# call METHOD ID [BODY]: prints the status; the body goes to ID.body
call() {
	curl -s -m 5 -o "$WORK/$2.body" -w '%{http_code}' -X "$1" -H "Host: orders.example" \
		-H "X-Deadline-Remaining: 4000" ${3:+--data-binary "$3"} "http://$NODE:8000/q/$2"
}
# submit_jobs CALLER: submits stored jobs of short tasks one after the other
submit_jobs() {
	for job in $(seq $JOBS); do
		id=$(printf '%08x%08x' "$1" "$job")
		code=$(call POST "$id" '{"Spec":"sleep=5","Steps":[{"Count":6,"Cpu":1000,"EstimatedMs":5}]}')
		[ "$code" = 200 ] && echo "$id" >>"$WORK/accepted"
	done
}
is_completed() { call GET "$1" >/dev/null && grep -q '"completed"' "$WORK/$1.body"; }

for number in $EXECUTORS; do set_link "to=x$number&mode=open&close_every=5&close_after_ms=15"; done
pids=
for caller in $(seq $CALLERS); do
	submit_jobs "$caller" &
	pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
for number in $EXECUTORS; do set_link "to=x$number&mode=open"; done
echo "jobs accepted: $(wc -l <"$WORK/accepted" | tr -d ' ')"
while read -r id; do wait_until "job $id has completed" is_completed "$id"; done <"$WORK/accepted"
echo "all have completed"

# Executor events in order of time; at the same millisecond an end sorts before a start.
cat "$WORK"/x[0-9].tasks | sed 's/@\([0-9]*\)$/\1/' | awk '{ print $NF, ($1 == "start"), $0 }' |
	sort -k1,1n -k2,2n -s | cut -d' ' -f3- >"$WORK/history"
awk '
	$1 == "start" && running[$2] > 0 { print "twice at a time: " $0 }
	$1 == "start" && done[$2] { print "started after its end: " $0 }
	$1 == "start" { running[$2]++ }
	$1 == "end" { running[$2]--; if ($4 == "done") done[$2] = 1 }
' "$WORK/history" >"$WORK/violations"
echo "started again: $(wc -l <"$WORK/violations" | tr -d ' ')"
head -5 "$WORK/violations"
[ "$(metric waxwing_cell_starts_resent_total)" -gt 0 ] && echo "start orders were sent again"
echo "starts: $(metric waxwing_cell_starts_total), sent again: $(metric waxwing_cell_starts_resent_total), unanswered: $(metric waxwing_cell_starts_unanswered_total), hedged: $(metric waxwing_cell_holds_hedged_total)" >&2
