/**
 * Conversion of an error into the failed JobAnswer sent to the caller.
 */
#ifndef WAXWING_FAILURE_H
#define WAXWING_FAILURE_H

#include "generated/api.pb-c.h"
#include "waxwingswitch/error.h"

/** A failed answer. Its strings belong to the id and the error that it was initialised with. */
struct waxwing_failed_answer {
	Waxwing__JobAnswer answer;
	Waxwing__Failure failure;
};

/**
 * Initialises @failed with state "not_run" if waxwing_error_is_not_run() holds, else "unknown".
 * @failed points into itself and must not be copied; @error and @id must outlive it.
 */
void waxwing_failed_answer_init(struct waxwing_failed_answer *failed, const char *id,
				const struct waxwing_error *error);

#endif
