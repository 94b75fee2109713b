# Cuts the link between an issuer and the scheduling instance of its domain while jobs run: hanging, reset, and hanging
# in one direction only; a third instance still reaches both. During the cut both sides schedule all slots, so upstreams
# answer busy, but jobs still complete. After the cut the three instances agree on one scheduler again, and no slot is
# granted twice.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2; do start_upstream $name can-tho; done
start_relay 1 2 3
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

started() { [ "$(count_starts "$1")" -ge "$2" ]; }
schedules() { curl -s "http://$(http_address "$1")/v1/state" | grep -q '"here": *true'; }
schedules_not() { ! schedules "$1"; }
# one_schedules: whether exactly one instance schedules the domain's cell
one_schedules() {
	count=0
	for number in 1 2 3; do schedules $number && count=$((count + 1)); done
	[ $count -eq 1 ]
}
# count_busy_answers: busy answers of upstreams, summed over the instances
count_busy_answers() {
	for number in 1 2 3; do
		curl -s "http://$(http_address $number)/metrics" | sed -n 's/^waxwing_task_busy_total[^ ]* //p'
	done | awk '{ sum += $1 } END { print sum }'
}

# submit KEY JOBS TASKS NUMBER...: submits JOBS jobs of TASKS tasks to each instance, in the background
submit() {
	key=$1; jobs=$2; tasks=$3
	shift 3
	for number in "$@"; do
		i=0
		while [ $i -lt "$jobs" ]; do
			(post "$number" "$(job_json "$(window "$number")/$key-$i" "$tasks" sleep=200)" | grep -o '"state":"[a-z_]*"' >>"$WORK/states") &
			CALLERS="${CALLERS:-} $!"
			i=$((i + 1))
		done
	done
}
# wait_callers LABEL: waits for the submissions and prints how many ended in each state
wait_callers() {
	for pid in $CALLERS; do wait "$pid"; done
	CALLERS=
	echo "$1: $(sort "$WORK/states" | uniq -c | sed 's/^ *//')"
	: >"$WORK/states"
}

# cut_link MODE ISSUER SCHEDULER: one-way cuts only the direction from the scheduler to the issuer, other modes both
cut_link() {
	case $1 in
	one-way) set_link "from=$(relay_source_address "$3")&to=peer-$2&mode=hang" ;;
	*) set_links mode="$1" "$2" "$3" ;;
	esac
}

for mode in hang reset one-way; do
	echo "== $mode"
	wait_until "one instance schedules" one_schedules
	for number in 1 2 3; do schedules $number && scheduler=$number; done
	issuer=$((scheduler % 3 + 1))
	third=$((issuer % 3 + 1))
	submit $mode-before 1 64 $issuer
	wait_until "the issuer holds all slots" started $mode-before 16
	cut_link $mode $issuer $scheduler
	submit $mode-meanwhile 4 6 $issuer $scheduler $third
	wait_callers "during the cut"
	set_links mode=open $issuer $scheduler
	for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done
	wait_until "one instance schedules again" one_schedules
	submit $mode-settle 1 6 1 2 3
	wait_callers "after it"
	before=$(count_busy_answers)
	submit $mode-healed 4 6 1 2 3
	wait_callers "later"
	echo "busy answers later: $(($(count_busy_answers) - before))"
	echo "starts: $(count_starts "$mode-") double starts: $(count_double_starts)"
done
