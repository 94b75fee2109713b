# Inside a domain, an issuer is cut off from the scheduling instance while jobs run, once with links that hang and once
# with links that are reset; a third instance hears both. Each side schedules all slots meanwhile: upstreams answer
# busy, jobs end whole. After the cut the three agree again, and no slot is given out twice.
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
# one_schedules: exactly one instance schedules the domain's cell
one_schedules() {
	count=0
	for number in 1 2 3; do schedules $number && count=$((count + 1)); done
	[ $count -eq 1 ]
}
busy() {
	for number in 1 2 3; do
		curl -s "http://$(http_address $number)/metrics" | sed -n 's/^waxwing_task_busy_total[^ ]* //p'
	done | awk '{ sum += $1 } END { print sum }'
}

# submit KEY JOBS TASKS NUMBER...: that many jobs at each instance
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
callers_end() {
	for pid in $CALLERS; do wait "$pid"; done
	CALLERS=
	echo "$1: $(sort "$WORK/states" | uniq -c | sed 's/^ *//')"
	: >"$WORK/states"
}

# cut MODE ISSUER SCHEDULER: one-way cuts what the scheduler says to the issuer, the others both ways
cut() {
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
	cut $mode $issuer $scheduler
	submit $mode-meanwhile 4 6 $issuer $scheduler $third
	callers_end "during the cut"
	set_links mode=open $issuer $scheduler
	for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done
	wait_until "one instance schedules again" one_schedules
	submit $mode-settle 1 6 1 2 3
	callers_end "after it"
	before=$(busy)
	submit $mode-healed 4 6 1 2 3
	callers_end "later"
	echo "busy answers later: $(($(busy) - before))"
	echo "starts: $(count_starts "$mode-") double starts: $(count_double_starts)"
done
