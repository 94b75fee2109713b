# The instance that holds the claim on a domain's schedules is stopped until its claim expires, while the platform
# answers slowly; another instance claims the following time span. When the first one resumes it must start no
# occurrence of that span: each occurrence runs at most once.
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
				},
				"collect": {
					"domain": "can-tho", "period_ms": 1000, "offset_ms": 500,
					"tasks": { "first": { "body": "sleep=10 a" }, "second": { "body": "sleep=10 b" } }
				}
			}
		}
	}
}
END
start_upstream u1 can-tho
for number in 1 2; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done

starts_reached() { [ "$(count_starts "$1")" -ge "$2" ]; }
# claim_field KEY: a number of the claim that is stored on the platform
claim_field() { curl -s "http://$PLATFORM/v1/kv/waxwing/schedule/can-tho?raw" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }
# claimant: the instance that holds the claim on the domain's schedules; empty if there is none yet
claimant() {
	incarnation=$(claim_field incarnation)
	grep -l "starts in can-tho as $(printf '%016x' "$incarnation")" "$WORK"/can-tho-*.log | head -1 | sed 's,.*/\(.*\)\.log,\1,'
}
has_claim() { [ "$(claimant)" = "$1" ]; }
count_missed_reports() { cat "$WORK"/can-tho-*.log | grep -c "schedule: .* missed from .*$1"; }
missed_reported() { [ "$(count_missed_reports "$1")" -ge 1 ]; }
# count_repeated_occurrences: tasks of an occurrence that started more than once, at any instance
count_repeated_occurrences() { sed -n 's/^start .*\/\(schedule:.*\)/\1/p' "$WORK/u1.tasks" | sort | uniq -d | wc -l | tr -d ' '; }

wait_until "occurrences run" starts_reached schedule: 10
first=$(claimant)
for number in 1 2; do [ "can-tho-$number" = "$first" ] || second=can-tho-$number; done
kill -STOP "$(pid_of "$first")"
set_platform_mode slow_ms=300
wait_until "the other claims the time after" has_claim "$second"
wait_until "it reports what the first may have run" missed_reported died
starts_before=$(count_starts "$second.*schedule:")
wait_until "occurrences run there" starts_reached "$second.*schedule:" $((starts_before + 10))
kill -CONT "$(pid_of "$first")"
wait_until "the first reports what it slept over" missed_reported late
starts_before=$(count_starts "$second.*schedule:")
wait_until "more run at the other" starts_reached "$second.*schedule:" $((starts_before + 10))
echo "started twice: $(count_repeated_occurrences)"
echo "double starts: $(count_double_starts)"
set_platform_mode slow_ms=0
echo "== it leaves, and the first claims again"
kill "$(pid_of "$second")"
wait "$(pid_of "$second")"
echo "exit code $?"
starts_before=$(count_starts "$first.*schedule:")
wait_until "occurrences run at the first" starts_reached "$first.*schedule:" $((starts_before + 10))
echo "started twice: $(count_repeated_occurrences)"
