/** The platform's store of the world in virtual time. Part of node_world.h. */
#ifndef WAXWING_TEST_NODE_WORLD_STORE_H
#define WAXWING_TEST_NODE_WORLD_STORE_H

#include "node_world_types.h"

enum store_kind {
	STORE_RANGE,
	STORE_WATCH,
	STORE_CHANGE,
	STORE_APPEND,
	STORE_LEASE,
	STORE_KEEP,
};

struct store_call {
	struct world *world;
	int node;
	uint64_t incarnation;
	enum store_kind kind;
	struct waxwing_store_reply reply;
	char *prefix;
	char *key;
	char *value;
	size_t len;
	uint64_t number; /* revision or lease */
	uint64_t lease;
	uint32_t wait_ms;
	bool unanswered;
	char *guard_key;
	char **claims;
	char *claim_value;
	char **removes;
	struct waxwing_store_answer answer;
	GArray *items; /* struct waxwing_store_item, with copies */
};

static void clear_items(struct store_call *call)
{
	for (guint i = 0; i < call->items->len; i++) {
		struct waxwing_store_item *item =
			&g_array_index(call->items, struct waxwing_store_item, i);

		g_free((char *)item->key.data);
		g_free((char *)item->value.data);
	}
	g_array_set_size(call->items, 0);
}

static void store_call_free(struct store_call *call)
{
	clear_items(call);
	g_array_free(call->items, TRUE);
	g_free(call->prefix);
	g_free(call->key);
	g_free(call->value);
	g_free(call->guard_key);
	g_strfreev(call->claims);
	g_free(call->claim_value);
	g_strfreev(call->removes);
	g_free(call);
}

static void store_reply_now(struct world *world, void *data)
{
	struct store_call *call = data;
	struct world_node *at = node_alive(world, call->node, call->incarnation);

	if (at && hold_back(at, store_reply_now, call))
		return;
	if (at) {
		if (call->items) {
			call->answer.items = (const struct waxwing_store_item *)call->items->data;
			call->answer.item_count = call->items->len;
		}
		call->reply.done(call->reply.data, &call->answer);
		waxwing_node_settle(at->node);
	} else {
		/* what asked is gone but for what this call holds */
		call->answer = (struct waxwing_store_answer){ .end = WAXWING_STORE_UNKNOWN };
		call->reply.done(call->reply.data, &call->answer);
	}
	store_call_free(call);
}

static void store_answer(struct store_call *call, enum waxwing_store_end end)
{
	struct world *world = call->world;
	struct world_node *at = &world->nodes[call->node];
	bool lost = call->unanswered || at->store_cut || !zones_meet(world, at->zone, -1);

	call->answer.end = lost ? WAXWING_STORE_UNKNOWN : end;
	if (lost)
		clear_items(call);
	world_later(world, lost ? CALL_TIMEOUT_MS : STORE_WAY_MS, store_reply_now, call);
}

static void add_item(GArray *items, const char *key, const char *value, size_t len,
		     uint64_t revision, bool deleted)
{
	struct waxwing_store_item item = {
		.key = { strlen(key), g_strdup(key) },
		.value = { len, g_memdup2(value, len) },
		.revision = revision,
		.deleted = deleted,
	};

	g_array_append_val(items, item);
}

static bool watch_has_events(struct store_call *call)
{
	struct world *world = call->world;

	for (guint i = 0; i < world->history->len; i++) {
		struct store_event *event = world->history->pdata[i];

		if (event->revision > call->number && g_str_has_prefix(event->key, call->prefix))
			add_item(call->items, event->key, event->value, event->len, event->revision,
				 event->deleted);
	}
	return call->items->len > 0;
}

static void wake_watchers(struct world *world)
{
	for (guint i = world->watchers->len; i-- > 0;) {
		struct watcher *watcher = world->watchers->pdata[i];

		if (!watch_has_events(watcher->call) && world_now(world) < watcher->until_ms)
			continue;
		watcher->call->answer.revision = world->revision;
		store_answer(watcher->call, WAXWING_STORE_OK);
		g_ptr_array_remove_index_fast(world->watchers, i);
		g_free(watcher);
	}
}

static void store_note(struct world *world, const char *key, const char *value, size_t len,
		       bool deleted)
{
	struct store_event *event = g_new0(struct store_event, 1);

	event->key = g_strdup(key);
	event->value = g_memdup2(value, len);
	event->len = len;
	event->revision = world->revision;
	event->deleted = deleted;
	g_ptr_array_add(world->history, event);
}

static void store_put(struct world *world, const char *key, const char *value, size_t len,
		      uint64_t lease)
{
	struct store_entry *entry = g_new0(struct store_entry, 1);

	entry->value = g_memdup2(value, len);
	entry->len = len;
	entry->revision = ++world->revision;
	entry->lease = lease;
	g_hash_table_replace(world->entries, g_strdup(key), entry);
	store_note(world, key, value, len, false);
	wake_watchers(world);
}

static void store_remove(struct world *world, const char *key)
{
	char *copy = g_strdup(key);

	world->revision++;
	g_hash_table_remove(world->entries, copy);
	store_note(world, copy, "", 0, true);
	g_free(copy);
	wake_watchers(world);
}

static struct store_lease *find_lease(struct world *world, uint64_t id)
{
	for (guint i = 0; i < world->leases->len; i++) {
		struct store_lease *lease = &g_array_index(world->leases, struct store_lease, i);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static void end_lease(struct world *world, uint64_t id)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, world->entries);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (((struct store_entry *)value)->lease == id)
			g_ptr_array_add(keys, g_strdup(key));
	for (guint i = 0; i < keys->len; i++)
		store_remove(world, keys->pdata[i]);
	g_ptr_array_free(keys, TRUE);
}

static void lapse_leases(struct world *world)
{
	for (guint i = world->leases->len; i-- > 0;) {
		struct store_lease lease = g_array_index(world->leases, struct store_lease, i);

		if (world_now(world) < lease.until_ms)
			continue;
		g_array_remove_index_fast(world->leases, i);
		end_lease(world, lease.id);
	}
}

static void store_change(struct world *world, struct store_call *call)
{
	struct store_entry *entry = g_hash_table_lookup(world->entries, call->key);

	if ((entry ? entry->revision : 0) != call->number) {
		store_answer(call, WAXWING_STORE_CONFLICT);
		return;
	}
	if (call->lease && !find_lease(world, call->lease)) {
		store_answer(call, WAXWING_STORE_NOT_FOUND);
		return;
	}
	call->unanswered = call->unanswered || world_chance(world, world->store_lost_share);
	store_put(world, call->key, call->value, call->len, call->lease);
	call->answer.revision = world->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static void show_entry(struct world *world, struct store_call *call, const char *key)
{
	struct store_entry *entry = g_hash_table_lookup(world->entries, key);

	if (entry)
		add_item(call->items, key, entry->value, entry->len, entry->revision, false);
}

static bool append_conflicts(struct world *world, const struct store_call *call)
{
	struct store_entry *guard = g_hash_table_lookup(world->entries, call->guard_key);
	bool conflicts = (guard ? guard->revision : 0) != call->number ||
			 g_hash_table_contains(world->entries, call->key);

	for (char **key = call->claims; *key; key++)
		conflicts |= g_hash_table_contains(world->entries, *key);
	return conflicts;
}

static void store_append(struct world *world, struct store_call *call)
{
	g_assert_cmpuint(WAXWING_STORE_APPEND_ENTRIES +
				 WAXWING_STORE_CLAIM_ENTRIES * g_strv_length(call->claims) +
				 g_strv_length(call->removes),
			 <=, WAXWING_STORE_ENTRIES_MOST);
	if (append_conflicts(world, call)) {
		show_entry(world, call, call->guard_key);
		show_entry(world, call, call->key);
		for (char **key = call->claims; *key; key++)
			show_entry(world, call, *key);
		store_answer(call, WAXWING_STORE_CONFLICT);
		return;
	}
	call->unanswered = call->unanswered || world_chance(world, world->store_lost_share);
	store_put(world, call->key, call->value, call->len, 0);
	for (char **key = call->claims; *key; key++)
		store_put(world, *key, call->claim_value, strlen(call->claim_value), 0);
	for (char **key = call->removes; *key; key++)
		store_remove(world, *key);
	call->answer.revision = world->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static int compare_items(gconstpointer a, gconstpointer b)
{
	const struct waxwing_store_item *left = a;
	const struct waxwing_store_item *right = b;

	return strcmp(left->key.data, right->key.data);
}

static void store_range(struct world *world, struct store_call *call)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, world->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct store_entry *entry = value;

		if (g_str_has_prefix(key, call->prefix))
			add_item(call->items, key, entry->value, entry->len, entry->revision,
				 false);
	}
	g_array_sort(call->items, compare_items);
	call->answer.revision = world->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static void store_lease(struct world *world, struct store_call *call)
{
	struct store_lease lease = { ++world->next_lease, call->wait_ms,
				     world_now(world) + call->wait_ms };

	g_array_append_val(world->leases, lease);
	call->answer.lease = lease.id;
	call->answer.ttl_ms = lease.ttl_ms;
	store_answer(call, WAXWING_STORE_OK);
}

static void store_keep(struct world *world, struct store_call *call)
{
	struct store_lease *lease = find_lease(world, call->number);

	if (lease)
		lease->until_ms = world_now(world) + lease->ttl_ms;
	store_answer(call, lease ? WAXWING_STORE_OK : WAXWING_STORE_NOT_FOUND);
}

/* Its sender hears nothing until it has waited long enough. */
static void store_lose(struct store_call *call)
{
	call->answer.end = WAXWING_STORE_UNKNOWN;
	g_array_set_size(call->items, 0);
	world_later(call->world, CALL_TIMEOUT_MS + (call->kind == STORE_WATCH ? call->wait_ms : 0),
		    store_reply_now, call);
}

static void store_falls_silent(struct world *world)
{
	world->store_silent = true;
	for (guint i = 0; i < world->watchers->len; i++) {
		struct watcher *watcher = world->watchers->pdata[i];

		store_lose(watcher->call);
		g_free(watcher);
	}
	g_ptr_array_set_size(world->watchers, 0);
}

static void store_arrived(struct world *world, void *data)
{
	struct store_call *call = data;
	struct world_node *at = &world->nodes[call->node];
	struct watcher *watcher;

	if (at->store_cut || !zones_meet(world, at->zone, -1)) {
		store_answer(call, WAXWING_STORE_UNKNOWN);
		return;
	}
	if (world->store_down) {
		store_answer(call, WAXWING_STORE_REFUSED);
		return;
	}
	if (world->store_silent) {
		store_lose(call);
		return;
	}
	switch (call->kind) {
	case STORE_RANGE:
		store_range(world, call);
		break;
	case STORE_WATCH:
		watcher = g_new0(struct watcher, 1);
		watcher->call = call;
		watcher->until_ms = world_now(world) + call->wait_ms;
		g_ptr_array_add(world->watchers, watcher);
		wake_watchers(world);
		break;
	case STORE_CHANGE:
		store_change(world, call);
		break;
	case STORE_APPEND:
		store_append(world, call);
		break;
	case STORE_LEASE:
		store_lease(world, call);
		break;
	case STORE_KEEP:
		store_keep(world, call);
		break;
	}
}

static struct store_call *store_call(struct waxwing_store *store, enum store_kind kind,
				     struct waxwing_store_reply reply)
{
	struct world_node *at = (struct world_node *)store;
	struct store_call *call = g_new0(struct store_call, 1);

	call->world = at->world;
	call->node = at->index;
	call->incarnation = at->incarnation;
	call->kind = kind;
	call->reply = reply;
	call->items = g_array_new(FALSE, FALSE, sizeof(struct waxwing_store_item));
	world_later(at->world, STORE_WAY_MS, store_arrived, call);
	return call;
}

static void fake_range(struct waxwing_store *store, const char *prefix, const char *after_key,
		       struct waxwing_store_reply reply)
{
	(void)after_key;
	store_call(store, STORE_RANGE, reply)->prefix = g_strdup(prefix);
}

static void fake_watch(struct waxwing_store *store, const char *prefix, uint64_t after_revision,
		       uint32_t wait_ms, struct waxwing_store_reply reply)
{
	struct store_call *call = store_call(store, STORE_WATCH, reply);

	call->prefix = g_strdup(prefix);
	call->number = after_revision;
	call->wait_ms = wait_ms;
}

static void fake_change(struct waxwing_store *store, const struct waxwing_store_change *change,
			struct waxwing_store_reply reply)
{
	struct store_call *call = store_call(store, STORE_CHANGE, reply);

	call->key = g_strdup(change->key);
	call->value = g_memdup2(change->value.data, change->value.len);
	call->len = change->value.len;
	call->number = change->expected_revision;
	call->lease = change->lease;
}

static void fake_append(struct waxwing_store *store, const struct waxwing_store_append *append,
			struct waxwing_store_reply reply)
{
	struct store_call *call = store_call(store, STORE_APPEND, reply);

	call->guard_key = g_strdup(append->guard_key);
	call->number = append->guard_revision;
	call->key = g_strdup(append->key);
	call->value = g_memdup2(append->value.data, append->value.len);
	call->len = append->value.len;
	call->claims = g_new0(char *, append->claim_count + 1);
	for (size_t i = 0; i < append->claim_count; i++)
		call->claims[i] = g_strdup(append->claims[i]);
	call->claim_value = g_strdup(append->claim_value);
	call->removes = g_new0(char *, append->remove_count + 1);
	for (size_t i = 0; i < append->remove_count; i++)
		call->removes[i] = g_strdup(append->removes[i]);
}

static void fake_lease(struct waxwing_store *store, uint32_t ttl_ms,
		       struct waxwing_store_reply reply)
{
	store_call(store, STORE_LEASE, reply)->wait_ms = ttl_ms;
}

static void fake_keep(struct waxwing_store *store, uint64_t lease, struct waxwing_store_reply reply)
{
	store_call(store, STORE_KEEP, reply)->number = lease;
}

static const struct waxwing_store_ops fake_store_ops = {
	.range = fake_range,
	.watch = fake_watch,
	.change = fake_change,
	.append = fake_append,
	.lease = fake_lease,
	.keep = fake_keep,
};

#endif
