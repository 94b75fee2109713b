# An instance reads the platform's lists only when they change, and does not read upstreams of other domains.
. "$(dirname "$0")/lib.sh"

call_count() { curl -s "http://$PLATFORM/control/calls" | grep -o "\"$1\": *[0-9]*" | grep -o '[0-9]*$'; }
waits_above() { [ "$(call_count list_watch)" -gt "$1" ]; }
# wait_watches: waits for four more watch calls, so that both lists have been polled
wait_watches() { wait_until "both lists have been waited for" waits_above $(($(call_count list_watch) + 4)); }
knows_upstream() { curl -s "http://$(http_address 1)/v1/state" | tr -d ' \n' | grep -q "\"name\":\"$1\""; }

start_platform
put_default_settings
start_upstream u1 can-tho
start_instance can-tho-1 can-tho 1
wait_ready 1
wait_until "u1 is known" knows_upstream u1
before=$(call_count listed)
wait_watches
echo "listed without a change: $(($(call_count listed) - before))"
start_upstream u2 can-tho
wait_until "u2 is known" knows_upstream u2
echo "listed after a change: $(($(call_count listed) - before))"
start_upstream u3 an-giang
wait_watches
echo "listed after another domain's change: $(($(call_count listed) - before))"
