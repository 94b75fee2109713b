# Restores the platform from a backup older than the current claim on a domain's schedules. The schedules continue, and
# no occurrence runs twice.
. "$(dirname "$0")/lib.sh"
MAX_POLLS=600

settings_json() {
	cat <<-END
	{ "branches": { "meals": { "jobs": { "remind": {
		"domain": "can-tho", "period_ms": 1000, "tasks": { "first": { "body": "sleep=10 a" } }
	} } } } }
	END
}
put_list_entries() {
	put_list_entry "service=upstream&name=u1&address=$(upstream_address u1)&domain=can-tho&slots=8&state=live"
	for number in 1 2; do
		put_list_entry "service=waxwing&name=can-tho-$number&address=$(http_address $number)&peer=$ADDRESS:$((9000 + number))&domain=can-tho&state=live"
	done
}
claim_url() { echo "http://$PLATFORM/v1/kv/waxwing/schedule/can-tho"; }
starts_reached() { [ "$(count_starts schedule:)" -ge "$1" ]; }
claimed_until() { curl -s "$(claim_url)?raw" | sed 's/.*"until_ms":\([0-9]*\).*/\1/'; }
claimed_beyond() { [ "$(claimed_until)" -gt "$1" ]; }
count_repeated_occurrences() { sed -n 's/^start .*\/\(schedule:.*\)/\1/p' "$WORK/u1.tasks" | sort | uniq -d | wc -l | tr -d ' '; }

start_platform
settings_json | put_settings
start_upstream u1 can-tho
for number in 1 2; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2
wait_until "an occurrence ran" starts_reached 1
copy=$(curl -s "$(claim_url)?raw")
until_ms=$(claimed_until)
wait_until "two spans more are claimed" claimed_beyond $((until_ms + 9000))

kill "$(pid_of platform)"
wait "$(pid_of platform)" 2>/dev/null
rm "$WORK/platform.out"
start_platform --port "${PLATFORM##*:}"
curl -s -o /dev/null -X PUT --data-binary "$copy" "$(claim_url)"
settings_json | put_settings
put_list_entries
starts_before=$(count_starts schedule:)
wait_until "more ran than what was claimed before" starts_reached $((starts_before + 12))
echo "the schedules go on"
echo "started twice: $(count_repeated_occurrences)"
