# Provokes pairs of failures: an issuer is killed while the platform is down, an upstream dies while the scheduling
# instance is stopped, and an instance is replaced while the platform loses answers. Jobs of the remaining instances
# complete, no task starts twice, and every caller gets a typed answer.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2 u3; do start_upstream $name can-tho; done
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

# submit NUMBER KEY [TO]: submits a job of two tasks, with an id of instance NUMBER's window, to instance TO (default
# NUMBER) in the background; the state goes to states.NUMBER
submit() {
	id=$(window "$1")/$2
	echo "$id" >>"$WORK/ids"
	(curl -s --data "$(job_json "$id" 2 sleep=400)" "http://$(http_address "${3:-$1}")/v1/jobs" |
		grep -o '"state":"[a-z_]*"' >>"$WORK/states.$1") &
	CALLERS="${CALLERS:-} $!"
}
wait_callers() {
	for pid in $CALLERS; do wait "$pid"; done
	CALLERS=
}
print_states() {
	echo "$1: $(sort "$WORK/states.$1" | uniq -c | sed 's/^ *//')"
	: >"$WORK/states.$1"
}
schedules() { curl -s "http://$(http_address "$1")/v1/state" | grep -q '"here": *true'; }
started() { [ "$(count_starts "$1")" -ge "$2" ]; }

echo "== the platform is down and an issuer is killed"
set_platform_mode down=1
for key in a b c; do for number in 1 2 3; do submit $number "one-$key"; done; done
wait_until "the jobs run" started one- 18
kill -9 "$(pid_of can-tho-3)"
wait "$(pid_of can-tho-3)" 2>/dev/null
wait_callers
print_states 1
print_states 2
# Jobs of instance 3 that ended before the kill were answered as complete; callers of the others got no answer from it.
echo "3: other than complete: $(grep -vc '"state":"complete"' "$WORK/states.3")"
: >"$WORK/states.3"
set_platform_mode down=0
start can-tho-3 "$BUILD/waxwingd" "$WORK/can-tho-3.json"
wait_ready 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== an upstream dies while the scheduling instance is frozen"
for number in 1 2 3; do schedules $number && frozen=$number; done
others=$(for number in 1 2 3; do [ $number = $frozen ] || echo $number; done)
kill -STOP "$(pid_of can-tho-$frozen)"
kill -9 "$(pid_of u3)"
wait "$(pid_of u3)" 2>/dev/null
put_list_entry "service=upstream&name=u3&state=gone&domain=can-tho"
for key in a b c d; do for number in $others; do submit $number "two-$key"; done; done
wait_callers
complete=$(cat "$WORK"/states.* | grep -c '"state":"complete"')
echo "complete of 8: $complete"
: >"$WORK/states.1"; : >"$WORK/states.2"; : >"$WORK/states.3"
kill -CONT "$(pid_of can-tho-$frozen)"
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== the platform loses answers while an instance is replaced"
set_platform_mode lose_answers=3
for key in a b; do for number in 1 2 3; do submit $number "three-$key"; done; done
wait_until "the jobs run" started three- 12
kill "$(pid_of can-tho-2)"
wait "$(pid_of can-tho-2)"
echo "instance 2 ended with $?"
wait_callers
for number in 1 2 3; do print_states $number; done
echo "double starts: $(count_double_starts)"
