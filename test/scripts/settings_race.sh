# Concurrent operators edit one settings document while the platform loses answers. No accepted change may be lost or
# silently overwritten, no instance returns to an older revision, and all end on the last one.
. "$(dirname "$0")/lib.sh"

OPERATORS="1 2 3 4"
ROUNDS="1 2 3 4 5"

start_platform
put_settings <<END
{ "branches": { "meals": {}, "b1": {}, "b2": {}, "b3": {}, "b4": {} } }
END
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
start_instance an-giang-1 an-giang 3
wait_ready 1 2 3

ctl() { "$BUILD/waxwingctl" --platform "$PLATFORM" "$@"; }
document() { ctl settings get 2>/dev/null; }

# watch_revisions NUMBER: records the revisions that an instance has in force, every 20 ms
watch_revisions() { while :; do state_field "$1" settings_revision; sleep 0.02; done >"$WORK/revisions-$1"; }
for number in 1 2 3; do watch_revisions $number & watchers="$watchers $!"; done

# run_operator NUMBER: edits a key of its own and a key shared by all operators; records the shared values that may have
# been applied (exit code 0 or 4)
run_operator() {
	for round in $ROUNDS; do
		wait_until "operator $1 gets its own edit accepted" ctl settings set "b$1" weight=$((100 * $1 + round))
		ctl settings set meals weight=$((100 * $1 + round)) >"$WORK/operator-$1" 2>&1
		case $? in
		0 | 4) echo "meals $((100 * $1 + round)) " >>"$WORK/accepted" ;;
		2) grep -q 'another edit' "$WORK/operator-$1" || echo "a refusal without the values" ;;
		esac
		set_platform_mode lose_answers=1
	done
}
for operator in $OPERATORS; do run_operator $operator & operators="$operators $!"; done
wait $operators
set_platform_mode lose_answers=0

document >"$WORK/document"
# Only its operator edits such a key, so the last accepted value must be in force.
for operator in $OPERATORS; do
	echo "operator $operator: $(ctl settings get "b$operator" | sed -n 's/^weight */weight /p')"
done
value=$(ctl settings get meals | sed -n 's/^weight *//p')
grep -q "^meals $value " "$WORK/accepted" || echo "the contended value $value was never accepted"
# The id of a change must appear only once in recent_changes.
ids=$(sed -n 's/.*"recent_changes": *\[\(.*\)\].*/\1/p' "$WORK/document" | tr -d '" ' | tr ',' '\n')
echo "ids that stand twice: $(echo "$ids" | sort | uniq -d | wc -l | tr -d ' ')"

last=$(ctl settings get 2>&1 >/dev/null | sed -n 's/^revision //p')
in_force() { [ "$(state_field "$1" settings_revision)" = "$last" ]; }
for number in 1 2 3; do wait_until "the last revision is in force at $number" in_force $number; done
echo "the last revision is in force at all three"
kill $watchers
wait $watchers 2>/dev/null
for number in 1 2 3; do
	grep -v '^$' "$WORK/revisions-$number" | sort -n -c 2>/dev/null || echo "instance $number went back"
done
echo "revisions were compared"
