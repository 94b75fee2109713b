/**
 * The occurrences of a domain's declared jobs. Times are ms since 1970.
 */
#ifndef WAXWING_SCHEDULE_JOBS_H
#define WAXWING_SCHEDULE_JOBS_H

#include "settings.h"

/** A live declared job with a period. */
struct waxwing_scheduled_job {
	char *branch;
	char *job;
	int64_t period_ms;
	int64_t offset_ms;
	bool run_on_outage;
};

/** The live jobs with a period whose home is @domain; an array of struct waxwing_scheduled_job. */
GArray *waxwing_scheduled_jobs(const struct waxwing_settings *settings, struct waxwing_str domain);

/** The job's first occurrence at or after @from_ms. */
int64_t waxwing_occurrence_after(const struct waxwing_scheduled_job *job, int64_t from_ms);
/** How many occurrences there are from @from_ms on and before @until_ms. */
uint64_t waxwing_occurrences(const struct waxwing_scheduled_job *job, int64_t from_ms,
			     int64_t until_ms);

#endif
