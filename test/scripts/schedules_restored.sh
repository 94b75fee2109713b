# The platform is restored from a copy older than the claim of a domain's schedules: the schedules go on, and no
# occurrence runs twice.
. "$(dirname "$0")/lib.sh"
MAX_POLLS=600

tree() {
	cat <<-END
	{ "branches": { "meals": { "jobs": { "remind": {
		"domain": "can-tho", "period_ms": 1000, "tasks": { "first": { "body": "sleep=10 a" } }
	} } } } }
	END
}
list_all() {
	put_list_entry "service=upstream&name=u1&address=$(upstream_address u1)&domain=can-tho&slots=8&state=live"
	for number in 1 2; do
		put_list_entry "service=waxwing&name=can-tho-$number&address=$(http_address $number)&peer=$ADDRESS:$((9000 + number))&domain=can-tho&state=live"
	done
}
key() { echo "http://$PLATFORM/v1/kv/waxwing/schedule/can-tho"; }
ran() { [ "$(count_starts schedule:)" -ge "$1" ]; }
claimed_until() { curl -s "$(key)?raw" | sed 's/.*"until_ms":\([0-9]*\).*/\1/'; }
claimed_beyond() { [ "$(claimed_until)" -gt "$1" ]; }
twice() { sed -n 's/^start .*\/\(schedule:.*\)/\1/p' "$WORK/u1.tasks" | sort | uniq -d | wc -l | tr -d ' '; }

start_platform
tree | put_settings
start_upstream u1 can-tho
for number in 1 2; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2
wait_until "an occurrence ran" ran 1
copy=$(curl -s "$(key)?raw")
until_ms=$(claimed_until)
wait_until "two spans more are claimed" claimed_beyond $((until_ms + 9000))

kill "$(pid_of platform)"
wait "$(pid_of platform)" 2>/dev/null
rm "$WORK/platform.out"
start_platform --port "${PLATFORM##*:}"
curl -s -o /dev/null -X PUT --data-binary "$copy" "$(key)"
tree | put_settings
list_all
left=$(count_starts schedule:)
wait_until "more ran than what was claimed before" ran $((left + 12))
echo "the schedules go on"
echo "started twice: $(twice)"
