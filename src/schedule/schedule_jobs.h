/**
 * The scheduled jobs of a failure domain and their occurrences. Times are ms since 1970.
 */
#ifndef WAXWING_SCHEDULE_JOBS_H
#define WAXWING_SCHEDULE_JOBS_H

#include "settings.h"

/** A declared job that has a period and is not retired. */
struct waxwing_scheduled_job {
	char *branch; /**< path in the settings tree */
	char *job;
	int64_t period_ms;
	int64_t offset_ms; /**< offset of the occurrences from multiples of the period */
	/**
	 * The last claimant fires the job even after the claimed span while the platform is
	 * unavailable.
	 */
	bool run_on_outage;
};

/** Returns the scheduled jobs of @domain, an array of struct waxwing_scheduled_job. */
GArray *waxwing_scheduled_jobs_create(const struct waxwing_settings *settings,
				      struct waxwing_str domain);

/** Returns the job's first occurrence at or after @from_ms. */
int64_t waxwing_occurrence_next(const struct waxwing_scheduled_job *job, int64_t from_ms);
/** Returns the number of occurrences in [@from_ms, @until_ms). */
uint64_t waxwing_occurrence_count(const struct waxwing_scheduled_job *job, int64_t from_ms,
				  int64_t until_ms);

#endif
