/* Submission of occurrences of declared jobs, under this instance's window. */
#include "dispatcher_private.h"

#include <inttypes.h>

/* Caller of the submitted jobs, as it appears in logs. */
#define SCHEDULE_CALLER "schedule"

static const Waxwing__Branch *find_child(Waxwing__Branch *const *branches, size_t count,
					 struct waxwing_str name)
{
	for (size_t i = 0; i < count; i++)
		if (waxwing_str_equal(waxwing_str(branches[i]->name), name))
			return branches[i];
	return NULL;
}

static const Waxwing__Branch *find_branch(const Waxwing__Tree *tree, struct waxwing_str path)
{
	Waxwing__Branch *const *branches = tree->branches;
	size_t count = tree->n_branches;
	const Waxwing__Branch *branch = NULL;
	struct waxwing_str name = path;
	struct waxwing_str rest = { 0 };

	do {
		if (!waxwing_str_cut(path, '/', &name, &rest)) {
			name = path;
			rest = (struct waxwing_str){ 0 };
		}
		branch = find_child(branches, count, name);
		if (!branch)
			return NULL;
		branches = branch->branches;
		count = branch->n_branches;
		path = rest;
	} while (path.len);
	return branch;
}

static const Waxwing__DeclaredJob *find_job(const struct waxwing_dispatcher *d,
					    struct waxwing_str path, struct waxwing_str name)
{
	const Waxwing__Branch *branch = NULL;

	if (d->settings_store.current)
		branch = find_branch(waxwing_settings_tree(d->settings_store.current), path);
	for (size_t i = 0; branch && i < branch->n_jobs; i++)
		if (waxwing_str_equal(waxwing_str(branch->jobs[i]->name), name))
			return branch->jobs[i];
	return NULL;
}

static Waxwing__TaskRequest *task_request(const Waxwing__DeclaredTask *declared)
{
	Waxwing__TaskRequest *task = g_new(Waxwing__TaskRequest, 1);

	waxwing__task_request__init(task);
	task->body = g_strdup(declared->body);
	task->has_declared_ms = declared->has_declared_ms;
	task->declared_ms = declared->declared_ms;
	return task;
}

static Waxwing__JobRequest *job_request(struct waxwing_str window, struct waxwing_str branch,
					const Waxwing__DeclaredJob *declared, int64_t occurrence_ms)
{
	Waxwing__JobRequest *request = g_new(Waxwing__JobRequest, 1);
	/* names may contain characters that ids may not */
	uint64_t job_hash =
		waxwing_str_hash(waxwing_str(declared->name), waxwing_str_hash(branch, 0));

	waxwing__job_request__init(request);
	request->id = g_strdup_printf("%.*s/schedule:%016" PRIx64 "@%" PRId64,
				      WAXWING_STR_ARG(window), job_hash, occurrence_ms);
	request->caller = g_strdup(SCHEDULE_CALLER);
	request->branch = waxwing_str_dup(branch);
	request->n_tasks = declared->n_tasks;
	request->tasks = g_new(Waxwing__TaskRequest *, declared->n_tasks);
	for (size_t i = 0; i < declared->n_tasks; i++)
		request->tasks[i] = task_request(declared->tasks[i]);
	return request;
}

enum waxwing_error_code
waxwing_dispatcher_submit_occurrence(struct waxwing_dispatcher *d, int64_t now_ms,
				     struct waxwing_str branch, struct waxwing_str job,
				     int64_t occurrence_ms, struct waxwing_waiter waiter)
{
	const Waxwing__DeclaredJob *declared = find_job(d, branch, job);
	Waxwing__JobRequest *request;

	if (!declared)
		return WAXWING_ERROR_NOT_FOUND;
	request =
		job_request(waxwing_dispatcher_window(d, now_ms), branch, declared, occurrence_ms);
	waxwing_dispatcher_submit(d, now_ms, request, WAXWING_SUBMIT_JOB, waiter);
	waxwing__job_request__free_unpacked(request, NULL);
	return WAXWING_OK;
}
