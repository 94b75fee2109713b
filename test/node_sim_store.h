/** Simulated key-value store of the platform. Part of node_sim.h. */
#ifndef WAXWING_TEST_NODE_SIM_STORE_H
#define WAXWING_TEST_NODE_SIM_STORE_H

#include "node_sim_types.h"

enum store_kind {
	STORE_RANGE,
	STORE_WATCH,
	STORE_PUT,
	STORE_APPEND,
	STORE_GRANT_LEASE,
	STORE_RENEW_LEASE,
};

struct store_call {
	struct cluster_sim *sim;
	int host_index;
	uint64_t incarnation;
	enum store_kind kind;
	struct waxwing_store_callback reply;
	char *prefix;
	char *key;
	char *value;
	size_t len;
	uint64_t revision_or_lease;
	uint64_t lease;
	uint32_t wait_or_ttl_ms;
	bool unanswered;
	char *guard_key;
	char **claims;
	char *claim_value;
	char **removes;
	struct waxwing_store_answer answer;
	GArray *items; /* struct waxwing_store_item that own their key and value */
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

static void store_deliver_answer(struct cluster_sim *sim, void *data)
{
	struct store_call *call = data;
	struct sim_host *host = find_live_host(sim, call->host_index, call->incarnation);

	if (host && defer_if_frozen(host, store_deliver_answer, call))
		return;
	if (host) {
		if (call->items) {
			call->answer.items = (const struct waxwing_store_item *)call->items->data;
			call->answer.item_count = call->items->len;
		}
		call->reply.done(call->reply.data, &call->answer);
		waxwing_node_process_events(host->node);
	} else {
		/* The caller's process has ended; the callback only frees the data of the call. */
		call->answer = (struct waxwing_store_answer){ .status = WAXWING_STORE_UNKNOWN };
		call->reply.done(call->reply.data, &call->answer);
	}
	store_call_free(call);
}

static void store_answer(struct store_call *call, enum waxwing_store_status status)
{
	struct cluster_sim *sim = call->sim;
	struct sim_host *host = &sim->hosts[call->host_index];
	bool lost = call->unanswered || host->store_unreachable ||
		    !zones_connected(sim, host->zone, -1);

	call->answer.status = lost ? WAXWING_STORE_UNKNOWN : status;
	if (lost)
		clear_items(call);
	sim_schedule(sim, lost ? STORE_CALL_TIMEOUT_MS : sim->store_delay_ms, store_deliver_answer,
		     call);
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

static bool collect_watch_events(struct store_call *call)
{
	struct cluster_sim *sim = call->sim;

	for (guint i = 0; i < sim->history->len; i++) {
		struct store_event *event = sim->history->pdata[i];

		if (event->revision > call->revision_or_lease &&
		    g_str_has_prefix(event->key, call->prefix))
			add_item(call->items, event->key, event->value, event->len, event->revision,
				 event->deleted);
	}
	return call->items->len > 0;
}

static void answer_watchers(struct cluster_sim *sim)
{
	for (guint i = sim->watchers->len; i-- > 0;) {
		struct store_watcher *watcher = sim->watchers->pdata[i];

		if (!collect_watch_events(watcher->call) && sim_now(sim) < watcher->timeout_at_ms)
			continue;
		watcher->call->answer.revision = sim->revision;
		store_answer(watcher->call, WAXWING_STORE_OK);
		g_ptr_array_remove_index_fast(sim->watchers, i);
		g_free(watcher);
	}
}

static void record_store_event(struct cluster_sim *sim, const char *key, const char *value,
			       size_t len, bool deleted)
{
	struct store_event *event = g_new0(struct store_event, 1);

	event->key = g_strdup(key);
	event->value = g_memdup2(value, len);
	event->len = len;
	event->revision = sim->revision;
	event->deleted = deleted;
	g_ptr_array_add(sim->history, event);
}

static void store_put(struct cluster_sim *sim, const char *key, const char *value, size_t len,
		      uint64_t lease)
{
	struct store_entry *entry = g_new0(struct store_entry, 1);

	entry->value = g_memdup2(value, len);
	entry->len = len;
	entry->revision = ++sim->revision;
	entry->lease = lease;
	g_hash_table_replace(sim->entries, g_strdup(key), entry);
	record_store_event(sim, key, value, len, false);
	answer_watchers(sim);
}

static void store_remove(struct cluster_sim *sim, const char *key)
{
	char *copy = g_strdup(key);

	sim->revision++;
	g_hash_table_remove(sim->entries, copy);
	record_store_event(sim, copy, "", 0, true);
	g_free(copy);
	answer_watchers(sim);
}

static struct store_lease *find_lease(struct cluster_sim *sim, uint64_t id)
{
	for (guint i = 0; i < sim->leases->len; i++) {
		struct store_lease *lease = &g_array_index(sim->leases, struct store_lease, i);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static void remove_leased_entries(struct cluster_sim *sim, uint64_t id)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, sim->entries);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (((struct store_entry *)value)->lease == id)
			g_ptr_array_add(keys, g_strdup(key));
	for (guint i = 0; i < keys->len; i++)
		store_remove(sim, keys->pdata[i]);
	g_ptr_array_free(keys, TRUE);
}

static void expire_leases(struct cluster_sim *sim)
{
	for (guint i = sim->leases->len; i-- > 0;) {
		struct store_lease lease = g_array_index(sim->leases, struct store_lease, i);

		if (sim_now(sim) < lease.expires_ms)
			continue;
		g_array_remove_index_fast(sim->leases, i);
		remove_leased_entries(sim, lease.id);
	}
}

static void handle_put(struct cluster_sim *sim, struct store_call *call)
{
	struct store_entry *entry = g_hash_table_lookup(sim->entries, call->key);

	if ((entry ? entry->revision : 0) != call->revision_or_lease) {
		store_answer(call, WAXWING_STORE_CONFLICT);
		return;
	}
	if (call->lease && !find_lease(sim, call->lease)) {
		store_answer(call, WAXWING_STORE_NOT_FOUND);
		return;
	}
	call->unanswered = call->unanswered || sim_chance(sim, sim->store_unanswered_share);
	store_put(sim, call->key, call->value, call->len, call->lease);
	call->answer.revision = sim->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static void add_entry_item(struct cluster_sim *sim, struct store_call *call, const char *key)
{
	struct store_entry *entry = g_hash_table_lookup(sim->entries, key);

	if (entry)
		add_item(call->items, key, entry->value, entry->len, entry->revision, false);
}

static bool append_conflicts(struct cluster_sim *sim, const struct store_call *call)
{
	struct store_entry *guard = g_hash_table_lookup(sim->entries, call->guard_key);
	bool conflicts = (guard ? guard->revision : 0) != call->revision_or_lease ||
			 g_hash_table_contains(sim->entries, call->key);

	for (char **key = call->claims; *key; key++)
		conflicts |= g_hash_table_contains(sim->entries, *key);
	return conflicts;
}

static void handle_append(struct cluster_sim *sim, struct store_call *call)
{
	g_assert_cmpuint(WAXWING_STORE_APPEND_ENTRIES +
				 WAXWING_STORE_CLAIM_ENTRIES * g_strv_length(call->claims) +
				 g_strv_length(call->removes),
			 <=, WAXWING_STORE_MAX_ENTRIES);
	if (append_conflicts(sim, call)) {
		add_entry_item(sim, call, call->guard_key);
		add_entry_item(sim, call, call->key);
		for (char **key = call->claims; *key; key++)
			add_entry_item(sim, call, *key);
		store_answer(call, WAXWING_STORE_CONFLICT);
		return;
	}
	call->unanswered = call->unanswered || sim_chance(sim, sim->store_unanswered_share);
	store_put(sim, call->key, call->value, call->len, 0);
	for (char **key = call->claims; *key; key++)
		store_put(sim, *key, call->claim_value, strlen(call->claim_value), 0);
	for (char **key = call->removes; *key; key++)
		store_remove(sim, *key);
	call->answer.revision = sim->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static int compare_items(gconstpointer a, gconstpointer b)
{
	const struct waxwing_store_item *left = a;
	const struct waxwing_store_item *right = b;

	return strcmp(left->key.data, right->key.data);
}

static void handle_range(struct cluster_sim *sim, struct store_call *call)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct store_entry *entry = value;

		if (g_str_has_prefix(key, call->prefix))
			add_item(call->items, key, entry->value, entry->len, entry->revision,
				 false);
	}
	g_array_sort(call->items, compare_items);
	call->answer.revision = sim->revision;
	store_answer(call, WAXWING_STORE_OK);
}

static void handle_grant_lease(struct cluster_sim *sim, struct store_call *call)
{
	struct store_lease lease = { ++sim->next_lease, call->wait_or_ttl_ms,
				     sim_now(sim) + call->wait_or_ttl_ms };

	g_array_append_val(sim->leases, lease);
	call->answer.lease = lease.id;
	call->answer.ttl_ms = lease.ttl_ms;
	store_answer(call, WAXWING_STORE_OK);
}

static void handle_renew_lease(struct cluster_sim *sim, struct store_call *call)
{
	struct store_lease *lease = find_lease(sim, call->revision_or_lease);

	if (lease)
		lease->expires_ms = sim_now(sim) + lease->ttl_ms;
	store_answer(call, lease ? WAXWING_STORE_OK : WAXWING_STORE_NOT_FOUND);
}

/* Drops a call; the caller gets no answer until its call times out. */
static void store_drop_call(struct store_call *call)
{
	call->answer.status = WAXWING_STORE_UNKNOWN;
	g_array_set_size(call->items, 0);
	sim_schedule(call->sim,
		     STORE_CALL_TIMEOUT_MS + (call->kind == STORE_WATCH ? call->wait_or_ttl_ms : 0),
		     store_deliver_answer, call);
}

/* Drops the history of all changes so far. */
static G_GNUC_UNUSED void store_forget_history(struct cluster_sim *sim)
{
	sim->forgotten_revision = sim->revision;
}

static G_GNUC_UNUSED void store_stop_answering(struct cluster_sim *sim)
{
	sim->store_unresponsive = true;
	for (guint i = 0; i < sim->watchers->len; i++) {
		struct store_watcher *watcher = sim->watchers->pdata[i];

		store_drop_call(watcher->call);
		g_free(watcher);
	}
	g_ptr_array_set_size(sim->watchers, 0);
}

static void store_call_arrived(struct cluster_sim *sim, void *data)
{
	struct store_call *call = data;
	struct sim_host *host = &sim->hosts[call->host_index];
	struct store_watcher *watcher;

	if (host->store_unreachable || !zones_connected(sim, host->zone, -1)) {
		store_answer(call, WAXWING_STORE_UNKNOWN);
		return;
	}
	if (sim->store_down) {
		store_answer(call, WAXWING_STORE_REFUSED);
		return;
	}
	if (sim->store_unresponsive || host->store_requests_lost ||
	    (host->operator_calls_lost && call->prefix && g_str_has_prefix(call->prefix, "op/"))) {
		store_drop_call(call);
		return;
	}
	switch (call->kind) {
	case STORE_RANGE:
		handle_range(sim, call);
		break;
	case STORE_WATCH:
		if (call->revision_or_lease < sim->forgotten_revision) {
			store_answer(call, WAXWING_STORE_HISTORY_LOST);
			break;
		}
		watcher = g_new0(struct store_watcher, 1);
		watcher->call = call;
		watcher->timeout_at_ms = sim_now(sim) + call->wait_or_ttl_ms;
		g_ptr_array_add(sim->watchers, watcher);
		answer_watchers(sim);
		break;
	case STORE_PUT:
		handle_put(sim, call);
		break;
	case STORE_APPEND:
		handle_append(sim, call);
		break;
	case STORE_GRANT_LEASE:
		handle_grant_lease(sim, call);
		break;
	case STORE_RENEW_LEASE:
		handle_renew_lease(sim, call);
		break;
	}
}

static void note_list_call(struct waxwing_store *store, const char *prefix)
{
	struct sim_host *host = (struct sim_host *)store;

	if (strcmp(prefix, "servers/") == 0)
		host->list_read_ms = sim_now(host->sim);
	if (g_str_has_prefix(prefix, "op/")) {
		host->operator_calls++;
		g_strlcpy(host->operator_prefix, prefix, sizeof(host->operator_prefix));
	}
	if (strcmp(prefix, "cells/") == 0)
		host->owners_read_ms = sim_now(host->sim);
}

static struct store_call *store_call(struct waxwing_store *store, enum store_kind kind,
				     struct waxwing_store_callback reply)
{
	struct sim_host *host = (struct sim_host *)store;
	struct store_call *call = g_new0(struct store_call, 1);

	call->sim = host->sim;
	call->host_index = host->index;
	call->incarnation = host->incarnation;
	call->kind = kind;
	call->reply = reply;
	call->items = g_array_new(FALSE, FALSE, sizeof(struct waxwing_store_item));
	sim_schedule(host->sim, host->sim->store_delay_ms, store_call_arrived, call);
	return call;
}

static void fake_range(struct waxwing_store *store, const char *prefix, const char *after_key,
		       struct waxwing_store_callback reply)
{
	(void)after_key;
	note_list_call(store, prefix);
	store_call(store, STORE_RANGE, reply)->prefix = g_strdup(prefix);
}

static void fake_watch(struct waxwing_store *store, const char *prefix, uint64_t after_revision,
		       uint32_t wait_ms, struct waxwing_store_callback reply)
{
	struct store_call *call = store_call(store, STORE_WATCH, reply);

	note_list_call(store, prefix);

	call->prefix = g_strdup(prefix);
	call->revision_or_lease = after_revision;
	call->wait_or_ttl_ms = wait_ms;
}

static void fake_put(struct waxwing_store *store, const struct waxwing_store_put *put,
		     struct waxwing_store_callback reply)
{
	struct store_call *call = store_call(store, STORE_PUT, reply);

	call->key = g_strdup(put->key);
	call->value = g_memdup2(put->value.data, put->value.len);
	call->len = put->value.len;
	call->revision_or_lease = put->expected_revision;
	call->lease = put->lease;
}

static void fake_append(struct waxwing_store *store, const struct waxwing_store_append *append,
			struct waxwing_store_callback reply)
{
	struct store_call *call = store_call(store, STORE_APPEND, reply);

	call->guard_key = g_strdup(append->guard_key);
	call->revision_or_lease = append->guard_revision;
	call->key = g_strdup(append->key);
	call->value = g_memdup2(append->value.data, append->value.len);
	call->len = append->value.len;
	call->claims = g_new0(char *, append->claim_count + 1);
	for (size_t i = 0; i < append->claim_count; i++)
		call->claims[i] = g_strdup(append->claims[i]);
	call->claim_value = g_strdup(append->claim_value);
	call->removes = g_new0(char *, append->removed_count + 1);
	for (size_t i = 0; i < append->removed_count; i++)
		call->removes[i] = g_strdup(append->removed_keys[i]);
}

static void fake_grant_lease(struct waxwing_store *store, uint32_t ttl_ms,
			     struct waxwing_store_callback reply)
{
	store_call(store, STORE_GRANT_LEASE, reply)->wait_or_ttl_ms = ttl_ms;
}

static void fake_renew_lease(struct waxwing_store *store, uint64_t lease,
			     struct waxwing_store_callback reply)
{
	store_call(store, STORE_RENEW_LEASE, reply)->revision_or_lease = lease;
}

static const struct waxwing_store_ops fake_store_ops = {
	.range = fake_range,
	.watch = fake_watch,
	.put = fake_put,
	.append = fake_append,
	.grant_lease = fake_grant_lease,
	.renew_lease = fake_renew_lease,
};

#endif
