/**
 * Failures as answers carry them.
 */
#ifndef WAXWING_FAILURE_H
#define WAXWING_FAILURE_H

#include "generated/api.pb-c.h"
#include "waxwingswitch/error.h"

/** An answer of one failure, whose strings are those of the error and the id it was made from. */
struct waxwing_failed_answer {
	Waxwing__JobAnswer answer;
	Waxwing__Failure failure;
};

/**
 * Fills @failed in: "not_run" when the error says so, else "unknown". @failed may not be copied;
 * @error and @id must outlive it.
 */
void waxwing_failed_answer_init(struct waxwing_failed_answer *failed, const char *id,
				const struct waxwing_error *error);

#endif
