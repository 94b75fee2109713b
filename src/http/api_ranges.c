#include "api_ranges.h"

#define ID_BYTES     256
#define CALLER_BYTES 128
#define BRANCH_BYTES 256

const struct waxwing_field_range waxwing_api_ranges[] = {
	{ "JobRequest", "id", 1, ID_BYTES, "bytes", "submission id" },
	{ "JobRequest", "caller", 1, CALLER_BYTES, "bytes", "name of the caller" },
	{ "JobRequest", "branch", 1, BRANCH_BYTES, "bytes", "path in the settings tree" },
	{ "JobRequest", "deadline_ms", 1, WAXWING_MAX_DURATION_MS, "ms",
	  "deadline, counted from admission" },
	{ "TaskRequest", "declared_ms", 1, WAXWING_MAX_DURATION_MS, "ms", "expected run time" },
	{ "SingleRequest", "id", 1, ID_BYTES, "bytes", "submission id" },
	{ "SingleRequest", "caller", 1, CALLER_BYTES, "bytes", "name of the caller" },
	{ "SingleRequest", "branch", 1, BRANCH_BYTES, "bytes", "path in the settings tree" },
	{ "SingleRequest", "deadline_ms", 1, WAXWING_MAX_DURATION_MS, "ms",
	  "deadline, counted from admission" },
	{ 0 },
};
