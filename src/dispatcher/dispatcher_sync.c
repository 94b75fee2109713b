/*
 * Sync: an issuer's full state in a cell, sent to the cell's scheduler. It consists of the queued
 * tasks and the slots in use.
 */
#include "dispatcher_private.h"

struct sync_context {
	struct waxwing_dispatcher *dispatcher;
	struct waxwing_upstream_cell *cell;
	struct waxwing_stream *stream; /* null if this instance is the scheduler */
	int64_t now_ms;
};

static void sync_queued(void *context, const struct waxwing_job *job, uint32_t first,
			uint32_t count)
{
	struct sync_context *sync = context;

	if (waxwing_dispatcher_job_cell(sync->dispatcher, job->number) == sync->cell)
		waxwing_dispatcher_offer_tasks(sync->dispatcher, sync->now_ms, job, first, count,
					       true);
}

/*
 * Offers a committed task as well. The scheduler does not place it again, but knows its job if the
 * task must be queued again.
 */
static void sync_committed(void *context, const struct waxwing_job *job, uint32_t task)
{
	sync_queued(context, job, task, 1);
}

static Waxwing__HeldSlot *held_message(const struct waxwing_in_flight_task *record, int64_t now_ms)
{
	Waxwing__HeldSlot *held = g_new(Waxwing__HeldSlot, 1);

	waxwing__held_slot__init(held);
	held->job = record->job;
	held->task = record->task;
	held->upstream = g_strdup(record->upstream);
	held->running_ms = (uint32_t)MAX(now_ms - record->started_ms, 0);
	return held;
}

static void sync_slot(struct sync_context *sync, const struct waxwing_in_flight_task *record)
{
	struct waxwing_dispatcher *d = sync->dispatcher;

	if (waxwing_dispatcher_upstream_cell(d, waxwing_str(record->upstream)) != sync->cell)
		return;
	if (sync->stream)
		waxwing_stream_add(sync->stream, WAXWING_STREAM_HELD,
				   &held_message(record, sync->now_ms)->base);
	else
		waxwing_dispatcher_adopt_task(
			d, sync->now_ms, sync->cell, waxwing_dispatcher_job_key(d, record->job),
			record->task, waxwing_str(record->upstream), record->started_ms);
}

static void sync_held_slots(struct sync_context *sync)
{
	GHashTableIter iter;
	void *records;

	g_hash_table_iter_init(&iter, sync->dispatcher->in_flight);
	while (g_hash_table_iter_next(&iter, NULL, &records))
		for (guint i = 0; i < ((GPtrArray *)records)->len; i++)
			sync_slot(sync, g_ptr_array_index((GPtrArray *)records, i));
}

static void send_state(struct sync_context *sync)
{
	struct waxwing_submissions *submissions = sync->dispatcher->submissions;

	sync_held_slots(sync);
	waxwing_submissions_each_committed(submissions, sync_committed, sync);
	waxwing_submissions_each_queued(submissions, sync_queued, sync);
}

void waxwing_dispatcher_sync(struct waxwing_dispatcher *d, int64_t now_ms,
			     struct waxwing_upstream_cell *cell)
{
	struct sync_context sync = { .dispatcher = d, .cell = cell, .now_ms = now_ms };
	struct waxwing_stream *stream;

	cell->sync_epoch++;
	waxwing_counter_increment(syncs);
	if (waxwing_dispatcher_is_scheduler(d, cell)) {
		waxwing_scheduler_forget_issuer(cell->scheduler, now_ms, d->incarnation);
		send_state(&sync);
		return;
	}
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduler_incarnation, cell->index);
	if (stream)
		stream->sync = true;
}

void waxwing_dispatcher_fill_sync(struct waxwing_dispatcher *d, int64_t now_ms,
				  struct waxwing_upstream_cell *cell, struct waxwing_stream *stream)
{
	struct sync_context sync = {
		.dispatcher = d, .cell = cell, .stream = stream, .now_ms = now_ms
	};

	waxwing_stream_clear_issuer(stream);
	send_state(&sync);
}
