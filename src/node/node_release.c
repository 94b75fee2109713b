#include "node_private.h"

#include "message.h"

#define LOG_COMPONENT "release"
#include "event_log.h"
#include "log.h"

#include <xxhash.h>

/*
 * Maximum number of unlisted executors that a release describes, to bound its size. The successor
 * waits for the leases on the others to expire.
 */
#define MAX_UNLISTED_ROWS 200

struct leased_list {
	GHashTable *hashes; /* uint64_t */
	GPtrArray *unlisted; /* Waxwing__UnlistedExecutor */
};

static uint64_t hash_id(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

static GHashTable *create_hash_set(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void add_hash(GHashTable *hashes, uint64_t hash)
{
	g_hash_table_add(hashes, g_memdup2(&hash, sizeof(hash)));
}

static void add_leased(void *data, const struct waxwing_executor_entry *entry, bool unlisted)
{
	struct leased_list *list = data;
	Waxwing__UnlistedExecutor row = WAXWING__UNLISTED_EXECUTOR__INIT;

	add_hash(list->hashes, hash_id(entry->id));
	if (!unlisted || list->unlisted->len >= MAX_UNLISTED_ROWS)
		return;
	row.id = (char *)entry->id;
	row.address = (char *)entry->address;
	row.service = (char *)entry->service;
	row.kind = (char *)entry->kind;
	row.rack = (char *)entry->rack;
	row.started_ms = (uint64_t)entry->started_ms;
	g_ptr_array_add(list->unlisted, waxwing_message_copy(&row.base));
}

/*
 * Returns the token since which no owner has lost the cell without releasing it; 0: a former owner
 * that has lost it may not know of it yet, or leases that it granted may last.
 */
static uint64_t orderly_since(const struct node_cell *cell)
{
	int64_t settle_ms = waxwing_cell_orders_expire_ms(cell->node->options.max_lease_ms) +
			    WAXWING_PEER_TIMEOUT_MS;

	if (cell->orderly_since)
		return cell->orderly_since;
	return node_now(cell->node) - cell->taken_ms >= settle_ms ? cell->first_token : 0;
}

void node_release_describe(void *data, Waxwing__CellOwner *release)
{
	struct node_cell *cell = data;
	struct leased_list list = { create_hash_set(), g_ptr_array_new() };
	GHashTableIter iter;
	gpointer hash;

	if (!cell->owned || !orderly_since(cell))
		goto out;
	release->has_orderly_since = true;
	release->orderly_since = orderly_since(cell);
	waxwing_cell_foreach_leased_executor(cell->owned, node_now(cell->node), add_leased, &list);
	if (cell->unknown_leased) {
		g_hash_table_iter_init(&iter, cell->unknown_leased);
		while (g_hash_table_iter_next(&iter, &hash, NULL))
			add_hash(list.hashes, *(uint64_t *)hash);
	}
	release->leased = g_new(uint64_t, g_hash_table_size(list.hashes));
	g_hash_table_iter_init(&iter, list.hashes);
	while (g_hash_table_iter_next(&iter, &hash, NULL))
		release->leased[release->n_leased++] = *(uint64_t *)hash;
	release->n_unlisted = list.unlisted->len;
	release->unlisted = (Waxwing__UnlistedExecutor **)g_ptr_array_steal(list.unlisted, NULL);
	waxwing_event("cell_released", "cell=%s leased=%zu unlisted=%zu orderly_since=%llu",
		      cell->name, release->n_leased, release->n_unlisted,
		      (unsigned long long)release->orderly_since);
out:
	g_hash_table_destroy(list.hashes);
	g_ptr_array_free(list.unlisted, TRUE);
}

static void adopt_unlisted(struct node_cell *cell, const Waxwing__UnlistedExecutor *row)
{
	const char *labels[] = { row->kind, row->rack, NULL };
	struct waxwing_executor_entry entry = {
		.id = row->id,
		.address = row->address,
		.service = row->service,
		.zone = cell->name,
		.kind = row->kind,
		.rack = row->rack,
		.labels = labels,
		.started_ms = (int64_t)row->started_ms,
	};

	waxwing_cell_add_unlisted_executor(cell->owned, node_now(cell->node), &entry);
	node_release_executor_found(cell, row->id);
}

/*
 * Adds the executors that the release describes to the cell, and records those that it only names.
 * Call node_entries_use() next, which finds the named ones that are in the platform's list.
 */
void node_release_adopt(struct node_cell *cell, const Waxwing__CellOwner *release)
{
	struct waxwing_node *node = cell->node;

	if (!release || !release->has_orderly_since)
		return;
	cell->orderly_since = release->orderly_since;
	cell->unknown_leased = create_hash_set();
	for (size_t i = 0; i < release->n_leased; i++)
		add_hash(cell->unknown_leased, release->leased[i]);
	cell->unknown_leases_expire_ms =
		node_now(node) + waxwing_cell_lease_expires_ms(node->options.max_lease_ms);
	for (size_t i = 0; i < release->n_unlisted; i++)
		adopt_unlisted(cell, release->unlisted[i]);
}

void node_release_executor_found(struct node_cell *cell, const char *executor_id)
{
	uint64_t hash;

	if (!cell->unknown_leased)
		return;
	hash = hash_id(executor_id);
	g_hash_table_remove(cell->unknown_leased, &hash);
}

/* Completes the list once no unknown executor can have leases of former owners. */
void node_release_run(struct node_cell *cell, int64_t now_ms)
{
	if (!cell->unknown_leased ||
	    (g_hash_table_size(cell->unknown_leased) && now_ms < cell->unknown_leases_expire_ms))
		return;
	waxwing_cell_set_list_complete(cell->owned);
	g_hash_table_destroy(cell->unknown_leased);
	cell->unknown_leased = NULL;
}

void node_release_forget(struct node_cell *cell)
{
	if (cell->unknown_leased)
		g_hash_table_destroy(cell->unknown_leased);
	cell->unknown_leased = NULL;
	cell->orderly_since = 0;
}
