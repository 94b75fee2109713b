# End-to-end test with separate processes: platform, upstreams, three instances and waxwingctl.
. "$(dirname "$0")/lib.sh"

# mask_window WINDOW: replaces the id window, which differs in each run
mask_window() { sed "s/$1/WINDOW/g"; }

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_upstream u3 an-giang
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
start_instance an-giang-1 an-giang 3
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== a job of three tasks"
w=$(window 1)
post 1 "$(job_json "$w/lunch-1" 3 sleep=50)" | mask_window "$w"
echo "== the same id again, to the others"
post 2 "$(job_json "$w/lunch-1" 3 sleep=50)" | mask_window "$w"
post 3 "$(job_json "$w/lunch-1" 3 sleep=50)" | mask_window "$w"
echo "starts: $(count_starts "$w/lunch-1")"

echo "== a job whose second task fails"
post 2 "$(echo "$(job_json "$w/lunch-2" 2 sleep=10)" | sed 's/n=1/fail=1/')" | mask_window "$w" | sed 's/upstream u[12]/upstream U/'

echo "== bad input"
post 1 'no json'
post 1 '{"id":"x","caller":"c","branch":"meals/booking","tasks":[{"body":"b","colour":"red"}]}'
post 1 "$(job_json "not-an-id" 1 x)"
post 1 "$(job_json "$w/lunch-3" 1 x | sed 's,meals/booking,meals/none,')" | mask_window "$w"
post 1 "$(job_json "$w/lunch-4" 1201 x)" | mask_window "$w"
head -c 3000000 /dev/zero | tr '\0' 'x' | curl -s -o /dev/null -w '%{http_code}\n' --data-binary @- "http://$(http_address 1)/v1/jobs"
http GET "$(http_address 1)/nowhere"
http PUT "$(http_address 1)/v1/jobs"
post 1 "$(job_json "$(echo "$w" | sed 's/[0-9]*$/0/')/lunch-0" 1 x)" | sed "s/${w%.*}/WINDOW/"
post 1 "$(job_json "$w/lunch-5" 1 sleep=1)" | mask_window "$w"

echo "== a bad settings file"
echo '{ "name": "x", "domain": "d", "address": "127.0.0.1", "http_port": "many",
"peer_port": 70000, "platform": "127.0.0.1:1", "colour": "red" }' >"$WORK/bad.json"
"$BUILD/waxwingd" --check "$WORK/bad.json" 2>&1 | sed "s,$WORK/,,"
"$BUILD/waxwingd" "$WORK/bad.json" >/dev/null 2>&1
echo "exit code $?"

echo "== a changed setting is in force in all three"
"$BUILD/waxwingctl" --platform "$PLATFORM" settings set meals/booking job_tasks=2 >"$WORK/ctl.out" 2>&1 || cat "$WORK/ctl.out"
revision=$(curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/')
for number in 1 2 3; do
	wait_until "revision $revision is in force at $number" test "$(state_field $number settings_revision)" -ge 0
	steps=0
	until [ "$(state_field $number settings_revision)" = "$revision" ]; do
		steps=$((steps + 1))
		[ $steps -lt $MAX_POLLS ] || { echo "never in force at $number"; exit 1; }
		sleep 0.05
	done
done
for number in 1 2 3; do
	w=$(window $number)
	post $number "$(job_json "$w/lunch-6" 3 x)" | mask_window "$w"
done

echo "== the state of all three"
"$BUILD/waxwingctl" --platform "$PLATFORM" state | awk '{ print $1, $2 }'

echo "== SIGTERM cuts off nothing"
w=$(window 1)
post 1 "$(job_json "$w/lunch-7" 2 sleep=1500)" >"$WORK/last" &
last=$!
wait_until "the tasks run" test "$(count_starts "$w/lunch-7")" -ge 0
while [ "$(count_starts "$w/lunch-7")" -lt 2 ]; do sleep 0.05; done
kill "$(pid_of can-tho-1)"
wait "$(pid_of can-tho-1)"
echo "exit code $?"
wait $last
mask_window "$w" <"$WORK/last"
echo "double starts: $(count_double_starts)"
