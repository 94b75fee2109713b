#include "inheritance.h"

/** How long the record of an incarnation is kept after its ids have expired. */
#define TABLE_RETENTION_MS (60 * 60 * 1000)

static void inherited_id_free(gpointer data)
{
	struct waxwing_inherited_id *id = data;

	g_free(id->answer);
	g_free(id);
}

static void inherited_table_free(gpointer data)
{
	struct waxwing_inherited_table *table = data;

	for (guint i = 0; i < table->parts->len; i++)
		g_hash_table_destroy(
			g_array_index(table->parts, struct waxwing_inherited_parts, i).received);
	g_array_free(table->parts, true);
	g_hash_table_destroy(table->ids);
	g_free(table);
}

struct waxwing_inherited_windows *waxwing_inherited_windows_create(void)
{
	struct waxwing_inherited_windows *inheritance = g_new0(struct waxwing_inherited_windows, 1);

	inheritance->tables =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, inherited_table_free);
	return inheritance;
}

static void last_answer_clear(struct waxwing_inherited_windows *inheritance)
{
	if (inheritance->last_answer)
		waxwing__job_answer__free_unpacked(inheritance->last_answer, NULL);
	inheritance->last_answer = NULL;
}

void waxwing_inherited_windows_destroy(struct waxwing_inherited_windows *inheritance)
{
	if (!inheritance)
		return;
	last_answer_clear(inheritance);
	g_hash_table_destroy(inheritance->tables);
	g_free(inheritance);
}

static struct waxwing_inherited_table *table_add(struct waxwing_inherited_windows *inheritance,
						 const Waxwing__Handover *part)
{
	struct waxwing_inherited_table *table = g_new0(struct waxwing_inherited_table, 1);

	table->incarnation = part->incarnation;
	table->ids = g_hash_table_new_full(waxwing_submission_id_hash, g_str_equal, g_free,
					   inherited_id_free);
	table->parts = g_array_new(false, false, sizeof(struct waxwing_inherited_parts));
	g_hash_table_insert(inheritance->tables, &table->incarnation, table);
	return table;
}

static void id_add(struct waxwing_inherited_table *table, const Waxwing__FinishedId *finished)
{
	struct waxwing_inherited_id *id;

	if (g_hash_table_contains(table->ids, finished->id))
		return;
	id = g_new0(struct waxwing_inherited_id, 1);
	id->digest = finished->digest;
	id->answer_len = finished->answer.len;
	id->answer = g_memdup2(finished->answer.data, finished->answer.len);
	table->bytes += finished->answer.len + strlen(finished->id);
	g_hash_table_insert(table->ids, g_strdup(finished->id), id);
}

static struct waxwing_inherited_parts *parts_by_sender(struct waxwing_inherited_table *table,
						       uint64_t sender)
{
	struct waxwing_inherited_parts added = { .sender = sender };

	for (guint i = 0; i < table->parts->len; i++) {
		struct waxwing_inherited_parts *parts =
			&g_array_index(table->parts, struct waxwing_inherited_parts, i);

		if (parts->sender == sender)
			return parts;
	}
	added.received = g_hash_table_new(NULL, NULL);
	g_array_append_val(table->parts, added);
	return &g_array_index(table->parts, struct waxwing_inherited_parts, table->parts->len - 1);
}

void waxwing_inherited_windows_receive_part(struct waxwing_inherited_windows *inheritance,
					    int64_t now_ms, uint64_t from,
					    const Waxwing__Handover *part,
					    Waxwing__HandoverAck *ack)
{
	struct waxwing_inherited_parts *parts;
	struct waxwing_inherited_table *table =
		g_hash_table_lookup(inheritance->tables, &part->incarnation);

	waxwing__handover_ack__init(ack);
	ack->incarnation = part->incarnation;
	ack->part = part->part;
	if (!table)
		table = table_add(inheritance, part);
	parts = parts_by_sender(table, from);
	if (!g_hash_table_add(parts->received, GUINT_TO_POINTER(part->part)))
		return;
	for (size_t i = 0; i < part->n_finished; i++)
		id_add(table, part->finished[i]);
	table->oldest_epoch = part->oldest_epoch;
	table->newest_epoch = part->newest_epoch;
	table->expires_ms = MAX(table->expires_ms, now_ms + (int64_t)part->expires_in_ms);
	if (part->last)
		parts->total = part->part + 1;
}

bool waxwing_inherited_complete(const struct waxwing_inherited_table *table)
{
	for (guint i = 0; i < table->parts->len; i++) {
		const struct waxwing_inherited_parts *parts =
			&g_array_index(table->parts, struct waxwing_inherited_parts, i);

		if (parts->total && g_hash_table_size(parts->received) == parts->total)
			return true;
	}
	return false;
}

static enum waxwing_error_code set_missing_id_error(const struct waxwing_inherited_table *table,
						    int64_t now_ms,
						    const struct waxwing_window *window,
						    struct waxwing_error *error)
{
	if (now_ms >= table->expires_ms || window->epoch < table->oldest_epoch)
		return waxwing_error_set(error, WAXWING_ERROR_EXPIRED_ID, "id",
					 "its window closed; an earlier submission may have run");
	if (!waxwing_inherited_complete(table))
		return waxwing_error_set(error, WAXWING_ERROR_OUTCOME_UNKNOWN, "id",
					 "its issuer shut down and its handover is incomplete");
	if (window->epoch > table->newest_epoch)
		return waxwing_error_set(error, WAXWING_ERROR_BAD_ID, "id",
					 "no such window was given out");
	return waxwing_error_set(error, WAXWING_ERROR_LEAVING, "id",
				 "its issuer shut down without running it; request a new window");
}

enum waxwing_inherited_result
waxwing_inherited_windows_lookup(struct waxwing_inherited_windows *inheritance, int64_t now_ms,
				 const Waxwing__JobRequest *request,
				 const Waxwing__JobAnswer **answer, struct waxwing_error *error)
{
	const struct waxwing_inherited_table *table;
	const struct waxwing_inherited_id *found;
	struct waxwing_submission_id id;

	if (waxwing_submission_id_parse(waxwing_str(request->id), &id, error))
		return WAXWING_INHERITED_REFUSED;
	table = g_hash_table_lookup(inheritance->tables, &id.window.incarnation);
	if (!table)
		return WAXWING_INHERITED_NONE;
	found = g_hash_table_lookup(table->ids, request->id);
	if (!found) {
		set_missing_id_error(table, now_ms, &id.window, error);
		return WAXWING_INHERITED_REFUSED;
	}
	if (found->digest != waxwing_submission_digest(request)) {
		waxwing_error_set(error, WAXWING_ERROR_ID_REUSED, "id",
				  "an earlier submission differs in caller, branch or tasks");
		return WAXWING_INHERITED_REFUSED;
	}
	last_answer_clear(inheritance);
	inheritance->last_answer =
		waxwing__job_answer__unpack(NULL, found->answer_len, found->answer);
	if (!inheritance->last_answer) {
		waxwing_error_set(error, WAXWING_ERROR_OUTCOME_UNKNOWN, "id",
				  "the answer handed over is malformed");
		return WAXWING_INHERITED_REFUSED;
	}
	*answer = inheritance->last_answer;
	return WAXWING_INHERITED_FINISHED;
}

void waxwing_inherited_windows_tick(struct waxwing_inherited_windows *inheritance, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, inheritance->tables);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct waxwing_inherited_table *table = value;

		if (now_ms < table->expires_ms)
			continue;
		g_hash_table_remove_all(table->ids);
		table->bytes = 0;
		if (now_ms >= table->expires_ms + TABLE_RETENTION_MS)
			g_hash_table_iter_remove(&iter);
	}
}

size_t waxwing_inherited_windows_incarnations(const struct waxwing_inherited_windows *inheritance,
					      int64_t now_ms, uint64_t *incarnations, size_t max)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, inheritance->tables);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct waxwing_inherited_table *table = value;

		if (now_ms < table->expires_ms)
			incarnations[count++] = table->incarnation;
	}
	return count;
}

void waxwing_inherited_windows_get_view(const struct waxwing_inherited_windows *inheritance,
					struct waxwing_inherited_windows_view *view)
{
	GHashTableIter iter;
	gpointer value;

	*view = (struct waxwing_inherited_windows_view){ 0 };
	g_hash_table_iter_init(&iter, inheritance->tables);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct waxwing_inherited_table *table = value;

		view->incarnations++;
		view->incomplete += !waxwing_inherited_complete(table);
		view->ids += g_hash_table_size(table->ids);
		view->bytes += table->bytes;
	}
}
