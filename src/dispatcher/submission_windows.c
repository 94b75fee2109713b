/* The windows of a table: how their epochs open, close, expire and are dropped. */
#include "submission_private.h"

/** Limit of expired ids freed per call. The last block of tombstones may exceed it. */
#define MAX_DROPPED_IDS 512

void waxwing_windows_remove(struct waxwing_submissions *table,
			    struct waxwing_submission *submission)
{
	waxwing_epoch_remove(submission->epoch, submission->id, &submission->epoch_link);
	submission->epoch = NULL;
	waxwing_submissions_unref(table, submission);
}

/** Frees up to @quota ids of an expired epoch; returns what is left of the quota. */
static guint drop_ids(struct waxwing_submissions *table, struct waxwing_epoch *epoch, guint quota)
{
	guint dropped;

	for (; quota && epoch->submissions.head; quota--) {
		struct waxwing_submission *submission = epoch->submissions.head->data;

		if (submission->answer)
			table->finished_ids--;
		waxwing_windows_remove(table, submission);
	}
	while (quota && (dropped = waxwing_epoch_drop_tombstones(epoch))) {
		table->finished_ids -= dropped;
		table->bytes -= dropped * sizeof(struct waxwing_tombstone);
		quota -= MIN(quota, dropped);
	}
	return quota;
}

void waxwing_windows_drop_expired(struct waxwing_submissions *table)
{
	struct waxwing_epoch *epoch;
	guint quota = MAX_DROPPED_IDS;

	while ((epoch = g_queue_peek_head(&table->expired_epochs))) {
		quota = drop_ids(table, epoch, quota);
		if (!quota)
			return;
		waxwing_epoch_destroy(g_queue_pop_head(&table->expired_epochs));
	}
}

void waxwing_windows_open(struct waxwing_submissions *table, uint64_t number, int64_t now_ms)
{
	int64_t closes_ms = now_ms + table->window_life_ms;
	struct waxwing_epoch *epoch =
		waxwing_epoch_create(number, closes_ms, closes_ms + table->window_grace_ms);
	struct waxwing_window window = { waxwing_str(table->instance), table->incarnation, number };

	g_queue_push_tail(&table->epochs, epoch);
	g_free(table->window);
	table->window = waxwing_window_print(&window);
}

void waxwing_windows_advance(struct waxwing_submissions *table, int64_t now_ms)
{
	struct waxwing_epoch *newest = waxwing_newest_epoch(table);
	struct waxwing_epoch *oldest;

	if (now_ms >= newest->closes_ms)
		waxwing_windows_open(table, newest->number + 1, now_ms);
	while ((oldest = g_queue_peek_head(&table->epochs)) && now_ms >= oldest->expires_ms) {
		oldest->expired = true;
		g_queue_push_tail(&table->expired_epochs, g_queue_pop_head(&table->epochs));
	}
	waxwing_windows_drop_expired(table);
}

void waxwing_submissions_set_windows(struct waxwing_submissions *table, int64_t now_ms,
				     uint32_t life_ms, uint32_t grace_ms)
{
	struct waxwing_epoch *newest = waxwing_newest_epoch(table);

	table->window_life_ms = MAX(life_ms, 1);
	table->window_grace_ms = grace_ms;
	newest->closes_ms = MIN(newest->closes_ms, now_ms + table->window_life_ms);
	if (newest->number == 1 && g_queue_is_empty(&newest->submissions))
		newest->expires_ms = newest->closes_ms + grace_ms;
}

struct waxwing_str waxwing_submissions_window(struct waxwing_submissions *table, int64_t now_ms)
{
	waxwing_windows_advance(table, now_ms);
	return waxwing_str(table->window);
}

struct waxwing_epoch *waxwing_windows_get_epoch(struct waxwing_submissions *table,
						const struct waxwing_window *window,
						struct waxwing_error *error)
{
	struct waxwing_epoch *oldest = g_queue_peek_head(&table->epochs);
	uint64_t newest = waxwing_newest_epoch(table)->number;

	if (!waxwing_str_equal(window->instance, waxwing_str(table->instance)) ||
	    window->epoch > newest || window->epoch == 0) {
		waxwing_error_set(error, WAXWING_ERROR_BAD_ID, "id",
				  "no such window was given out");
		return NULL;
	}
	if (window->epoch < oldest->number) {
		waxwing_error_set(error, WAXWING_ERROR_EXPIRED_ID, "id",
				  "its window closed; an earlier submission may have run");
		return NULL;
	}
	return g_queue_peek_nth(&table->epochs, (guint)(window->epoch - oldest->number));
}

struct waxwing_epoch *waxwing_windows_find_epoch(struct waxwing_submissions *table,
						 const char *text, struct waxwing_error *error)
{
	struct waxwing_submission_id id;

	if (waxwing_submission_id_parse(waxwing_str(text), &id, error))
		return NULL;
	if (id.window.incarnation == table->incarnation)
		return waxwing_windows_get_epoch(table, &id.window, error);
	waxwing_error_set(error, WAXWING_ERROR_NOT_FOUND, "id",
			  "the id belongs to another instance's window");
	return NULL;
}
