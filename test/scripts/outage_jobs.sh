# Jobs cause no platform calls and keep running during a platform outage. Settings changed after the outage take effect,
# also while the platform is slow. An instance started during the outage becomes ready once it is over.
. "$(dirname "$0")/lib.sh"

# direct_calls: the platform's call counters other than those of watches
direct_calls() { curl -s "http://$PLATFORM/control/calls" | tr ',{}' '\n' | grep -v 'watch\|total\|bytes'; }

# submit_job NUMBER ID: submits a job of 4 tasks and prints its state and error code
submit_job() { post "$1" "$(job_json "$2" 4 sleep=5)" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' | tr '\n' ' '; }

submit_many() {
	i=0
	while [ $i -lt 50 ]; do
		submit_job 1 "$1-one-$i"
		submit_job 2 "$2-two-$i"
		i=$((i + 1))
	done | tr ' ' '\n' | grep . | sort | uniq -c | sed 's/^ *//'
}

revision() { curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/'; }
in_force() { [ "$(state_field "$1" settings_revision)" = "$2" ]; }
# wait_in_force NUMBER...: waits until the instances have the platform's revision in force
wait_in_force() {
	revision_now=$(revision)
	for number in "$@"; do wait_until "revision $revision_now is in force at $number" in_force "$number" "$revision_now"; done
}

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
wait_in_force 1 2

echo "== 100 jobs"
direct_calls >"$WORK/before"
submit_many "$(window 1)/up" "$(window 2)/up"
direct_calls >"$WORK/after"
diff "$WORK/before" "$WORK/after" && echo "no call at the platform but its watches"

echo "== 100 jobs in an outage"
set_platform_mode down=1
start_instance can-tho-3 can-tho 3
submit_many "$(window 1)/down" "$(window 2)/down"
is_live() { curl -s -f -o /dev/null "http://$(http_address 3)/live"; }
wait_until "the new instance runs" is_live
http GET "$(http_address 3)/ready"
http POST "$(http_address 3)/v1/jobs" "$(job_json "$(window 3)/early" 1 x)" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"'
set_platform_mode down=0
wait_ready 3
echo "the new instance: $(submit_job 3 "$(window 3)/late")"

echo "== a branch retired after the outage, another with a slow platform"
put_settings <<-END
{ "branches": { "meals": { "values": { "retired": true }, "branches": { "booking": {} } } } }
END
wait_in_force 1 2 3
for number in 1 2 3; do submit_job $number "$(window $number)/retired"; done
echo
set_platform_mode slow_ms=700
put_settings <<-END
{ "branches": { "meals": { "values": { "retired": true }, "branches": { "booking": { "values": { "retired": false } } } } } }
END
wait_in_force 1 2 3
for number in 1 2 3; do submit_job $number "$(window $number)/back"; done
echo
echo "double starts: $(count_double_starts)"
