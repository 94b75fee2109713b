/* The cells of the domain's upstreams, and the assignment of jobs to cells. */
#include "dispatcher_private.h"

#define LOG_COMPONENT "cells"
#include "log.h"

static struct waxwing_upstream_cell *cell_create(struct waxwing_dispatcher *d, uint32_t index)
{
	struct waxwing_upstream_cell *cell = g_new0(struct waxwing_upstream_cell, 1);
	const struct waxwing_scheduler_options options = { .seed = d->seed + index };

	cell->index = index;
	cell->scheduler = waxwing_scheduler_create(&options);
	cell->scheduler_incarnation = d->incarnation;
	cell->sync_epoch = 1;
	cell->admission_hints = waxwing_admission_hints_create();
	return cell;
}

static void destroy_cells(struct waxwing_dispatcher *d)
{
	for (uint32_t i = 0; i < d->cells->len; i++) {
		struct waxwing_upstream_cell *cell = g_ptr_array_index(d->cells, i);

		waxwing_scheduler_destroy(cell->scheduler);
		waxwing_admission_hints_destroy(cell->admission_hints);
		g_free(cell);
	}
	g_ptr_array_set_size(d->cells, 0);
}

/* Invalidates the state received from issuers, which is about cells that no longer exist. */
static void clear_synced(struct waxwing_dispatcher *d)
{
	GHashTableIter iter;
	void *stream;

	g_hash_table_iter_init(&iter, d->streams);
	while (g_hash_table_iter_next(&iter, NULL, &stream))
		((struct waxwing_stream *)stream)->synced = false;
}

/*
 * Creates cells whose sync epochs continue after those of the previous cells, so that no grant of
 * an old cell is mistaken for a grant of a new cell.
 */
static void create_cells(struct waxwing_dispatcher *d, int64_t now_ms, uint32_t cells,
			 uint64_t epoch)
{
	for (uint32_t i = 0; i < cells; i++) {
		struct waxwing_upstream_cell *cell = cell_create(d, i);

		cell->sync_epoch = epoch;
		g_ptr_array_add(d->cells, cell);
	}
	if (d->settings_store.current)
		for (uint32_t i = 0; i < cells; i++)
			waxwing_dispatcher_push_policies(d, now_ms,
							 waxwing_dispatcher_find_cell(d, i), NULL,
							 d->settings_store.current);
	d->pushed_upstreams_version = 0;
	waxwing_dispatcher_push_upstreams(d, now_ms);
}

void waxwing_dispatcher_set_cells(struct waxwing_dispatcher *d, int64_t now_ms, uint32_t cells)
{
	uint64_t epoch = 1;

	if (d->cells->len == cells)
		return;
	for (uint32_t i = 0; i < d->cells->len; i++)
		epoch = MAX(epoch, waxwing_dispatcher_find_cell(d, i)->sync_epoch + 1);
	destroy_cells(d);
	if (!cells)
		return;
	if (d->settings_store.current)
		log_info("the upstreams of domain %s now form %u cells", d->domain, cells);
	clear_synced(d);
	waxwing_membership_set_cells(d->membership, cells);
	create_cells(d, now_ms, cells, epoch);
	for (uint32_t i = 0; i < cells; i++) {
		struct waxwing_upstream_cell *cell = waxwing_dispatcher_find_cell(d, i);

		cell->scheduler_incarnation = waxwing_membership_scheduler(d->membership, i);
		waxwing_dispatcher_sync(d, now_ms, cell);
	}
}

struct waxwing_upstream_cell *waxwing_dispatcher_find_cell(const struct waxwing_dispatcher *d,
							   uint32_t index)
{
	return index < d->cells->len ? g_ptr_array_index(d->cells, index) : NULL;
}

struct waxwing_upstream_cell *waxwing_dispatcher_upstream_cell(const struct waxwing_dispatcher *d,
							       struct waxwing_str upstream)
{
	return waxwing_dispatcher_find_cell(
		d, (uint32_t)(waxwing_str_hash(upstream, 0) % d->cells->len));
}

/* Returns a random cell that has live upstreams; any cell if none has. */
static const struct waxwing_upstream_cell *pick_cell(struct waxwing_dispatcher *d)
{
	uint32_t first = (uint32_t)g_rand_int_range(d->random, 0, (gint32)d->cells->len);

	for (uint32_t i = 0; i < d->cells->len; i++) {
		uint32_t index = (first + i) % d->cells->len;

		if (waxwing_dispatcher_find_cell(d, index)->live_upstreams)
			return waxwing_dispatcher_find_cell(d, index);
	}
	return waxwing_dispatcher_find_cell(d, first);
}

static uint32_t expected_wait(struct waxwing_dispatcher *d,
			      const struct waxwing_upstream_cell *cell)
{
	const struct waxwing_stream *stream;

	if (waxwing_dispatcher_is_scheduler(d, cell))
		return waxwing_scheduler_expected_wait(cell->scheduler);
	stream = waxwing_dispatcher_cell_stream(d, cell->scheduler_incarnation, cell->index);
	return stream ? stream->peer_wait_ms : UINT32_MAX;
}

void waxwing_dispatcher_assign_cell(struct waxwing_dispatcher *d, uint64_t job)
{
	const struct waxwing_upstream_cell *cell = waxwing_dispatcher_find_cell(d, 0);
	const struct waxwing_upstream_cell *other;

	if (d->cells->len > 1) {
		cell = pick_cell(d);
		other = pick_cell(d);
		if (expected_wait(d, other) < expected_wait(d, cell))
			cell = other;
	}
	g_hash_table_insert(d->job_cells, g_memdup2(&job, sizeof(job)),
			    GUINT_TO_POINTER(cell->index));
}

struct waxwing_upstream_cell *waxwing_dispatcher_job_cell(const struct waxwing_dispatcher *d,
							  uint64_t job)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(d->job_cells, &job));

	return waxwing_dispatcher_find_cell(d, index % d->cells->len);
}

void waxwing_dispatcher_forget_job(struct waxwing_dispatcher *d, uint64_t number)
{
	struct waxwing_job job;

	if (waxwing_submissions_job(d->submissions, number, &job))
		return;
	g_hash_table_remove(d->job_cells, &number);
	g_hash_table_remove(d->retries_left, &number);
}
