# Runs waxwing-bench load and probe against real processes. Every job completes, no task starts twice, and a repeated
# submission gets the same answer.
. "$(dirname "$0")/lib.sh"

# field KEY: a number of the JSON report of waxwing-bench load
field() { sed -n "s/^  \"$1\": *\([0-9.]*\),*\$/\1/p" "$WORK/load.json"; }

start_platform
put_settings <<-END
	{ "branches": { "trial": { "values": { "job_tasks": 1200 }, "branches": {
		"check": {}, "order": {}, "batch": {}, "slow": {} } } } }
END
for name in u1 u2 u3 u4; do start_upstream $name can-tho --speed 4; done
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done

echo "== load"
"$BUILD/waxwing-bench" load --quiet --json --instances 2 --load 0.8 --jobs 60 --seeds 4 --logs "$WORK" "$(http_address 1)" "$(http_address 2)" >"$WORK/load.json"
echo "exit code $?"
for key in jobs complete failed refused late unknown wrong_answers repeats unlike_repeats starts double_starts true_refusals; do
	echo "$key: $(field $key)"
done
echo "starts: $(count_starts .)"
echo "double starts: $(count_double_starts)"

echo "== probe"
"$BUILD/waxwing-bench" probe --jobs 5 "$(http_address 1)" "$(upstream_address u1)" >"$WORK/probe"
echo "exit code $?"
tail -n 1 "$WORK/probe"

echo "== bad use"
"$BUILD/waxwing-bench" load --quiet --jobs 1 --instances 2 --logs "$WORK/none" "$(http_address 1)" "$(http_address 2)" 2>&1 | sed "s|$WORK|WORK|"
"$BUILD/waxwing-bench" load --quiet --instances 3 "$(http_address 1)" 2>&1
echo "exit code $?"
"$BUILD/waxwing-bench" load --quiet nowhere 2>&1 | head -n 1
"$BUILD/waxwing-bench" sim --load 0 2>&1 | head -n 1
"$BUILD/waxwing-bench" sim --policies best 2>&1 | head -n 1
