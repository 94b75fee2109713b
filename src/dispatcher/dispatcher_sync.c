/*
 * The issuer's whole state in a cell, told to the cell's scheduler: what is queued and which slots are held.
 */
#include "dispatcher_private.h"

struct sync_walk {
	struct waxwing_dispatcher *dispatcher;
	struct waxwing_cell *cell;
	struct waxwing_stream *stream; /* null: the scheduler is our own */
	int64_t now_ms;
};

static void sync_queued(void *context, const struct waxwing_job *job, uint32_t first,
			uint32_t count)
{
	struct sync_walk *walk = context;

	if (waxwing_dispatcher_job_cell(walk->dispatcher, job->number) == walk->cell)
		waxwing_dispatcher_offer_tasks(walk->dispatcher, walk->now_ms, job, first, count,
					       true);
}

/* A held task is offered too: the scheduler passes it over, but knows its job if it comes back. */
static void sync_committed(void *context, const struct waxwing_job *job, uint32_t task)
{
	sync_queued(context, job, task, 1);
}

static Waxwing__HeldSlot *held_message(const struct waxwing_in_flight *record, int64_t now_ms)
{
	Waxwing__HeldSlot *held = g_new(Waxwing__HeldSlot, 1);

	waxwing__held_slot__init(held);
	held->job = record->job;
	held->task = record->task;
	held->upstream = g_strdup(record->upstream);
	held->running_ms = (uint32_t)MAX(now_ms - record->started_ms, 0);
	return held;
}

static void sync_slot(struct sync_walk *walk, const struct waxwing_in_flight *record)
{
	struct waxwing_dispatcher *d = walk->dispatcher;

	if (waxwing_dispatcher_upstream_cell(d, waxwing_str(record->upstream)) != walk->cell)
		return;
	if (walk->stream)
		waxwing_stream_add(walk->stream, WAXWING_STREAM_HELD,
				   &held_message(record, walk->now_ms)->base);
	else
		waxwing_dispatcher_adopt(d, walk->now_ms, walk->cell,
					 waxwing_dispatcher_own_key(d, record->job), record->task,
					 waxwing_str(record->upstream), record->started_ms);
}

static void sync_held(struct sync_walk *walk)
{
	GHashTableIter iter;
	void *records;

	g_hash_table_iter_init(&iter, walk->dispatcher->in_flight);
	while (g_hash_table_iter_next(&iter, NULL, &records))
		for (guint i = 0; i < ((GPtrArray *)records)->len; i++)
			sync_slot(walk, g_ptr_array_index((GPtrArray *)records, i));
}

static void sync_all(struct sync_walk *walk)
{
	struct waxwing_submissions *submissions = walk->dispatcher->submissions;

	sync_held(walk);
	waxwing_submissions_each_committed(submissions, sync_committed, walk);
	waxwing_submissions_each_queued(submissions, sync_queued, walk);
}

void waxwing_dispatcher_sync(struct waxwing_dispatcher *d, int64_t now_ms,
			     struct waxwing_cell *cell)
{
	struct sync_walk walk = { .dispatcher = d, .cell = cell, .now_ms = now_ms };
	struct waxwing_stream *stream;

	cell->sync_epoch++;
	waxwing_count(syncs);
	if (waxwing_dispatcher_schedules(d, cell)) {
		waxwing_scheduler_forget_issuer(cell->scheduler, now_ms, d->incarnation);
		sync_all(&walk);
		return;
	}
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduling, cell->index);
	if (stream)
		stream->sync = true;
}

void waxwing_dispatcher_fill_sync(struct waxwing_dispatcher *d, int64_t now_ms,
				  struct waxwing_cell *cell, struct waxwing_stream *stream)
{
	struct sync_walk walk = {
		.dispatcher = d, .cell = cell, .stream = stream, .now_ms = now_ms
	};

	waxwing_stream_clear_issuing(stream);
	sync_all(&walk);
}
