/*
 * Failure domains that the operator has evacuated: nothing more is sent to their executors. A key
 * for each, below options.evacuation_prefix, orders the evacuation for as long as it exists. The
 * watch that follows the configuration follows these keys, too.
 */
#include "node_private.h"

#define LOG_COMPONENT "evacuation"
#include "event_log.h"

/* Share of evacuation_ms in which an owner still starts tasks of jobs accepted before. */
#define START_SHARE 0.2
/*
 * A change counts as recent if the watch was answered within this time before. A watch call is
 * answered after 1200 ms at the latest, plus its way.
 */
#define RECENT_CHANGE_MS 1500

/* Returns the prefix that the watch of the configuration follows; free with g_free(). */
char *node_evacuation_watch_prefix(const struct waxwing_node_options *options)
{
	const char *routing_key = options->routing_key;
	size_t common = 0;

	if (!options->evacuation_prefix)
		return g_strdup(routing_key);
	for (size_t i = 0; routing_key[i] && routing_key[i] == options->evacuation_prefix[i]; i++)
		if (routing_key[i] == '/')
			common = i + 1;
	return g_strndup(routing_key, common);
}

static int64_t change_age_ms(const struct waxwing_node *node)
{
	return waxwing_store_watch_change_age_ms(node->routing_watch);
}

static void begin(struct node_cell *cell, const struct waxwing_store_item *item, int64_t now_ms)
{
	int64_t age_ms = change_age_ms(cell->node);
	int64_t start_until_ms = now_ms;

	if (age_ms < RECENT_CHANGE_MS)
		start_until_ms += (int64_t)(cell->node->options.evacuation_ms * START_SHARE);
	if (cell->evacuated)
		start_until_ms = MIN(start_until_ms, cell->start_until_ms);
	cell->evacuated = true;
	cell->start_until_ms = start_until_ms;
	waxwing_event("evacuation_begun",
		      "cell=%s revision=%llu owned=%d age_ms=%lld starts_end_in_ms=%lld",
		      cell->name, (unsigned long long)item->revision, cell->owned != NULL,
		      (long long)(age_ms == INT64_MAX ? -1 : age_ms),
		      (long long)(start_until_ms - now_ms));
}

static void end(struct node_cell *cell, const struct waxwing_store_item *item, int64_t now_ms)
{
	waxwing_event("evacuation_ended", "cell=%s revision=%llu owned=%d changed_ms_ago=%lld",
		      cell->name, (unsigned long long)item->revision, cell->owned != NULL,
		      (long long)(now_ms - cell->evacuation_changed_ms));
	cell->evacuated = false;
}

static void change_zone(struct waxwing_node *node, const char *zone,
			const struct waxwing_store_item *item)
{
	struct node_cell *cell = node_cell_find(node, zone);
	int64_t now_ms = node_now(node);

	if (!cell) {
		node->evacuations_refused++;
		waxwing_event("evacuation_refused", "zone=%s code=%s revision=%llu deleted=%d",
			      zone, waxwing_error_name(WAXWING_ERROR_NOT_FOUND),
			      (unsigned long long)item->revision, item->deleted);
		return;
	}
	if (item->deleted && cell->evacuated)
		end(cell, item, now_ms);
	else if (!item->deleted)
		begin(cell, item, now_ms);
	cell->evacuation_revision = item->revision;
	cell->evacuation_changed_ms = now_ms;
	if (cell->owned)
		node_evacuation_apply(cell, now_ms);
	node->has_events = true;
}

/* Returns false if the item is not about an evacuation. Only its presence counts, not its value. */
bool node_evacuation_changed(struct waxwing_node *node, const struct waxwing_store_item *item)
{
	const char *prefix = node->options.evacuation_prefix;
	char *key;

	if (!prefix)
		return false;
	key = waxwing_str_dup(item->key);
	if (!g_str_has_prefix(key, prefix)) {
		g_free(key);
		return false;
	}
	change_zone(node, key + strlen(prefix), item);
	g_free(key);
	return true;
}

/* Returns true if all failure domains are evacuated. */
bool node_evacuation_of_all(const struct waxwing_node *node)
{
	for (guint i = 0; i < node->cells->len; i++)
		if (!((const struct node_cell *)node->cells->pdata[i])->evacuated)
			return false;
	return node->cells->len > 0;
}

/*
 * Passes the state to the owned cell. An order that was read before the cell was taken over may be
 * old: no task starts then.
 */
void node_evacuation_apply(struct node_cell *cell, int64_t now_ms)
{
	const struct waxwing_node *node = cell->node;
	bool before_takeover = cell->evacuation_changed_ms <= cell->taken_ms;

	if (!node->options.evacuation_prefix)
		return;
	waxwing_cell_set_starts_held(cell->owned, !waxwing_store_watch_synced(node->routing_watch));
	waxwing_cell_set_evacuated(cell->owned, now_ms, cell->evacuated,
				   before_takeover ? cell->taken_ms : cell->start_until_ms);
}

void node_evacuation_print(const struct waxwing_node *node, GString *text, int64_t now_ms)
{
	if (!node->options.evacuation_prefix)
		return;
	for (guint i = 0; i < node->cells->len; i++) {
		const struct node_cell *cell = node->cells->pdata[i];

		g_string_append_printf(text, "waxwing_node_evacuated{zone=\"%s\"} %d\n", cell->name,
				       cell->evacuated);
		if (cell->evacuation_revision)
			g_string_append_printf(
				text, "waxwing_node_evacuated_age_ms{zone=\"%s\"} %lld\n",
				cell->name, (long long)(now_ms - cell->evacuation_changed_ms));
	}
	g_string_append_printf(text,
			       "waxwing_node_evacuations_refused_total %llu\n"
			       "waxwing_node_refused_evacuated_total %llu\n",
			       (unsigned long long)node->evacuations_refused,
			       (unsigned long long)node->refused_evacuated);
}
