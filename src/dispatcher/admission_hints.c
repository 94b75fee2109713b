#include "admission_hints.h"

#include "admission.h"

#include <glib.h>

/*
 * Size classes by powers of two of the number of tasks. The latest refusal of each class is kept.
 */
#define SIZE_CLASSES 16

/* Maximum ages at which a refusal and an advertised wait are still used. */
#define REFUSAL_MAX_AGE_MS 500
#define WAIT_MAX_AGE_MS	   100

/*
 * Fastest assumed decrease of the wait, in milliseconds per millisecond. It is above 1 because a
 * branch that waits only for its own share also advances when tasks of other branches are served.
 */
#define MAX_WAIT_FALL_RATE 3

struct refusal_record {
	uint32_t tasks; /* 0 if the entry is empty */
	uint32_t wait_ms; /* wait advertised at the time of the refusal */
	int64_t needed_ms; /* minimum time until the deadline for admission */
	int64_t refused_ms;
};

struct branch_refusals {
	struct refusal_record by_size[SIZE_CLASSES];
};

struct waxwing_admission_hints {
	uint64_t scheduler;
	GHashTable *branches; /* branch name -> struct branch_refusals */
};

struct waxwing_admission_hints *waxwing_admission_hints_create(void)
{
	struct waxwing_admission_hints *hints = g_new0(struct waxwing_admission_hints, 1);

	hints->branches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return hints;
}

void waxwing_admission_hints_destroy(struct waxwing_admission_hints *hints)
{
	g_hash_table_destroy(hints->branches);
	g_free(hints);
}

static struct branch_refusals *find_refusals(const struct waxwing_admission_hints *hints,
					     struct waxwing_str branch)
{
	char *name;
	struct branch_refusals *found;

	if (!g_hash_table_size(hints->branches))
		return NULL;
	name = waxwing_str_dup(branch);
	found = g_hash_table_lookup(hints->branches, name);
	g_free(name);
	return found;
}

static uint32_t size_class(uint32_t tasks)
{
	return MIN((uint32_t)g_bit_storage(tasks), SIZE_CLASSES) - 1;
}

void waxwing_admission_hints_add_refusal(struct waxwing_admission_hints *hints, int64_t now_ms,
					 const struct waxwing_advertised_wait *advertised,
					 const struct waxwing_job_demand *demand,
					 uint32_t retry_after_ms)
{
	struct branch_refusals *branch;

	if (!demand->tasks)
		return;
	if (hints->scheduler != advertised->scheduler)
		g_hash_table_remove_all(hints->branches);
	hints->scheduler = advertised->scheduler;
	branch = find_refusals(hints, demand->branch);
	if (!branch) {
		branch = g_new0(struct branch_refusals, 1);
		g_hash_table_insert(hints->branches, waxwing_str_dup(demand->branch), branch);
	}
	branch->by_size[size_class(demand->tasks)] = (struct refusal_record){
		.tasks = demand->tasks,
		.wait_ms = advertised->wait_ms,
		.needed_ms = demand->remaining_ms + (int64_t)retry_after_ms,
		.refused_ms = now_ms,
	};
}

/*
 * Returns the least time until its deadline that the job needs according to one refusal, given that
 * the wait may have decreased since. Returns 0 if the refusal does not apply to the job.
 */
static int64_t min_time_needed(const struct refusal_record *refusal, int64_t now_ms,
			       const struct waxwing_advertised_wait *advertised,
			       const struct waxwing_job_demand *demand)
{
	int64_t decrease_ms = MAX_WAIT_FALL_RATE * (now_ms - refusal->refused_ms);

	if (!refusal->tasks || demand->tasks < refusal->tasks ||
	    now_ms - refusal->refused_ms > REFUSAL_MAX_AGE_MS)
		return 0;
	if (advertised->wait_ms < refusal->wait_ms)
		decrease_ms += refusal->wait_ms - advertised->wait_ms;
	return refusal->needed_ms - (int64_t)WAXWING_ADMISSION_WAIT_FACTOR * decrease_ms;
}

bool waxwing_admission_hints_would_refuse(const struct waxwing_admission_hints *hints,
					  int64_t now_ms,
					  const struct waxwing_advertised_wait *advertised,
					  const struct waxwing_job_demand *demand,
					  uint32_t *retry_after_ms)
{
	const struct branch_refusals *branch;
	int64_t needed_ms = 0;

	if (hints->scheduler != advertised->scheduler || !advertised->received_ms ||
	    now_ms - advertised->received_ms > WAIT_MAX_AGE_MS || !demand->tasks)
		return false;
	branch = find_refusals(hints, demand->branch);
	for (uint32_t i = 0; branch && i <= size_class(demand->tasks); i++)
		needed_ms = MAX(needed_ms,
				min_time_needed(&branch->by_size[i], now_ms, advertised, demand));
	if (needed_ms <= demand->remaining_ms)
		return false;
	*retry_after_ms =
		(uint32_t)CLAMP(needed_ms - demand->remaining_ms, WAXWING_ADMISSION_RETRY_MIN_MS,
				WAXWING_ADMISSION_RETRY_MAX_MS);
	return true;
}
