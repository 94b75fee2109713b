# Replaces all instances of a domain one by one under load. Jobs submitted before are submitted again to the new
# instances, which must return the stored answers.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done

submit() { curl -s --data "$(job_json "$1" 2 sleep=300)" "http://$(http_address "$2")/v1/jobs" | sed 's/.*"state":"\([a-z_]*\)".*/\1/;a\'; }

# started COUNT: whether at least COUNT tasks have started
started() { [ "$(count_starts .)" -ge "$1" ]; }

: >"$WORK/ids"
# submit_in_background NUMBER KEY: submits a job with an id of the instance's window, in the background
submit_in_background() {
	id=$(window "$1")/$2
	echo "$id" >>"$WORK/ids"
	submit "$id" "$1" >>"$WORK/states" &
	CALLERS="${CALLERS:-} $!"
}

for number in 1 2; do
	other=$((3 - number))
	for key in a b c d; do submit_in_background $number "$number-$key"; done
	wait_until "its jobs run" started $((12 * number - 4))
	kill "$(pid_of can-tho-$number)"
	for key in e f; do submit_in_background $other "$other-$key"; done
	for pid in $CALLERS; do wait "$pid"; done
	wait "$(pid_of can-tho-$number)"
	echo "instance $number ended with $?"
	start can-tho-$number "$BUILD/waxwingd" "$WORK/can-tho-$number.json"
	wait_ready $number
	wait_until "it hears the other" members_alive $other 1
done

echo "answers while replacing: $(sort "$WORK/states" | uniq -c | sed 's/^ *//')"
while read -r id; do
	for number in 1 2; do submit "$id" $number; done
done <"$WORK/ids" | sort | uniq -c | sed 's/^ */answers to submitting again: /'
echo "starts: $(count_starts .) double starts: $(count_double_starts)"
