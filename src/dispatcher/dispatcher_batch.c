/* Batches exchanged with peers, over one stream per peer and cell. */
#include "dispatcher_private.h"

/* Idle time on a stream to a scheduler or an issuer after which an empty batch is sent. */
#define KEEPALIVE_MS 250

struct waxwing_stream *waxwing_dispatcher_cell_stream(struct waxwing_dispatcher *d,
						      uint64_t incarnation, uint32_t cell)
{
	struct waxwing_stream_key key = { incarnation, cell };
	struct waxwing_stream *stream = g_hash_table_lookup(d->streams, &key);
	struct waxwing_member member;

	if (stream)
		return stream;
	if (incarnation == d->incarnation ||
	    !waxwing_membership_find_member(d->membership, incarnation, &member))
		return NULL;
	stream = waxwing_stream_create(key, member.peer_address);
	g_hash_table_insert(d->streams, &stream->key, stream);
	return stream;
}

struct waxwing_stream *waxwing_dispatcher_stream(struct waxwing_dispatcher *d, uint64_t incarnation)
{
	return waxwing_dispatcher_cell_stream(d, incarnation, 0);
}

static void receive_refusal(struct waxwing_dispatcher *d, int64_t now_ms,
			    const struct waxwing_upstream_cell *cell,
			    const Waxwing__Refusal *refusal)
{
	if (refusal->code == WAXWING_ERROR_OVERLOAD)
		waxwing_dispatcher_record_refusal(d, now_ms, cell, refusal);
	waxwing_dispatcher_handle_refusal(d, now_ms, refusal->job, refusal->code,
					  refusal->retry_after_ms);
}

/*
 * Ignores grants and refusals unless they come from the current scheduler and belong to the current
 * sync.
 */
static void receive_grants(struct waxwing_dispatcher *d, int64_t now_ms,
			   const struct waxwing_upstream_cell *cell, const Waxwing__Batch *batch)
{
	if (batch->from != cell->scheduler_incarnation ||
	    batch->granted_epoch != cell->sync_epoch) {
		atomic_fetch_add(&waxwing_counters.grants_void, batch->n_grants);
		return;
	}
	for (size_t i = 0; i < batch->n_grants; i++)
		waxwing_dispatcher_handle_grant(d, now_ms, batch->grants[i]->job,
						batch->grants[i]->task,
						waxwing_str(batch->grants[i]->upstream));
	for (size_t i = 0; i < batch->n_refusals; i++)
		receive_refusal(d, now_ms, cell, batch->refusals[i]);
}

static void check_sequence(struct waxwing_dispatcher *d, int64_t now_ms,
			   struct waxwing_upstream_cell *cell, struct waxwing_stream *stream,
			   const Waxwing__Batch *batch)
{
	if (!batch->has_sequence || !waxwing_stream_check_sequence(stream, batch->sequence))
		return;
	waxwing_counter_increment(gaps);
	stream->synced = false;
	if (cell && stream->key.incarnation == cell->scheduler_incarnation)
		waxwing_dispatcher_sync(d, now_ms, cell);
}

/*
 * Processes the fields of a batch that concern a cell. Ignores them if this instance does not have
 * the cell, since a peer may already use more cells.
 */
static void receive_cell_fields(struct waxwing_dispatcher *d, int64_t now_ms,
				struct waxwing_upstream_cell *cell, struct waxwing_stream *stream,
				const Waxwing__Batch *batch)
{
	if (!cell)
		return;
	if (batch->has_expected_wait_ms) {
		stream->peer_wait_ms = batch->expected_wait_ms;
		stream->peer_wait_received_ms = now_ms;
	}
	waxwing_dispatcher_receive_issuer_batch(d, now_ms, cell, stream, batch);
	receive_grants(d, now_ms, cell, batch);
	if (batch->want_sync && batch->from == cell->scheduler_incarnation)
		waxwing_dispatcher_sync(d, now_ms, cell);
}

static void receive_stream_batch(struct waxwing_dispatcher *d, int64_t now_ms,
				 struct waxwing_stream *stream, const Waxwing__Batch *batch)
{
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_find_cell(d, stream->key.cell);

	check_sequence(d, now_ms, cell, stream, batch);
	receive_cell_fields(d, now_ms, cell, stream, batch);
	waxwing_dispatcher_receive_handovers(d, now_ms, stream, batch);
	for (size_t i = 0; i < batch->n_forwards; i++)
		waxwing_dispatcher_receive_forward(d, now_ms, stream, batch->forwards[i]);
	for (size_t i = 0; i < batch->n_answers; i++)
		waxwing_dispatcher_receive_forward_answer(d, batch->answers[i]);
	if (batch->settings)
		waxwing_dispatcher_receive_settings(d, now_ms, batch->settings);
	waxwing_dispatcher_receive_upstreams(d, now_ms, batch);
	if (batch->want_settings)
		waxwing_dispatcher_send_settings(d, stream, batch->settings_head);
}

void waxwing_dispatcher_receive_batch(struct waxwing_dispatcher *d, int64_t now_ms,
				      const Waxwing__Batch *batch)
{
	struct waxwing_stream *stream;

	if (batch->from == d->incarnation || (batch->has_to && batch->to != d->incarnation))
		return;
	if (batch->heartbeat) {
		waxwing_membership_receive_heartbeat(d->membership, now_ms, batch->heartbeat);
		waxwing_dispatcher_request_settings(d, now_ms, batch->heartbeat);
	}
	stream = waxwing_dispatcher_cell_stream(d, batch->from, batch->cell);
	waxwing_membership_receive_batch(d->membership, now_ms, batch->from);
	if (stream)
		receive_stream_batch(d, now_ms, stream, batch);
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}

static bool is_scheduler_stream(const struct waxwing_upstream_cell *cell,
				const struct waxwing_stream *stream)
{
	return cell && stream->key.incarnation == cell->scheduler_incarnation;
}

static bool keepalive_due(const struct waxwing_upstream_cell *cell,
			  const struct waxwing_stream *stream, int64_t now_ms)
{
	return (stream->synced || is_scheduler_stream(cell, stream)) &&
	       now_ms - stream->last_sent_ms >= KEEPALIVE_MS;
}

static void fill_cell_fields(const struct waxwing_upstream_cell *cell,
			     const struct waxwing_stream *stream, Waxwing__Batch *batch)
{
	batch->has_issuing = batch->issuing = is_scheduler_stream(cell, stream);
	batch->has_sync_epoch = true;
	batch->sync_epoch = cell->sync_epoch;
	batch->has_granted_epoch = true;
	batch->granted_epoch = stream->peer_epoch;
	batch->has_expected_wait_ms = stream->synced;
	batch->expected_wait_ms = waxwing_scheduler_expected_wait(cell->scheduler);
}

static void flush_stream(struct waxwing_dispatcher *d, struct waxwing_stream *stream,
			 int64_t now_ms)
{
	struct waxwing_upstream_cell *cell = waxwing_dispatcher_find_cell(d, stream->key.cell);
	Waxwing__Batch batch = WAXWING__BATCH__INIT;

	stream->sync = stream->sync && is_scheduler_stream(cell, stream);
	if (!waxwing_stream_has_pending(stream) && !keepalive_due(cell, stream, now_ms))
		return;
	if (stream->sync)
		waxwing_dispatcher_fill_sync(d, now_ms, cell, stream);
	waxwing_stream_fill_batch(stream, &batch);
	batch.from = d->incarnation;
	batch.has_to = true;
	batch.to = stream->key.incarnation;
	if (cell)
		fill_cell_fields(cell, stream, &batch);
	d->ops->send_batch(d->context, waxwing_str(stream->address), &batch);
	stream->last_sent_ms = now_ms;
	waxwing_stream_clear_pending(stream);
}

void waxwing_dispatcher_flush(struct waxwing_dispatcher *d, int64_t now_ms)
{
	GHashTableIter iter;
	void *stream;

	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &stream))
		flush_stream(d, stream, now_ms);
}
