# Checks "not_run" answers against the upstreams' logs under overload, when a branch is retired and when an instance
# drains: no task of a job answered "not_run" has started, and every task of a complete job has started once.
. "$(dirname "$0")/lib.sh"

JOBS=60
TASKS=6

# flood WINDOW_1 WINDOW_2 DEADLINE_MS SLEEP_MS: submits JOBS jobs at once, half to each instance; answers go to answer-N
flood() {
	callers=
	i=0
	while [ $i -lt $JOBS ]; do
		if [ $((i % 2)) -eq 0 ]; then
			post 1 "$(job_json "$1/$i" $TASKS sleep=$4 "$3")" >"$WORK/answer-$i" ||
				echo "curl $?" >>"$WORK/answer-$i" &
		else
			post 2 "$(job_json "$2/$i" $TASKS sleep=$4 "$3")" >"$WORK/answer-$i" ||
				echo "curl $?" >>"$WORK/answer-$i" &
		fi
		callers="$callers $!"
		i=$((i + 1))
	done
}

# check_answers WINDOW_1 WINDOW_2: waits for the answers and compares them with the task starts in the upstreams' logs
check_answers() {
	wait $callers
	i=0
	false_not_run=0
	partial=0
	: >"$WORK/states"
	while [ $i -lt $JOBS ]; do
		[ $((i % 2)) -eq 0 ] && id="$1/$i" || id="$2/$i"
		started=$(count_starts "$id#")
		state=$(grep -o '"state":"[a-z_]*"' "$WORK/answer-$i")
		echo "$state" >>"$WORK/states"
		case $state in
		*not_run*) [ "$started" -eq 0 ] || false_not_run=$((false_not_run + 1)) ;;
		*complete*) [ "$started" -eq $TASKS ] || partial=$((partial + 1)) ;;
		esac
		i=$((i + 1))
	done
	echo "not run, yet started: $false_not_run; complete, yet not all started: $partial"
	grep -q not_run "$WORK/states" && echo "some were not run"
	grep -q complete "$WORK/states" && echo "some were complete"
	grep . "$WORK/states" | grep -v 'not_run\|complete\|failed'
	# curl exits with 7 if the connection was refused, before any request was sent
	echo "cut off: $(cat "$WORK"/answer-* | grep '^curl ' | grep -vc '^curl 7$')"
}

some_started() { [ "$(count_starts "$1")" -ge 1 ]; }

start_platform
put_default_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done

echo "== overload: more than can be done by the deadline"
w=$(window 1)/over v=$(window 2)/over
flood $w $v 6000 300
check_answers $w $v

echo "== the branch is retired with jobs queued"
w=$(window 1)/retire v=$(window 2)/retire
flood $w $v 60000 100
wait_until "some tasks run" some_started /retire/
put_settings <<-END
{ "branches": { "meals": { "values": { "retired": true }, "branches": { "booking": {} } } } }
END
check_answers $w $v
put_default_settings
revision() { curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/'; }
revision_now=$(revision)
in_force() { [ "$(state_field "$1" settings_revision)" = "$revision_now" ]; }
for number in 1 2; do wait_until "the branch is back at $number" in_force $number; done

echo "== an instance drains with jobs running and others arriving"
count_submitted() { curl -s "http://$(http_address "$1")/metrics" | sed -n 's/^waxwing_jobs_submitted_total //p'; }
has_submitted() { [ "$(count_submitted "$1")" -ge "$2" ]; }
expected_1=$(($(count_submitted 1) + JOBS / 2)) expected_2=$(($(count_submitted 2) + JOBS / 2))
w=$(window 1)/drain v=$(window 2)/drain
flood $w $v 60000 100
wait_until "instance 1 has its jobs" has_submitted 1 $expected_1
wait_until "instance 2 has its jobs" has_submitted 2 $expected_2
kill "$(pid_of can-tho-1)"
# A job submitted during the drain is refused as leaving, still completes, or finds the port closed.
post 1 "$(job_json "$w/late" 1 sleep=100 60000)" >"$WORK/late"
case $? in
0) grep -q '"state":"not_run".*"code":"leaving"\|"state":"complete"' "$WORK/late" || cat "$WORK/late" ;;
7) ;;
*) echo "the late caller was cut off" ;;
esac
grep -q not_run "$WORK/late" && echo "not run, yet started: $(count_starts drain/late)" | grep -v ': 0$'
wait "$(pid_of can-tho-1)"
echo "exit code $?"
check_answers $w $v
echo "failed: $(grep -c failed "$WORK/states")"
echo "double starts: $(count_double_starts)"
