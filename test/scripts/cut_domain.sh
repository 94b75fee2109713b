# Partitions one of two domains from the other and from the platform while jobs run in both, once with links that hang
# and once with links that are reset. Both domains keep running jobs and no task starts twice. A settings change made
# during the partition takes effect in the cut domain afterwards, and no instance returns to an older revision.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2; do start_upstream $name can-tho; done
for name in u3 u4; do start_upstream $name an-giang; done
start_relay 1 2 3 4
for number in 1 2; do start_instance can-tho-$number can-tho $number; done
for number in 3 4; do start_instance an-giang-$number an-giang $number; done
wait_ready 1 2 3 4
for number in 1 2 3 4; do wait_until "instance $number hears three others" members_alive $number 3; done

started() { [ "$(count_starts "$1")" -ge "$2" ]; }
# answer NUMBER BODY: submits a job and prints the distinct states and error codes of the answer
answer() { post "$1" "$2" | grep -o '"\(state\|code\)":"[a-z_]*"' | sort -u | sed 's/.*:"\(.*\)"/\1/' | tr '\n' ' '; }
in_force() { [ "$(state_field "$1" settings_revision)" = "$2" ]; }
revision() { curl -s "http://$PLATFORM/v1/kv/waxwing/settings" | sed 's/.*"ModifyIndex":\([0-9]*\).*/\1/'; }

# sample_revisions: records the settings revision of each instance every 20 ms until the file "sampled" exists
sample_revisions() {
	while [ ! -e "$WORK/sampled" ]; do
		for number in 1 2 3 4; do state_field $number settings_revision >>"$WORK/revisions.$number"; done
		sleep 0.02
	done
}
sample_revisions &
sampler=$!
PIDS="$PIDS $sampler"

for mode in hang reset; do
	echo "== $mode"
	revision_before=$(revision)
	first=$(job_json "$(window 1)/$mode-first" 6 sleep=800)
	third=$(job_json "$(window 3)/$mode-third" 6 sleep=800)
	post 1 "$first" >"$WORK/first" &
	callers=$!
	post 3 "$third" >"$WORK/third" &
	callers="$callers $!"
	wait_until "both jobs run" started "/$mode-" 12
	set_links mode=$mode "1 2" "3 4"
	set_platform_links mode=$mode 3 4
	"$BUILD/waxwingctl" --platform "$PLATFORM" settings set meals/booking "job_tasks=$((revision_before + 1000))" >"$WORK/ctl.out" 2>&1 ||
		cat "$WORK/ctl.out"
	for number in 1 2; do
		for other in 3 4; do
			wait_until "$number misses the cut ones" members_alive $number 1
			wait_until "$other misses the others" members_alive $other 1
		done
		wait_until "the edit is in force at $number" in_force $number "$(revision)"
	done
	for caller in $callers; do wait "$caller"; done
	echo "ran during the cut: $(grep -ho '"state":"[a-z]*"' "$WORK/first" "$WORK/third" | uniq -c | sed 's/^ *//')"
	job_inside=$(job_json "$(window 4)/$mode-inside" 6 sleep=20)
	echo "new in the cut domain: $(answer 4 "$job_inside")"
	echo "new in the other: $(answer 1 "$(job_json "$(window 2)/$mode-outside" 6 sleep=20)")"
	echo "the other side's ids: $(answer 4 "$first"), $(answer 2 "$third")"
	for number in 3 4; do in_force $number "$revision_before" && echo "the edit is not yet in force at $number"; done

	set_links mode=open "1 2" "3 4"
	set_platform_links mode=open 3 4
	for number in 1 2 3 4; do
		wait_until "instance $number hears three others" members_alive $number 3
		wait_until "the edit is in force at $number" in_force $number "$(revision)"
	done
	echo "healed: $(answer 4 "$first"), $(answer 2 "$third"), $(answer 1 "$job_inside")"
	echo "starts: $(count_starts "/$mode-") double starts: $(count_double_starts)"
done
touch "$WORK/sampled"
wait $sampler
for number in 1 2 3 4; do sort -nc "$WORK/revisions.$number" 2>/dev/null && echo "instance $number never went back"; done
