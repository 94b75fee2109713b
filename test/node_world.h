/**
 * Nodes, executors and the platform's store in virtual time, with clients that send again what they
 * do not know the end of. Faults are made by the test; the world checks the promises as it goes:
 * no task runs twice at once, no executor is over its capacity, nothing runs of a job whose every
 * submission was refused.
 *
 * For a test file that includes it once.
 */
#ifndef WAXWING_TEST_NODE_WORLD_H
#define WAXWING_TEST_NODE_WORLD_H

#include "node.h"

#include <stdio.h>
#include <stdlib.h>

#define NODES		 6
#define ZONES		 3
#define EXECUTORS	 12
#define EXECUTOR_CPU	 16000
#define WAY_MS		 1
#define STORE_WAY_MS	 2
#define CALL_TIMEOUT_MS	 1000
#define LEASE_MOST_MS	 1000
#define STOP_MS		 50
#define RESEND_MS	 1300
#define ASK_MS		 300
#define STORE_WATCH_KEYS 64

struct world;

struct event {
	int64_t due_ms;
	uint64_t sequence;
	void (*happen)(struct world *world, void *data);
	void *data;
};

struct store_entry {
	char *value;
	size_t len;
	uint64_t revision;
	uint64_t lease;
};

struct store_event {
	char *key;
	char *value;
	size_t len;
	uint64_t revision;
	bool deleted;
};

struct store_lease {
	uint64_t id;
	uint32_t ttl_ms;
	int64_t until_ms;
};

struct watcher {
	struct store_call *call;
	int64_t until_ms;
};

struct world_node {
	struct waxwing_store store; /* first: the node's own way to the store */
	struct world *world;
	int index;
	int zone;
	struct waxwing_executors executors;
	struct waxwing_link link;
	struct waxwing_node *node; /* null: dead */
	uint64_t incarnation;
	int64_t frozen_until_ms;
	GPtrArray *held; /* events that came while it was frozen */
	bool store_cut;
	char name[32];
	char address[32];
};

struct executor_run {
	struct waxwing_run_name name;
	int64_t started_ms;
	int64_t ends_ms;
	int64_t stops_ms; /* 0: it is not being stopped */
};

struct world_executor {
	int index;
	int zone;
	char id[16];
	GArray *runs; /* struct executor_run */
	GArray *ended; /* struct waxwing_ended_row */
	uint64_t last_end;
	uint64_t forgotten_upto; /* ends that were acknowledged */
	uint64_t token;
	int64_t lease_until_ms; /* on its clock */
	int64_t offset_ms; /* of its clock */
	double pace; /* of its clock: it may be 2% slow */
	int64_t relist_ms; /* its entry has lapsed, and is back then; 0: it is listed */
	int64_t born_ms;
	bool dark; /* answers nothing and is reached by nothing */
	bool cut; /* from all nodes; runs on */
	double speed;
	GPtrArray *holds; /* struct executor_call that wait for an end */
};

enum client_state {
	CLIENT_WAITS,
	CLIENT_STORED, /* its job is kept, and asked for */
	CLIENT_SERVED,
	CLIENT_REFUSED, /* every submission was */
	CLIENT_LEFT,
};

struct client_job {
	struct waxwing_ticket ticket; /* first */
	struct waxwing_ask_ticket ask;
	struct world *world;
	uint64_t id;
	bool kept;
	bool asking;
	uint64_t noted; /* tasks, by bit, whose end was acknowledged */
	enum client_state state;
	int node;
	uint64_t incarnation; /* of the node it waits at */
	uint32_t tasks;
	uint32_t work_ms;
	uint32_t tries;
	bool started;
	bool asleep; /* until it sends again */
	uint32_t done;
	int64_t sent_ms;
};

struct world {
	struct waxwing_virtual_clock clock;
	GSequence *events;
	uint64_t sequence;
	GRand *random;
	/* store */
	GHashTable *entries; /* key -> store_entry */
	GPtrArray *history; /* store_event */
	GArray *leases;
	GPtrArray *watchers;
	uint64_t revision;
	uint64_t next_lease;
	bool store_down;
	bool store_silent; /* takes calls, and never answers them; waiting watches are lost */
	double store_lost_share; /* of changes: done, and not answered */
	double kept_share; /* of jobs that must be kept */
	double late_share; /* of orders: not answered, and carried out seconds later */
	bool zone_cut[ZONES]; /* from the other failure domains and the store */
	struct world_node nodes[NODES];
	struct world_executor executors[EXECUTORS];
	GHashTable *jobs; /* id -> client_job */
	uint64_t next_job;
	uint32_t violations;
	uint32_t starts;
	char first_violation[200];
};

static int64_t world_now(const struct world *world)
{
	return world->clock.now_ms;
}

static int compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)user;
	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static void world_later(struct world *world, int64_t after_ms,
			void (*happen)(struct world *world, void *data), void *data)
{
	struct event *event = g_new0(struct event, 1);

	event->due_ms = world_now(world) + after_ms;
	event->sequence = world->sequence++;
	event->happen = happen;
	event->data = data;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

static void world_violation(struct world *world, const char *rule, uint64_t job, uint32_t index)
{
	if (!world->violations++)
		snprintf(world->first_violation, sizeof(world->first_violation),
			 "%s at %lld ms: job %llu task %u", rule, (long long)world_now(world),
			 (unsigned long long)job, index);
}

static bool world_chance(struct world *world, double share)
{
	return share > 0 && g_rand_double(world->random) < share;
}

/* True when two failure domains reach each other; -1 is the store's. */
static bool zones_meet(const struct world *world, int a, int b)
{
	if (a == b)
		return true;
	return !(a >= 0 && world->zone_cut[a]) && !(b >= 0 && world->zone_cut[b]);
}

/* A node that the process of an answer or message is still alive in. */
static struct world_node *node_alive(struct world *world, int index, uint64_t incarnation)
{
	struct world_node *at = &world->nodes[index];

	return at->node && at->incarnation == incarnation ? at : NULL;
}

/* --- store ------------------------------------------------------------------------------------ */

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
	g_strfreev(call->removes);
	g_free(call);
}

static bool hold_back(struct world_node *at, void (*happen)(struct world *, void *), void *data)
{
	struct event *event;

	if (at->frozen_until_ms <= world_now(at->world))
		return false;
	event = g_new0(struct event, 1);
	event->happen = happen;
	event->data = data;
	g_ptr_array_add(at->held, event);
	return true;
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

static void store_append(struct world *world, struct store_call *call)
{
	struct store_entry *guard = g_hash_table_lookup(world->entries, call->guard_key);

	if ((guard ? guard->revision : 0) != call->number ||
	    g_hash_table_contains(world->entries, call->key)) {
		show_entry(world, call, call->guard_key);
		show_entry(world, call, call->key);
		store_answer(call, WAXWING_STORE_CONFLICT);
		return;
	}
	call->unanswered = call->unanswered || world_chance(world, world->store_lost_share);
	store_put(world, call->key, call->value, call->len, 0);
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

/* --- executors -------------------------------------------------------------------------------- */

enum executor_kind {
	EXECUTOR_START,
	EXECUTOR_STOP,
	EXECUTOR_HOLD,
};

struct executor_call {
	struct world *world;
	int node;
	uint64_t incarnation;
	int executor;
	enum executor_kind kind;
	struct waxwing_run_name name;
	uint64_t token;
	int64_t until_ms;
	uint64_t acked_upto;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	int64_t waits_until_ms;
	int64_t life_ms; /* start of the life that it was sent to: it dies with it */
	bool unanswered;
	bool late;
	void (*start_done)(void *data, enum waxwing_start_answer answer, int64_t clock_ms);
	void (*stop_done)(void *data, bool answered);
	void (*hold_done)(void *data, const struct waxwing_hold_answer *answer);
	void *data;
	/* what it answers */
	enum waxwing_start_answer start_answer;
	enum waxwing_hold_end hold_end;
	int64_t clock_ms;
	int64_t born_ms;
	GArray *running;
	GArray *ended;
};

static int64_t executor_clock(const struct world *world, const struct world_executor *executor)
{
	return (int64_t)((double)world_now(world) * executor->pace) + executor->offset_ms;
}

static void executor_reply_now(struct world *world, void *data)
{
	struct executor_call *call = data;
	struct world_node *at = node_alive(world, call->node, call->incarnation);
	struct waxwing_hold_answer answer = { .end = call->hold_end };

	if (at && hold_back(at, executor_reply_now, call))
		return;
	if (at && call->kind == EXECUTOR_START)
		call->start_done(call->data, call->start_answer, call->clock_ms);
	if (at && call->kind == EXECUTOR_STOP)
		call->stop_done(call->data, !call->unanswered);
	if (at && call->kind == EXECUTOR_HOLD) {
		answer.clock_ms = call->clock_ms;
		answer.born_ms = call->born_ms;
		if (call->running) {
			answer.running = (const struct waxwing_running_row *)call->running->data;
			answer.running_count = call->running->len;
			answer.ended = (const struct waxwing_ended_row *)call->ended->data;
			answer.ended_count = call->ended->len;
		}
		call->hold_done(call->data, &answer);
	}
	if (at)
		waxwing_node_settle(at->node);
	else
		g_free(call->data); /* the order, of a node that is gone */
	if (call->running)
		g_array_free(call->running, TRUE);
	if (call->ended)
		g_array_free(call->ended, TRUE);
	g_free(call);
}

static bool executor_reached(const struct world *world, const struct executor_call *call)
{
	const struct world_executor *executor = &world->executors[call->executor];

	return !executor->dark && !executor->cut && executor->born_ms == call->life_ms &&
	       zones_meet(world, world->nodes[call->node].zone, executor->zone);
}

static void executor_answer(struct executor_call *call)
{
	struct world *world = call->world;
	const struct world_executor *executor = &world->executors[call->executor];

	if (call->late) {
		/* its sender was told long ago that there is no answer */
		if (call->running)
			g_array_free(call->running, TRUE);
		if (call->ended)
			g_array_free(call->ended, TRUE);
		g_free(call);
		return;
	}
	call->clock_ms = executor_clock(world, executor);
	call->born_ms = executor->born_ms;
	if (!executor_reached(world, call)) {
		call->unanswered = true;
		call->start_answer = WAXWING_START_UNKNOWN;
		call->hold_end = WAXWING_HOLD_NO_ANSWER;
		call->clock_ms = 0;
		world_later(world, call->timeout_ms, executor_reply_now, call);
		return;
	}
	world_later(world, WAY_MS, executor_reply_now, call);
}

static bool same_task(const struct waxwing_run_name *a, const struct waxwing_run_name *b)
{
	return a->job == b->job && a->step == b->step && a->index == b->index;
}

/* True when the run is not higher than one that was stopped or ended there. */
static bool is_old(const struct world_executor *executor, const struct waxwing_run_name *name)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_row *row =
			&g_array_index(executor->ended, struct waxwing_ended_row, i);

		if (same_task(&row->name, name) && row->name.run >= name->run)
			return true;
	}
	return false;
}

static void answer_holds(struct world *world, struct world_executor *executor);

static void executor_end(struct world *world, struct world_executor *executor, guint index,
			 enum waxwing_run_end end)
{
	struct executor_run run = g_array_index(executor->runs, struct executor_run, index);
	struct waxwing_ended_row row = { ++executor->last_end, run.name, end };
	struct client_job *job = g_hash_table_lookup(world->jobs, &run.name.job);

	g_array_remove_index_fast(executor->runs, index);
	g_array_append_val(executor->ended, row);
	if (job && end == WAXWING_RUN_DONE)
		job->done++;
	answer_holds(world, executor);
}

/* What is running where the violation is, for whoever looks for its cause. */
static void world_violation_at(struct world *world, const char *rule,
			       const struct waxwing_run_name *name,
			       const struct world_executor *executor)
{
	if (!world->violations) {
		g_test_message("%s at %lld ms at %s, token %llu: start of %llu.%u run %u", rule,
			       (long long)world_now(world), executor->id,
			       (unsigned long long)executor->token, (unsigned long long)name->job,
			       name->index, name->run);
		for (guint i = 0; i < executor->runs->len; i++) {
			const struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, i);

			g_test_message("runs there: %llu.%u run %u, started %lld",
				       (unsigned long long)run->name.job, run->name.index,
				       run->name.run, (long long)run->started_ms);
		}
	}
	world_violation(world, rule, name->job, name->index);
}

static void check_start(struct world *world, struct world_executor *executor,
			const struct waxwing_run_name *name)
{
	struct client_job *job = g_hash_table_lookup(world->jobs, &name->job);

	world->starts++;
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *other = &world->executors[i];

		for (guint k = 0; !other->dark && k < other->runs->len; k++)
			if (same_task(&g_array_index(other->runs, struct executor_run, k).name,
				      name))
				world_violation_at(world, "TWICE", name, other);
	}
	if ((executor->runs->len + 1) * 6000 > EXECUTOR_CPU)
		world_violation_at(world, "LIMIT", name, executor);
	if (job && job->kept && (job->noted >> name->index & 1))
		world_violation_at(world, "TWICE after its end", name, executor);
	if (job && job->state == CLIENT_REFUSED)
		world_violation(world, "REFUSED", name->job, name->index);
	if (job)
		job->started = true;
}

static enum waxwing_start_answer take_start(struct world *world, struct world_executor *executor,
					    const struct executor_call *call)
{
	struct client_job *job = g_hash_table_lookup(world->jobs, &call->name.job);
	struct executor_run run = { .name = call->name, .started_ms = world_now(world) };

	if (call->token < executor->token)
		return WAXWING_START_FENCED;
	executor->token = call->token;
	if (call->until_ms <= executor_clock(world, executor))
		return WAXWING_START_LATE;
	for (guint i = 0; i < executor->runs->len; i++)
		if (same_task(&g_array_index(executor->runs, struct executor_run, i).name,
			      &call->name))
			return WAXWING_START_RUNS;
	if (is_old(executor, &call->name))
		return WAXWING_START_OLD;
	executor->lease_until_ms =
		MAX(executor->lease_until_ms,
		    MIN(call->until_ms, executor_clock(world, executor) + LEASE_MOST_MS));
	check_start(world, executor, &call->name);
	run.ends_ms = world_now(world) + (int64_t)((job ? job->work_ms : 50) / executor->speed);
	g_array_append_val(executor->runs, run);
	return WAXWING_START_RUNS;
}

static void take_stop(struct world *world, struct world_executor *executor,
		      const struct executor_call *call)
{
	struct waxwing_ended_row row = { 0, call->name, WAXWING_RUN_STOPPED };

	if (call->token < executor->token)
		return;
	executor->token = call->token;
	for (guint i = 0; i < executor->runs->len; i++) {
		if (!same_task(&g_array_index(executor->runs, struct executor_run, i).name,
			       &call->name))
			continue;
		g_array_index(executor->runs, struct executor_run, i).stops_ms =
			world_now(world) + STOP_MS;
		return;
	}
	/* a run that is not there yet is rejected later; this end is listed nowhere */
	g_array_append_val(executor->ended, row);
}

static void fill_lists(const struct world_executor *executor, struct executor_call *call)
{
	call->running = g_array_new(FALSE, FALSE, sizeof(struct waxwing_running_row));
	call->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_row));
	for (guint i = 0; i < executor->runs->len; i++) {
		struct waxwing_running_row row = {
			g_array_index(executor->runs, struct executor_run, i).name
		};

		g_array_append_val(call->running, row);
	}
	for (guint i = 0; i < executor->ended->len; i++) {
		struct waxwing_ended_row row =
			g_array_index(executor->ended, struct waxwing_ended_row, i);

		if (row.number > executor->forgotten_upto)
			g_array_append_val(call->ended, row);
	}
}

static bool has_new_end(const struct world_executor *executor)
{
	return executor->last_end > executor->forgotten_upto;
}

static void answer_holds(struct world *world, struct world_executor *executor)
{
	for (guint i = executor->holds->len; i-- > 0;) {
		struct executor_call *call = executor->holds->pdata[i];

		if (!has_new_end(executor) && world_now(world) < call->waits_until_ms)
			continue;
		g_ptr_array_remove_index_fast(executor->holds, i);
		fill_lists(executor, call);
		call->hold_end = WAXWING_HOLD_ANSWERED;
		executor_answer(call);
	}
}

static void note_acked(struct world *world, const struct world_executor *executor,
		       uint64_t acked_upto)
{
	for (guint i = 0; i < executor->ended->len; i++) {
		const struct waxwing_ended_row *row =
			&g_array_index(executor->ended, struct waxwing_ended_row, i);
		struct client_job *job = g_hash_table_lookup(world->jobs, &row->name.job);

		if (job && row->number && row->number <= acked_upto && row->end == WAXWING_RUN_DONE)
			job->noted |= 1ULL << row->name.index;
	}
}

static void take_hold(struct world *world, struct world_executor *executor,
		      struct executor_call *call)
{
	if (call->token < executor->token) {
		call->hold_end = WAXWING_HOLD_FENCED;
		executor_answer(call);
		return;
	}
	executor->token = call->token;
	note_acked(world, executor, call->acked_upto);
	executor->forgotten_upto =
		MAX(executor->forgotten_upto, MIN(call->acked_upto, executor->last_end));
	if (call->until_ms)
		executor->lease_until_ms =
			MAX(executor->lease_until_ms,
			    MIN(call->until_ms, executor_clock(world, executor) + LEASE_MOST_MS));
	call->waits_until_ms = world_now(world) + call->wait_ms;
	g_ptr_array_add(executor->holds, call);
	answer_holds(world, executor);
}

static void executor_arrived(struct world *world, void *data)
{
	struct executor_call *call = data;
	struct world_executor *executor = &world->executors[call->executor];

	if (!executor_reached(world, call) && !call->late) {
		executor_answer(call);
		return;
	}
	if (executor->dark || executor->born_ms != call->life_ms) {
		executor_answer(call);
		return;
	}
	switch (call->kind) {
	case EXECUTOR_START:
		call->start_answer = take_start(world, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_STOP:
		take_stop(world, executor, call);
		executor_answer(call);
		break;
	case EXECUTOR_HOLD:
		take_hold(world, executor, call);
		break;
	}
}

/* A copy of the order that the network keeps and delivers later; its sender hears nothing. */
static void make_late(struct executor_call *call)
{
	struct world *world = call->world;
	struct executor_call *late = g_memdup2(call, sizeof(*call));

	late->late = true;
	world_later(world, 2000 + (int64_t)(g_rand_double(world->random) * 8000), executor_arrived,
		    late);
	call->unanswered = true;
	call->start_answer = WAXWING_START_UNKNOWN;
	call->hold_end = WAXWING_HOLD_NO_ANSWER;
	world_later(world, call->timeout_ms, executor_reply_now, call);
}

static struct executor_call *executor_call(struct waxwing_executors *executors,
					   enum executor_kind kind,
					   const struct waxwing_order_target *target,
					   uint32_t timeout_ms)
{
	struct world_node *at =
		(struct world_node *)((char *)executors - offsetof(struct world_node, executors));
	struct executor_call *call = g_new0(struct executor_call, 1);

	call->world = at->world;
	call->node = at->index;
	call->incarnation = at->incarnation;
	call->kind = kind;
	call->executor = atoi(target->id + 1);
	call->token = target->fencing_token;
	call->life_ms = at->world->executors[call->executor].born_ms;
	call->timeout_ms = timeout_ms;
	return call;
}

static void executor_send(struct executor_call *call)
{
	if (world_chance(call->world, call->world->late_share))
		make_late(call);
	else
		world_later(call->world, WAY_MS, executor_arrived, call);
}

static void fake_start(struct waxwing_executors *executors,
		       const struct waxwing_executor_start *start)
{
	struct executor_call *call =
		executor_call(executors, EXECUTOR_START, start->target, start->timeout_ms);

	call->name = *start->name;
	call->until_ms = start->until_ms;
	call->start_done = start->done;
	call->data = start->data;
	executor_send(call);
}

static void fake_stop(struct waxwing_executors *executors, const struct waxwing_executor_stop *stop)
{
	struct executor_call *call =
		executor_call(executors, EXECUTOR_STOP, stop->target, stop->timeout_ms);

	call->name = *stop->name;
	call->stop_done = stop->done;
	call->data = stop->data;
	executor_send(call);
}

static void fake_hold(struct waxwing_executors *executors, const struct waxwing_executor_hold *hold)
{
	struct executor_call *call = executor_call(executors, EXECUTOR_HOLD, hold->target,
						   hold->timeout_ms + hold->wait_ms);

	call->until_ms = hold->until_ms;
	call->acked_upto = hold->acked_upto;
	call->wait_ms = hold->wait_ms;
	call->hold_done = hold->done;
	call->data = hold->data;
	executor_send(call);
}

static const struct waxwing_executor_ops fake_executor_ops = {
	.start = fake_start,
	.stop = fake_stop,
	.hold = fake_hold,
};

static void list_executor(struct world *world, struct world_executor *executor);

static void run_executors(struct world *world)
{
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		for (guint k = executor->runs->len; k-- > 0 && !executor->dark;) {
			struct executor_run *run =
				&g_array_index(executor->runs, struct executor_run, k);

			if (executor_clock(world, executor) >= executor->lease_until_ms)
				executor_end(world, executor, k, WAXWING_RUN_LAPSED);
			else if (world_now(world) >= run->ends_ms)
				executor_end(world, executor, k, WAXWING_RUN_DONE);
			else if (run->stops_ms && world_now(world) >= run->stops_ms)
				executor_end(world, executor, k, WAXWING_RUN_STOPPED);
		}
		if (!executor->dark)
			answer_holds(world, executor);
		if (executor->relist_ms && world_now(world) >= executor->relist_ms &&
		    !world->store_down) {
			executor->relist_ms = 0;
			list_executor(world, executor);
		}
	}
}

/* Everything there ends, and nothing of it is remembered. */
static void executor_crash(struct world *world, struct world_executor *executor)
{
	g_array_set_size(executor->runs, 0);
	g_array_set_size(executor->ended, 0);
	executor->last_end = 0;
	executor->forgotten_upto = 0;
	executor->token = 0;
	executor->lease_until_ms = 0;
	executor->born_ms = 1 + world_now(world);
	executor->offset_ms = g_rand_int_range(world->random, -5000, 500000);
	while (executor->holds->len) {
		struct executor_call *call =
			g_ptr_array_steal_index_fast(executor->holds, executor->holds->len - 1);

		call->hold_end = WAXWING_HOLD_NO_ANSWER;
		call->unanswered = true;
		if (call->late)
			g_free(call);
		else
			world_later(world, WAY_MS, executor_reply_now, call);
	}
}

/* --- messages between nodes ------------------------------------------------------------------- */

struct letter {
	int to;
	uint64_t to_incarnation; /* 0: whoever takes messages there */
	uint64_t sender;
	size_t len;
	uint8_t *data;
};

static void letter_arrived(struct world *world, void *data)
{
	struct letter *letter = data;
	struct world_node *at = &world->nodes[letter->to];
	Waxwing__NodeMessage *message;

	if (at->node && hold_back(at, letter_arrived, letter))
		return;
	if (at->node && (!letter->to_incarnation || letter->to_incarnation == at->incarnation)) {
		message = waxwing__node_message__unpack(NULL, letter->len, letter->data);
		waxwing_node_received(at->node, letter->sender, message);
		waxwing__node_message__free_unpacked(message, NULL);
		waxwing_node_settle(at->node);
	}
	g_free(letter->data);
	g_free(letter);
}

static void post(struct world_node *from, int to, uint64_t to_incarnation, uint64_t sender,
		 const Waxwing__NodeMessage *message)
{
	struct world *world = from->world;
	struct letter *letter;

	if (!zones_meet(world, from->zone, world->nodes[to].zone))
		return;
	letter = g_new0(struct letter, 1);
	letter->to = to;
	letter->to_incarnation = to_incarnation;
	letter->sender = sender;
	letter->len = waxwing__node_message__get_packed_size(message);
	letter->data = g_malloc(letter->len);
	waxwing__node_message__pack(message, letter->data);
	world_later(world, WAY_MS, letter_arrived, letter);
}

static struct world_node *node_of_link(const struct waxwing_link *link)
{
	return (struct world_node *)((char *)link - offsetof(struct world_node, link));
}

static void fake_send(struct waxwing_link *link, const char *address,
		      const Waxwing__NodeMessage *message)
{
	struct world_node *from = node_of_link(link);

	post(from, atoi(strrchr(address, ':') + 1), 0, from->incarnation, message);
}

static void fake_link_answer(struct waxwing_link *link, uint64_t sender,
			     const Waxwing__NodeMessage *message)
{
	struct world_node *from = node_of_link(link);

	for (int i = 0; i < NODES; i++)
		if (from->world->nodes[i].incarnation == sender)
			post(from, i, sender, 0, message);
}

static uint64_t fake_dropped(const struct waxwing_link *link)
{
	(void)link;
	return 0;
}

static const struct waxwing_link_ops fake_link_ops = {
	.send = fake_send,
	.answer = fake_link_answer,
	.dropped = fake_dropped,
};

/* --- nodes ------------------------------------------------------------------------------------ */

static const char *const zone_names[ZONES + 1] = { "z0", "z1", "z2", NULL };

/* An entry's value is "zone address born". */
static bool world_read_executor(const struct waxwing_store_item *item,
				void (*use)(void *data, const struct waxwing_executor_entry *entry),
				void *data)
{
	static const char *const labels[] = { "kind", "rack", NULL };
	char *value = waxwing_str_dup(item->value);
	char *id = waxwing_str_dup(item->key);
	char **parts = g_strsplit(value, " ", 3);
	struct waxwing_executor_entry entry = {
		.id = id + strlen("servers/"),
		.address = parts[1],
		.service = "service",
		.zone = parts[0],
		.kind = "kind",
		.rack = "rack",
		.labels = labels,
		.capacity = { EXECUTOR_CPU, 65536, 0 },
		.born_ms = atoll(parts[2]),
	};

	use(data, &entry);
	g_strfreev(parts);
	g_free(value);
	g_free(id);
	return true;
}

static struct waxwing_routing *world_read_routing(const struct waxwing_store_item *item)
{
	return waxwing_routing_create(item->revision);
}

static void node_start(struct world *world, int index)
{
	struct world_node *at = &world->nodes[index];
	struct waxwing_node_options options = {
		.clock = &world->clock.base,
		.link = &at->link,
		.store = &at->store,
		.executors = &at->executors,
		.name = at->name,
		.zone = zone_names[at->zone],
		.zones = zone_names,
		.address = at->address,
		.cpu_share = 0.25,
		.lease_most_ms = LEASE_MOST_MS,
		.stop_ms = STOP_MS,
		.status_ms = 120000,
		.value_bytes_most = 1048576,
		.ttl_least_ms = 1000,
		.far_factor = 1,
		.read_executor = world_read_executor,
		.read_routing = world_read_routing,
		.routing_key = "op/config",
		.executor_prefix = "servers/",
	};

	at->incarnation = (uint64_t)g_rand_int(world->random) << 32 | (uint64_t)index << 8 | 1;
	options.incarnation = at->incarnation;
	at->frozen_until_ms = 0;
	at->node = waxwing_node_create(&options);
}

static void client_submit(struct world *world, struct client_job *job);

static void client_again(struct world *world, void *data)
{
	struct client_job *job = data;

	job->asleep = false;
	if (job->state == CLIENT_WAITS)
		client_submit(world, job);
}

static void client_asks(struct world *world, void *data);

static void client_sleep(struct client_job *job)
{
	if (job->asleep)
		return;
	job->asleep = true;
	world_later(job->world, RESEND_MS, client_again, job);
}

/* Its callers see their connections break, and send again. */
static void node_kill(struct world *world, int index)
{
	struct world_node *at = &world->nodes[index];
	GHashTableIter iter;
	gpointer value;

	if (!at->node)
		return;
	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct client_job *job = value;

		if (job->asking && job->node == index) {
			job->asking = false;
			world_later(world, ASK_MS, client_asks, job);
		}
		if (job->state == CLIENT_WAITS && job->node == index)
			client_sleep(job);
	}
	waxwing_node_destroy(at->node);
	at->node = NULL;
	for (guint i = 0; i < at->held->len; i++) {
		struct event *event = at->held->pdata[i];

		event->happen(world, event->data); /* frees what it holds */
		g_free(event);
	}
	g_ptr_array_set_size(at->held, 0);
}

static void thaw(struct world *world, struct world_node *at)
{
	GPtrArray *held = at->held;

	at->held = g_ptr_array_new();
	at->frozen_until_ms = 0;
	waxwing_node_run(at->node);
	for (guint i = 0; i < held->len; i++) {
		struct event *event = held->pdata[i];

		event->happen(world, event->data);
		g_free(event);
	}
	g_ptr_array_free(held, TRUE);
}

static void run_nodes(struct world *world)
{
	for (int i = 0; i < NODES; i++) {
		struct world_node *at = &world->nodes[i];

		if (!at->node || at->frozen_until_ms > world_now(world))
			continue;
		if (at->frozen_until_ms)
			thaw(world, at);
		waxwing_node_run(at->node);
	}
}

/* --- clients ---------------------------------------------------------------------------------- */

static void client_answered(struct waxwing_ticket *ticket, const struct waxwing_node_answer *answer)
{
	struct client_job *job = (struct client_job *)ticket;

	if (job->state != CLIENT_WAITS)
		return;
	if (answer->outcome == WAXWING_JOB_STORED) {
		job->state = CLIENT_STORED;
		world_later(job->world, ASK_MS, client_asks, job);
	} else if (answer->outcome == WAXWING_JOB_COMPLETED) {
		job->state = CLIENT_SERVED;
		if (job->done < job->tasks)
			world_violation(job->world, "INCOMPLETE", job->id, job->done);
	} else if (answer->outcome == WAXWING_JOB_FAILED) {
		job->state = CLIENT_LEFT;
	} else if (answer->may_have_run) {
		client_sleep(job);
	} else {
		job->state = job->tries == 1 ? CLIENT_REFUSED : CLIENT_LEFT;
		if (job->state == CLIENT_REFUSED && job->started)
			world_violation(job->world, "REFUSED", job->id, 0);
	}
}

static Waxwing__Job *make_job(const struct client_job *job)
{
	Waxwing__Job made = WAXWING__JOB__INIT;
	Waxwing__JobStep step = WAXWING__JOB_STEP__INIT;
	Waxwing__JobStep *steps[] = { &step };
	uint8_t packed[512];
	size_t len;

	made.id = job->id;
	made.queue = "queue";
	made.service = "service";
	made.spec = "spec";
	made.n_steps = 1;
	made.steps = steps;
	made.max_attempts = 3;
	made.stretch_milli = 1600;
	made.allowance_ms = 60;
	made.patience_ms = 6000;
	made.has_kept = true;
	made.kept = job->kept;
	step.count = job->tasks;
	step.has_cpu_milli = true;
	step.cpu_milli = 6000;
	step.has_estimated_ms = true;
	step.estimated_ms = job->work_ms;
	len = waxwing__job__pack(&made, packed);
	return waxwing__job__unpack(NULL, len, packed);
}

static void client_submit(struct world *world, struct client_job *job)
{
	for (int try = 0; try < 4 * NODES; try++) {
		int index = g_rand_int_range(world->random, 0, NODES);
		struct world_node *at = &world->nodes[index];

		if (!at->node || at->frozen_until_ms > world_now(world))
			continue;
		job->node = index;
		job->tries++;
		job->sent_ms = world_now(world);
		waxwing_node_submit(at->node, make_job(job), &job->ticket);
		waxwing_node_settle(at->node);
		return;
	}
	client_sleep(job);
}

static void client_told(struct waxwing_ask_ticket *ticket, bool answered,
			enum waxwing_job_state state)
{
	struct client_job *job =
		(struct client_job *)((char *)ticket - offsetof(struct client_job, ask));

	job->asking = false;
	if (job->state != CLIENT_STORED)
		return;
	if (answered && state == WAXWING_STATE_COMPLETED) {
		job->state = CLIENT_SERVED;
		if (job->done < job->tasks)
			world_violation(job->world, "INCOMPLETE", job->id, job->done);
		return;
	}
	if (answered && state != WAXWING_STATE_QUEUED && state != WAXWING_STATE_RUNNING)
		world_violation(job->world, "LOST", job->id, state);
	world_later(job->world, ASK_MS, client_asks, job);
}

static void client_asks(struct world *world, void *data)
{
	struct client_job *job = data;
	int index = g_rand_int_range(world->random, 0, NODES);
	struct world_node *at = &world->nodes[index];

	if (job->state != CLIENT_STORED || job->asking)
		return;
	if (!at->node || at->frozen_until_ms > world_now(world)) {
		world_later(world, ASK_MS, client_asks, job);
		return;
	}
	job->asking = true;
	job->node = index;
	job->ask.answer = client_told;
	job->ask.job = job->id;
	job->ask.patience_ms = 3000;
	waxwing_node_ask(at->node, &job->ask);
	waxwing_node_settle(at->node);
}

static void client_arrives(struct world *world)
{
	struct client_job *job = g_new0(struct client_job, 1);

	job->world = world;
	job->id = ++world->next_job;
	job->ticket.answer = client_answered;
	job->tasks = (uint32_t)g_rand_int_range(world->random, 1, 5);
	job->work_ms = (uint32_t)g_rand_int_range(world->random, 20, 400);
	job->kept = world_chance(world, world->kept_share);
	g_hash_table_insert(world->jobs, &job->id, job);
	client_submit(world, job);
}

/* --- the world -------------------------------------------------------------------------------- */

static void entry_free(gpointer value)
{
	struct store_entry *entry = value;

	g_free(entry->value);
	g_free(entry);
}

static void history_free(gpointer value)
{
	struct store_event *event = value;

	g_free(event->key);
	g_free(event->value);
	g_free(event);
}

static void list_executor(struct world *world, struct world_executor *executor)
{
	char key[32];
	char value[64];

	snprintf(key, sizeof(key), "servers/%s", executor->id);
	snprintf(value, sizeof(value), "%s 10.0.0.1:%d %lld", zone_names[executor->zone],
		 1000 + executor->index, (long long)executor->born_ms);
	store_put(world, key, value, strlen(value), 0);
}

/* Entries that lapse while the store is down are back within two seconds of its return. */
static void store_fails(struct world *world, int64_t for_ms)
{
	char key[32];

	world->store_down = true;
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		if (!world_chance(world, 0.6) || executor->relist_ms)
			continue;
		snprintf(key, sizeof(key), "servers/%s", executor->id);
		store_remove(world, key);
		executor->relist_ms =
			world_now(world) + for_ms + g_rand_int_range(world->random, 50, 1950);
	}
}

static struct world *world_create(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);

	waxwing_virtual_clock_init(&world->clock, 10000);
	world->random = g_rand_new_with_seed(seed);
	world->events = g_sequence_new(g_free);
	world->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
	world->history = g_ptr_array_new_with_free_func(history_free);
	world->leases = g_array_new(FALSE, FALSE, sizeof(struct store_lease));
	world->watchers = g_ptr_array_new();
	world->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	for (int i = 0; i < EXECUTORS; i++) {
		struct world_executor *executor = &world->executors[i];

		executor->index = i;
		executor->zone = i % ZONES;
		snprintf(executor->id, sizeof(executor->id), "x%d", i);
		executor->runs = g_array_new(FALSE, FALSE, sizeof(struct executor_run));
		executor->ended = g_array_new(FALSE, FALSE, sizeof(struct waxwing_ended_row));
		executor->holds = g_ptr_array_new();
		executor->speed = i % 3 ? 0.8 : 1.6;
		executor->born_ms = 1;
		executor->pace = i % 2 ? 0.98 : 1;
		executor->offset_ms = g_rand_int_range(world->random, -5000, 500000);
		list_executor(world, executor);
	}
	store_put(world, "op/config", "x", 1, 0);
	for (int i = 0; i < NODES; i++) {
		struct world_node *at = &world->nodes[i];

		at->world = world;
		at->index = i;
		at->zone = i % ZONES;
		at->store.ops = &fake_store_ops;
		at->executors.ops = &fake_executor_ops;
		at->link.ops = &fake_link_ops;
		at->held = g_ptr_array_new();
		snprintf(at->name, sizeof(at->name), "node-%d", i);
		snprintf(at->address, sizeof(at->address), "10.1.0.1:%d", i);
		node_start(world, i);
	}
	return world;
}

static void world_run(struct world *world, int64_t ms)
{
	int64_t end_ms = world_now(world) + ms;

	while (world_now(world) < end_ms) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);

		while (!g_sequence_iter_is_end(first) &&
		       ((struct event *)g_sequence_get(first))->due_ms <= world_now(world)) {
			struct event event = *(struct event *)g_sequence_get(first);

			g_sequence_remove(first);
			event.happen(world, event.data);
			first = g_sequence_get_begin_iter(world->events);
		}
		world->clock.now_ms++;
		run_executors(world);
		if (world_now(world) % WAXWING_NODE_TICK_MS == 0) {
			if (!world->store_down)
				lapse_leases(world);
			wake_watchers(world);
			run_nodes(world);
		}
	}
}

static uint32_t world_count(const struct world *world, enum client_state state)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct client_job *)value)->state == state;
	return count;
}

static void kill_all(struct world *world)
{
	for (int i = 0; i < NODES; i++)
		node_kill(world, i);
}

/* Lets everything that is under way come to nothing, then frees it. */
static void world_destroy(struct world *world)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct client_job *)value)->state = CLIENT_LEFT;
	kill_all(world);
	world_run(world, 40000);
	for (int i = 0; i < EXECUTORS; i++) {
		g_array_free(world->executors[i].runs, TRUE);
		g_array_free(world->executors[i].ended, TRUE);
		g_ptr_array_free(world->executors[i].holds, TRUE);
	}
	for (int i = 0; i < NODES; i++)
		g_ptr_array_free(world->nodes[i].held, TRUE);
	g_hash_table_destroy(world->jobs);
	g_hash_table_destroy(world->entries);
	g_ptr_array_free(world->history, TRUE);
	g_array_free(world->leases, TRUE);
	g_ptr_array_free(world->watchers, TRUE);
	g_sequence_free(world->events);
	g_rand_free(world->random);
	g_free(world);
}

#endif
