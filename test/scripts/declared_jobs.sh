# Runs a job declared in the settings. Each occurrence runs once although the instance that holds the schedule claim
# first leaves and its successor is killed; none runs after the branch is retired.
. "$(dirname "$0")/lib.sh"

start_platform
put_settings <<END
{
	"branches": {
		"meals": {
			"jobs": {
				"remind": {
					"domain": "can-tho", "period_ms": 1000,
					"tasks": { "first": { "body": "sleep=10 a" }, "second": { "body": "sleep=10 b" } }
				}
			}
		}
	}
}
END
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
start_instance can-tho-3 can-tho 3
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

starts_reached() { [ "$(count_starts schedule:)" -ge "$1" ]; }
# claimant: the instance that holds the claim on the domain's schedules
claimant() {
	incarnation=$(curl -s "http://$PLATFORM/v1/kv/waxwing/schedule/can-tho?raw" | sed 's/.*"incarnation":\([0-9]*\).*/\1/')
	grep -l "starts in can-tho as $(printf '%016x' "$incarnation")" "$WORK"/can-tho-*.log | head -1 | sed 's,.*/\(.*\)\.log,\1,'
}
count_missed_reports() { cat "$WORK"/can-tho-*.log | grep -c "schedule: .* missed from .*$1"; }

echo "== fires by itself"
wait_until "five occurrences ran" starts_reached 10
echo "== the claimant leaves"
first=$(claimant)
kill "$(pid_of "$first")"
wait "$(pid_of "$first")"
echo "exit code $?"
starts_before=$(count_starts schedule:)
wait_until "five more ran" starts_reached $((starts_before + 10))
echo "== the claimant is killed"
second=$(claimant)
[ "$first" != "$second" ] && echo "another has the claim"
kill -9 "$(pid_of "$second")"
wait "$(pid_of "$second")" 2>/dev/null
starts_before=$(count_starts schedule:)
wait_until "five more ran" starts_reached $((starts_before + 10))
missed_reported() { [ "$(count_missed_reports died)" -ge 1 ]; }
wait_until "the last one reports what the killed one may have run" missed_reported
echo "it reports what the killed one may have run"
echo "== retired"
"$BUILD/waxwingctl" --platform "$PLATFORM" retire meals >/dev/null
has_last_revision() { [ "$(state_field "$1" settings_revision)" = "$(curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/')" ]; }
for number in 1 2 3; do
	[ "can-tho-$number" = "$first" ] || [ "can-tho-$number" = "$second" ] || wait_until "$number has it in force" has_last_revision $number
done
sleep 2
starts_before=$(count_starts schedule:)
sleep 3
echo "occurrences after retirement: $(($(count_starts schedule:) - starts_before))"
# count_repeated_occurrences: tasks of an occurrence that started more than once, at any instance
count_repeated_occurrences() { cat "$WORK"/*.tasks | sed -n 's/^start .*\/\(schedule:.*\)/\1/p' | sort | uniq -d | wc -l | tr -d ' '; }
echo "started twice: $(count_repeated_occurrences)"
