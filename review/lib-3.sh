# Shell functions for the scripts of review/11 to review/15. Sourced with CASE, the folder of the case, set.
ROOT=$(cd "$CASE/../.." && pwd)
WORK=$(mktemp -d)
NET=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
PIDS=

end_all() {
	for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# need PROGRAM...: exits with 2 if one of these was not built
need() {
	for program in "$@"; do
		[ -x "$ROOT/$program" ] && continue
		echo "$program is not built"
		exit 2
	done
}

# write_settings NUMBER ZONE: settings of a node in ZONES, with the bounds of the small deployments
write_settings() {
	cat >"$WORK/node-$1.conf" <<-END
	Node=node-$1
	Role=entry
	MachineClass=front
	Serves=front
	Ip=$NET.$((100 + $1))
	Zone=$2
	Region=region
$(for zone in $ZONES; do echo "	Zones.$zone=region"; done)
	Listen.Front=$NET.$((100 + $1)):8161
	Listen.Ready=$NET.$((100 + $1)):8167
	InternalPorts=7720,7735
	Limits.CpuShare=0.25
	Limits.Cores=1
	Limits.MemoryMb=260
	Limits.FileDescriptors=4100
	Bounds.GraceS=6
	Bounds.HoldMaxMs=1000
	Bounds.StopMs=50
	Bounds.status_s=120
	Bounds.FarFactor=1.5
	platform.Address=$NET.1:7000
	platform.ValueBytes=1048576
	platform.TtlMinMs=1000
	END
}

# start_node NUMBER: starts a node with the command of the deploy file
start_node() {
	(cd "$ROOT" && exec env WAXWINGSWITCH_SETTINGS="$WORK/node-$1.conf" target/waxwing-node) \
		>>"$WORK/node-$1.log" 2>&1 &
	PIDS="$PIDS $!"
}
