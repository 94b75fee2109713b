# Shell functions sourced by the test scripts: start and stop processes, poll for conditions, send HTTP requests.
# BUILD is the directory of the binaries, WORK the script's temporary directory.

ADDRESS=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).1
PIDS=
RELAY= # control address of standin-relay; empty if it is not running
MAX_POLLS=1200 # polls by wait_until, 50 ms apart, before it gives up

# is_own_child PID: whether the process is still a child of this shell; the kernel reuses the ids of ended processes
is_own_child() { [ "$(sed 's/.*) [A-Z] \([0-9]*\) .*/\1/' "/proc/$1/stat" 2>/dev/null)" = $$ ]; }

stop_all() {
	for pid in $PIDS; do
		is_own_child "$pid" || continue
		kill -CONT "$pid" 2>/dev/null || :
		kill "$pid" 2>/dev/null || :
	done
	for pid in $PIDS; do wait "$pid" 2>/dev/null || :; done
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background; standard output goes to NAME.out, standard error to
# NAME.log, the process id to NAME.pid
start() {
	name=$1
	shift
	"$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
	echo $! >"$WORK/$name.pid"
	PIDS="$PIDS $!"
}

pid_of() { cat "$WORK/$1.pid"; }

# wait_until CONDITION COMMAND...: polls until the command succeeds; after MAX_POLLS prints CONDITION and exits
wait_until() {
	what=$1
	shift
	steps=0
	until "$@" >/dev/null 2>&1; do
		steps=$((steps + 1))
		if [ $steps -gt $MAX_POLLS ]; then
			echo "gave up waiting until $what"
			exit 1
		fi
		sleep 0.05
	done
}

# http METHOD URL [BODY]: prints the response body, then the status code on its own line
http() {
	if [ $# -ge 3 ]; then
		curl -s -X "$1" -w '\n%{http_code}\n' --data-binary "$3" "http://$2"
	else
		curl -s -X "$1" -w '\n%{http_code}\n' "http://$2"
	fi
}

has_ready_line() { grep -q '^ready ' "$WORK/$1.out"; }

start_platform() {
	start platform "$BUILD/standin-platform" "$@"
	wait_until "the platform is ready" has_ready_line platform
	PLATFORM=$(sed -n 's/^ready //p' "$WORK/platform.out")
}

set_platform_mode() { curl -s -o /dev/null -X PUT "http://$PLATFORM/control/mode?$1"; }

# put_list_entry QUERY: adds or updates an entry of the platform's service list
put_list_entry() { curl -s -o /dev/null -X PUT "http://$PLATFORM/control/instance?$1"; }

# start_upstream NAME DOMAIN [OPTIONS...]: starts an upstream with 8 listed slots and adds it to the platform's list;
# the upstream logs its task starts and ends to NAME.tasks
start_upstream() {
	upstream=$1
	domain=$2
	shift 2
	start "$upstream" "$BUILD/standin-upstream" --name "$upstream" --log "$WORK/$upstream.tasks" "$@"
	wait_until "$upstream is ready" has_ready_line "$upstream"
	put_list_entry "service=upstream&name=$upstream&address=$(upstream_address "$upstream")&domain=$domain&slots=8&state=live"
}

upstream_address() { sed -n 's/^ready //p' "$WORK/$1.out"; }

# start_relay NUMBER...: starts standin-relay with links between these instances, which are started afterwards, and
# from each of them to the platform
start_relay() {
	set -- "$@" end
	while [ "$1" != end ]; do
		set -- "$@" "peer-$1=$ADDRESS:$((9000 + $1)),$(relay_source_address "$1"):$((9000 + $1))" \
			"platform-$1=$ADDRESS:$((7000 + $1)),$PLATFORM"
		shift
	done
	shift
	start relay "$BUILD/standin-relay" "$@"
	wait_until "the relay is ready" has_ready_line relay
	RELAY=$(sed -n 's/^ready //p' "$WORK/relay.out")
}

# relay_source_address NUMBER: the address to which an instance behind the relay binds its peer port and from which it
# connects
relay_source_address() { echo "${ADDRESS%.1}.$((10 + $1))"; }

# set_link QUERY: sets the mode, delay or rate of a link of the relay; the parameters are in test/standin/relay.c
set_link() { curl -s -f -o /dev/null -X PUT "http://$RELAY/control/link?$1" || echo "no such link: $1"; }

# set_links QUERY FROM TO: sets the links between each instance of list FROM and each of list TO, in both directions
set_links() {
	for from in $2; do
		for to in $3; do
			set_link "from=$(relay_source_address "$from")&to=peer-$to&$1"
			set_link "from=$(relay_source_address "$to")&to=peer-$from&$1"
		done
	done
}

# set_platform_links QUERY NUMBER...: sets the links from these instances to the platform
set_platform_links() {
	query=$1
	shift
	for number in "$@"; do set_link "to=platform-$number&$query"; done
}

# start_instance NAME DOMAIN NUMBER: writes a settings file, adds the instance to the platform's list, starts waxwingd
start_instance() {
	settings_addresses="\"platform\": \"$PLATFORM\""
	if [ -n "$RELAY" ]; then
		settings_addresses="\"platform\": \"$ADDRESS:$((7000 + $3))\", \"peer_listen\": \"$(relay_source_address "$3")\""
	fi
	cat >"$WORK/$1.json" <<-END
	{
		// written by the test
		"name": "$1", "domain": "$2", "address": "$ADDRESS",
		"http_port": $((8000 + $3)), "peer_port": $((9000 + $3)),
		$settings_addresses, "drain_ms": 20000
	}
	END
	put_list_entry "service=waxwing&name=$1&address=$ADDRESS:$((8000 + $3))&peer=$ADDRESS:$((9000 + $3))&domain=$2&state=live"
	start "$1" "$BUILD/waxwingd" "$WORK/$1.json"
}

# http_address NUMBER: HTTP address of an instance
http_address() { echo "$ADDRESS:$((8000 + $1))"; }

is_ready() { curl -s -f -o /dev/null "http://$(http_address "$1")/ready"; }

wait_ready() {
	for number in "$@"; do wait_until "instance $number is ready" is_ready "$number"; done
}

# state_field NUMBER KEY: a top-level number or string of an instance's state dump
state_field() { curl -s "http://$(http_address "$1")/v1/state" | sed -n "s/^  \"$2\": *\"\{0,1\}\([^\",]*\)\"\{0,1\},*\$/\1/p" | head -1; }

# members_alive NUMBER COUNT: whether the instance sees exactly COUNT live peers
members_alive() { [ "$(curl -s "http://$(http_address "$1")/v1/state" | grep -c '"alive": *true')" -eq "$2" ]; }

# window NUMBER: the id window that is open at an instance; job ids start with it
window() { curl -s "http://$(http_address "$1")/v1/window" | sed 's/.*"window":"\([^"]*\)".*/\1/'; }

# job_json ID TASKS BODY [DEADLINE_MS]: the JSON of a job of TASKS tasks; each body is BODY and the task's index
job_json() {
	tasks=
	i=0
	while [ $i -lt "$2" ]; do
		tasks="$tasks${tasks:+,}{\"body\":\"$3 n=$i\"}"
		i=$((i + 1))
	done
	echo "{\"id\":\"$1\",\"caller\":\"crew-7\",\"branch\":\"meals/booking\",\"deadline_ms\":${4:-20000},\"tasks\":[$tasks]}"
}

# post NUMBER BODY: submits a job to an instance
post() { http POST "$(http_address "$1")/v1/jobs" "$2"; }

# count_starts PATTERN: number of task starts in the upstreams' logs whose line matches
count_starts() { cat "$WORK"/*.tasks 2>/dev/null | grep '^start ' | grep -c -- "$1"; }

# count_double_starts: number of tasks that were started more than once
count_double_starts() { cat "$WORK"/*.tasks 2>/dev/null | grep '^start ' | sort | uniq -d | wc -l | tr -d ' '; }

# put_settings: replaces the settings document on the platform with standard input, without a revision check
put_settings() { curl -s -o /dev/null -X PUT --data-binary @- "http://$PLATFORM/v1/kv/waxwing/settings"; }

put_default_settings() {
	put_settings <<-END
	{
		// what the tests start from
		"branches": {
			"meals": { "branches": { "booking": { "values": { "job_tasks": 1200 } }, "menu": {} } },
			"orders": { "branches": { "check": {}, "confirm": {} } }
		}
	}
	END
}
