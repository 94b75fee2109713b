# The examples against real processes, each with every way it can end that a user will meet.
. "$(dirname "$0")/lib.sh"

plain() { sed "s/$w_pattern/ID/g; s/ after [0-9]* calls/ after N calls/"; }
w_pattern='can-tho-[12]\.[0-9a-f]*\.[0-9]*\/[^ ]*'
run() {
	"$@" >"$WORK/example" 2>&1
	echo "exit code $?"
	plain <"$WORK/example"
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
run "$BUILD/example-submit_job" meals/booking "$(http_address 1)" "$(http_address 2)"
run "$BUILD/example-submit_job" meals/closed "$(http_address 1)"
run "$BUILD/example-submit_job" meals/none "$(http_address 2)"
echo "starts: $(count_starts .)"

echo "== submit_job with the first instance gone"
kill "$(pid_of can-tho-1)"
wait "$(pid_of can-tho-1)"
run "$BUILD/example-submit_job" meals/booking "$(http_address 1)" "$(http_address 2)"

echo "== single_request, then again under its id"
run "$BUILD/example-single_request" orders/standing "$(http_address 2)"
id=$(sed -n 's/^id: //p' "$WORK/example")
before=$(count_starts .)
run "$BUILD/example-single_request" orders/standing "$(http_address 2)" "$id"
echo "starts of it: $(count_starts "$id"), by the second run: $(($(count_starts .) - before))"

echo "== nobody there, bad use"
run "$BUILD/example-single_request" orders/standing "$(http_address 1)"
run "$BUILD/example-submit_job" meals/booking nowhere
"$BUILD/example-submit_job" 2>&1 >/dev/null | sed 's/^usage: .*example/usage: example/'
echo "double starts: $(count_double_starts)"
