# Upstreams close connections, send oversized answers, fail tasks or die. Each answer is complete or failed, and no task
# is sent twice.
. "$(dirname "$0")/lib.sh"

# outcome NUMBER BODY: submits a job and prints the state, error code and number of task results of the answer
outcome() {
	post "$1" "$2" >"$WORK/answer"
	echo "$(grep -o '"state":"[a-z_]*"' "$WORK/answer") $(grep -o '"code":"[a-z_]*"' "$WORK/answer")" \
		"tasks: $(grep -o '"body":' "$WORK/answer" | wc -l)"
}

# job_with_fault ID TASKS DIRECTIVE: the JSON of a job whose second task has DIRECTIVE as its body
job_with_fault() { job_json "$1" "$2" sleep=5 | sed "s/sleep=5 n=1\"/sleep=5 $3\"/"; }

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
w=$(window 1)

for fault in close=after-read close=mid-answer size=5000000 fail=1; do
	echo "== one of eight tasks: $fault"
	body=$(job_with_fault "$w/$fault" 8 $fault)
	outcome 1 "$body"
	echo "again, here and there:"
	outcome 1 "$body"
	outcome 2 "$body"
	echo "starts of that task: $(count_starts "$w/$fault#1\$")"
done

for fault in close=after-read close=mid-answer; do
	echo "== a request that may not be repeated: $fault"
	body="{\"id\":\"$w/single-$fault\",\"caller\":\"crew-7\",\"branch\":\"orders/confirm\",\"deadline_ms\":20000,\"body\":\"$fault\"}"
	for number in 1 2 1; do
		http POST "$(http_address $number)/v1/requests" "$body" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' | tr '\n' ' '
		echo
	done
	echo "starts: $(count_starts "$w/single-$fault#")"
done

echo "== one of 1,200 tasks fails"
body=$(job_json "$w/large" 1200 sleep=1 30000 | sed 's/n=777"/fail=1"/')
outcome 1 "$body"
outcome 2 "$body"
echo "all of 1,200 tasks are done"
outcome 1 "$(job_json "$w/whole" 1200 sleep=1 30000)"
echo "starts: $(count_starts "$w/whole#")"

echo "== answers of a megabyte, whole"
post 2 "$(job_json "$w/wide" 4 size=1000000)" >"$WORK/answer"
grep -o '"state":"[a-z_]*"' "$WORK/answer"
tr ',' '\n' <"$WORK/answer" | awk '/"body":/ { if (length($0) >= 1000000) whole++ } END { print "whole bodies:", whole + 0 }'

echo "== an upstream dies with tasks running"
post 1 "$(job_json "$w/dies" 16 sleep=1500)" >"$WORK/answer" &
caller=$!
running() { [ "$(count_starts "$w/dies#")" -ge 16 ]; }
wait_until "16 tasks run" running
kill -KILL "$(pid_of u2)"
wait "$(pid_of u2)" 2>/dev/null
wait $caller
echo "$(grep -o '"state":"[a-z_]*"' "$WORK/answer") $(grep -o '"code":"[a-z_]*"' "$WORK/answer")"
echo "starts: $(count_starts "$w/dies#")"
echo "the next job goes to the one that is left"
outcome 1 "$(job_json "$w/left" 12 sleep=20)"
echo "starts: $(count_starts "$w/left#")"
echo "double starts: $(count_double_starts)"
