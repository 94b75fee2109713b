# waxwing-node as processes, with faults from outside them drawn from a seed, in series and overlapping; the
# promises are checked from what callers and executors saw. Usage by hand, with the seed and the time of faults:
#   WAXWING_SOAK_SEED=7 WAXWING_SOAK_S=60 BUILD=build WORK=$(mktemp -d) sh test/scripts/node_soak.sh
. "$(dirname "$0")/lib.sh"

SEED=${WAXWING_SOAK_SEED:-1}
FAULTS=$((${WAXWING_SOAK_S:-16} * 10 / 8)) # one each 0.8 s
JOBS_A_STEP=4
NODES=4
EXECUTORS=4

# draw COUNT: sets DRAWN to 0 ... COUNT - 1
STATE=$SEED
draw() {
	STATE=$(((STATE * 1103515245 + 12345) % 2147483648))
	DRAWN=$((STATE / 65536 % $1))
}
# draw_pause LEAST_MS SPREAD_MS: sets PAUSE to seconds
draw_pause() {
	draw "$2"
	PAUSE=$(awk "BEGIN { print ($1 + $DRAWN) / 1000 }")
}
zone_of() { if [ $(($1 % 2)) = 1 ]; then echo east; else echo west; fi; }
node() { echo "${ADDRESS%.1}.$((100 + $1))"; }
key() { curl -s -o /dev/null -X PUT --data-binary "$2" "http://$STORE/control/key?Key=$1"; }

start store "$BUILD/standin-store"
wait_until "the store is ready" has_ready_line store
STORE=$(sed -n 's/^ready //p' "$WORK/store.out")
set --
for number in $(seq $EXECUTORS); do
	start "x$number" "$BUILD/standin-executor" --id "i-$number" --log "$WORK/x$number.tasks"
	wait_until "executor $number is ready" has_ready_line "x$number"
	set -- "$@" "x$number=$ADDRESS:$((7100 + number)),$(sed -n 's/^ready //p' "$WORK/x$number.out")"
	key "servers/i-$number" "{\"Service\":\"s\",\"Address\":\"$ADDRESS:$((7100 + number))\",\"Zone\":\"$(zone_of "$number")\",\"State\":\"ready\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0},\"Labels\":[\"a\",\"r1\"],\"Sequence\":1}"
done
for number in $(seq $NODES); do
	set -- "$@" "store$number=$ADDRESS:$((7000 + number)),$STORE"
done
start relay "$BUILD/standin-relay" "$@"
wait_until "the relay is ready" has_ready_line relay
RELAY=$(sed -n 's/^ready //p' "$WORK/relay.out")
key op/config '{"Version":3,"Routes":[{"Name":"q","Host":"orders.example","Prefix":"/q/","Service":"s","MaxAttempts":2,"Stretch":3,"TargetDurationMs":2000}],"Services":[{"Name":"s"}],"Limits":{}}'

# start_node NUMBER: in the shell that calls it
start_node() {
	cat >"$WORK/node$1.conf" <<-END
	Node=node-$1
	Ip=$(node "$1")
	Zone=$(zone_of "$1")
	Zones.east=region
	Zones.west=region
	Listen.Front=$(node "$1"):8000
	Listen.Ready=$(node "$1"):8001
	InternalPorts=7700,7715
	Bounds.GraceS=6
	platform.Address=$ADDRESS:$((7000 + $1))
	END
	start "node$1" "$BUILD/waxwing-node" --settings "$WORK/node$1.conf"
}
ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(node "$1"):8001/readiness")" = 200 ]; }

# request NODE METHOD ID [BODY]: status of the answer, whose body goes to ID.body
request() {
	curl -s -m 5 -o "$WORK/$3.body" -w '%{http_code}' -X "$2" -H "Host: orders.example" \
		-H "X-Deadline-Remaining: 4000" ${4:+--data-binary "$4"} "http://$(node "$1"):8000/q/$3"
}

# await_state ID: asks until the job has ended; any node may be asked
await_state() {
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

# caller ID FIRST_NODE BODY KEPT: submits a job until its answer is certain, and writes what it was told
caller() {
	refused=refused
	sort=best-effort
	[ "$4" = 0 ] || sort=kept
	for try in 0 1 2 3 4 5; do
		code=$(request $((($2 + try) % NODES + 1)) POST "$1" "$3")
		case $code in
		200)
			if [ "$4" = 1 ]; then await_state "$1"; else echo "$1 completed $sort"; fi
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
# jobs_come: some callers, in the background
jobs_come() {
	for _ in $(seq $JOBS_A_STEP); do
		arrivals=$((arrivals + 1))
		draw 400
		ms=$((30 + DRAWN))
		draw 3
		tasks=$((1 + DRAWN))
		draw 2
		kept=$DRAWN
		best_effort='"BestEffort":true,'
		[ "$kept" = 0 ] || best_effort=
		draw $NODES
		in_background caller "$(printf '%016x' $arrivals)" "$DRAWN" \
			"{\"Spec\":\"sleep=$ms\",$best_effort\"Steps\":[{\"Count\":$tasks,\"Cpu\":4000,\"EstimatedMs\":$ms}]}" \
			"$kept" >>"$WORK/callers"
	done
}

# Nodes that are to start again: a file named after each, made by faults that end one.
restart_nodes() {
	for number in $(seq $NODES); do
		[ -e "$WORK/restart$number" ] || continue
		kill -0 "$(pid_of "node$number")" 2>/dev/null && continue
		rm "$WORK/restart$number"
		start_node "$number"
	done
}

# in_background COMMAND...: the script waits for it before it checks anything
in_background() {
	"$@" &
	WAITED="$WAITED $!"
}
stand_still() { kill -STOP "$1" && sleep "$2" && kill -CONT "$1"; }
store_refuses() {
	curl -s -o /dev/null -X PUT "http://$STORE/control/mode?mode=busy"
	sleep "$1"
	curl -s -o /dev/null -X PUT "http://$STORE/control/mode?mode=live"
}
# link_fails NAME MODE SECONDS
link_fails() { set_link "to=$1&$2" && sleep "$3" && set_link "to=$1&mode=open"; }

fault() {
	draw $NODES
	at=$((1 + DRAWN))
	draw_pause 300 2400
	draw 8
	echo "fault $DRAWN at $at for $PAUSE s" >>"$WORK/faults"
	case $DRAWN in
	0) kill -KILL "$(pid_of node$at)" 2>/dev/null && : >"$WORK/restart$at" ;;
	1) in_background stand_still "$(pid_of node$at)" "$PAUSE" 2>/dev/null ;;
	2) kill "$(pid_of node$at)" 2>/dev/null && : >"$WORK/restart$at" ;;
	3) in_background store_refuses "$PAUSE" ;;
	4) in_background link_fails "store$at" mode=hang "$PAUSE" ;;
	5) in_background link_fails "x$at" mode=hang "$PAUSE" ;;
	6) in_background link_fails "x$at" "mode=open&delay_ms=120" "$PAUSE" ;;
	7) curl -s -o /dev/null -X DELETE "http://$STORE/control/key?Key=cells/$(zone_of $at)" ;;
	esac
}

for number in $(seq $NODES); do start_node "$number"; done
for number in $(seq $NODES); do wait_until "node $number is ready" ready "$number"; done
WAITED=
for _ in $(seq $FAULTS); do
	restart_nodes
	fault
	for _ in 1 2; do
		jobs_come
		sleep 0.4
	done
done
wait_until "all nodes are back" eval 'restart_nodes; [ -z "$(ls "$WORK" | grep ^restart)" ]'
for pid in $WAITED; do wait "$pid" 2>/dev/null || :; done

# what executors saw, in order; an end comes before a start of the same millisecond
cat "$WORK"/x?.tasks | sed 's/@\([0-9]*\)$/\1/' | awk '{ print $NF, ($1 == "start"), $0 }' |
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
