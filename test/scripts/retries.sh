# Only single requests of branches configured as idempotent are retried, within the retry budget; tasks of jobs and all
# other requests start at most once.
. "$(dirname "$0")/lib.sh"

# request ID BRANCH BODY: the JSON of a single request
request_json() { echo "{\"id\":\"$1\",\"caller\":\"counter-3\",\"branch\":\"$2\",\"deadline_ms\":20000,\"body\":\"$3\"}"; }
# submit_request NUMBER JSON: submits a single request and prints its state and error code
submit_request() { http POST "$(http_address "$1")/v1/requests" "$2" | grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' | tr '\n' ' '; }

start_platform
put_settings <<-END
{
	"limits": { "retry_percent": 0 },
	"branches": { "orders": { "branches": {
		"check": { "values": { "idempotent": true, "max_attempts": 3 } },
		"confirm": { "values": { "max_attempts": 3 } }
	} } }
}
END
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
w=$(window 1)

for fault in fail=1 close=after-read; do
	echo "== $fault"
	check=$(request_json "$w/check-$fault" orders/check $fault)
	confirm=$(request_json "$w/confirm-$fault" orders/confirm $fault)
	echo "a check: $(submit_request 1 "$check")"
	echo "sent again, here and there: $(submit_request 1 "$check")$(submit_request 2 "$check")"
	echo "starts: $(count_starts "$w/check-$fault#")"
	echo "a confirmation: $(submit_request 1 "$confirm")$(submit_request 2 "$confirm")"
	echo "starts: $(count_starts "$w/confirm-$fault#")"
done

echo "== a job of the idempotent branch"
post 1 "$(job_json "$w/job" 2 fail=1 | sed 's,meals/booking,orders/check,')" | grep -o '"state":"[a-z_]*"'
echo "tasks started more than once: $(cat "$WORK"/*.tasks | grep "^start $w/job#" | sort | uniq -d | wc -l | tr -d ' ')"

echo "== the budget: 4 of 10 retries are used up"
i=0
while [ $i -lt 8 ]; do
	submit_request 1 "$(request_json "$w/more-$i" orders/check fail=1)"
	i=$((i + 1))
done | tr ' ' '\n' | grep . | sort | uniq -c | sed 's/^ *//'
echo "starts of 8 requests: $(count_starts "$w/more-")"
