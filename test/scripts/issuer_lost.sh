# The issuer of a job is stopped or killed while the job is resubmitted to all instances; no task may start twice.
. "$(dirname "$0")/lib.sh"

plain() { sed "s/$1/WINDOW/g"; }

# answer NUMBER BODY: submits a job and prints the distinct states and error codes of the answer
answer() { post "$1" "$2" | sed -n 's/.*"state":"\([a-z_]*\)".*/\1/p; s/.*"code":"\([a-z_]*\)".*/\1/p' | sort -u | tr '\n' ' '; }

started() { [ "$(count_starts "$1")" -ge "$2" ]; }
ended() { [ "$(cat "$WORK"/*.tasks | grep '^end ' | grep -c -- "$1")" -ge "$2" ]; }

start_platform
put_default_settings
for number in 1 2 3; do start_upstream u$number can-tho; done
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== the issuer is frozen with 6 tasks running, the job is sent again to it and to the others"
w=$(window 1)
frozen=$(job_json "$w/frozen" 6 sleep=400)
post 1 "$frozen" >"$WORK/first" &
first=$!
wait_until "all tasks run" started "$w/frozen" 6
kill -STOP "$(pid_of can-tho-1)"
post 1 "$frozen" >"$WORK/again" &
again=$!
post 2 "$frozen" >"$WORK/second" &
second=$!
post 3 "$frozen" >"$WORK/third" &
third=$!
wait_until "the tasks end while the issuer is frozen" ended "$w/frozen" 6
wait_until "the others miss it" members_alive 2 1
wait_until "the others miss it" members_alive 3 1
kill -CONT "$(pid_of can-tho-1)"
wait $first $again $second $third
echo "the issuer's callers:"
for file in first again; do grep -o '"state":"[a-z_]*"' "$WORK/$file"; done
echo "the others' callers, complete or unknown:"
for file in second third; do grep -o '"state":"[a-z_]*"' "$WORK/$file" | sed 's/complete\|unknown/either/'; done
wait_until "instance 2 hears two others" members_alive 2 2
wait_until "instance 3 hears two others" members_alive 3 2
echo "sent again after the thaw: $(answer 2 "$frozen"), $(answer 3 "$frozen")"
echo "starts: $(count_starts "$w/frozen")"

echo "== the issuer is killed with 6 tasks running"
w=$(window 1)
killed=$(job_json "$w/killed" 6 sleep=600)
post 1 "$killed" >"$WORK/first" &
first=$!
wait_until "all tasks run" started "$w/killed" 6
kill -KILL "$(pid_of can-tho-1)"
echo "at once: $(answer 2 "$killed"), $(answer 3 "$killed")"
wait $first
wait_until "the tasks end" ended "$w/killed" 6
wait_until "instance 2 misses it" members_alive 2 1
wait_until "instance 3 misses it" members_alive 3 1
echo "later: $(answer 2 "$killed"), $(answer 3 "$killed")"
echo "starts: $(count_starts "$w/killed")"

echo "== its successor under the same name runs none of the old ids"
start_instance can-tho-1 can-tho 1
wait_ready 1
wait_until "instance 1 hears two others" members_alive 1 2
echo "old id: $(answer 1 "$killed")"
echo "starts: $(count_starts "$w/killed")"
w=$(window 1)
echo "new id: $(answer 1 "$(job_json "$w/fresh" 6 sleep=10)")"
echo "double starts: $(count_double_starts)"
