# An instance started while the platform is down obtains settings and upstreams from a peer and runs jobs.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
wait_ready 1
revision=$(state_field 1 settings_revision)
set_platform_mode down=1

cat >"$WORK/can-tho-2.json" <<END
{
	"name": "can-tho-2", "domain": "can-tho", "address": "$ADDRESS", "http_port": 8002, "peer_port": 9002,
	"platform": "$PLATFORM", "peers": [ "$ADDRESS:9001" ]
}
END
start can-tho-2 "$BUILD/waxwingd" "$WORK/can-tho-2.json"
wait_ready 2
[ "$(state_field 2 settings_revision)" = "$revision" ] && echo "it has the peer's settings"
w=$(window 2)
post 2 "$(job_json "$w/new" 6 sleep=20)" | grep -o '"state":"[a-z_]*"'
echo "starts: $(count_starts "$w/new")"
post 1 "$(job_json "$w/new" 6 sleep=20)" | grep -o '"state":"[a-z_]*"'
echo "double starts: $(count_double_starts)"

echo "== the platform is back"
set_platform_mode down=0
"$BUILD/waxwingctl" --platform "$PLATFORM" settings set meals/booking job_tasks=2 >"$WORK/ctl.out" 2>&1 || cat "$WORK/ctl.out"
changed() { [ "$(state_field "$1" settings_revision)" -gt "$revision" ]; }
for number in 1 2; do
	wait_until "the change is in force at $number" changed $number
	post $number "$(job_json "$(window $number)/large" 3 x)" | grep -o '"code":"[a-z_]*"'
done
