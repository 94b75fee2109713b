# The claimant of a domain's schedules sleeps past the end of its claim, with the platform's answers slow; another
# claims the time after. Woken, the first starts nothing of it: each occurrence runs at most once.
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

ran() { [ "$(count_starts "$1")" -ge "$2" ]; }
claim() { curl -s "http://$PLATFORM/v1/kv/waxwing/schedule/can-tho?raw" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }
# the instance that claims the domain's schedules, none before one does
claimant() {
	incarnation=$(claim incarnation)
	grep -l "starts in can-tho as $(printf '%016x' "$incarnation")" "$WORK"/can-tho-*.log | head -1 | sed 's,.*/\(.*\)\.log,\1,'
}
has_claim() { [ "$(claimant)" = "$1" ]; }
missed() { cat "$WORK"/can-tho-*.log | grep -c "schedule: .* missed from .*$1"; }
reported() { [ "$(missed "$1")" -ge 1 ]; }
# occurrences and tasks that started twice, whatever instance started them
twice() { sed -n 's/^start .*\/\(schedule:.*\)/\1/p' "$WORK/u1.tasks" | sort | uniq -d | wc -l | tr -d ' '; }

wait_until "occurrences run" ran schedule: 10
first=$(claimant)
for number in 1 2; do [ "can-tho-$number" = "$first" ] || second=can-tho-$number; done
kill -STOP "$(pid_of "$first")"
set_platform_mode slow_ms=300
wait_until "the other claims the time after" has_claim "$second"
wait_until "it reports what the first may have run" reported died
left=$(count_starts "$second.*schedule:")
wait_until "occurrences run there" ran "$second.*schedule:" $((left + 10))
kill -CONT "$(pid_of "$first")"
wait_until "the first reports what it slept over" reported late
left=$(count_starts "$second.*schedule:")
wait_until "more run at the other" ran "$second.*schedule:" $((left + 10))
echo "started twice: $(twice)"
echo "double starts: $(count_double_starts)"
set_platform_mode slow_ms=0
echo "== it leaves, and the first claims again"
kill "$(pid_of "$second")"
wait "$(pid_of "$second")"
echo "exit code $?"
left=$(count_starts "$first.*schedule:")
wait_until "occurrences run at the first" ran "$first.*schedule:" $((left + 10))
echo "started twice: $(twice)"
