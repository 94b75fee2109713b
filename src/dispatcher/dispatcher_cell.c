/*
 * Scheduler side of the dispatcher: takes issuers' offers and returns grants. It serves every
 * issuer that regards this instance as the scheduler. While instances disagree for a moment about
 * the membership, this costs extra messages, but no answer is lost.
 */
#include "dispatcher_private.h"

#define LOG_COMPONENT "cell"
#include "log.h"

#include <inttypes.h>

/* Minimum time between two sync requests to an issuer. */
#define SYNC_REQUEST_INTERVAL_MS 100
/*
 * Issuers send at least four batches a second. An issuer from which none arrives for this long
 * cannot reach this instance, even if it still reaches other instances, and its slots would never
 * be released.
 */
#define ISSUER_TIMEOUT_MS 1500

static void request_sync(struct waxwing_stream *stream, int64_t now_ms)
{
	if (stream->sync_requested_ms &&
	    now_ms - stream->sync_requested_ms < SYNC_REQUEST_INTERVAL_MS)
		return;
	stream->sync_requested_ms = now_ms;
	stream->want_sync = true;
}

static void send_refusal(struct waxwing_stream *stream, uint64_t job, enum waxwing_error_code code,
			 uint32_t retry_after_ms)
{
	Waxwing__Refusal *refusal = g_new(Waxwing__Refusal, 1);

	waxwing__refusal__init(refusal);
	refusal->job = job;
	refusal->code = code;
	refusal->has_retry_after_ms = true;
	refusal->retry_after_ms = retry_after_ms;
	waxwing_stream_add(stream, WAXWING_STREAM_REFUSAL, &refusal->base);
}

static void receive_offer(struct waxwing_upstream_cell *cell, int64_t now_ms,
			  struct waxwing_stream *stream, const Waxwing__Offer *message,
			  bool readmitted)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	const struct waxwing_offer offer = {
		.key = { .issuer = stream->key.incarnation, .job = message->job },
		.branch = waxwing_str(message->branch),
		.first_task = message->first_task,
		.task_count = message->task_count,
		.admitted_ms = now_ms - message->waited_ms,
		.deadline_ms = now_ms + message->deadline_in_ms,
		.bytes = message->bytes,
		.declared_ms =
			message->n_declared_ms == message->task_count ? message->declared_ms : NULL,
		.readmitted = readmitted,
	};

	if (waxwing_scheduler_offer(cell->scheduler, now_ms, &offer, &error) != WAXWING_OK)
		send_refusal(stream, message->job, error.code, error.retry_after_ms);
}

void waxwing_dispatcher_adopt_task(struct waxwing_dispatcher *d, int64_t now_ms,
				   struct waxwing_upstream_cell *cell, struct waxwing_job_key key,
				   uint32_t task, struct waxwing_str upstream, int64_t started_ms)
{
	struct waxwing_upstream listed;

	waxwing_scheduler_adopt(cell->scheduler, now_ms, key, task, upstream, started_ms);
	if (!waxwing_membership_find_upstream(d->membership, upstream, &listed) ||
	    listed.state == WAXWING_UPSTREAM_REMOVED)
		waxwing_scheduler_set_upstream(cell->scheduler, now_ms, upstream, 0,
					       WAXWING_UPSTREAM_REMOVED);
}

static void receive_held_slot(struct waxwing_dispatcher *d, int64_t now_ms,
			      struct waxwing_upstream_cell *cell, uint64_t issuer,
			      const Waxwing__HeldSlot *held)
{
	const struct waxwing_job_key key = { .issuer = issuer, .job = held->job };

	waxwing_dispatcher_adopt_task(d, now_ms, cell, key, held->task, waxwing_str(held->upstream),
				      now_ms - held->running_ms);
}

static void receive_slot_end(struct waxwing_dispatcher *d, int64_t now_ms,
			     struct waxwing_upstream_cell *cell, uint64_t issuer,
			     const Waxwing__SlotEnd *end)
{
	const struct waxwing_job_key key = { .issuer = issuer, .job = end->job };

	if (end->outcome > WAXWING_SLOT_UNUSED)
		return;
	if (end->outcome == WAXWING_SLOT_LEAVING)
		waxwing_membership_mark_upstream_leaving(d->membership, now_ms,
							 waxwing_str(end->upstream));
	waxwing_scheduler_slot_ended(cell->scheduler, now_ms, key, end->task,
				     waxwing_str(end->upstream), end->outcome, end->run_ms);
}

void waxwing_dispatcher_receive_issuer_batch(struct waxwing_dispatcher *d, int64_t now_ms,
					     struct waxwing_upstream_cell *cell,
					     struct waxwing_stream *stream,
					     const Waxwing__Batch *batch)
{
	uint64_t issuer = stream->key.incarnation;

	if (!batch->issuing)
		return;
	stream->issuer_seen_ms = now_ms;
	if (batch->sync) {
		waxwing_scheduler_forget_issuer(cell->scheduler, now_ms, issuer);
		stream->synced = true;
		stream->peer_epoch = batch->sync_epoch;
	}
	if (!stream->synced) {
		request_sync(stream, now_ms);
		return;
	}
	for (size_t i = 0; i < batch->n_held; i++)
		receive_held_slot(d, now_ms, cell, issuer, batch->held[i]);
	for (size_t i = 0; i < batch->n_ends; i++)
		receive_slot_end(d, now_ms, cell, issuer, batch->ends[i]);
	for (size_t i = 0; i < batch->n_withdrawals; i++)
		waxwing_scheduler_withdraw(
			cell->scheduler, now_ms,
			(struct waxwing_job_key){ issuer, batch->withdrawals[i]->job });
	for (size_t i = 0; i < batch->n_offers; i++)
		receive_offer(cell, now_ms, stream, batch->offers[i], batch->sync);
}

static void send_grant(struct waxwing_dispatcher *d, const struct waxwing_upstream_cell *cell,
		       const struct waxwing_action *action)
{
	struct waxwing_stream *stream =
		waxwing_dispatcher_cell_stream(d, action->key.issuer, cell->index);
	Waxwing__Grant *grant;

	if (!stream)
		return;
	grant = g_new(Waxwing__Grant, 1);
	waxwing__grant__init(grant);
	grant->job = action->key.job;
	grant->task = action->task;
	grant->upstream = waxwing_str_dup(action->upstream);
	grant->grant = action->grant;
	waxwing_stream_add(stream, WAXWING_STREAM_GRANT, &grant->base);
}

static void execute_action(struct waxwing_dispatcher *d, int64_t now_ms,
			   const struct waxwing_upstream_cell *cell,
			   const struct waxwing_action *action)
{
	bool is_local = action->key.issuer == d->incarnation;
	struct waxwing_stream *stream;

	if (action->kind == WAXWING_ACTION_GRANT && is_local) {
		char *upstream = waxwing_str_dup(action->upstream);

		waxwing_dispatcher_handle_grant(d, now_ms, action->key.job, action->task,
						waxwing_str(upstream));
		g_free(upstream);
	} else if (action->kind == WAXWING_ACTION_GRANT) {
		send_grant(d, cell, action);
	} else if (is_local) {
		waxwing_dispatcher_handle_refusal(d, now_ms, action->key.job, action->reason,
						  action->retry_after_ms);
	} else {
		stream = waxwing_dispatcher_cell_stream(d, action->key.issuer, cell->index);
		if (stream)
			send_refusal(stream, action->key.job, action->reason,
				     action->retry_after_ms);
	}
}

void waxwing_dispatcher_run_actions(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct waxwing_action action;

	for (uint32_t i = 0; i < d->cells->len; i++) {
		const struct waxwing_upstream_cell *cell = waxwing_dispatcher_find_cell(d, i);

		while (waxwing_scheduler_next_action(cell->scheduler, now_ms, &action))
			execute_action(d, now_ms, cell, &action);
	}
	waxwing_dispatcher_process_results(d, now_ms);
}

static void drop_issuer(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_stream *stream)
{
	const struct waxwing_upstream_cell *cell =
		waxwing_dispatcher_find_cell(d, stream->key.cell);

	if (cell && stream->synced)
		waxwing_scheduler_issuer_lost(cell->scheduler, now_ms, stream->key.incarnation);
	stream->synced = false;
}

static bool issuer_timed_out(const struct waxwing_stream *stream, int64_t now_ms)
{
	return stream->synced && now_ms - stream->issuer_seen_ms >= ISSUER_TIMEOUT_MS;
}

static void drop_inactive_issuers(struct waxwing_dispatcher *d, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct waxwing_stream *stream = value;
		struct waxwing_member member;
		bool known = waxwing_membership_find_member(d->membership, stream->key.incarnation,
							    &member);

		if (known && member.alive && !issuer_timed_out(stream, now_ms))
			continue;
		drop_issuer(d, now_ms, stream);
		if (!known)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Clears a cell's scheduler after another instance has taken over. Issuers that still regard this
 * instance as the scheduler must send their full state again.
 */
static void stop_scheduling(struct waxwing_dispatcher *d, int64_t now_ms,
			    const struct waxwing_upstream_cell *cell)
{
	GHashTableIter iter;
	void *value;

	waxwing_scheduler_forget_issuer(cell->scheduler, now_ms, d->incarnation);
	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct waxwing_stream *stream = value;

		if (stream->key.cell != cell->index)
			continue;
		if (stream->synced)
			waxwing_scheduler_forget_issuer(cell->scheduler, now_ms,
							stream->key.incarnation);
		stream->synced = false;
	}
}

static void update_scheduler(struct waxwing_dispatcher *d, int64_t now_ms,
			     struct waxwing_upstream_cell *cell)
{
	uint64_t scheduler = waxwing_membership_scheduler(d->membership, cell->index);

	if (scheduler == cell->scheduler_incarnation)
		return;
	log_info("scheduler of cell %u is now %016" PRIx64 "%s", cell->index, scheduler,
		 scheduler == d->incarnation ? " (this instance)" : "");
	waxwing_counter_increment(scheduler_changes);
	if (waxwing_dispatcher_is_scheduler(d, cell))
		stop_scheduling(d, now_ms, cell);
	cell->scheduler_incarnation = scheduler;
	waxwing_dispatcher_sync(d, now_ms, cell);
}

void waxwing_dispatcher_update_schedulers(struct waxwing_dispatcher *d, int64_t now_ms)
{
	drop_inactive_issuers(d, now_ms);
	for (uint32_t i = 0; i < d->cells->len; i++)
		update_scheduler(d, now_ms, waxwing_dispatcher_find_cell(d, i));
}

void waxwing_dispatcher_push_upstreams(struct waxwing_dispatcher *d, int64_t now_ms)
{
	uint64_t version = waxwing_membership_upstreams_version(d->membership);
	struct waxwing_upstream upstream;

	if (d->pushed_upstreams_version == version)
		return;
	for (uint32_t i = 0; i < d->cells->len; i++)
		waxwing_dispatcher_find_cell(d, i)->live_upstreams = 0;
	for (size_t i = 0; waxwing_membership_upstream_at(d->membership, i, &upstream); i++) {
		struct waxwing_upstream_cell *cell =
			waxwing_dispatcher_upstream_cell(d, upstream.name);

		cell->live_upstreams += upstream.state == WAXWING_UPSTREAM_LIVE;
		if (upstream.version > d->pushed_upstreams_version)
			waxwing_scheduler_set_upstream(cell->scheduler, now_ms, upstream.name,
						       upstream.slots, upstream.state);
	}
	d->pushed_upstreams_version = version;
}

struct policy_update {
	struct waxwing_scheduler *scheduler;
	const struct waxwing_settings *settings;
	int64_t now_ms;
};

static void set_branch(struct policy_update *update, const struct waxwing_branch *branch,
		       bool retired)
{
	const struct waxwing_branch_policy policy = {
		.branch = branch->path,
		.team = branch->team,
		.weight = branch->weight,
		.declared_ms = branch->declared_ms,
		.queue_tasks = branch->queue_tasks,
		.retired = retired,
	};

	waxwing_scheduler_set_branch(update->scheduler, update->now_ms, &policy);
}

static void update_branch(void *context, const struct waxwing_branch *branch)
{
	set_branch(context, branch, branch->retired);
}

/* Retires a branch that the new settings no longer have. */
static void retire_if_removed(void *context, const struct waxwing_branch *branch)
{
	struct policy_update *update = context;

	if (!waxwing_settings_branch(update->settings, branch->path))
		set_branch(update, branch, true);
}

/* Returns one cell's part of a quota, rounded up; 0, which means no limit, stays 0. */
static uint32_t quota_per_cell(const struct waxwing_dispatcher *d, uint32_t quota)
{
	uint32_t cells = MAX(d->cells->len, 1);

	return quota / cells + (quota % cells != 0);
}

static void push_teams(struct waxwing_dispatcher *d, int64_t now_ms,
		       struct waxwing_upstream_cell *cell, const Waxwing__Tree *tree)
{
	for (size_t i = 0; i < tree->n_teams; i++) {
		const struct waxwing_team_policy policy = {
			.team = waxwing_str(tree->teams[i]->name),
			.slots = quota_per_cell(d, tree->teams[i]->slots),
			.queued_tasks = quota_per_cell(d, tree->teams[i]->queued_tasks),
		};

		waxwing_scheduler_set_team(cell->scheduler, now_ms, &policy);
	}
}

void waxwing_dispatcher_push_policies(struct waxwing_dispatcher *d, int64_t now_ms,
				      struct waxwing_upstream_cell *cell,
				      const struct waxwing_settings *old,
				      const struct waxwing_settings *settings)
{
	const struct waxwing_limits *limits = waxwing_settings_limits(settings);
	struct policy_update update = { cell->scheduler, settings, now_ms };

	waxwing_scheduler_set_limits(cell->scheduler, limits->queue_tasks, limits->queue_bytes);
	push_teams(d, now_ms, cell, waxwing_settings_tree(settings));
	waxwing_settings_each_branch(settings, update_branch, &update);
	if (old)
		waxwing_settings_each_branch(old, retire_if_removed, &update);
}
