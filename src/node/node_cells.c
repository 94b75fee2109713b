#include "node_private.h"

#define LOG_COMPONENT "cells"
#include "event_log.h"
#include "log.h"

/* TTL of the lease on an owner's entry; the store may require a longer one. */
#define OWNER_TTL_MS 1000
/* Nodes of the cell's own failure domain claim it after this delay plus a spread per node. */
#define CLAIM_DELAY_MS	60
#define CLAIM_SPREAD_MS 40
/*
 * Number of CPU cores that the owner of a cell with some hundred slots needs. Nodes with fewer
 * cores claim later.
 */
#define OWNER_CPU_CORES	   0.5
#define FEW_CORES_DELAY_MS 150
/*
 * Additional delay of a node that must read the executors' entries first. After a loss of all
 * nodes, the nodes with most cores do so alone; if all nodes did, they would wait for each other at
 * the store's link.
 */
#define UNPREPARED_FEW_CORES_DELAY_MS 250
/*
 * Nodes of other failure domains claim the cell only when its own domain has no node left. An owner
 * that is isolated together with its whole domain continues to serve the domain. An owner outside
 * the domain could not reach the domain's executors, and the running tasks would be lost.
 */
#define REMOTE_CLAIM_DELAY_MS 6500
/*
 * The same, if the owner has released the cell: its domain is not isolated, and nodes of the domain
 * claim the cell well before this.
 */
#define REMOTE_RELEASED_DELAY_MS 700

static void owner_changed(void *data, const struct waxwing_cell_owner_view *owner)
{
	struct node_cell *cell = data;

	/* An owner whose entry was removed continues until it is replaced. */
	if (owner->released || owner->fencing_token != cell->owner_token)
		cell->last_pong_ms = 0;
	cell->owner_token = owner->fencing_token;
	cell->next_ping_ms = 0;
	if (owner->is_self && owner->known)
		node_owner_begin(cell, owner->fencing_token);
	else if (!owner->is_self)
		node_owner_end(cell);
	cell->node->has_events = true;
}

static bool owner_is_reachable(void *data)
{
	const struct node_cell *cell = data;

	return cell->last_pong_ms &&
	       node_now(cell->node) - cell->last_pong_ms < WAXWING_PEER_TIMEOUT_MS;
}

static bool is_prepared(void *data)
{
	const struct node_cell *cell = data;

	return node_entries_known(cell->node);
}

static void read_owners(void *data)
{
	const struct node_cell *cell = data;

	waxwing_store_watch_restart(cell->node->owner_watch);
}

/* Returns the part of the cores that an owner needs which this node lacks. */
static double core_shortfall(const struct waxwing_node *node)
{
	return 1 - MIN(node->options.cpu_share, OWNER_CPU_CORES) / OWNER_CPU_CORES;
}

static uint32_t claim_delay_ms(const struct waxwing_node *node, const char *cell,
			       uint32_t remote_delay_ms)
{
	uint32_t spread = (uint32_t)(node->incarnation >> 32) % CLAIM_SPREAD_MS;

	spread += (uint32_t)(core_shortfall(node) * FEW_CORES_DELAY_MS);
	return (strcmp(cell, node->options.zone) == 0 ? CLAIM_DELAY_MS : remote_delay_ms) + spread;
}

void node_cells_create(struct waxwing_node *node)
{
	for (size_t i = 0; node->options.zones[i]; i++) {
		struct node_cell *cell = g_new0(struct node_cell, 1);
		struct waxwing_cell_claim_options options = {
			.store = node->options.store,
			.clock = node->clock,
			.cell = node->options.zones[i],
			.node = node->options.name,
			.address = node->options.address,
			.incarnation = node->incarnation,
			.ttl_ms = MAX(OWNER_TTL_MS, node->options.min_ttl_ms),
			.delay_ms =
				claim_delay_ms(node, node->options.zones[i], REMOTE_CLAIM_DELAY_MS),
			.released_delay_ms = claim_delay_ms(node, node->options.zones[i],
							    REMOTE_RELEASED_DELAY_MS),
			.unprepared_delay_ms =
				(uint32_t)(core_shortfall(node) * UNPREPARED_FEW_CORES_DELAY_MS),
			.owner_changed = owner_changed,
			.owner_reachable = owner_is_reachable,
			.describe_release = node_release_describe,
			.read_owners = read_owners,
			.prepared = is_prepared,
			.data = cell,
		};

		cell->node = node;
		cell->index = (uint32_t)i;
		cell->name = g_strdup(node->options.zones[i]);
		cell->claim_delay_ms = options.delay_ms;
		cell->claim = waxwing_cell_claim_create(&options);
		cell->owner_key = waxwing_cell_claim_key(cell->name);
		cell->waiting_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		node_racks_create(cell);
		g_ptr_array_add(node->cells, cell);
	}
}

void node_cells_destroy(struct waxwing_node *node)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];

		waxwing_cell_destroy(cell->owned);
		waxwing_journal_destroy(cell->journal);
		g_free(cell->owner_key);
		if (cell->issuers)
			g_hash_table_destroy(cell->issuers);
		waxwing_cell_claim_destroy(cell->claim);
		node_release_forget(cell);
		g_hash_table_destroy(cell->waiting_jobs);
		node_racks_destroy(cell);
		g_free(cell->name);
		g_free(cell);
	}
	g_ptr_array_free(node->cells, TRUE);
}

struct node_cell *node_cell_find(struct waxwing_node *node, const char *name)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];

		if (strcmp(cell->name, name) == 0)
			return cell;
	}
	return NULL;
}

bool node_cell_reachable(const struct node_cell *cell, int64_t now_ms)
{
	if (cell->owned)
		return true;
	return cell->last_pong_ms && now_ms - cell->last_pong_ms < WAXWING_PEER_TIMEOUT_MS;
}

/* Estimates the owner's clock; the estimate is never ahead of it. */
static int64_t estimate_owner_clock(const struct node_cell *cell, int64_t now_ms)
{
	return cell->owner_clock_ms + (now_ms - cell->last_pong_ms);
}

void node_send(struct node_cell *cell, Waxwing__NodeMessage *message)
{
	const struct waxwing_cell_owner_view *owner = waxwing_cell_claim_owner(cell->claim);

	message->cell = cell->name;
	message->fencing_token = owner->fencing_token;
	if (cell->last_pong_ms) {
		message->has_heard_ms = true;
		message->heard_ms = (uint64_t)estimate_owner_clock(cell, node_now(cell->node));
		message->has_echo_ms = true;
		message->echo_ms = cell->echo_ms;
	}
	cell->node->link->ops->send(cell->node->link, owner->address, message);
}

static void send_ping(struct node_cell *cell, int64_t now_ms)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;
	Waxwing__CellPing ping = WAXWING__CELL_PING__INIT;
	uint64_t tokens[MAX_PING_CELLS];
	GPtrArray *cells = cell->node->cells;

	const struct waxwing_cell_owner_view *owner = waxwing_cell_claim_owner(cell->claim);

	if (cell->owned || !owner->address[0] || owner->released || now_ms < cell->next_ping_ms)
		return;
	cell->next_ping_ms = now_ms + PING_INTERVAL_MS;
	ping.sent_ms = (uint64_t)now_ms;
	ping.n_known_tokens = MIN(cells->len, MAX_PING_CELLS);
	for (size_t i = 0; i < ping.n_known_tokens; i++)
		tokens[i] = waxwing_cell_claim_owner(((struct node_cell *)cells->pdata[i])->claim)
				    ->fencing_token;
	ping.known_tokens = tokens;
	/* without the store, this node cannot claim the cell */
	ping.has_claim_delay_ms = !cell->node->leaving && !cell->node->store_lost_ms;
	ping.claim_delay_ms = cell->claim_delay_ms;
	message.ping = &ping;
	node_send(cell, &message);
}

/* Extends the time until which orders for this node's jobs may still take effect. */
static void extend_orders_expiry(struct node_cell *cell, int64_t now_ms)
{
	int64_t orders_ttl_ms = waxwing_cell_orders_expire_ms(cell->node->options.max_lease_ms);

	if (cell->owned)
		cell->orders_expire_ms = now_ms + orders_ttl_ms;
	else if (cell->last_pong_ms)
		cell->orders_expire_ms =
			MAX(cell->orders_expire_ms, cell->last_pong_ms + orders_ttl_ms);
}

/* Refreshes the state of an owned cell directly, without a ping. */
static void refresh_owned_state(struct node_cell *cell, int64_t now_ms)
{
	struct waxwing_cell_stats stats;

	if (!cell->owned || now_ms < cell->next_ping_ms)
		return;
	cell->next_ping_ms = now_ms + WAXWING_NODE_TICK_MS;
	waxwing_cell_get_stats(cell->owned, now_ms, &stats);
	cell->free_milli = stats.free_milli;
	cell->wait_ms = stats.wait_ms;
	cell->rejects_durable_jobs = node_owner_rejects_durable_jobs(cell);
	node_racks_refresh_owned(cell);
}

void node_cells_run(struct waxwing_node *node, int64_t now_ms)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];

		waxwing_cell_claim_run(cell->claim);
		send_ping(cell, now_ms);
		node_owner_run(cell, now_ms);
		refresh_owned_state(cell, now_ms);
		extend_orders_expiry(cell, now_ms);
	}
}

static void handle_pong(struct node_cell *cell, const Waxwing__CellPong *pong)
{
	int64_t now_ms = node_now(cell->node);
	int64_t clock_ms = (int64_t)pong->owner_ms;
	bool first_pong = !cell->last_pong_ms;

	/*
	 * A delayed pong carries an outdated time; the estimate is kept unless the pong's time is
	 * later.
	 */
	if (first_pong || clock_ms > estimate_owner_clock(cell, now_ms) ||
	    now_ms - (int64_t)pong->ping_ms < PING_INTERVAL_MS)
		cell->owner_clock_ms = clock_ms;
	else
		cell->owner_clock_ms = estimate_owner_clock(cell, now_ms);
	cell->last_pong_ms = now_ms;
	cell->echo_ms = pong->owner_ms;
	extend_orders_expiry(cell, now_ms);
	cell->free_milli = pong->free_milli;
	cell->wait_ms = pong->wait_ms;
	cell->rejects_durable_jobs = pong->keeps_none;
	cell->is_standby = pong->standby;
	node_racks_handle_pong(cell, pong);
	g_hash_table_remove_all(cell->waiting_jobs);
	for (size_t i = 0; i < pong->n_waiting; i++)
		g_hash_table_insert(cell->waiting_jobs, g_strdup(pong->waiting[i]->queue),
				    GUINT_TO_POINTER(pong->waiting[i]->jobs));
	if (first_pong)
		cell->node->has_events = true;
}

static void handle_owner_news(struct waxwing_node *node, const Waxwing__OwnerNews *news)
{
	struct node_cell *cell = node_cell_find(node, news->cell);

	if (cell)
		waxwing_cell_claim_learn_owner(cell->claim, news->owner->node, news->owner->address,
					       news->owner->incarnation, news->fencing_token);
}

static bool verdict_is_valid(const struct node_cell *cell, const Waxwing__JobVerdict *verdict)
{
	bool valid =
		verdict->outcome <= WAXWING_JOB_STORED && verdict->reason < WAXWING_ERROR_COUNT;

	if (!valid)
		waxwing_event("verdict_invalid", "cell=%s job=%016llx outcome=%u reason=%u",
			      cell->name, (unsigned long long)verdict->job, verdict->outcome,
			      verdict->reason);
	return valid;
}

static void handle_owner_message(struct node_cell *cell, const Waxwing__NodeMessage *message)
{
	if (message->fencing_token != waxwing_cell_claim_owner(cell->claim)->fencing_token)
		return;
	if (message->has_released && message->released)
		cell->last_pong_ms = 0;
	if (message->pong)
		handle_pong(cell, message->pong);
	for (size_t i = 0; message->pong && i < message->pong->n_owners; i++)
		handle_owner_news(cell->node, message->pong->owners[i]);
	if (message->has_accepted)
		node_jobs_set_accepted(cell, message->accepted);
	if (message->has_withdrawn)
		node_withdrawals_remove(cell, message->withdrawn);
	if (message->told)
		node_queries_add_answer(cell, message->told);
	if (message->verdict && verdict_is_valid(cell, message->verdict))
		node_jobs_add_verdict(cell, message->verdict);
}

void waxwing_node_handle_message(struct waxwing_node *node, uint64_t sender,
				 Waxwing__NodeMessage *message)
{
	struct node_cell *cell = node_cell_find(node, message->cell);

	if (!cell) {
		waxwing_event("message_of_no_cell", "cell=%s", message->cell);
		return;
	}
	if (sender)
		node_owner_message(cell, sender, message);
	else
		handle_owner_message(cell, message);
}
