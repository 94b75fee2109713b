# Jobs continue and each task starts once when the scheduling instance of their cell is stopped, when it is killed while
# the platform is down, and when an upstream is stopped with tasks running.
. "$(dirname "$0")/lib.sh"

schedules() { curl -s -m 2 "http://$(http_address "$1")/v1/state" | grep -q '"here": *true'; }

# one_schedules: whether exactly one of INSTANCES schedules the cell; sets SCHEDULER to it and ISSUER to another one
one_schedules() {
	SCHEDULER=
	ISSUER=
	for number in $INSTANCES; do
		if schedules "$number"; then
			[ -z "$SCHEDULER" ] || return 1
			SCHEDULER=$number
		else
			ISSUER=$number
		fi
	done
	[ -n "$SCHEDULER" ] && [ -n "$ISSUER" ]
}
# find_roles NUMBER...: waits until exactly one of these instances schedules the cell, sets SCHEDULER and ISSUER
find_roles() {
	INSTANCES=$*
	wait_until "one instance schedules" one_schedules
}

started() { [ "$(count_starts "$1")" -ge "$2" ]; }

# start_job ID TASKS: submits a job to the issuer and waits until 20 of its tasks have started
start_job() {
	post "$ISSUER" "$(job_json "$1" "$2" sleep=60 60000)" >"$WORK/answer" &
	caller=$!
	wait_until "some tasks have started" started "$1#" 20
}

# finish_job ID: waits for the job's answer and prints its state, number of tasks and starts
finish_job() {
	wait $caller
	echo "$(grep -o '"state":"[a-z_]*"' "$WORK/answer") tasks: $(grep -o '"body":' "$WORK/answer" | wc -l) starts: $(count_starts "$1#")"
}

start_platform
put_default_settings
start_upstream u1 can-tho
start_upstream u2 can-tho
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done
find_roles 1 2 3

echo "== the scheduler is frozen, and wakes up while its successor grants"
w=$(window $ISSUER)
start_job "$w/frozen" 800
frozen=$SCHEDULER
kill -STOP "$(pid_of can-tho-$frozen)"
others=$(echo 1 2 3 | tr -d "$frozen")
find_roles $others
kill -CONT "$(pid_of can-tho-$frozen)"
finish_job "$w/frozen"
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

echo "== the scheduler is killed while the platform is down"
set_platform_mode down=1
find_roles 1 2 3
w=$(window $ISSUER)
start_job "$w/killed" 200
kill -KILL "$(pid_of can-tho-$SCHEDULER)"
finish_job "$w/killed"
set_platform_mode down=0

echo "== an upstream is frozen with tasks running"
w=$(window $ISSUER)
post $ISSUER "$(job_json "$w/stuck" 16 sleep=300 2500)" >"$WORK/answer" &
caller=$!
wait_until "all tasks run" started "$w/stuck#" 16
kill -STOP "$(pid_of u1)"
wait $caller
grep -o '"state":"[a-z_]*"\|"code":"[a-z_]*"' "$WORK/answer"
kill -CONT "$(pid_of u1)"
echo "starts: $(count_starts "$w/stuck#")"
post $ISSUER "$(job_json "$w/after" 32 sleep=10)" | grep -o '"state":"[a-z_]*"'
echo "starts: $(count_starts "$w/after#")"
echo "double starts: $(count_double_starts)"
