/**
 * Admission of offers: collects the inputs of admission.h from the queue and the slots.
 *
 * Internal to the scheduler.
 */
#ifndef WAXWING_SCHEDULER_ADMIT_H
#define WAXWING_SCHEDULER_ADMIT_H

#include "scheduler_queue.h"

/**
 * Returns WAXWING_OK if an offer to @branch (null: unknown) is admitted. If not, returns the reason
 * and sets @error, which may be null.
 */
enum waxwing_error_code waxwing_admit(const struct waxwing_queue *queue,
				      const struct waxwing_scheduler_options *options,
				      int64_t now_ms, const struct waxwing_queue_branch *branch,
				      const struct waxwing_offer *offer,
				      struct waxwing_error *error);

#endif
