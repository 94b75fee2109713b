#include "advice.h"

#include "admission.h"

#include <glib.h>

/* One refusal is kept for each doubling of the tasks. */
#define SIZES 16

/* Age of a refusal, and of an advertised wait, past which neither tells anything. */
#define REFUSAL_MS 500
#define WAIT_MS	   100

/*
 * How fast the wait may fall, in times the clock: a branch that waits for its own share only waits less when
 * other branches' work is served.
 */
#define FALL 3

struct refusal {
	uint32_t tasks; /* 0: none */
	uint32_t wait_ms; /* as advertised then */
	int64_t need_ms; /* time until the deadline that would have been needed */
	int64_t at_ms;
};

struct branch_refusals {
	struct refusal sizes[SIZES];
};

struct waxwing_advice {
	uint64_t scheduler;
	GHashTable *branches; /* name -> struct branch_refusals */
};

struct waxwing_advice *waxwing_advice_create(void)
{
	struct waxwing_advice *advice = g_new0(struct waxwing_advice, 1);

	advice->branches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return advice;
}

void waxwing_advice_destroy(struct waxwing_advice *advice)
{
	g_hash_table_destroy(advice->branches);
	g_free(advice);
}

static struct branch_refusals *find(const struct waxwing_advice *advice, struct waxwing_str branch)
{
	char *name;
	struct branch_refusals *found;

	if (!g_hash_table_size(advice->branches))
		return NULL;
	name = waxwing_str_dup(branch);
	found = g_hash_table_lookup(advice->branches, name);
	g_free(name);
	return found;
}

static uint32_t size_of(uint32_t tasks)
{
	return MIN((uint32_t)g_bit_storage(tasks), SIZES) - 1;
}

void waxwing_advice_refused(struct waxwing_advice *advice, int64_t now_ms,
			    const struct waxwing_advice_source *source,
			    const struct waxwing_advice_job *job, uint32_t retry_after_ms)
{
	struct branch_refusals *branch;

	if (!job->tasks)
		return;
	if (advice->scheduler != source->scheduler)
		g_hash_table_remove_all(advice->branches);
	advice->scheduler = source->scheduler;
	branch = find(advice, job->branch);
	if (!branch) {
		branch = g_new0(struct branch_refusals, 1);
		g_hash_table_insert(advice->branches, waxwing_str_dup(job->branch), branch);
	}
	branch->sizes[size_of(job->tasks)] = (struct refusal){
		.tasks = job->tasks,
		.wait_ms = source->wait_ms,
		.need_ms = job->left_ms + (int64_t)retry_after_ms,
		.at_ms = now_ms,
	};
}

/* Time that the job needs at least by what one refusal told; the wait may have fallen since. */
static int64_t least_need(const struct refusal *refusal, int64_t now_ms,
			  const struct waxwing_advice_source *source,
			  const struct waxwing_advice_job *job)
{
	int64_t fallen_ms = FALL * (now_ms - refusal->at_ms);

	if (!refusal->tasks || job->tasks < refusal->tasks || now_ms - refusal->at_ms > REFUSAL_MS)
		return 0;
	if (source->wait_ms < refusal->wait_ms)
		fallen_ms += refusal->wait_ms - source->wait_ms;
	return refusal->need_ms - (int64_t)WAXWING_ADMISSION_WAIT_MARGIN * fallen_ms;
}

bool waxwing_advice_refuses(const struct waxwing_advice *advice, int64_t now_ms,
			    const struct waxwing_advice_source *source,
			    const struct waxwing_advice_job *job, uint32_t *retry_after_ms)
{
	const struct branch_refusals *branch;
	int64_t need_ms = 0;

	if (advice->scheduler != source->scheduler || !source->heard_ms ||
	    now_ms - source->heard_ms > WAIT_MS || !job->tasks)
		return false;
	branch = find(advice, job->branch);
	for (uint32_t i = 0; branch && i <= size_of(job->tasks); i++)
		need_ms = MAX(need_ms, least_need(&branch->sizes[i], now_ms, source, job));
	if (need_ms <= job->left_ms)
		return false;
	*retry_after_ms = (uint32_t)CLAMP(need_ms - job->left_ms, WAXWING_ADMISSION_RETRY_LEAST_MS,
					  WAXWING_ADMISSION_RETRY_MOST_MS);
	return true;
}
