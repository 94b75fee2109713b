# Runs the settings commands of waxwingctl: check, diff, apply, set, explain, conflicts, jobs, and an unreachable
# platform.
set -u
"$BUILD/standin-platform" --port 0 >"$WORK/platform.out" 2>"$WORK/platform.log" &
platform=$!
trap 'kill $platform' EXIT
until grep -q ready "$WORK/platform.out"; do sleep 0.05; done
address=$(sed -n 's/^ready //p' "$WORK/platform.out")

# run_ctl ARGUMENTS...: prints the command and its output with addresses and generated ids masked
run_ctl() {
	echo "\$ waxwingctl $*" | sed "s|$WORK/||g"
	"$BUILD/waxwingctl" --platform "$address" "$@" 2>&1 |
		sed -e "s/$address/PLATFORM/g" -e 's/as [^ ]*-[0-9a-f]\{16\}/as ID/' \
			-e 's/"[^" ]*-[0-9a-f]\{16\}"/"ID"/g' -e "s|$WORK/||g"
}

# print_exit_code ARGUMENTS...: runs waxwingctl without its output and prints the exit code
print_exit_code() {
	"$BUILD/waxwingctl" --platform "$address" "$@" >/dev/null 2>&1
	echo "exit code $? of $*" | sed "s|$WORK/||g"
}

cat >"$WORK/tree.json" <<'TREE'
{ // the cooperative's tree
	"values": {"deadline_ms": 2000},
	"teams": {"kitchen": {"slots": 40}},
	"branches": {
		"meals": {
			"values": {"weight": 3, "team": "kitchen"}, // rice and broth
			"branches": {"headcount": {}}
		}
	}
}
TREE
sed 's/"weight": 3/"weight": "3"/' "$WORK/tree.json" >"$WORK/bad.json"

run_ctl settings check "$WORK/tree.json"
run_ctl settings check "$WORK/bad.json"
run_ctl settings diff "$WORK/tree.json"
run_ctl settings apply "$WORK/tree.json"
run_ctl settings set meals/headcount deadline_ms=700
run_ctl settings get --explain meals/headcount
run_ctl settings set meals weight=7 --was 4
run_ctl settings set mails weight=7
run_ctl settings set meals weight=0
run_ctl settings apply "$WORK/tree.json"
run_ctl settings diff "$WORK/tree.json"
run_ctl settings unset meals/headcount deadline_ms
run_ctl settings diff "$WORK/tree.json"
echo '{"domain": "can-tho", "period_ms": 60000, "tasks": {"one": {"body": "x"}}}' >"$WORK/job.json"
run_ctl jobs put meals/headcount remind "$WORK/job.json"
run_ctl retire meals
run_ctl jobs list
run_ctl unretire meals
run_ctl jobs list
run_ctl jobs remove meals/headcount remind
run_ctl settings get
run_ctl settings set meals weight=5 --wait=200 --instances 127.0.0.1:1
run_ctl state 127.0.0.1:1
print_exit_code settings check "$WORK/tree.json"
print_exit_code settings set meals weight=0
print_exit_code settings set meals weight=7 --was 4
print_exit_code state 127.0.0.1:1
print_exit_code settings set meals weight=6 --wait=200 --instances 127.0.0.1:1
print_exit_code settings
# The platform applies the write but drops the answer; waxwingctl must detect the applied change and not repeat it.
curl -s -X PUT "http://$address/control/mode?lose_answers=1" >/dev/null
run_ctl settings set meals weight=5
kill $platform
wait $platform 2>/dev/null
trap - EXIT
print_exit_code settings set meals weight=5
