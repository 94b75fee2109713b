# No platform call per job; jobs go on through an outage, and settings changed after it come into
# force, also with a slow platform. An instance started in the outage serves once it is over.
. "$(dirname "$0")/lib.sh"

# calls that are no waiting watch
direct_calls() { curl -s "http://$PLATFORM/control/calls" | tr ',{}' '\n' | grep -v 'watch\|total\|bytes'; }

run() { post "$1" "$(job_json "$2" 4 sleep=5)" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' | tr '\n' ' '; }

run_many() {
	i=0
	while [ $i -lt 50 ]; do
		run 1 "$1-one-$i"
		run 2 "$2-two-$i"
		i=$((i + 1))
	done | tr ' ' '\n' | grep . | sort | uniq -c | sed 's/^ *//'
}

revision() { curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/'; }
in_force() { [ "$(state_field "$1" settings_revision)" = "$2" ]; }
everywhere() {
	now=$(revision)
	for number in "$@"; do wait_until "revision $now is in force at $number" in_force "$number" "$now"; done
}

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
everywhere 1 2

echo "== 100 jobs"
direct_calls >"$WORK/before"
run_many "$(window 1)/up" "$(window 2)/up"
direct_calls >"$WORK/after"
diff "$WORK/before" "$WORK/after" && echo "no call at the platform but its watches"

echo "== 100 jobs in an outage"
set_platform_mode down=1
start_instance can-tho-3 can-tho 3
run_many "$(window 1)/down" "$(window 2)/down"
is_live() { curl -s -f -o /dev/null "http://$(http_address 3)/live"; }
wait_until "the new instance runs" is_live
http GET "$(http_address 3)/ready"
http POST "$(http_address 3)/v1/jobs" "$(job_json "$(window 3)/early" 1 x)" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"'
set_platform_mode down=0
wait_ready 3
echo "the new instance: $(run 3 "$(window 3)/late")"

echo "== a branch retired after the outage, another with a slow platform"
put_settings <<-END
{ "branches": { "meals": { "values": { "retired": true }, "branches": { "booking": {} } } } }
END
everywhere 1 2 3
for number in 1 2 3; do run $number "$(window $number)/retired"; done
echo
set_platform_mode slow_ms=700
put_settings <<-END
{ "branches": { "meals": { "values": { "retired": true }, "branches": { "booking": { "values": { "retired": false } } } } } }
END
everywhere 1 2 3
for number in 1 2 3; do run $number "$(window $number)/back"; done
echo
echo "double starts: $(count_double_starts)"
