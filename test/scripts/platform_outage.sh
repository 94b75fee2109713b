# Jobs cause no platform calls and keep running while the platform is down or slow. A settings change reports its
# outcome; a stopped instance is named in the report and reaches the last revision when it resumes.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
start_instance an-giang-1 an-giang 3
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

ctl() { "$BUILD/waxwingctl" --platform "$PLATFORM" "$@"; }
masked_ctl() { ctl "$@" 2>&1 | sed -e "s/$PLATFORM/PLATFORM/" -e "s/$ADDRESS/ADDRESS/g" -e 's/as [^ ]*-[0-9a-f]\{16\}, revision [0-9]*/as ID/' -e 's/revision [0-9]*$/revision N/'; }
calls() { curl -s "http://$PLATFORM/control/calls" | tr ',{}' '\n\n\n' | sed -n "s/^ *\"$1\" *: *\([0-9]*\).*/\1/p"; }
# direct_calls: counters of the platform calls that are not watches
direct_calls() { echo "$(calls kv_get) $(calls kv_put) $(calls list)"; }
# submit_job KEY: submits a job of two tasks to instance 1 and prints its state
submit_job() { post 1 "$(job_json "$(window 1)/$1" 2 sleep=5)" | sed -n 's/.*"state":"\([a-z_]*\)".*/\1/p'; }
revision_at() { state_field "$1" settings_revision; }

echo "== no call per job"
before=$(direct_calls)
i=0
while [ $i -lt 50 ]; do
	submit_job "load-$i"
	i=$((i + 1))
done | sort | uniq -c | tr -s ' '
[ "$(direct_calls)" = "$before" ] && echo "50 jobs made no call but the waiting watches"

echo "== down"
revision_before=$(revision_at 1)
set_platform_mode down=1
submit_job down
masked_ctl settings set meals weight=7
ctl settings set meals weight=7 >/dev/null 2>&1
echo "exit code $?"
[ "$(revision_at 1)" = "$revision_before" ] && echo "the settings stay"
set_platform_mode down=0
masked_ctl settings set meals weight=8 --wait=30000

echo "== slow"
set_platform_mode slow_ms=500
submit_job slow
masked_ctl settings set meals weight=9 --wait=30000
set_platform_mode slow_ms=0

echo "== an instance is frozen and comes back"
kill -STOP "$(pid_of an-giang-1)"
masked_ctl settings set meals weight=10 --wait=8000
kill -CONT "$(pid_of an-giang-1)"
last=$(ctl settings get 2>&1 >/dev/null | sed -n 's/^revision //p')
in_force() { [ "$(revision_at 3)" = "$last" ]; }
wait_until "it has the last revision" in_force
echo "it has the last revision"
