/*
 * The executors' entries in the store change with each heartbeat and are the largest part of what
 * the store sends. Only a cell's owner follows them, and the one node that is to replace it: the
 * standby, which the owner chooses. Other nodes read them when they are about to claim a cell.
 */
#include "node_private.h"

/*
 * How long a node goes on following the entries when it no longer needs them, so that a cell that
 * changes hands does not make it read them anew.
 */
#define LINGER_MS 2000

static const char *executor_id(const struct waxwing_node *node, const char *key)
{
	size_t len = strlen(node->options.executor_prefix);

	return strncmp(key, node->options.executor_prefix, len) == 0 ? key + len : key;
}

static void add_executor(void *data, const struct waxwing_executor_entry *entry)
{
	struct waxwing_node *node = data;

	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];

		if (!cell->owned || strcmp(cell->name, entry->zone) != 0)
			continue;
		waxwing_cell_set_executor(cell->owned, node_now(node), entry);
		node_release_executor_found(cell, entry->id);
	}
	node->has_events = true;
}

static void remove_executor(struct waxwing_node *node, const char *key)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];

		if (cell->owned)
			waxwing_cell_unlist_executor(cell->owned, node_now(node),
						     executor_id(node, key));
	}
}

static void free_entry(gpointer value)
{
	struct waxwing_store_item *entry = value;

	g_free((char *)entry->key.data);
	g_free((char *)entry->value.data);
	g_free(entry);
}

void node_entries_changed(void *data, const struct waxwing_store_item *item)
{
	struct waxwing_node *node = data;
	struct waxwing_store_item *entry = g_new0(struct waxwing_store_item, 1);

	*entry = *item;
	entry->key.data = waxwing_str_dup(item->key);
	entry->value.data = waxwing_str_dup(item->value);
	if (item->deleted) {
		remove_executor(node, entry->key.data);
		g_hash_table_remove(node->executor_entries, entry->key.data);
		free_entry(entry);
		return;
	}
	g_hash_table_replace(node->executor_entries, (gpointer)entry->key.data, entry);
	node->options.read_executor(entry, add_executor, node);
}

void node_entries_use(struct waxwing_node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->executor_entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		node->options.read_executor(value, add_executor, node);
}

void node_entries_create(struct waxwing_node *node)
{
	node->executor_entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
	node->entries_wanted_ms = INT64_MIN / 2;
}

void node_entries_destroy(struct waxwing_node *node)
{
	g_hash_table_destroy(node->executor_entries);
}

static bool needs_entries(const struct waxwing_node *node)
{
	for (guint i = 0; !node->leaving && i < node->cells->len; i++) {
		const struct node_cell *cell = node->cells->pdata[i];

		if (cell->owned || cell->is_standby || waxwing_cell_claim_is_due(cell->claim))
			return true;
	}
	return false;
}

/* Starts or stops following the entries. */
void node_entries_run(struct waxwing_node *node, int64_t now_ms)
{
	if (needs_entries(node))
		node->entries_wanted_ms = now_ms;
	if (now_ms - node->entries_wanted_ms < LINGER_MS) {
		waxwing_store_watch_set_active(node->executor_watch, true);
	} else {
		waxwing_store_watch_set_active(node->executor_watch, false);
		g_hash_table_remove_all(node->executor_entries);
	}
}

/* Returns true if this node knows all entries, and thus can serve a cell. */
bool node_entries_known(const struct waxwing_node *node)
{
	return waxwing_store_watch_synced(node->executor_watch);
}

/*
 * Returns true if the issuer is the standby of an owned cell: of all issuers that receive the
 * owner's messages, the one that would claim the cell first.
 */
bool node_entries_is_standby(const struct node_cell *cell, const struct issuer *issuer)
{
	GHashTableIter iter;
	gpointer value;

	if (issuer->is_unresponsive || issuer->claim_delay_ms == UINT32_MAX)
		return false;
	g_hash_table_iter_init(&iter, cell->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct issuer *other = value;

		if (other->is_unresponsive || other->claim_delay_ms > issuer->claim_delay_ms)
			continue;
		if (other->claim_delay_ms < issuer->claim_delay_ms ||
		    other->sender < issuer->sender)
			return false;
	}
	return true;
}
