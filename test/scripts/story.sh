# waxwingctl story prints a job's events from several logs in order of time, with the related events of its cell and
# executors.
cat >"$WORK/a.log" <<'LOG'
   1.0000 front-a-1 {"ms":1000,"event":"cell_taken","node":"front-a-1","zone":"a","cell":"a","token":4,"orderly":0}
   2.0000 front-a-1 {"ms":2000,"event":"job_offered","node":"front-a-1","zone":"a","job":"00000000000000aa","cell":"b","token":5}
   2.1000 front-a-1 {"ms":2100,"event":"job_offered","node":"front-a-1","zone":"a","job":"00000000000000bb","cell":"a","token":4}
not a line of ours
   3.4000 front-a-1 {"ms":3400,"event":"job_answered","node":"front-a-1","zone":"a","job":"00000000000000aa","outcome":3,"reason":"outcome_unknown"}
LOG
cat >"$WORK/b.log" <<'LOG'
{"ms":2002,"event":"run_started","node":"front-b-1","zone":"b","job":"00000000000000aa","index":0,"run":1,"executor":"i-7"}
{"ms":2900,"event":"executor_silent","node":"front-b-1","zone":"b","executor":"i-7","runs":1}
{"ms":2950,"event":"executor_silent","node":"front-c-1","zone":"c","executor":"i-9","runs":1}
{"ms":3000,"event":"cell_fenced","node":"front-b-1","zone":"b","cell":"b","token":5,"executor":"i-8"}
LOG
"$BUILD/waxwingctl" story 00000000000000aa "$WORK/a.log" "$WORK/b.log"
"$BUILD/waxwingctl" story 00000000000000cc "$WORK/a.log" 2>&1 || echo "exit $?"
"$BUILD/waxwingctl" story 00000000000000aa "$WORK/none.log" >/dev/null 2>&1 || echo "exit $?"
