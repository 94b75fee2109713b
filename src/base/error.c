#include "waxwingswitch/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct error_text {
	const char *name;
	const char *message;
};

static const struct error_text texts[WAXWING_ERROR_COUNT] = {
	[WAXWING_OK] = { "ok", "no error" },
	[WAXWING_ERROR_SYNTAX] = { "syntax", "the input is malformed" },
	[WAXWING_ERROR_UNKNOWN_KEY] = { "unknown_key", "the key is not known" },
	[WAXWING_ERROR_TYPE] = { "type", "the value has the wrong type" },
	[WAXWING_ERROR_RANGE] = { "range", "the value is out of range" },
	[WAXWING_ERROR_MISSING] = { "missing", "a required key is missing" },
	[WAXWING_ERROR_TOO_MANY] = { "too_many", "there are too many items" },
	[WAXWING_ERROR_TOO_LARGE] = { "too_large", "the input is too large" },
	[WAXWING_ERROR_TOO_DEEP] = { "too_deep", "the input is nested too deeply" },
	[WAXWING_ERROR_UNKNOWN_BRANCH] = { "unknown_branch", "the branch is not in the settings" },
	[WAXWING_ERROR_BAD_ID] = { "bad_id", "the submission id is malformed" },
	[WAXWING_ERROR_EXPIRED_ID] = { "expired_id", "the submission id has expired" },
	[WAXWING_ERROR_ID_REUSED] = { "id_reused", "the id belongs to a different job" },
	[WAXWING_ERROR_NOT_FOUND] = { "not_found", "there is no such thing here" },
	[WAXWING_ERROR_METHOD] = { "method", "the path does not take this method" },
	[WAXWING_ERROR_QUEUE_FULL] = { "queue_full", "the queue is full" },
	[WAXWING_ERROR_OVERLOAD] = { "overload", "the expected wait exceeds the deadline" },
	[WAXWING_ERROR_QUOTA] = { "quota", "the team's quota is used up" },
	[WAXWING_ERROR_RETIRED] = { "retired", "the branch is retired" },
	[WAXWING_ERROR_NEVER_FITS] = { "never_fits", "the job can never run" },
	[WAXWING_ERROR_DEADLINE] = { "deadline", "the deadline passed before a start" },
	[WAXWING_ERROR_LEAVING] = { "leaving", "the instance is shutting down" },
	[WAXWING_ERROR_NOT_READY] = { "not_ready", "the instance has no settings yet" },
	[WAXWING_ERROR_NO_UPSTREAM] = { "no_upstream", "no upstream is known" },
	[WAXWING_ERROR_CANCELLED] = { "cancelled", "the job was cancelled" },
	[WAXWING_ERROR_TASK_FAILED] = { "task_failed", "a task failed at its upstream" },
	[WAXWING_ERROR_UPSTREAM_LOST] = { "upstream_lost", "an upstream sent no complete answer" },
	[WAXWING_ERROR_LATE] = { "late", "the deadline passed after a start" },
	[WAXWING_ERROR_OUTCOME_UNKNOWN] = { "outcome_unknown", "a task may have run" },
	[WAXWING_ERROR_PLATFORM_DOWN] = { "platform_down", "the platform does not answer" },
	[WAXWING_ERROR_PLATFORM_ANSWER] = { "platform_answer",
					    "the platform's answer is malformed" },
	[WAXWING_ERROR_CONFLICT] = { "conflict", "another edit came first" },
	[WAXWING_ERROR_UNREACHABLE] = { "unreachable", "no connection could be made" },
	[WAXWING_ERROR_TIMEOUT] = { "timeout", "no answer came in time" },
	[WAXWING_ERROR_SYSTEM] = { "system", "a system resource is not available" },
};

const char *waxwing_strerror(enum waxwing_error_code code)
{
	return (unsigned int)code < WAXWING_ERROR_COUNT ? texts[code].message : "unknown error";
}

const char *waxwing_error_name(enum waxwing_error_code code)
{
	return (unsigned int)code < WAXWING_ERROR_COUNT ? texts[code].name : "unknown";
}

enum waxwing_error_code waxwing_error_from_name(const char *name)
{
	for (unsigned int code = 0; code < WAXWING_ERROR_COUNT; code++)
		if (strcmp(texts[code].name, name) == 0)
			return code;
	return WAXWING_ERROR_COUNT;
}

bool waxwing_error_is_not_run(enum waxwing_error_code code)
{
	if (code == WAXWING_ERROR_EXPIRED_ID || code == WAXWING_ERROR_ID_REUSED)
		return false;
	return code >= WAXWING_ERROR_SYNTAX && code <= WAXWING_ERROR_CANCELLED;
}

enum waxwing_error_code waxwing_error_set(struct waxwing_error *error, enum waxwing_error_code code,
					  const char *path, const char *format, ...)
{
	va_list args;

	if (!error)
		return code;
	*error = (struct waxwing_error){ .code = code };
	snprintf(error->path, sizeof(error->path), "%s", path ? path : "");
	va_start(args, format);
	vsnprintf(error->detail, sizeof(error->detail), format, args);
	va_end(args);
	return code;
}
