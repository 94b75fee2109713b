#include "admission.h"

#include <glib.h>

static bool is_over(const struct waxwing_admission_limit *limit, uint64_t more)
{
	return limit->max > 0 && limit->queued + more > limit->max;
}

/** A job that is larger than a limit does not fit even into an empty queue. */
static bool is_too_large(const struct waxwing_admission_limit *limit, uint64_t size)
{
	return limit->max > 0 && size > limit->max;
}

double waxwing_admission_wait_ms(const struct waxwing_admission_load *load)
{
	double wait_ms;

	if (load->capacity <= 0)
		return WAXWING_ADMISSION_RETRY_MAX_MS;
	wait_ms = load->work_ms / load->capacity;
	if (load->branch_share > 0)
		wait_ms =
			MIN(wait_ms, load->branch_work_ms / (load->capacity * load->branch_share));
	if (load->team_capacity > 0)
		wait_ms = MAX(wait_ms, load->team_work_ms / load->team_capacity);
	return wait_ms;
}

static uint32_t retry_after(double wait_ms)
{
	return (uint32_t)CLAMP(wait_ms, WAXWING_ADMISSION_RETRY_MIN_MS,
			       WAXWING_ADMISSION_RETRY_MAX_MS);
}

enum waxwing_error_code waxwing_admission_check(const struct waxwing_admission_load *load,
						const struct waxwing_admission_job *job,
						uint32_t *retry_after_ms)
{
	double wait_ms = waxwing_admission_wait_ms(load);
	double need_ms = wait_ms * WAXWING_ADMISSION_WAIT_FACTOR + job->typical_response_ms;

	*retry_after_ms = 0;
	if (is_too_large(&load->tasks, job->tasks) || is_too_large(&load->bytes, job->bytes) ||
	    is_too_large(&load->branch_tasks, job->tasks) ||
	    is_too_large(&load->team_tasks, job->tasks))
		return WAXWING_ERROR_NEVER_FITS;
	if (job->remaining_ms <= 0 || job->min_response_ms > (double)job->remaining_ms)
		return WAXWING_ERROR_NEVER_FITS;
	*retry_after_ms = retry_after(wait_ms);
	if (is_over(&load->tasks, job->tasks) || is_over(&load->bytes, job->bytes) ||
	    is_over(&load->branch_tasks, job->tasks))
		return WAXWING_ERROR_QUEUE_FULL;
	if (is_over(&load->team_tasks, job->tasks))
		return WAXWING_ERROR_QUOTA;
	if (wait_ms > 0 && need_ms > (double)job->remaining_ms) {
		*retry_after_ms = (uint32_t)CLAMP(need_ms - (double)job->remaining_ms, 1,
						  WAXWING_ADMISSION_RETRY_MAX_MS);
		return WAXWING_ERROR_OVERLOAD;
	}
	*retry_after_ms = 0;
	return WAXWING_OK;
}
