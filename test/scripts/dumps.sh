# Compares the state dump (over HTTP and on SIGUSR1) and the metrics with a known number of running and queued tasks.
. "$(dirname "$0")/lib.sh"

# gauge NUMBER NAME: value of the metric waxwing_NAME at an instance
gauge() { curl -s "http://$(http_address "$1")/metrics" | sed -n "s/^waxwing_$2 //p"; }
gauge_is() { [ "$(gauge "$1" "$2")" = "$3" ]; }
# keys FILE: the distinct keys of a dump
keys() { grep -o '"[a-z_]*":' "$1" | tr -d '":' | sort -u | tr '\n' ' '; }
# entry_fields FILE NAME KEYS...: the values of these keys of the upstream, member or watch NAME, on one line
entry_fields() {
	file=$1
	name=$2
	shift 2
	for key in "$@"; do
		tr -d '\n' <"$file" | tr '{}' '\n\n' | grep "\"[a-z_]*\": *\"$name\"" | sed -n "s/.*\"$key\": *\"\{0,1\}\([^\",]*\).*/$key \1/p" | sed 's/ *$//' | tr '\n' ';'
	done
	echo
}
# scheduler_total NAME: a metric summed over both instances, as either may be the scheduler
scheduler_total() { echo $(($(gauge 1 "$1") + $(gauge 2 "$1"))); }
total_is() { [ "$(scheduler_total "$1")" = "$2" ]; }

start_platform
put_default_settings
start_upstream u1 can-tho --slots 8
start_upstream u2 can-tho --slots 8
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
w=$(window 1)

echo "== at rest"
for name in ready running_jobs queued_tasks tasks_in_flight; do echo "$name $(gauge 1 $name)"; done
wait_until "one of the two has the slots" total_is scheduled_slots 16
echo "slots $(scheduler_total scheduled_slots), used $(scheduler_total scheduled_used_slots)"

# first_value FILE KEY: the first value of a key in a dump
first_value() { tr -d '\n ' <"$1" | sed -n "s/.*\"$2\":\"\{0,1\}\([^\",}]*\).*/\1/p"; }

echo "== 20 tasks on 16 slots"
post 1 "$(job_json "$w/held" 20 sleep=60000 90000)" >"$WORK/answer" &
caller=$!
wait_until "16 run" gauge_is 1 tasks_in_flight 16
wait_until "16 slots are in use" total_is scheduled_used_slots 16
echo "running jobs $(gauge 1 running_jobs), queued here $(gauge 1 queued_tasks), queued at the scheduler $(scheduler_total scheduled_queued_tasks)"
curl -s "http://$(http_address 1)/v1/state" >"$WORK/dump"
keys "$WORK/dump"
entry_fields "$WORK/dump" u1 state slots breaker
entry_fields "$WORK/dump" can-tho-2 alive leaving domain
tr -d '\n ' <"$WORK/dump" | grep -o '"submissions":{"running_jobs":[0-9]*,"finished_ids":[0-9]*,"queued_tasks":[0-9]*,"committed_tasks":[0-9]*'
for name in sent_bytes received_bytes; do [ "$(first_value "$WORK/dump" $name)" -gt 0 ] && echo "$name counted"; done
echo "dropped $(first_value "$WORK/dump" dropped), malformed $(first_value "$WORK/dump" malformed), jobs declared $(first_value "$WORK/dump" jobs)"
for watch in 'the settings' 'the entry instances' 'the upstreams'; do
	entry_fields "$WORK/dump" "$watch" calls failures | sed 's/calls [1-9][0-9]*;failures [0-9]*;/calls and failures counted/'
done
echo "the same revision: $([ "$(state_field 1 settings_revision)" = "$(gauge 1 settings_revision)" ] && echo yes)"

echo "== on the signal"
kill -USR1 "$(pid_of can-tho-1)"
logged() { grep -q '<5>instance: state: }' "$WORK/can-tho-1.log"; }
wait_until "the state is logged" logged
sed -n 's/^<5>instance: state: //p' "$WORK/can-tho-1.log" >"$WORK/logged"
[ "$(keys "$WORK/logged")" = "$(keys "$WORK/dump")" ] && echo "the same keys"
entry_fields "$WORK/logged" u1 state slots breaker

echo "== after it"
curl -s -o /dev/null -w 'cancelled: %{http_code}\n' -X DELETE "http://$(http_address 1)/v1/jobs?id=$w/held"
wait $caller
grep -o '"code":"[a-z_]*"' "$WORK/answer"
wait_until "no task runs" gauge_is 1 tasks_in_flight 0
wait_until "all slots are free" total_is scheduled_used_slots 0
for name in running_jobs queued_tasks tasks_in_flight; do echo "$name $(gauge 1 $name)"; done
echo "starts: $(count_starts "$w/held")"
echo "malformed lines: $(curl -s "http://$(http_address 1)/metrics" | grep -v '^#' | grep -vc '^waxwing_[a-z_]* [0-9]*$')"
