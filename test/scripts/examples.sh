# Runs the example programs against real processes, with each outcome that a user can meet.
. "$(dirname "$0")/lib.sh"

mask_ids() { sed "s/$id_pattern/ID/g; s/ after [0-9]* calls/ after N calls/"; }
id_pattern='can-tho-[12]\.[0-9a-f]*\.[0-9]*\/[^ ]*'
run_example() {
	"$@" >"$WORK/example" 2>&1
	echo "exit code $?"
	mask_ids <"$WORK/example"
}

start_platform
put_settings <<-END
	{ "branches": { "meals": { "branches": { "booking": {}, "closed": { "values": { "retired": true } } } },
	  "orders": { "branches": { "standing": { "values": { "idempotent": true } } } } } }
END
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
start_instance can-tho-2 can-tho 2
wait_ready 1 2

echo "== submit_job"
run_example "$BUILD/example-submit_job" meals/booking "$(http_address 1)" "$(http_address 2)"
run_example "$BUILD/example-submit_job" meals/closed "$(http_address 1)"
run_example "$BUILD/example-submit_job" meals/none "$(http_address 2)"
echo "starts: $(count_starts .)"

echo "== submit_job with the first instance gone"
kill "$(pid_of can-tho-1)"
wait "$(pid_of can-tho-1)"
run_example "$BUILD/example-submit_job" meals/booking "$(http_address 1)" "$(http_address 2)"

echo "== single_request, then again under its id"
run_example "$BUILD/example-single_request" orders/standing "$(http_address 2)"
id=$(sed -n 's/^id: //p' "$WORK/example")
before=$(count_starts .)
run_example "$BUILD/example-single_request" orders/standing "$(http_address 2)" "$id"
echo "starts of it: $(count_starts "$id"), by the second run: $(($(count_starts .) - before))"

echo "== nobody there, bad use"
run_example "$BUILD/example-single_request" orders/standing "$(http_address 1)"
run_example "$BUILD/example-submit_job" meals/booking nowhere
"$BUILD/example-submit_job" 2>&1 >/dev/null | sed 's/^usage: .*example/usage: example/'
echo "double starts: $(count_double_starts)"
