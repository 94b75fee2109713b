# An upstream leaves and the scheduling instance is killed while the platform's list is stale and still names both. The
# other instances take over scheduling and complete their jobs, and send nothing to the upstream once they know it
# leaves.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2 u3; do start_upstream $name can-tho; done
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

started() { [ "$(count_starts "$1")" -ge "$2" ]; }
schedules() { curl -s "http://$(http_address "$1")/v1/state" | grep -q '"here": *true'; }
leaving_at() { curl -s "http://$(http_address "$1")/v1/state" | tr -d ' \n' | grep -q "\"name\":\"$2\"[^}]*\"state\":\"leaving\""; }
submit() {
	for number in $others; do
		(post $number "$(job_json "$(window $number)/$1" 40 sleep=50)" | grep -o '"state":"[a-z_]*"' >>"$WORK/states") &
		callers="$callers $!"
	done
}
# wait_callers LABEL: waits for the submissions and prints how many ended in each state
wait_callers() {
	for pid in $callers; do wait "$pid"; done
	callers=
	echo "$1: $(sort "$WORK/states" | uniq -c | sed 's/^ *//')"
	: >"$WORK/states"
}

set_platform_mode lag_ms=600000
for number in 1 2 3; do schedules $number && scheduler=$number; done
others=$(for number in 1 2 3; do [ $number = $scheduler ] || echo $number; done)
submit before
wait_until "the jobs run" started /before 24
curl -s -o /dev/null -X PUT "http://$(upstream_address u1)/control?mode=leaving"
kill -9 "$(pid_of can-tho-$scheduler)"
wait_callers "running then"
submit after
wait_callers "later"
for number in $others; do wait_until "instance $number knows that u1 leaves" leaving_at $number u1; done
submit known
wait_callers "when all know"
echo "starts: $(count_starts .), of the last at u1: $(grep -c '^start .*/known#' "$WORK/u1.tasks")"
echo "double starts: $(count_double_starts)"
