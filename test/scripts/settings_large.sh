# Settings with many branches (BRANCHES): instances receive only the changes, from the platform and from each other,
# also when the change log is compacted. An instance that was stopped or restarted receives the whole document. A plain
# document written over the log is accepted at any time.
. "$(dirname "$0")/lib.sh"

BRANCHES=${BRANCHES:-1000}
EDITS=40 # more changes than the log holds before it is compacted
MAX_BYTES=8000 # limit for one change at one instance: the head, the key name and the part that a watch repeats

tree() {
	echo '{ "branches": { "meals": { "branches": {'
	i=0
	while [ $i -lt $BRANCHES ]; do
		echo "\"branch-$i\": { \"values\": { \"weight\": $((i % 10 + 1)), \"deadline_ms\": 3000, \"declared_ms\": 180 } },"
		i=$((i + 1))
	done
	echo '"last": {} } } } }'
}
ctl() { "$BUILD/waxwingctl" --platform "$PLATFORM" "$@"; }
count() { curl -s "http://$PLATFORM/control/calls" | tr ',{}' '\n\n\n' | sed -n "s/^ *\"$1\" *: *\([0-9]*\).*/\1/p"; }
bytes() { echo $(($(count kv_get_bytes) + $(count kv_watch_bytes))); }
last_revision() { ctl settings get 2>&1 >/dev/null | sed -n 's/^revision //p'; }
at_last() { [ "$(state_field "$1" settings_revision)" = "$last" ]; }
all_at_last() {
	last=$(last_revision)
	for number in "$@"; do wait_until "the last revision is in force at $number" at_last "$number"; done
}
# edit COUNT [OPTION]: makes COUNT changes in sequence
edit() {
	i=0
	while [ $i -lt "$1" ]; do
		edits=$((edits + 1))
		ctl settings set meals/branch-7 weight=$((edits + 100)) $2 >>"$WORK/edits" || cat "$WORK/edits"
		i=$((i + 1))
	done
}
edits=0

start_platform
tree | put_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
start_instance an-giang-1 an-giang 3
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== changes"
before=$(bytes)
edit $EDITS --wait=30000
bytes_with_instances=$(($(bytes) - before))
grep -c '^in force at 3 of 3 instances' "$WORK/edits"
[ "$(ctl settings get meals/branch-7 | sed -n 's/^weight *//p')" = $((edits + 100)) ] && echo "the value is the last one"

echo "== a frozen instance"
kill -STOP "$(pid_of an-giang-1)"
edit $EDITS
kill -CONT "$(pid_of an-giang-1)"
all_at_last 1 2 3
echo "it has the last revision"

echo "== racing operators"
for operator in 1 2 3; do
	{ for round in 1 2 3 4 5; do
		wait_until "operator $operator's edit is accepted" ctl settings set "meals/branch-$((operator + 10))" weight=$((operator * 10 + round))
	done; } &
	operators="$operators $!"
done
wait $operators
for operator in 1 2 3; do ctl settings get "meals/branch-$((operator + 10))" | sed -n "s/^weight */operator $operator: /p"; done
all_at_last 1 2 3

echo "== a plain document over it"
tree | put_settings
all_at_last 1 2 3
edit 2 --wait=30000
tail -1 "$WORK/edits"
curl -s "http://$PLATFORM/v1/kv/waxwing/settings?raw" | cut -c 1-15

echo "== without instances"
for name in can-tho-1 can-tho-2 an-giang-1; do
	kill "$(pid_of $name)"
	wait "$(pid_of $name)"
done
before=$(bytes)
edit $EDITS
bytes_without_instances=$(($(bytes) - before))
bytes_each=$(((bytes_with_instances - bytes_without_instances) / EDITS / 3))
echo "bytes for a change: $bytes_each of an instance, $((bytes_without_instances / EDITS)) of the editor" >"$WORK/figures"
[ -z "${FIGURES:-}" ] || cat "$WORK/figures" >>"$FIGURES"
[ $bytes_each -lt $MAX_BYTES ] && echo "an instance gets little for a change" || cat "$WORK/figures"
