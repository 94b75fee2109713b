/**
 * Error codes and error details.
 *
 * A function that can fail takes a struct waxwing_error, which it sets on failure. One that has no
 * other result returns the code as well; WAXWING_OK is success.
 */
#ifndef WAXWINGSWITCH_ERROR_H
#define WAXWINGSWITCH_ERROR_H

#include <stdbool.h>
#include <stdint.h>

/** Sizes of an error's path and detail in bytes, including the terminating zero. */
#define WAXWING_ERROR_PATH_BYTES   160
#define WAXWING_ERROR_DETAIL_BYTES 200

/** The numbers are part of the peer protocol: append new codes only. */
enum waxwing_error_code {
	WAXWING_OK = 0,

	/* invalid input */
	WAXWING_ERROR_SYNTAX, /**< malformed JSON or protocol message */
	WAXWING_ERROR_UNKNOWN_KEY, /**< a key that is not in the schema */
	WAXWING_ERROR_TYPE, /**< a value has the wrong type */
	WAXWING_ERROR_RANGE, /**< a value is out of range */
	WAXWING_ERROR_MISSING, /**< a required key is absent */
	WAXWING_ERROR_TOO_MANY, /**< the number of items exceeds the limit */
	WAXWING_ERROR_TOO_LARGE, /**< the number of bytes exceeds the limit */
	WAXWING_ERROR_TOO_DEEP, /**< the nesting of JSON exceeds the limit */
	WAXWING_ERROR_UNKNOWN_BRANCH, /**< the branch is not in the settings tree */
	WAXWING_ERROR_BAD_ID, /**< the submission id is malformed */
	WAXWING_ERROR_EXPIRED_ID, /**< the id's window has closed */
	WAXWING_ERROR_ID_REUSED, /**< the id was used for a different job */
	WAXWING_ERROR_NOT_FOUND, /**< the path or object does not exist */
	WAXWING_ERROR_METHOD, /**< the path does not support this HTTP method */

	/* refusals: no task was started */
	WAXWING_ERROR_QUEUE_FULL, /**< a queue limit, in entries or bytes, is reached */
	WAXWING_ERROR_OVERLOAD, /**< the expected wait exceeds the deadline */
	WAXWING_ERROR_QUOTA, /**< the team's quota is used up */
	WAXWING_ERROR_RETIRED, /**< the branch is retired */
	WAXWING_ERROR_NEVER_FITS, /**< the job could not run even on idle upstreams */
	WAXWING_ERROR_DEADLINE, /**< the deadline passed before a task was started */
	WAXWING_ERROR_LEAVING, /**< this instance is shutting down */
	WAXWING_ERROR_NOT_READY, /**< this instance has no settings yet */
	WAXWING_ERROR_NO_UPSTREAM, /**< no upstream is known */
	WAXWING_ERROR_CANCELLED, /**< the caller cancelled the job */

	/* failures after a task was started */
	WAXWING_ERROR_TASK_FAILED, /**< the upstream reported that the task failed */
	WAXWING_ERROR_UPSTREAM_LOST, /**< no complete answer arrived; the task may have run */
	WAXWING_ERROR_LATE, /**< the deadline passed after a task was started */
	WAXWING_ERROR_OUTCOME_UNKNOWN, /**< no answer from the issuer; a task may have run */

	/* platform and system errors */
	WAXWING_ERROR_PLATFORM_DOWN, /**< the platform does not answer */
	WAXWING_ERROR_PLATFORM_ANSWER, /**< the platform's answer violates the protocol */
	WAXWING_ERROR_CONFLICT, /**< the compare-and-swap failed because of a concurrent edit */
	WAXWING_ERROR_UNREACHABLE, /**< no connection could be made */
	WAXWING_ERROR_TIMEOUT, /**< no answer arrived in time */
	WAXWING_ERROR_SYSTEM, /**< a system resource is not available */
	WAXWING_ERROR_COUNT
};

/** An error and where it occurred. It holds no pointers, so it can be copied. */
struct waxwing_error {
	enum waxwing_error_code code;
	uint32_t line; /**< line of the input, starting at 1; 0: unknown */
	uint32_t retry_after_ms; /**< time to wait before a retry; 0: none is advised */
	char path[WAXWING_ERROR_PATH_BYTES]; /**< e.g. "tasks[2].body"; may be empty */
	char detail[WAXWING_ERROR_DETAIL_BYTES]; /**< human-readable description; may be empty */
};

#define WAXWING_ERROR_INIT                                                                         \
	{                                                                                          \
		.code = WAXWING_OK                                                                 \
	}

/**
 * Returns a human-readable message, "unknown error" for an unknown code. Static; never freed. Any
 * thread.
 */
const char *waxwing_strerror(enum waxwing_error_code code);

/** Returns the code's name on the wire, e.g. "queue_full". Static; never freed. Any thread. */
const char *waxwing_error_name(enum waxwing_error_code code);

/** Returns the code of a wire name; WAXWING_ERROR_COUNT if the name is unknown. Any thread. */
enum waxwing_error_code waxwing_error_from_name(const char *name);

/** Returns true if the code implies that no task of the job was started. Any thread. */
bool waxwing_error_is_not_run(enum waxwing_error_code code);

/**
 * Sets @error and returns @code.
 *
 * @error and @path may be null. @format and its arguments give the detail, which is truncated to
 * fit WAXWING_ERROR_DETAIL_BYTES. Any thread.
 */
enum waxwing_error_code waxwing_error_set(struct waxwing_error *error, enum waxwing_error_code code,
					  const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

#endif
