# An instance takes the lists when they change, and only then; upstreams of other domains never.
. "$(dirname "$0")/lib.sh"

count() { curl -s "http://$PLATFORM/control/calls" | grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$'; }
waits_above() { [ "$(count list_watch)" -gt "$1" ]; }
both_waited() { wait_until "both lists have been waited for" waits_above $(($(count list_watch) + 4)); }
knows() { curl -s "http://$(http_address 1)/v1/state" | tr -d ' \n' | grep -q "\"name\":\"$1\""; }

start_platform
put_default_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
wait_ready 1
wait_until "u1 is known" knows u1
before=$(count listed)
both_waited
echo "listed without a change: $(($(count listed) - before))"
start_upstream u2 can-tho
wait_until "u2 is known" knows u2
echo "listed after a change: $(($(count listed) - before))"
start_upstream u3 an-giang
both_waited
echo "listed after another domain's change: $(($(count listed) - before))"
