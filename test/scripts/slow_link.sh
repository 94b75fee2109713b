# Slows the links between all instances of two domains (300 ms delay each way, then 64 KB/s) and those to the platform
# (200 ms). Own and forwarded jobs complete, a settings change takes effect, and no instance stays marked as dead.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2; do start_upstream $name can-tho; done
start_upstream u3 an-giang
start_relay 1 2 3
for number in 1 2; do start_instance can-tho-$number can-tho $number; done
start_instance an-giang-3 an-giang 3
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

in_force() { [ "$(state_field "$1" settings_revision)" = "$2" ]; }
revision() { curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/'; }
started() { [ "$(count_starts "$1")" -ge "$2" ]; }

for query in delay_ms=300 bytes_per_s=65536; do
	echo "== $query"
	: >"$WORK/states"
	callers=
	set_links $query "1 2 3" "1 2 3"
	set_platform_links delay_ms=200 1 2 3
	for key in a b c d; do
		for number in 1 2 3; do
			body=$(job_json "$(window $number)/$query-$key" 6 sleep=50)
			for to in $number $((number % 3 + 1)); do
				(post $to "$body" | grep -o '"state":"[a-z_]*"' >>"$WORK/states") &
				callers="$callers $!"
			done
		done
	done
	"$BUILD/waxwingctl" --platform "$PLATFORM" settings set meals/booking "job_tasks=$((1000 + $(revision)))" >"$WORK/ctl.out" 2>&1 ||
		cat "$WORK/ctl.out"
	for pid in $callers; do wait "$pid"; done
	echo "own and forwarded: $(sort "$WORK/states" | uniq -c | sed 's/^ *//')"
	for number in 1 2 3; do
		wait_until "the edit is in force at $number" in_force $number "$(revision)"
		wait_until "instance $number hears two others" members_alive $number 2
	done
	echo "starts: $(count_starts "/$query-") double starts: $(count_double_starts)"
done
