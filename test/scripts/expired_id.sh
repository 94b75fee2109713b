# A job id is accepted during the lifetime and grace period of its window and refused as expired afterwards; its task
# must not start again.
. "$(dirname "$0")/lib.sh"

start_platform
put_settings <<END
{
	"limits": { "window_life_ms": 1000, "window_grace_ms": 2000 },
	"branches": { "meals": { "branches": { "booking": {} } } }
}
END
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
wait_ready 1

w=$(window 1)
window_changed() { [ "$(window 1)" != "$w" ]; }
wait_until "a new window has opened" window_changed
w=$(window 1)
post 1 "$(job_json "$w/short" 1 x)" | sed "s,$w,WINDOW,g"
id_expired() { post 1 "$(job_json "$w/short" 1 x)" | grep -q expired_id; }
wait_until "the id has expired" id_expired
post 1 "$(job_json "$w/short" 1 x)" | sed "s,$w,WINDOW,g"
echo "starts: $(count_starts "$w/short")"
