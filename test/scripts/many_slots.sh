# An instance with default settings fills every slot of a domain of production size: 17 upstreams with 8 slots each.
. "$(dirname "$0")/lib.sh"

SLOTS=136

started() { [ "$(count_starts "$1")" -eq "$2" ]; }

start_platform
put_default_settings
for number in $(seq 17); do start_upstream "u$number" can-tho; done
start_instance can-tho-1 can-tho 1
wait_ready 1

w=$(window 1)
start caller curl -s --data "$(job_json "$w/full" $SLOTS sleep=600000 600000)" "http://$(http_address 1)/v1/jobs"
wait_until "every slot runs a task" started "$w/full" $SLOTS
echo "starts: $(count_starts "$w/full")"
echo "double starts: $(count_double_starts)"
