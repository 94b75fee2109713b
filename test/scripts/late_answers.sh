# Each of many concurrent callers gets the complete answer to its own job. Task answers that arrive after the job's
# deadline are logged with the caller's name.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
start_upstream u1 can-tho --slots 8
start_upstream u2 can-tho --slots 8
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2
for number in 1 2; do wait_until "instance $number hears the other" members_alive $number 1; done
w=$(window 1)
v=$(window 2)

echo "== two tasks outlast their job's deadline"
post 1 "$(job_json "$w/late" 2 sleep=3000 1500 | sed 's/crew-7/crew-late/')" >"$WORK/answer"
grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' "$WORK/answer"
logged() { [ "$(grep -c "$w/late, caller crew-late" "$WORK/can-tho-1.log")" -ge 2 ]; }
wait_until "both late answers are logged with the caller" logged
echo "the same id again:"
post 2 "$(job_json "$w/late" 2 sleep=3000 1500 | sed 's/crew-7/crew-late/')" >"$WORK/answer"
grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' "$WORK/answer"
echo "starts: $(count_starts "$w/late#")"

echo "== 40 callers at once, each job sent to both instances, answers crossing"
callers=
i=0
while [ $i -lt 40 ]; do
	body=$(job_json "$w/own-$i" 3 "sleep=$((40 - i)) of-$i")
	post 1 "$body" >"$WORK/one-$i" &
	callers="$callers $!"
	post 2 "$body" >"$WORK/two-$i" &
	callers="$callers $!"
	i=$((i + 1))
done
wait $callers
i=0
own_answers=0
while [ $i -lt 40 ]; do
	for file in "$WORK/one-$i" "$WORK/two-$i"; do
		[ "$(grep -o "of-$i n=[0-2]\"" "$file" | sort -u | wc -l)" -eq 3 ] &&
			[ "$(grep -o 'of-[0-9]* ' "$file" | sort -u)" = "of-$i " ] && own_answers=$((own_answers + 1))
	done
	i=$((i + 1))
done
echo "callers with their own whole answer: $own_answers of 80"
echo "starts: $(count_starts "$w/own-")"
echo "double starts: $(count_double_starts)"
