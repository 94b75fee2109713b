#include "settings.h"

#define KIB		(1024u)
#define MIB		(1024u * KIB)
#define DAY_MS		(24u * 60 * 60 * 1000)
#define NAME_BYTES	128
#define ADDRESS_BYTES	64
#define KEY_BYTES	256
#define MAX_ITEMS	10000
#define MAX_TASKS	1000000
#define RECENT_CHANGES	64
#define PORT_MAX	65535
#define JSON_DEPTH_MIN	4
#define JSON_DEPTH_MAX	128
#define DEADLINE_MAX_MS (7 * DAY_MS)

/* clang-format off */
const struct waxwing_field_range waxwing_settings_ranges[] = {
	{ "BranchValues", "retired", 0, 1, "", "stops everything of the branch" },
	{ "BranchValues", "weight", 1, 1000000, "", "share among sibling branches" },
	{ "BranchValues", "team", 0, NAME_BYTES, "bytes", "team whose quota the branch draws on" },
	{ "BranchValues", "deadline_ms", 1, DEADLINE_MAX_MS, "ms", "deadline of a job that states none" },
	{ "BranchValues", "declared_ms", 1, DAY_MS, "ms", "run time of a task that states none" },
	{ "BranchValues", "queue_tasks", 0, MAX_TASKS, "tasks", "most queued tasks; 0: no limit of its own" },
	{ "BranchValues", "idempotent", 0, 1, "", "a single request may be retried" },
	{ "BranchValues", "max_attempts", 1, 10, "", "attempts of an idempotent request, the first included" },
	{ "BranchValues", "job_tasks", 1, MAX_TASKS, "tasks", "most tasks of one job" },
	{ "BranchValues", "body_bytes", 0, 64 * MIB, "bytes", "most bytes of one job's bodies" },
	{ "BranchValues", "on_outage", 3, 4, "bytes", "\"hold\" or \"run\": schedules beyond the claimed span" },
	{ "DeclaredTask", "name", 1, NAME_BYTES, "bytes", "name within the job" },
	{ "DeclaredTask", "body", 0, MIB, "bytes", "body sent to the upstream" },
	{ "DeclaredTask", "declared_ms", 1, DAY_MS, "ms", "declared run time" },
	{ "DeclaredJob", "name", 1, NAME_BYTES, "bytes", "name within the branch" },
	{ "DeclaredJob", "domain", 1, NAME_BYTES, "bytes", "home failure domain" },
	{ "DeclaredJob", "period_ms", 1000, DEADLINE_MAX_MS, "ms", "one occurrence each period" },
	{ "DeclaredJob", "offset_ms", 0, DEADLINE_MAX_MS, "ms", "place of the occurrence within the period" },
	{ "DeclaredJob", "retired", 0, 1, "", "stops the job" },
	{ "DeclaredJob", "tasks", 0, MAX_ITEMS, "items", "tasks of the job" },
	{ "Branch", "name", 1, NAME_BYTES, "bytes", "name below the parent branch" },
	{ "Branch", "values", 0, 0, "", "values set here" },
	{ "Branch", "branches", 0, MAX_ITEMS, "items", "branches below" },
	{ "Branch", "jobs", 0, MAX_ITEMS, "items", "declared jobs" },
	{ "Team", "name", 1, NAME_BYTES, "bytes", "name of the team" },
	{ "Team", "slots", 0, MAX_TASKS, "slots", "most slots in use at once, per failure domain" },
	{ "Team", "queued_tasks", 0, MAX_TASKS, "tasks", "most queued tasks, per failure domain" },
	{ "Limits", "queue_tasks", 1, 10 * MAX_TASKS, "tasks", "most queued tasks of one instance" },
	{ "Limits", "queue_bytes", KIB, 64ull * KIB * MIB, "bytes", "most bytes of queued bodies of one instance" },
	{ "Limits", "window_life_ms", 1000, DAY_MS, "ms", "how long ids are minted under one window" },
	{ "Limits", "window_grace_ms", 1000, DAY_MS, "ms", "how long ids of a closed window are answered" },
	{ "Limits", "connections_per_address", 1, 1000000, "connections", "most HTTP connections of one address" },
	{ "Limits", "json_depth", JSON_DEPTH_MIN, JSON_DEPTH_MAX, "levels", "deepest JSON taken from callers" },
	{ "Limits", "cells", 1, 256, "", "cells that the upstreams of a failure domain form" },
	{ "Limits", "retry_percent", 0, 100, "%", "retries allowed, of first attempts" },
	{ "Limits", "generation", 0, WAXWING_GENERATION_MAX, "", "raised when the platform was restored from an older copy" },
	{ "Tree", "limits", 0, 0, "", "values that hold for every instance" },
	{ "Tree", "teams", 0, MAX_ITEMS, "items", "quotas" },
	{ "Tree", "values", 0, 0, "", "the root's values" },
	{ "Tree", "branches", 0, MAX_ITEMS, "items", "branches below the root" },
	{ "Tree", "recent_changes", 0, RECENT_CHANGES, "items", "ids of the last edits, newest first" },
	{ "InstanceFile", "name", 1, NAME_BYTES, "bytes", "name of the instance" },
	{ "InstanceFile", "domain", 1, NAME_BYTES, "bytes", "failure domain" },
	{ "InstanceFile", "address", 1, ADDRESS_BYTES, "bytes", "IP number that both ports are bound to and others reach" },
	{ "InstanceFile", "http_port", 1, PORT_MAX, "", "port for callers and operators" },
	{ "InstanceFile", "peer_port", 1, PORT_MAX, "", "port for other instances" },
	{ "InstanceFile", "platform", 1, ADDRESS_BYTES, "bytes", "IP:port of the platform's service" },
	{ "InstanceFile", "senders", 1, 4096, "threads", "threads that talk to upstreams" },
	{ "InstanceFile", "http_threads", 1, 256, "threads", "threads that serve HTTP" },
	{ "InstanceFile", "settings_key", 1, KEY_BYTES, "bytes", "key of the tree at the platform" },
	{ "InstanceFile", "log_level", 1, 16, "bytes", "error, warning, notice, info or debug" },
	{ "InstanceFile", "drain_ms", 0, DAY_MS, "ms", "longest wait of a graceful shutdown for running jobs" },
	{ "InstanceFile", "peers", 0, 64, "items", "IP:port of instances to ask while the platform is down" },
	{ "InstanceFile", "peer_listen", 1, ADDRESS_BYTES, "bytes", "IP number that the peer port is bound to and peers are called from, where it is not address" },
	{ .message = NULL },
};
/* clang-format on */
