#!/bin/sh
# Reads the executors' logs by time, and checks the rule TWICE for jobs that must be kept: a start of a task after a run
# of it has ended "done", if that end is taken note of then or later (AckedUpto reached it, and the executor's lease has
# not lapsed between the two); or two runs of it at the same time, on executors that are up ("TIME ID crash" ends its runs).
awk '
	$3 == "crash" { for (task in running) if (running[task] ~ " on " $2 "$") running[task] = "" }
	$3 == "start" {
		starts[$4] = starts[$4] " " $1 ":" $2 ":" $5
		if (running[$4] != "") { broken++; print "TWICE: " $4 " run " $5 " started at " $1 " on " $2 " while it ran as " running[$4] }
		running[$4] = $5 " on " $2
	}
	$3 == "end" { if ($7 == "done") ended[$2 " " $4 " " $5] = $1; if (running[$5] == $6 " on " $2) running[$5] = "" }
	$3 == "noted" && $7 == "done" && $8 == 0 {
		at = ended[$2 " " $4 " " $5]
		if (!($5 in first) || at < first[$5]) { first[$5] = at; by[$5] = $2 }
	}
	END {
		for (task in first) {
			n = split(starts[task], each, " ")
			for (i = 1; i <= n; i++) {
				split(each[i], part, ":")
				if (part[1] > first[task]) {
					broken++
					print "TWICE: " task " ended done at " first[task] " on " by[task] ", which was taken note of; run " part[3] " started at " part[1] " on " part[2]
				}
			}
		}
		print "starts that break the rule: " broken + 0
		exit broken > 0
	}'
