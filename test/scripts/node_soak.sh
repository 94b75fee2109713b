# Soak test of waxwing-node processes: injects sequential and overlapping faults chosen by a seeded generator and checks
# the guarantees from the callers' answers and the executors' logs. To run it by hand with a seed and a duration:
#   WAXWING_SOAK_SEED=7 WAXWING_SOAK_S=60 BUILD=build WORK=$(mktemp -d) sh test/scripts/node_soak.sh
. "$(dirname "$0")/lib.sh"

SEED=${WAXWING_SOAK_SEED:-1}
FAULT_COUNT=$((${WAXWING_SOAK_S:-16} * 10 / 8)) # one every 0.8 s
JOBS_PER_STEP=4
NODES=${WAXWING_SOAK_NODES:-4}
EXECUTORS=${WAXWING_SOAK_EXECUTORS:-4} # at least as many as nodes; at most 99

# draw_random COUNT: sets RANDOM_VALUE to a pseudo-random number from 0 to COUNT - 1
RANDOM_STATE=$SEED
draw_random() {
	RANDOM_STATE=$(((RANDOM_STATE * 1103515245 + 12345) % 2147483648))
	RANDOM_VALUE=$((RANDOM_STATE / 65536 % $1))
}
# draw_pause MIN_MS SPREAD_MS: sets PAUSE to a random duration in seconds, from MIN_MS up to MIN_MS + SPREAD_MS
draw_pause() {
	draw_random "$2"
	PAUSE=$(awk "BEGIN { print ($1 + $RANDOM_VALUE) / 1000 }")
}
zone_of() { if [ $(($1 % 2)) = 1 ]; then echo east; else echo west; fi; }
node_address() { echo "${ADDRESS%.1}.$((100 + $1))"; }
put_key() { curl -s -o /dev/null -X PUT --data-binary "$2" "http://$STORE/control/key?Key=$1"; }

# list_executor NUMBER, unlist_executor NUMBER: writes or removes the executor's entry in the platform's list
list_executor() {
	put_key "servers/i-$1" "{\"Service\":\"s\",\"Address\":\"$ADDRESS:$((7100 + $1))\",\"Zone\":\"$(zone_of "$1")\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"Sequence\":1}"
}
unlist_executor() { curl -s -o /dev/null -X DELETE "http://$STORE/control/key?Key=servers/i-$1"; }

start store "$BUILD/standin-store"
wait_until "the store is ready" has_ready_line store
STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
set --
for number in $(seq $EXECUTORS); do
	start "x$number" "$BUILD/standin-executor" --id "i-$number" --log "$WORK/x$number.tasks"
	wait_until "executor $number is ready" has_ready_line "x$number"
	set -- "$@" "x$number=$ADDRESS:$((7100 + number)),$(sed -n 's/^ready //p' "$WORK/x$number.out")"
	list_executor "$number"
done
for number in $(seq $NODES); do
	set -- "$@" "store$number=$ADDRESS:$((7000 + number)),$STORE"
done
start relay "$BUILD/standin-relay" "$@"
wait_until "the relay is ready" has_ready_line relay
RELAY=$(sed -n 's/^ready //p' "$WORK/relay.out")
put_key op/config '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{}}'

# start_node NUMBER: must run in the main shell, since start records the child's process id there
start_node() {
	cat >"$WORK/node$1.conf" <<-END
	Node=node-$1
	Ip=$(node_address "$1")
	Zone=$(zone_of "$1")
	Zones.east=region
	Zones.west=region
	Listen.Front=$(node_address "$1"):8000
	Listen.Ready=$(node_address "$1"):8001
	InternalPorts=7700,7715
	Bounds.GraceS=6
	platform.Address=$ADDRESS:$((7000 + $1))
	END
	start "node$1" "$BUILD/waxwing-node" --settings "$WORK/node$1.conf"
}
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(node_address "$1"):8001/readiness")" = 200 ]; }

# request NODE METHOD ID [BODY]: prints the response status; the body goes to ID.body
request() {
	curl -s -m 5 -o "$WORK/$3.body" -w '%{http_code}' -X "$2" -H "Host: orders.example" \
		-H "X-Deadline-Remaining: 4000" ${4:+--data-binary "$4"} "http://$(node_address "$1"):8000/q/$3"
}

# wait_job_ended ID: polls the job's state at all nodes in turn until it has ended
wait_job_ended() {
	for try in $(seq 60); do
		code=$(request $((1 + try % NODES)) GET "$1")
		case $code in
		410) echo "$1 lost kept" && return ;;
		200) grep -q completed "$WORK/$1.body" && echo "$1 completed kept" && return ;;
		esac
		sleep 0.3
	done
	echo "$1 never-shown kept"
}

# run_caller ID FIRST_NODE BODY KEPT: submits a job, retrying at other nodes until the answer is definite, and prints
# the outcome; KEPT is 1 for a durable job
run_caller() {
	refused=refused
	sort=best-effort
	[ "$4" = 0 ] || sort=kept
	for try in 0 1 2 3 4 5; do
		code=$(request $((($2 + try) % NODES + 1)) POST "$1" "$3")
		case $code in
		200)
			if [ "$4" = 1 ]; then wait_job_ended "$1"; else echo "$1 completed $sort"; fi
			return
			;;
		429 | 503 | 404) echo "$1 $refused $sort" && return ;;
		esac
		refused=left
		sleep 1.3
	done
	echo "$1 left $sort"
}

arrivals=0
# submit_jobs: starts JOBS_PER_STEP callers with random jobs in the background
submit_jobs() {
	for _ in $(seq $JOBS_PER_STEP); do
		arrivals=$((arrivals + 1))
		draw_random 400
		ms=$((30 + RANDOM_VALUE))
		draw_random 6
		[ "$RANDOM_VALUE" -gt 0 ] || ms=$((ms * 5))
		draw_random 3
		tasks=$((1 + RANDOM_VALUE))
		draw_random 2
		kept=$RANDOM_VALUE
		best_effort='"BestEffort":true,'
		[ "$kept" = 0 ] || best_effort=
		draw_random $NODES
		in_background run_caller "$(printf '%016x' $arrivals)" "$RANDOM_VALUE" \
			"{\"Spec\":\"sleep=$ms\",$best_effort\"Steps\":[{\"Count\":$tasks,\"Cpu\":4000,\"EstimatedMs\":$ms}]}" \
			"$kept" >>"$WORK/callers"
	done
}

# restart_nodes: restarts ended nodes; a fault that ends a node leaves the file restartNUMBER
restart_nodes() {
	for number in $(seq $NODES); do
		[ -e "$WORK/restart$number" ] || continue
		kill -0 "$(pid_of "node$number")" 2>/dev/null && continue
		rm "$WORK/restart$number"
		start_node "$number"
	done
}

# in_background COMMAND...: runs the command in the background; the script waits for it before the checks
in_background() {
	"$@" &
	BACKGROUND_PIDS="$BACKGROUND_PIDS $!"
}
freeze_process() { kill -STOP "$1" && sleep "$2" && kill -CONT "$1"; }
store_refuses() {
	curl -s -o /dev/null -X PUT "http://$STORE/control/mode?mode=busy"
	sleep "$1"
	curl -s -o /dev/null -X PUT "http://$STORE/control/mode?mode=live"
}
# link_fails NAME MODE SECONDS: sets a link of the relay to MODE for that long
link_fails() { set_link "to=$1&$2" && sleep "$3" && set_link "to=$1&mode=open"; }

# stop_node NUMBER SIGNAL: the main loop starts the node again once it has ended
stop_node() { kill "-$2" "$(pid_of "node$1")" 2>/dev/null && : >"$WORK/restart$1"; }
# unlist_and_stop NUMBER SECONDS: an executor does not reach the store while a node of its failure domain leaves
unlist_and_stop() {
	unlist_executor "$1"
	sleep "$2"
	stop_node "$1" TERM
	sleep 2
	list_executor "$1"
}

inject_fault() {
	draw_random $NODES
	target=$((1 + RANDOM_VALUE))
	draw_pause 300 2400
	draw_random 12
	echo "fault $RANDOM_VALUE at $target for $PAUSE s" >>"$WORK/faults"
	case $RANDOM_VALUE in
	0) stop_node $target KILL ;;
	1) in_background freeze_process "$(pid_of node$target)" "$PAUSE" 2>/dev/null ;;
	2) stop_node $target TERM ;;
	3) in_background store_refuses "$PAUSE" ;;
	4) in_background link_fails "store$target" mode=hang "$PAUSE" ;;
	5) in_background link_fails "x$target" mode=hang "$PAUSE" ;;
	6) in_background link_fails "x$target" "mode=open&delay_ms=120" "$PAUSE" ;;
	7) curl -s -o /dev/null -X DELETE "http://$STORE/control/key?Key=cells/$(zone_of $target)" ;;
	10 | 11) in_background link_fails "x$target" "mode=open&close_every=6&close_after_ms=20" "$PAUSE" ;;
	8 | 9) in_background unlist_and_stop $target "$PAUSE" ;;
	esac
}

for number in $(seq $NODES); do start_node "$number"; done
for number in $(seq $NODES); do wait_until "node $number is ready" ready "$number"; done
BACKGROUND_PIDS=
for _ in $(seq $FAULT_COUNT); do
	restart_nodes
	inject_fault
	for _ in 1 2; do
		submit_jobs
		sleep 0.4
	done
done
wait_until "all nodes are back" eval 'restart_nodes; [ -z "$(ls "$WORK" | grep ^restart)" ]'
for pid in $BACKGROUND_PIDS; do wait "$pid" 2>/dev/null || :; done

# Executor events in order of time; at the same millisecond an end sorts before a start.
cat "$WORK"/x[0-9]*.tasks | sed 's/@\([0-9]*\)$/\1/' | awk '{ print $NF, ($1 == "start"), $0 }' |
	sort -k1,1n -k2,2n -s | cut -d' ' -f3- >"$WORK/history"
awk '
	FILENAME ~ /callers$/ { told[$1] = $2; kept[$1] = $3 == "kept"; next }
	{ split($2, part, "."); job = part[1] }
	$1 == "start" {
		if (running[$2] > 0) print "twice at a time: " $0
		if (noted[$2] && kept[job]) print "started after its end was noted: " $0
		if (told[job] == "refused") print "refused, and started: " $0
		running[$2]++
		started[$2] = $NF
	}
	$1 == "end" { running[$2]--; if ($4 == "done") ended[$2] = $NF }
	$1 == "noted" && $4 == "done" {
		if (kept[job] && started[$2] > ended[$2]) print "started before its end was noted: " $0
		noted[$2] = 1
	}
' "$WORK/callers" "$WORK/history" >"$WORK/violations"
grep -E ' (lost|never-shown) ' "$WORK/callers" >>"$WORK/violations"
[ "$(wc -l <"$WORK/callers")" -eq $arrivals ] || echo "$arrivals jobs, $(wc -l <"$WORK/callers") answered" >>"$WORK/violations"

echo "promises broken: $(wc -l <"$WORK/violations" | tr -d ' ')"
[ -s "$WORK/violations" ] && { echo "seed $SEED" && sort "$WORK/violations" | head -20 && cat "$WORK/faults"; }
completed=$(grep -c ' completed ' "$WORK/callers")
[ $((completed * 2)) -gt $arrivals ] && echo "most jobs were completed"
echo "seed $SEED: $arrivals jobs, $completed completed, $(grep -c ' refused ' "$WORK/callers") refused, $(grep -c '^start' "$WORK/history") starts" >&2
