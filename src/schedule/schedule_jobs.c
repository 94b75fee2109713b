#include "schedule_jobs.h"

struct job_collector {
	GArray *jobs;
	const struct waxwing_settings *settings;
	struct waxwing_str domain;
	GString *path;
};

static void job_clear(void *data)
{
	struct waxwing_scheduled_job *job = data;

	g_free(job->branch);
	g_free(job->job);
}

static void collect_job(struct job_collector *collector, const struct waxwing_branch *branch,
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
	if (!waxwing_str_equal(waxwing_str(declared->domain), collector->domain))
		return;
	job.branch = waxwing_str_dup(branch->path);
	job.job = g_strdup(declared->name);
	g_array_append_val(collector->jobs, job);
}

static void collect_jobs(struct job_collector *collector, Waxwing__Branch *const *branches,
			 size_t count)
{
	size_t parent_len = collector->path->len;

	for (size_t i = 0; i < count; i++) {
		const struct waxwing_branch *branch;

		g_string_append_printf(collector->path, "%s%s", parent_len ? "/" : "",
				       branches[i]->name);
		branch = waxwing_settings_branch(
			collector->settings,
			(struct waxwing_str){ collector->path->len, collector->path->str });
		for (size_t j = 0; j < branches[i]->n_jobs; j++)
			collect_job(collector, branch, branches[i]->jobs[j]);
		collect_jobs(collector, branches[i]->branches, branches[i]->n_branches);
		g_string_truncate(collector->path, parent_len);
	}
}

GArray *waxwing_scheduled_jobs_create(const struct waxwing_settings *settings,
				      struct waxwing_str domain)
{
	const Waxwing__Tree *tree = waxwing_settings_tree(settings);
	struct job_collector collector = {
		.jobs = g_array_new(FALSE, FALSE, sizeof(struct waxwing_scheduled_job)),
		.settings = settings,
		.domain = domain,
		.path = g_string_new(NULL),
	};

	g_array_set_clear_func(collector.jobs, job_clear);
	collect_jobs(&collector, tree->branches, tree->n_branches);
	g_string_free(collector.path, TRUE);
	return collector.jobs;
}

int64_t waxwing_occurrence_next(const struct waxwing_scheduled_job *job, int64_t from_ms)
{
	int64_t elapsed_ms = (from_ms - job->offset_ms) % job->period_ms;

	if (elapsed_ms < 0)
		elapsed_ms += job->period_ms;
	return elapsed_ms ? from_ms + job->period_ms - elapsed_ms : from_ms;
}

uint64_t waxwing_occurrence_count(const struct waxwing_scheduled_job *job, int64_t from_ms,
				  int64_t until_ms)
{
	int64_t first_ms;

	if (from_ms >= until_ms)
		return 0;
	first_ms = waxwing_occurrence_next(job, from_ms);
	if (first_ms >= until_ms)
		return 0;
	return (uint64_t)((until_ms - 1 - first_ms) / job->period_ms) + 1;
}
