#include "schedule_jobs.h"

struct collect {
	GArray *jobs;
	const struct waxwing_settings *settings;
	struct waxwing_str domain;
	GString *path;
};

static void clear_job(void *data)
{
	struct waxwing_scheduled_job *job = data;

	g_free(job->branch);
	g_free(job->job);
}

static void collect_job(struct collect *collect, const struct waxwing_branch *branch,
			const Waxwing__DeclaredJob *declared)
{
	bool retired = declared->has_retired ? declared->retired : branch->retired;
	struct waxwing_scheduled_job job = {
		.period_ms = declared->period_ms,
		.offset_ms = declared->offset_ms,
		.run_on_outage = branch->run_on_outage,
	};

	if (retired || !declared->has_period_ms || !declared->domain)
		return;
	if (!waxwing_str_equal(waxwing_str(declared->domain), collect->domain))
		return;
	job.branch = waxwing_str_dup(branch->path);
	job.job = g_strdup(declared->name);
	g_array_append_val(collect->jobs, job);
}

static void collect_below(struct collect *collect, Waxwing__Branch *const *branches, size_t count)
{
	size_t outer = collect->path->len;

	for (size_t i = 0; i < count; i++) {
		const struct waxwing_branch *branch;

		g_string_append_printf(collect->path, "%s%s", outer ? "/" : "", branches[i]->name);
		branch = waxwing_settings_branch(
			collect->settings,
			(struct waxwing_str){ collect->path->len, collect->path->str });
		for (size_t j = 0; j < branches[i]->n_jobs; j++)
			collect_job(collect, branch, branches[i]->jobs[j]);
		collect_below(collect, branches[i]->branches, branches[i]->n_branches);
		g_string_truncate(collect->path, outer);
	}
}

GArray *waxwing_scheduled_jobs(const struct waxwing_settings *settings, struct waxwing_str domain)
{
	const Waxwing__Tree *tree = waxwing_settings_tree(settings);
	struct collect collect = {
		.jobs = g_array_new(FALSE, FALSE, sizeof(struct waxwing_scheduled_job)),
		.settings = settings,
		.domain = domain,
		.path = g_string_new(NULL),
	};

	g_array_set_clear_func(collect.jobs, clear_job);
	collect_below(&collect, tree->branches, tree->n_branches);
	g_string_free(collect.path, TRUE);
	return collect.jobs;
}

int64_t waxwing_occurrence_after(const struct waxwing_scheduled_job *job, int64_t from_ms)
{
	int64_t past_ms = (from_ms - job->offset_ms) % job->period_ms;

	if (past_ms < 0)
		past_ms += job->period_ms;
	return past_ms ? from_ms + job->period_ms - past_ms : from_ms;
}

uint64_t waxwing_occurrences(const struct waxwing_scheduled_job *job, int64_t from_ms,
			     int64_t until_ms)
{
	int64_t first_ms;

	if (from_ms >= until_ms)
		return 0;
	first_ms = waxwing_occurrence_after(job, from_ms);
	if (first_ms >= until_ms)
		return 0;
	return (uint64_t)((until_ms - 1 - first_ms) / job->period_ms) + 1;
}
