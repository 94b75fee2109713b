# Cancels a job through an instance that is not its issuer; its running tasks must be stopped at the upstream.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done

w=$(window 1)
post 1 "$(job_json "$w/k" 20 sleep=60000 60000)" >"$WORK/answer" &
caller=$!
started() { [ "$(count_starts "$w/k")" -ge 8 ]; }
wait_until "eight tasks run" started
http DELETE "$(http_address 2)/v1/jobs?id=$w/k" | sed "s,$w,WINDOW,"
wait $caller
grep -o '"state":"[a-z_]*"' "$WORK/answer"
stopped() { [ "$(grep -c '^end .*stopped' "$WORK/u1.tasks")" -eq 8 ]; }
wait_until "the tasks have stopped" stopped
echo "starts: $(count_starts "$w/k")"
http DELETE "$(http_address 2)/v1/jobs?id=$w/k" | sed "s,$w,WINDOW,"
http DELETE "$(http_address 2)/v1/jobs?id=nonsense"
post 2 "$(job_json "$(window 2)/next" 8 x)" | grep -o '"state":"[a-z_]*"'
