/*
 * The instance as scheduler of its cell: peers' offers go in, grants go out. The module serves whoever
 * takes it for the scheduler, so that views which differ for a moment cost messages, not answers.
 */
#include "dispatcher_private.h"

#define LOG_PART "cell"
#include "log.h"

#include <inttypes.h>

/* Least time between two requests of a sync from one issuer. */
#define ASK_AGAIN_MS 100
/*
 * An issuer speaks four times a second; one silent for this long is cut off from us, though others may
 * hear it, and its slots would never come back.
 */
#define ISSUER_SILENT_MS 1500

static void ask_sync(struct waxwing_stream *stream, int64_t now_ms)
{
	if (stream->asked_ms && now_ms - stream->asked_ms < ASK_AGAIN_MS)
		return;
	stream->asked_ms = now_ms;
	stream->want_sync = true;
}

static void refuse_peer(struct waxwing_stream *stream, uint64_t job, enum waxwing_error_code code,
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

static void take_offer(struct waxwing_cell *cell, int64_t now_ms, struct waxwing_stream *stream,
		       const Waxwing__Offer *message, bool readmitted)
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
		refuse_peer(stream, message->job, error.code, error.retry_after_ms);
}

void waxwing_dispatcher_adopt(struct waxwing_dispatcher *d, int64_t now_ms,
			      struct waxwing_cell *cell, struct waxwing_job_key key, uint32_t task,
			      struct waxwing_str upstream, int64_t started_ms)
{
	struct waxwing_upstream known;

	waxwing_scheduler_adopt(cell->scheduler, now_ms, key, task, upstream, started_ms);
	if (!waxwing_membership_find_upstream(d->membership, upstream, &known) ||
	    known.state == WAXWING_UPSTREAM_GONE)
		waxwing_scheduler_set_upstream(cell->scheduler, now_ms, upstream, 0,
					       WAXWING_UPSTREAM_GONE);
}

static void take_held(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_cell *cell,
		      uint64_t issuer, const Waxwing__HeldSlot *held)
{
	const struct waxwing_job_key key = { .issuer = issuer, .job = held->job };

	waxwing_dispatcher_adopt(d, now_ms, cell, key, held->task, waxwing_str(held->upstream),
				 now_ms - held->running_ms);
}

static void take_end(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_cell *cell,
		     uint64_t issuer, const Waxwing__SlotEnd *end)
{
	const struct waxwing_job_key key = { .issuer = issuer, .job = end->job };

	if (end->outcome > WAXWING_SLOT_UNUSED)
		return;
	if (end->outcome == WAXWING_SLOT_LEAVING)
		waxwing_membership_upstream_leaving(d->membership, now_ms,
						    waxwing_str(end->upstream));
	waxwing_scheduler_ended(cell->scheduler, now_ms, key, end->task, waxwing_str(end->upstream),
				end->outcome, end->run_ms);
}

void waxwing_dispatcher_serve_issuer(struct waxwing_dispatcher *d, int64_t now_ms,
				     struct waxwing_cell *cell, struct waxwing_stream *stream,
				     const Waxwing__Batch *batch)
{
	uint64_t issuer = stream->key.incarnation;

	if (!batch->issuing)
		return;
	stream->issuing_ms = now_ms;
	if (batch->sync) {
		waxwing_scheduler_forget_issuer(cell->scheduler, now_ms, issuer);
		stream->synced = true;
		stream->peer_epoch = batch->sync_epoch;
	}
	if (!stream->synced) {
		ask_sync(stream, now_ms);
		return;
	}
	for (size_t i = 0; i < batch->n_held; i++)
		take_held(d, now_ms, cell, issuer, batch->held[i]);
	for (size_t i = 0; i < batch->n_ends; i++)
		take_end(d, now_ms, cell, issuer, batch->ends[i]);
	for (size_t i = 0; i < batch->n_withdrawals; i++)
		waxwing_scheduler_withdraw(
			cell->scheduler, now_ms,
			(struct waxwing_job_key){ issuer, batch->withdrawals[i]->job });
	for (size_t i = 0; i < batch->n_offers; i++)
		take_offer(cell, now_ms, stream, batch->offers[i], batch->sync);
}

static void grant_peer(struct waxwing_dispatcher *d, const struct waxwing_cell *cell,
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

static void carry_out(struct waxwing_dispatcher *d, int64_t now_ms, const struct waxwing_cell *cell,
		      const struct waxwing_action *action)
{
	bool own = action->key.issuer == d->incarnation;
	struct waxwing_stream *stream;

	if (action->kind == WAXWING_ACTION_GRANT && own) {
		char *upstream = waxwing_str_dup(action->upstream);

		waxwing_dispatcher_granted(d, now_ms, action->key.job, action->task,
					   waxwing_str(upstream));
		g_free(upstream);
	} else if (action->kind == WAXWING_ACTION_GRANT) {
		grant_peer(d, cell, action);
	} else if (own) {
		waxwing_dispatcher_refused(d, now_ms, action->key.job, action->reason,
					   action->retry_after_ms);
	} else {
		stream = waxwing_dispatcher_cell_stream(d, action->key.issuer, cell->index);
		if (stream)
			refuse_peer(stream, action->key.job, action->reason,
				    action->retry_after_ms);
	}
}

void waxwing_dispatcher_pump(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct waxwing_action action;

	for (uint32_t i = 0; i < d->cells->len; i++) {
		const struct waxwing_cell *cell = waxwing_dispatcher_cell(d, i);

		while (waxwing_scheduler_take(cell->scheduler, now_ms, &action))
			carry_out(d, now_ms, cell, &action);
	}
	waxwing_dispatcher_settle_jobs(d, now_ms);
}

static void issuer_gone(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_stream *stream)
{
	const struct waxwing_cell *cell = waxwing_dispatcher_cell(d, stream->key.cell);

	if (cell && stream->synced)
		waxwing_scheduler_issuer_gone(cell->scheduler, now_ms, stream->key.incarnation);
	stream->synced = false;
}

static bool is_silent(const struct waxwing_stream *stream, int64_t now_ms)
{
	return stream->synced && now_ms - stream->issuing_ms >= ISSUER_SILENT_MS;
}

static void drop_dead_streams(struct waxwing_dispatcher *d, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct waxwing_stream *stream = value;
		struct waxwing_member member;
		bool known =
			waxwing_membership_find(d->membership, stream->key.incarnation, &member);

		if (known && member.alive && !is_silent(stream, now_ms))
			continue;
		issuer_gone(d, now_ms, stream);
		if (!known)
			g_hash_table_iter_remove(&iter);
	}
}

/* Another instance schedules now: whoever still takes us for it has to tell everything again. */
static void resign(struct waxwing_dispatcher *d, int64_t now_ms, const struct waxwing_cell *cell)
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

static void review_cell(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_cell *cell)
{
	uint64_t scheduler = waxwing_membership_scheduler(d->membership, cell->index);

	if (scheduler == cell->scheduling)
		return;
	log_info("scheduler of cell %u is now %016" PRIx64 "%s", cell->index, scheduler,
		 scheduler == d->incarnation ? " (this instance)" : "");
	waxwing_count(scheduler_changes);
	if (waxwing_dispatcher_schedules(d, cell))
		resign(d, now_ms, cell);
	cell->scheduling = scheduler;
	waxwing_dispatcher_sync(d, now_ms, cell);
}

void waxwing_dispatcher_review_scheduler(struct waxwing_dispatcher *d, int64_t now_ms)
{
	drop_dead_streams(d, now_ms);
	for (uint32_t i = 0; i < d->cells->len; i++)
		review_cell(d, now_ms, waxwing_dispatcher_cell(d, i));
}

void waxwing_dispatcher_push_upstreams(struct waxwing_dispatcher *d, int64_t now_ms)
{
	uint64_t version = waxwing_membership_upstreams_version(d->membership);
	struct waxwing_upstream upstream;

	if (d->pushed_version == version)
		return;
	for (uint32_t i = 0; i < d->cells->len; i++)
		waxwing_dispatcher_cell(d, i)->upstreams = 0;
	for (size_t i = 0; waxwing_membership_upstream(d->membership, i, &upstream); i++) {
		struct waxwing_cell *cell = waxwing_dispatcher_upstream_cell(d, upstream.name);

		cell->upstreams += upstream.state == WAXWING_UPSTREAM_LIVE;
		if (upstream.version > d->pushed_version)
			waxwing_scheduler_set_upstream(cell->scheduler, now_ms, upstream.name,
						       upstream.slots, upstream.state);
	}
	d->pushed_version = version;
}

struct policy_walk {
	struct waxwing_scheduler *scheduler;
	const struct waxwing_settings *settings;
	int64_t now_ms;
};

static void set_branch(struct policy_walk *walk, const struct waxwing_branch *branch, bool retired)
{
	const struct waxwing_branch_policy policy = {
		.branch = branch->path,
		.team = branch->team,
		.weight = branch->weight,
		.declared_ms = branch->declared_ms,
		.queue_tasks = branch->queue_tasks,
		.retired = retired,
	};

	waxwing_scheduler_set_branch(walk->scheduler, walk->now_ms, &policy);
}

static void push_branch(void *context, const struct waxwing_branch *branch)
{
	set_branch(context, branch, branch->retired);
}

/* A branch that has left the tree takes nothing more. */
static void retire_missing(void *context, const struct waxwing_branch *branch)
{
	struct policy_walk *walk = context;

	if (!waxwing_settings_branch(walk->settings, branch->path))
		set_branch(walk, branch, true);
}

/* A quota's part of one cell, rounded up; 0 stays no limit. */
static uint32_t share(const struct waxwing_dispatcher *d, uint32_t quota)
{
	uint32_t cells = MAX(d->cells->len, 1);

	return quota / cells + (quota % cells != 0);
}

static void push_teams(struct waxwing_dispatcher *d, int64_t now_ms, struct waxwing_cell *cell,
		       const Waxwing__Tree *tree)
{
	for (size_t i = 0; i < tree->n_teams; i++) {
		const struct waxwing_team_policy policy = {
			.team = waxwing_str(tree->teams[i]->name),
			.slots = share(d, tree->teams[i]->slots),
			.queued_tasks = share(d, tree->teams[i]->queued_tasks),
		};

		waxwing_scheduler_set_team(cell->scheduler, now_ms, &policy);
	}
}

void waxwing_dispatcher_push_policies(struct waxwing_dispatcher *d, int64_t now_ms,
				      struct waxwing_cell *cell, const struct waxwing_settings *old,
				      const struct waxwing_settings *settings)
{
	const struct waxwing_limits *limits = waxwing_settings_limits(settings);
	struct policy_walk walk = { cell->scheduler, settings, now_ms };

	waxwing_scheduler_set_limits(cell->scheduler, limits->queue_tasks, limits->queue_bytes);
	push_teams(d, now_ms, cell, waxwing_settings_tree(settings));
	waxwing_settings_each_branch(settings, push_branch, &walk);
	if (old)
		waxwing_settings_each_branch(old, retire_missing, &walk);
}
