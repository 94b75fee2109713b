# A leaving upstream receives no new tasks, whether instances learn of it from the platform's list, from the upstream's
# own answer or from a peer, also while the list is stale.
. "$(dirname "$0")/lib.sh"

# submit_job NUMBER ID: submits a job of 40 tasks, more than there are slots, and prints its state
submit_job() { post "$1" "$(job_json "$2" 40 sleep=20)" | grep -o '"state":"[a-z_]*"'; }

# starts_at UPSTREAM PATTERN: number of matching task starts in that upstream's log
starts_at() { grep -c "^start .*$2" "$WORK/$1.tasks"; }
leaving_at() { curl -s "http://$(http_address "$1")/v1/state" | tr -d ' \n' | grep -q "\"name\":\"$2\"[^}]*\"state\":\"leaving\""; }

start_platform
put_default_settings
for name in u1 u2 u3 u4; do start_upstream $name can-tho; done
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
w=$(window 1)
v=$(window 2)
echo "== all four are live"
submit_job 1 "$w/all"
submit_job 2 "$v/all"
echo "starts: $(count_starts /all#)"

echo "== u1 by the list"
put_list_entry "service=upstream&name=u1&address=$(upstream_address u1)&domain=can-tho&slots=8&state=leaving"
for number in 1 2; do wait_until "instance $number knows" leaving_at $number u1; done
submit_job 1 "$w/list"
submit_job 2 "$v/list"
echo "starts: $(count_starts /list#), at u1: $(starts_at u1 /list#)"

echo "== u2 by its own answer, and to the other instance by its peer; the list lags"
set_platform_mode lag_ms=600000
curl -s -o /dev/null -X PUT "http://$(upstream_address u2)/control?mode=leaving"
submit_job 1 "$w/own-answer"
for number in 1 2; do wait_until "instance $number knows" leaving_at $number u2; done
submit_job 2 "$v/peer"
echo "starts: $(count_starts /own-answer#) and $(count_starts /peer#), at u2: $(starts_at u2 /own-answer#) and $(starts_at u2 /peer#)"
curl -s -o /dev/null -X PUT "http://$(upstream_address u2)/control?mode=live"
submit_job 1 "$w/held"
submit_job 2 "$v/held"
echo "the news holds though it takes tasks again, at u2: $(starts_at u2 /held#)"

echo "== u3 is gone without a word"
kill -KILL "$(pid_of u3)"
submit_job 1 "$w/gone"
submit_job 2 "$v/gone"
echo "starts: $(count_starts /gone#), at u3: $(starts_at u3 /gone#)"
echo "double starts: $(count_double_starts)"
