#include "dispatcher_private.h"

#define LOG_COMPONENT "dispatcher"
#include "log.h"

#include <inttypes.h>
#include <urcu.h>

/* Deadline of a job of an unknown branch; such a job is refused at once. */
#define UNKNOWN_BRANCH_DEADLINE_MS 1000
#define HEARTBEAT_MAX_PEERS	   16
/* How long a new instance waits for peers' heartbeats before it reports itself ready. */
#define STARTUP_DISCOVERY_MS 600

static void destroy_stream(void *stream)
{
	waxwing_stream_destroy(stream);
}

static void free_forward(void *pointer)
{
	struct waxwing_forward *forward = pointer;

	waxwing__forward__free_unpacked(forward->message, NULL);
	g_free(forward->id);
	g_free(forward);
}

struct waxwing_dispatcher *
waxwing_dispatcher_create(const struct waxwing_dispatcher_options *options, int64_t now_ms)
{
	struct waxwing_dispatcher *d = g_new0(struct waxwing_dispatcher, 1);
	const struct waxwing_submissions_options submissions = {
		.instance = options->name,
		.incarnation = options->incarnation,
		.window_life_ms = WAXWING_DEFAULT_WINDOW_LIFE_MS,
		.window_grace_ms = WAXWING_DEFAULT_WINDOW_GRACE_MS,
	};
	const struct waxwing_membership_options membership = {
		.name = options->name,
		.domain = options->domain,
		.http_address = options->http_address,
		.peer_address = options->peer_address,
		.incarnation = options->incarnation,
		.seed = options->seed,
	};

	d->ops = options->ops;
	d->context = options->context;
	d->incarnation = options->incarnation;
	d->domain = waxwing_str_dup(options->domain);
	d->submissions = waxwing_submissions_create(&submissions, now_ms);
	d->membership = waxwing_membership_create(&membership, now_ms);
	d->streams = g_hash_table_new_full(waxwing_stream_key_hash, waxwing_stream_key_equal, NULL,
					   destroy_stream);
	d->in_flight = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					     waxwing_dispatcher_free_in_flight);
	d->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_forward);
	d->remote_waiters = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	d->inheritance = waxwing_inherited_windows_create();
	d->retries_left = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	d->seed = options->seed;
	d->random = g_rand_new_with_seed((guint32)options->seed);
	d->cells = g_ptr_array_new();
	d->job_cells = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	waxwing_dispatcher_set_cells(d, now_ms, 1);
	d->created_ms = now_ms;
	return d;
}

void waxwing_dispatcher_destroy(struct waxwing_dispatcher *d)
{
	if (d->handover)
		waxwing_handover_destroy(d->handover);
	waxwing_inherited_windows_destroy(d->inheritance);
	g_hash_table_destroy(d->retries_left);
	g_hash_table_destroy(d->remote_waiters);
	g_hash_table_destroy(d->forwards);
	g_hash_table_destroy(d->in_flight);
	g_hash_table_destroy(d->streams);
	waxwing_membership_destroy(d->membership);
	waxwing_dispatcher_set_cells(d, 0, 0);
	g_ptr_array_free(d->cells, TRUE);
	g_hash_table_destroy(d->job_cells);
	g_rand_free(d->random);
	waxwing_submissions_destroy(d->submissions);
	if (d->settings_store.current)
		waxwing_settings_free(d->settings_store.current);
	g_free(d->domain);
	g_free(d);
}

/* Checks a new job against its branch's limits. A refusal is kept as the id's outcome. */
static enum waxwing_error_code check_job(const struct waxwing_branch *branch,
					 const struct waxwing_job *job, struct waxwing_error *error)
{
	const Waxwing__JobRequest *request = job->request;

	if (!branch)
		return waxwing_error_set(error, WAXWING_ERROR_UNKNOWN_BRANCH, "branch",
					 "no branch %s in the settings", request->branch);
	if (!request->n_tasks)
		return waxwing_error_set(error, WAXWING_ERROR_MISSING, "tasks",
					 "a job needs at least one task");
	if (request->n_tasks > branch->job_tasks)
		return waxwing_error_set(error, WAXWING_ERROR_TOO_MANY, "tasks",
					 "%zu tasks, the branch takes %u", request->n_tasks,
					 branch->job_tasks);
	if (job->bytes > branch->body_bytes)
		return waxwing_error_set(error, WAXWING_ERROR_TOO_LARGE, "tasks",
					 "%" PRIu64 " bytes, the branch takes %u", job->bytes,
					 branch->body_bytes);
	return WAXWING_OK;
}

static void admit_job(struct waxwing_dispatcher *d, int64_t now_ms,
		      const struct waxwing_branch *branch, enum waxwing_submit_kind kind,
		      const struct waxwing_job *job)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	if (check_job(branch, job, &error) != WAXWING_OK)
		waxwing_submissions_refuse(d->submissions, now_ms, job->number, &error);
	else if (kind == WAXWING_SUBMIT_SINGLE)
		waxwing_dispatcher_allow_retries(d, job->number, branch);
	if (error.code == WAXWING_OK)
		waxwing_dispatcher_offer_job(d, now_ms, job);
}

static int64_t job_deadline(const Waxwing__JobRequest *request, const struct waxwing_branch *branch,
			    int64_t now_ms)
{
	if (request->has_deadline_ms)
		return now_ms + request->deadline_ms;
	return now_ms + (branch ? branch->deadline_ms : UNKNOWN_BRANCH_DEADLINE_MS);
}

void waxwing_dispatcher_submit(struct waxwing_dispatcher *d, int64_t now_ms,
			       const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
			       struct waxwing_waiter waiter)
{
	const struct waxwing_settings *settings = d->settings_store.current;
	const struct waxwing_branch *branch = NULL;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_job job;

	waxwing_counter_increment(jobs_submitted);
	if (!settings) {
		waxwing_error_set(&error, WAXWING_ERROR_NOT_READY, "", "no settings yet");
		waxwing_dispatcher_answer_failure(d, waiter, request->id, &error);
		return;
	}
	branch = waxwing_settings_branch(settings, waxwing_str(request->branch));
	switch (waxwing_submissions_submit(d->submissions, now_ms, request,
					   job_deadline(request, branch, now_ms), waiter, &job,
					   &error)) {
	case WAXWING_SUBMIT_NEW:
		admit_job(d, now_ms, branch, kind, &job);
		break;
	case WAXWING_SUBMIT_ATTACHED:
		break;
	case WAXWING_SUBMIT_FINISHED:
		waxwing_dispatcher_deliver_answer(
			d, waiter,
			waxwing_submissions_answer(d->submissions, now_ms,
						   waxwing_str(request->id)));
		break;
	case WAXWING_SUBMIT_FOREIGN_WINDOW:
		if (!waxwing_dispatcher_answer_inherited(d, now_ms, request, waiter))
			waxwing_dispatcher_forward(d, now_ms, request, kind, waiter);
		break;
	case WAXWING_SUBMIT_REFUSED:
		waxwing_dispatcher_answer_failure(d, waiter, request->id, &error);
		break;
	}
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}

bool waxwing_dispatcher_is_alive(const struct waxwing_dispatcher *d, uint64_t incarnation)
{
	struct waxwing_member member;

	if (incarnation == d->incarnation)
		return d->drain == WAXWING_DRAIN_SERVING;
	return waxwing_membership_find_member(d->membership, incarnation, &member) &&
	       member.alive && !member.leaving;
}

struct waxwing_str waxwing_dispatcher_window(struct waxwing_dispatcher *d, int64_t now_ms)
{
	return waxwing_submissions_window(d->submissions, now_ms);
}

void waxwing_dispatcher_set_instances(struct waxwing_dispatcher *d, int64_t now_ms,
				      const struct waxwing_platform_list *list)
{
	waxwing_membership_set_instances(d->membership, now_ms, list);
	waxwing_dispatcher_update_schedulers(d, now_ms);
}

void waxwing_dispatcher_set_upstreams(struct waxwing_dispatcher *d, int64_t now_ms,
				      const struct waxwing_platform_list *list)
{
	waxwing_membership_set_upstreams(d->membership, now_ms, list);
	d->upstreams_known = true;
	waxwing_dispatcher_push_upstreams(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}

static void send_heartbeats(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct waxwing_str addresses[HEARTBEAT_MAX_PEERS];
	Waxwing__Heartbeat heartbeat = WAXWING__HEARTBEAT__INIT;
	size_t watchers;
	Waxwing__Batch batch = WAXWING__BATCH__INIT;
	size_t count = waxwing_membership_next_heartbeat(d->membership, now_ms, &heartbeat,
							 addresses, HEARTBEAT_MAX_PEERS, &watchers);

	batch.from = d->incarnation;
	batch.heartbeat = &heartbeat;
	for (size_t i = 0; i < count; i++) {
		heartbeat.has_watched = heartbeat.watched = i < watchers;
		d->ops->send_batch(d->context, addresses[i], &batch);
	}
}

static void disconnect_released_peers(struct waxwing_dispatcher *d, int64_t now_ms)
{
	char *address;

	while ((address = waxwing_membership_take_released_address(d->membership, now_ms)) !=
	       NULL) {
		d->ops->disconnect_peer(d->context, waxwing_str(address));
		g_free(address);
	}
}

void waxwing_dispatcher_tick(struct waxwing_dispatcher *d, int64_t now_ms)
{
	waxwing_submissions_tick(d->submissions, now_ms);
	waxwing_membership_tick(d->membership, now_ms);
	waxwing_dispatcher_update_schedulers(d, now_ms);
	disconnect_released_peers(d, now_ms);
	waxwing_dispatcher_push_upstreams(d, now_ms);
	waxwing_dispatcher_expire_forwards(d, now_ms);
	waxwing_inherited_windows_tick(d->inheritance, now_ms);
	waxwing_dispatcher_advance_drain(d, now_ms);
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
	send_heartbeats(d, now_ms);
}

int64_t waxwing_dispatcher_next_wake(const struct waxwing_dispatcher *d)
{
	int64_t next_ms = INT64_MAX;

	for (uint32_t i = 0; i < d->cells->len; i++)
		next_ms = MIN(next_ms, waxwing_scheduler_next_wake(
					       waxwing_dispatcher_find_cell(d, i)->scheduler));
	return next_ms;
}

bool waxwing_dispatcher_is_ready(const struct waxwing_dispatcher *d, int64_t now_ms)
{
	return d->settings_store.current && d->upstreams_known &&
	       d->drain == WAXWING_DRAIN_SERVING && now_ms - d->created_ms >= STARTUP_DISCOVERY_MS;
}
