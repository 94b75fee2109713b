/*
 * Which racks the executors of each cell have: a job that names a rack runs faster in the cell that
 * has it. Owners name them in their pongs, as hashes, until the issuer's messages show that it has
 * received the current set.
 */
#include "node_private.h"

static void add_hash(void *data, uint64_t rack_hash)
{
	g_array_append_val((GArray *)data, rack_hash);
}

static GArray *list_racks(const struct waxwing_cell *owned)
{
	GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	waxwing_cell_foreach_rack(owned, add_hash, hashes);
	return hashes;
}

static void set_racks(struct node_cell *cell, uint64_t version, const uint64_t *hashes,
		      size_t count)
{
	g_hash_table_remove_all(cell->racks);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(cell->racks, g_memdup2(&hashes[i], sizeof(hashes[i])));
	cell->racks_version = version;
}

void node_racks_create(struct node_cell *cell)
{
	cell->racks = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void node_racks_destroy(struct node_cell *cell)
{
	g_hash_table_destroy(cell->racks);
}

GArray *node_racks_describe(const struct node_cell *cell, struct issuer *issuer,
			    Waxwing__CellPong *pong, int64_t now_ms)
{
	uint64_t version = waxwing_cell_racks_version(cell->owned);
	GArray *hashes;

	if (version != issuer->racks_version) {
		issuer->racks_version = version;
		issuer->racks_sent_ms = now_ms;
	}
	pong->has_racks_version = version != 0;
	pong->racks_version = version;
	/* a pong of the same millisecond may have been sent before the change */
	if (!version || issuer->echo_ms > issuer->racks_sent_ms)
		return g_array_new(FALSE, FALSE, sizeof(uint64_t));
	hashes = list_racks(cell->owned);
	pong->n_rack_hashes = hashes->len;
	pong->rack_hashes = (uint64_t *)hashes->data;
	return hashes;
}

/* A pong without a version is of an owner of the previous release, or without executors. */
void node_racks_handle_pong(struct node_cell *cell, const Waxwing__CellPong *pong)
{
	int64_t owner_ms = (int64_t)pong->owner_ms;
	uint64_t version = pong->has_racks_version ? pong->racks_version : 0;

	/* a delayed pong may name an outdated set, which would not be corrected */
	if (cell->racks_token == cell->owner_token && owner_ms < cell->racks_owner_ms)
		return;
	cell->racks_token = cell->owner_token;
	cell->racks_owner_ms = owner_ms;
	if (version && pong->n_rack_hashes)
		set_racks(cell, version, pong->rack_hashes, pong->n_rack_hashes);
	else if (version != cell->racks_version)
		set_racks(cell, 0, NULL, 0);
}

/* Follows the racks of a cell that this node owns. */
void node_racks_refresh_owned(struct node_cell *cell)
{
	uint64_t version = waxwing_cell_racks_version(cell->owned);
	GArray *hashes;

	if (version == cell->racks_version)
		return;
	hashes = list_racks(cell->owned);
	set_racks(cell, version, (const uint64_t *)hashes->data, hashes->len);
	g_array_free(hashes, TRUE);
}

static bool has_rack(const struct node_cell *cell, const char *rack)
{
	uint64_t hash = waxwing_rack_hash(rack);

	return g_hash_table_contains(cell->racks, &hash);
}

/*
 * Returns the time that the job's steps lose in the cell because they run on other racks than their
 * data; 0 if the cell's racks are not known.
 */
double node_racks_far_cost_ms(const struct node_cell *cell, const Waxwing__Job *job)
{
	double factor = cell->node->options.remote_data_factor;
	double cost_ms = 0;

	if (!cell->racks_version)
		return 0;
	for (size_t i = 0; i < job->n_steps; i++) {
		const char *rack = job->steps[i]->affinity;

		if (rack && rack[0] && !has_rack(cell, rack))
			cost_ms += (factor - 1) * job->steps[i]->estimated_ms;
	}
	return cost_ms;
}
