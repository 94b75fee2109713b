#include "node_private.h"

#define LOG_PART "cells"
#include "event_log.h"
#include "log.h"

/* Lease of an owner's entry; the store may ask for a longer one. */
#define OWNER_TTL_MS 1000
/* Nodes of the cell's failure domain claim it after so long, each a little apart. */
#define CLAIM_DELAY_MS	60
#define CLAIM_SPREAD_MS 40
/* Owning a cell of some hundred places takes this many cores; nodes with fewer claim later. */
#define OWNER_CORES  0.5
#define FEW_CORES_MS 150
/*
 * Others, only when that domain has nobody left: an owner that is cut off with its whole domain goes on
 * there, and would lose what runs to one that could not reach its executors.
 */
#define CLAIM_DELAY_FAR_MS 6500

static void owner_changed(void *data, const struct waxwing_cell_owner_view *owner)
{
	struct node_cell *at = data;

	/* an owner whose entry has gone goes on until it is replaced */
	if (owner->released || owner->fencing_token != at->heard_token)
		at->heard_ms = 0;
	at->heard_token = owner->fencing_token;
	at->ping_next_ms = 0;
	if (owner->self && owner->known)
		node_owner_begin(at, owner->fencing_token);
	else if (!owner->self)
		node_owner_end(at);
	at->node->touched = true;
}

static bool owner_heard(void *data)
{
	const struct node_cell *at = data;

	return at->heard_ms && node_now(at->node) - at->heard_ms < WAXWING_SILENT_MS;
}

static uint32_t claim_delay_ms(const struct waxwing_node *node, const char *cell)
{
	uint32_t spread = (uint32_t)(node->incarnation >> 32) % CLAIM_SPREAD_MS;
	double lack = 1 - MIN(node->options.cpu_share, OWNER_CORES) / OWNER_CORES;

	spread += (uint32_t)(lack * FEW_CORES_MS);
	return (strcmp(cell, node->options.zone) == 0 ? CLAIM_DELAY_MS : CLAIM_DELAY_FAR_MS) +
	       spread;
}

void node_cells_create(struct waxwing_node *node)
{
	for (size_t i = 0; node->options.zones[i]; i++) {
		struct node_cell *at = g_new0(struct node_cell, 1);
		struct waxwing_claim_options options = {
			.store = node->options.store,
			.clock = node->clock,
			.cell = node->options.zones[i],
			.node = node->options.name,
			.address = node->options.address,
			.incarnation = node->incarnation,
			.ttl_ms = MAX(OWNER_TTL_MS, node->options.ttl_least_ms),
			.delay_ms = claim_delay_ms(node, node->options.zones[i]),
			.changed = owner_changed,
			.owner_heard = owner_heard,
			.data = at,
		};

		at->node = node;
		at->index = (uint32_t)i;
		at->name = g_strdup(node->options.zones[i]);
		at->claim = waxwing_claim_create(&options);
		at->claim_key = waxwing_claim_key(at->name);
		at->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		g_ptr_array_add(node->cells, at);
	}
}

void node_cells_destroy(struct waxwing_node *node)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];

		waxwing_cell_destroy(at->cell);
		waxwing_journal_destroy(at->journal);
		g_free(at->claim_key);
		if (at->issuers)
			g_hash_table_destroy(at->issuers);
		waxwing_claim_destroy(at->claim);
		g_hash_table_destroy(at->waiting);
		g_free(at->name);
		g_free(at);
	}
	g_ptr_array_free(node->cells, TRUE);
}

struct node_cell *node_cell_find(struct waxwing_node *node, const char *name)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];

		if (strcmp(at->name, name) == 0)
			return at;
	}
	return NULL;
}

bool node_cell_reachable(const struct node_cell *at, int64_t now_ms)
{
	if (at->cell)
		return true;
	return at->heard_ms && now_ms - at->heard_ms < WAXWING_SILENT_MS;
}

/* The owner's clock by this node's reckoning: never ahead of it. */
static int64_t owner_clock(const struct node_cell *at, int64_t now_ms)
{
	return at->owner_clock_ms + (now_ms - at->heard_ms);
}

void node_send(struct node_cell *at, Waxwing__NodeMessage *message)
{
	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(at->claim);

	message->cell = at->name;
	message->fencing_token = owner->fencing_token;
	if (at->heard_ms) {
		message->has_heard_ms = true;
		message->heard_ms = (uint64_t)owner_clock(at, node_now(at->node));
		message->has_echo_ms = true;
		message->echo_ms = at->echo_ms;
	}
	at->node->link->ops->send(at->node->link, owner->address, message);
}

static void ping(struct node_cell *at, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__CellPing ping = WAXWING__CELL_PING__INIT;
	uint64_t tokens[CELLS_TOLD_MOST];
	GPtrArray *cells = at->node->cells;

	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(at->claim);

	if (at->cell || !owner->address[0] || owner->released || now_ms < at->ping_next_ms)
		return;
	at->ping_next_ms = now_ms + PING_MS;
	ping.sent_ms = (uint64_t)now_ms;
	ping.n_known_tokens = MIN(cells->len, CELLS_TOLD_MOST);
	for (size_t i = 0; i < ping.n_known_tokens; i++)
		tokens[i] = waxwing_claim_owner(((struct node_cell *)cells->pdata[i])->claim)
				    ->fencing_token;
	ping.known_tokens = tokens;
	message.ping = &ping;
	node_send(at, &message);
}

/* How long orders that were given for this node's jobs may still have their effect. */
static void note_orders(struct node_cell *at, int64_t now_ms)
{
	int64_t last_ms = waxwing_cell_orders_last_ms(at->node->options.lease_most_ms);

	if (at->cell)
		at->orders_until_ms = now_ms + last_ms;
	else if (at->heard_ms)
		at->orders_until_ms = MAX(at->orders_until_ms, at->heard_ms + last_ms);
}

/* The owner knows its own cell's state without a message. */
static void look_at_own(struct node_cell *at, int64_t now_ms)
{
	struct waxwing_cell_view view;

	if (!at->cell || now_ms < at->ping_next_ms)
		return;
	at->ping_next_ms = now_ms + WAXWING_NODE_TICK_MS;
	waxwing_cell_view(at->cell, now_ms, &view);
	at->free_milli = view.free_milli;
	at->wait_ms = view.wait_ms;
	at->keeps_none = node_owner_keeps_none(at);
}

void node_cells_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];

		waxwing_claim_run(at->claim);
		ping(at, now_ms);
		node_owner_run(at, now_ms);
		look_at_own(at, now_ms);
		note_orders(at, now_ms);
	}
}

static void take_pong(struct node_cell *at, const Waxwing__CellPong *pong)
{
	int64_t now_ms = node_now(at->node);
	int64_t clock_ms = (int64_t)pong->owner_ms;
	bool first = !at->heard_ms;

	/* answers that took longer tell an older time */
	if (first || clock_ms > owner_clock(at, now_ms) ||
	    now_ms - (int64_t)pong->ping_ms < PING_MS)
		at->owner_clock_ms = clock_ms;
	else
		at->owner_clock_ms = owner_clock(at, now_ms);
	at->heard_ms = now_ms;
	at->echo_ms = pong->owner_ms;
	note_orders(at, now_ms);
	at->free_milli = pong->free_milli;
	at->wait_ms = pong->wait_ms;
	at->keeps_none = pong->keeps_none;
	g_hash_table_remove_all(at->waiting);
	for (size_t i = 0; i < pong->n_waiting; i++)
		g_hash_table_insert(at->waiting, g_strdup(pong->waiting[i]->queue),
				    GUINT_TO_POINTER(pong->waiting[i]->jobs));
	if (first)
		at->node->touched = true;
}

static void take_news(struct waxwing_node *node, const Waxwing__OwnerNews *news)
{
	struct node_cell *at = node_cell_find(node, news->cell);

	if (at)
		waxwing_claim_told(at->claim, news->owner->node, news->owner->address,
				   news->owner->incarnation, news->fencing_token);
}

static void from_owner(struct node_cell *at, const Waxwing__NodeMessage *message)
{
	if (message->fencing_token != waxwing_claim_owner(at->claim)->fencing_token)
		return;
	if (message->has_released && message->released)
		at->heard_ms = 0;
	if (message->pong)
		take_pong(at, message->pong);
	for (size_t i = 0; message->pong && i < message->pong->n_owners; i++)
		take_news(at->node, message->pong->owners[i]);
	if (message->has_accepted)
		node_jobs_accepted(at, message->accepted);
	if (message->told)
		node_asks_told(at, message->told);
	if (message->verdict)
		node_jobs_verdict(at, message->verdict);
}

void waxwing_node_received(struct waxwing_node *node, uint64_t sender,
			   Waxwing__NodeMessage *message)
{
	struct node_cell *at = node_cell_find(node, message->cell);

	if (!at) {
		waxwing_event("message_of_no_cell", "cell=%s", message->cell);
		return;
	}
	if (sender)
		node_owner_message(at, sender, message);
	else
		from_owner(at, message);
}
