/*
 * The cells that the upstreams of the domain form, and which of them a job is offered in.
 */
#include "dispatcher_private.h"

#define LOG_PART "cells"
#include "log.h"

static struct waxwing_cell *cell_create(struct waxwing_dispatcher *d, uint32_t index)
{
	struct waxwing_cell *cell = g_new0(struct waxwing_cell, 1);
	const struct waxwing_scheduler_options options = { .seed = d->seed + index };

	cell->index = index;
	cell->scheduler = waxwing_scheduler_create(&options);
	cell->scheduling = d->incarnation;
	cell->sync_epoch = 1;
	cell->advice = waxwing_advice_create();
	return cell;
}

static void destroy_cells(struct waxwing_dispatcher *d)
{
	for (uint32_t i = 0; i < d->cells->len; i++) {
		struct waxwing_cell *cell = g_ptr_array_index(d->cells, i);

		waxwing_scheduler_destroy(cell->scheduler);
		waxwing_advice_destroy(cell->advice);
		g_free(cell);
	}
	g_ptr_array_set_size(d->cells, 0);
}

/* What peers told is about cells that are no more. */
static void unsync_streams(struct waxwing_dispatcher *d)
{
	GHashTableIter iter;
	void *stream;

	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &stream))
		((struct waxwing_stream *)stream)->synced = false;
}

/* Sync epochs go on across a change, so that no grant of an old cell can pass for a new one's. */
static void create_cells(struct waxwing_dispatcher *d, int64_t now_ms, uint32_t cells,
			 uint64_t epoch)
{
	for (uint32_t i = 0; i < cells; i++) {
		struct waxwing_cell *cell = cell_create(d, i);

		cell->sync_epoch = epoch;
		g_ptr_array_add(d->cells, cell);
	}
	if (d->store.current)
		for (uint32_t i = 0; i < cells; i++)
			waxwing_dispatcher_push_policies(d, now_ms, waxwing_dispatcher_cell(d, i),
							 NULL, d->store.current);
	d->pushed_version = 0;
	waxwing_dispatcher_push_upstreams(d, now_ms);
}

void waxwing_dispatcher_set_cells(struct waxwing_dispatcher *d, int64_t now_ms, uint32_t cells)
{
	uint64_t epoch = 1;

	if (d->cells->len == cells)
		return;
	for (uint32_t i = 0; i < d->cells->len; i++)
		epoch = MAX(epoch, waxwing_dispatcher_cell(d, i)->sync_epoch + 1);
	destroy_cells(d);
	if (!cells)
		return;
	if (d->store.current)
		log_info("the upstreams of %s form %u cells", d->domain, cells);
	unsync_streams(d);
	waxwing_membership_set_cells(d->membership, cells);
	create_cells(d, now_ms, cells, epoch);
	for (uint32_t i = 0; i < cells; i++) {
		struct waxwing_cell *cell = waxwing_dispatcher_cell(d, i);

		cell->scheduling = waxwing_membership_scheduler(d->membership, i);
		waxwing_dispatcher_sync(d, now_ms, cell);
	}
}

struct waxwing_cell *waxwing_dispatcher_cell(const struct waxwing_dispatcher *d, uint32_t index)
{
	return index < d->cells->len ? g_ptr_array_index(d->cells, index) : NULL;
}

struct waxwing_cell *waxwing_dispatcher_upstream_cell(const struct waxwing_dispatcher *d,
						      struct waxwing_str upstream)
{
	return waxwing_dispatcher_cell(d,
				       (uint32_t)(waxwing_str_hash(upstream, 0) % d->cells->len));
}

/* A cell at random that has upstreams; any when none has. */
static const struct waxwing_cell *draw(struct waxwing_dispatcher *d)
{
	uint32_t first = (uint32_t)g_rand_int_range(d->random, 0, (gint32)d->cells->len);

	for (uint32_t i = 0; i < d->cells->len; i++) {
		uint32_t index = (first + i) % d->cells->len;

		if (waxwing_dispatcher_cell(d, index)->upstreams)
			return waxwing_dispatcher_cell(d, index);
	}
	return waxwing_dispatcher_cell(d, first);
}

static uint32_t expected_wait(struct waxwing_dispatcher *d, const struct waxwing_cell *cell)
{
	const struct waxwing_stream *stream;

	if (waxwing_dispatcher_schedules(d, cell))
		return waxwing_scheduler_expected_wait(cell->scheduler);
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduling, cell->index);
	return stream ? stream->peer_wait_ms : UINT32_MAX;
}

void waxwing_dispatcher_place_job(struct waxwing_dispatcher *d, uint64_t job)
{
	const struct waxwing_cell *cell = waxwing_dispatcher_cell(d, 0);
	const struct waxwing_cell *other;

	if (d->cells->len > 1) {
		cell = draw(d);
		other = draw(d);
		if (expected_wait(d, other) < expected_wait(d, cell))
			cell = other;
	}
	g_hash_table_insert(d->job_cells, g_memdup2(&job, sizeof(job)),
			    GUINT_TO_POINTER(cell->index));
}

struct waxwing_cell *waxwing_dispatcher_job_cell(const struct waxwing_dispatcher *d, uint64_t job)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(d->job_cells, &job));

	return waxwing_dispatcher_cell(d, index % d->cells->len);
}

void waxwing_dispatcher_forget_job(struct waxwing_dispatcher *d, uint64_t number)
{
	struct waxwing_job job;

	if (waxwing_submissions_job(d->submissions, number, &job))
		return;
	g_hash_table_remove(d->job_cells, &number);
	g_hash_table_remove(d->retries, &number);
}
