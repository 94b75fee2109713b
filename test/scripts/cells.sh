# Splits the upstreams of a domain into two cells while jobs run. All jobs must complete, and the instances must agree
# on one scheduler per cell.
. "$(dirname "$0")/lib.sh"

start_platform
put_default_settings
for name in u1 u2 u3 u4 u5 u6; do start_upstream $name can-tho; done
for number in 1 2 3; do start_instance can-tho-$number can-tho $number; done
wait_ready 1 2 3
for number in 1 2 3; do wait_until "instance $number hears two others" members_alive $number 2; done

# count_cells NUMBER: cells in an instance's state dump
count_cells() { curl -s "http://$(http_address "$1")/v1/state" | grep -c '"scheduler":'; }
# count_cells_with_upstreams NUMBER: cells that have at least one upstream
count_cells_with_upstreams() { curl -s "http://$(http_address "$1")/v1/state" | grep '"cell":' | sort -u | wc -l | tr -d ' '; }
# count_distinct_schedulers: distinct pairs of cell and scheduler in the state dumps of the three instances
count_distinct_schedulers() {
	for number in 1 2 3; do
		curl -s "http://$(http_address $number)/v1/state" | grep '"scheduler":' | cat -n
	done | sort -u | wc -l | tr -d ' '
}
# submit_many PREFIX: six jobs at each instance, in the background
submit_many() {
	for key in a b c d e f; do
		for number in 1 2 3; do
			w=$(window $number)
			(post $number "$(job_json "$w/$1-$key" 6 sleep=150)" | grep -o '"state":"[a-z_]*"' >>"$WORK/states") &
			CALLERS="${CALLERS:-} $!"
		done
	done
}

submit_many before
"$BUILD/waxwingctl" --platform "$PLATFORM" settings set @limits cells=2 --wait >"$WORK/ctl.out" 2>&1 || cat "$WORK/ctl.out"
submit_many after
for pid in $CALLERS; do wait "$pid"; done
sort "$WORK/states" | uniq -c | sed 's/^ *//'
for number in 1 2 3; do echo "instance $number: $(count_cells $number) cells, $(count_cells_with_upstreams $number) with upstreams"; done
schedulers_agree() { [ "$(count_distinct_schedulers)" -eq 2 ]; }
wait_until "all name the same schedulers" schedulers_agree
echo "starts: $(count_starts .) double starts: $(count_double_starts)"
