#include "store_watch.h"

#define LOG_PART "store-watch"
#include "event_log.h"
#include "log.h"

/* Between tries while the store does not answer or refuses. */
#define RETRY_FIRST_MS	 100
#define RETRY_LONGEST_MS 400

struct waxwing_store_watch {
	struct waxwing_store_watch_options options;
	char *prefix;
	GHashTable *known; /* key -> revision */
	GHashTable *read; /* keys of the range that is being read; null: none is */
	char *after_key; /* of the next page */
	uint64_t revision; /* everything up to it is known */
	uint64_t range_revision; /* of the range's first page */
	int64_t next_ms;
	uint32_t retry_ms;
	uint32_t pace_ms;
	int64_t sent_ms;
	bool synced; /* false: a range is to be read */
	bool ever_synced;
	bool out; /* the call that counts is */
	uint32_t calls_out; /* those that were given up as well */
	uint64_t call; /* number of the one that counts */
	bool destroyed;
};

/* One call. */
struct watch_call {
	struct waxwing_store_watch *watch;
	uint64_t number;
};

struct waxwing_store_watch *
waxwing_store_watch_create(const struct waxwing_store_watch_options *options)
{
	struct waxwing_store_watch *watch = g_new0(struct waxwing_store_watch, 1);

	watch->options = *options;
	watch->prefix = g_strdup(options->prefix);
	watch->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch->retry_ms = RETRY_FIRST_MS;
	return watch;
}

static void watch_free(struct waxwing_store_watch *watch)
{
	g_hash_table_destroy(watch->known);
	if (watch->read)
		g_hash_table_destroy(watch->read);
	g_free(watch->after_key);
	g_free(watch->prefix);
	g_free(watch);
}

void waxwing_store_watch_destroy(struct waxwing_store_watch *watch)
{
	if (!watch)
		return;
	if (watch->calls_out)
		watch->destroyed = true;
	else
		watch_free(watch);
}

static uint64_t known_revision(const struct waxwing_store_watch *watch, const char *key)
{
	const uint64_t *revision = g_hash_table_lookup(watch->known, key);

	return revision ? *revision : 0;
}

static void take_item(struct waxwing_store_watch *watch, const struct waxwing_store_item *item)
{
	char *key = waxwing_str_dup(item->key);
	uint64_t known = known_revision(watch, key);

	if (item->deleted) {
		if (known && item->revision > known) {
			g_hash_table_remove(watch->known, key);
			watch->options.changed(watch->options.data, item);
		}
		g_free(key);
		return;
	}
	if (item->revision <= known) {
		g_free(key);
		return;
	}
	g_hash_table_replace(watch->known, key, g_memdup2(&item->revision, sizeof(uint64_t)));
	watch->options.changed(watch->options.data, item);
}

/* Entries that were known and are not in the range any more. */
static void drop_missing(struct waxwing_store_watch *watch)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, watch->known);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct waxwing_store_item gone = {
			.key = waxwing_str(key),
			.revision = watch->range_revision,
			.deleted = true,
		};

		if (g_hash_table_contains(watch->read, key) ||
		    known_revision(watch, key) > watch->range_revision)
			continue;
		watch->options.changed(watch->options.data, &gone);
		g_hash_table_iter_remove(&iter);
	}
}

static void take_page(struct waxwing_store_watch *watch, const struct waxwing_store_answer *answer)
{
	if (!watch->read) {
		watch->read = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		watch->range_revision = answer->revision;
	}
	for (size_t i = 0; i < answer->item_count; i++) {
		g_hash_table_add(watch->read, waxwing_str_dup(answer->items[i].key));
		take_item(watch, &answer->items[i]);
	}
	g_free(watch->after_key);
	watch->after_key = NULL;
	if (answer->more && answer->item_count) {
		watch->after_key = waxwing_str_dup(answer->items[answer->item_count - 1].key);
		return;
	}
	drop_missing(watch);
	g_hash_table_destroy(watch->read);
	watch->read = NULL;
	watch->revision = watch->range_revision;
	watch->synced = true;
	watch->ever_synced = true;
}

static void lose_history(struct waxwing_store_watch *watch)
{
	waxwing_event("store_history_lost", "prefix=%s revision=%llu", watch->prefix,
		      (unsigned long long)watch->revision);
	watch->synced = false;
}

static void back_off(struct waxwing_store_watch *watch, int64_t now_ms)
{
	watch->next_ms = now_ms + watch->retry_ms;
	watch->retry_ms = MIN(watch->retry_ms * 2, RETRY_LONGEST_MS);
	watch->options.reached(watch->options.data, false);
}

static void take_answer(struct waxwing_store_watch *watch,
			const struct waxwing_store_answer *answer)
{
	int64_t now_ms = waxwing_clock_now(watch->options.clock);

	watch->out = false;
	if (answer->end == WAXWING_STORE_HISTORY_LOST) {
		lose_history(watch);
	} else if (answer->end != WAXWING_STORE_OK) {
		back_off(watch, now_ms);
		return;
	} else if (!watch->synced) {
		take_page(watch, answer);
	} else {
		for (size_t i = 0; i < answer->item_count; i++)
			take_item(watch, &answer->items[i]);
		watch->revision = MAX(watch->revision, answer->revision);
	}
	watch->retry_ms = RETRY_FIRST_MS;
	watch->options.reached(watch->options.data, true);
	if (watch->synced)
		watch->next_ms = watch->sent_ms + watch->pace_ms;
	waxwing_store_watch_run(watch);
}

static void answered(void *data, const struct waxwing_store_answer *answer)
{
	struct watch_call *call = data;
	struct waxwing_store_watch *watch = call->watch;
	bool counts = call->number == watch->call;

	g_free(call);
	watch->calls_out--;
	if (watch->destroyed && !watch->calls_out)
		watch_free(watch);
	else if (!watch->destroyed && counts)
		take_answer(watch, answer);
}

void waxwing_store_watch_run(struct waxwing_store_watch *watch)
{
	struct waxwing_store_reply reply = { answered, NULL };
	struct watch_call *call;
	struct waxwing_store *store = watch->options.store;

	if (watch->out || waxwing_clock_now(watch->options.clock) < watch->next_ms)
		return;
	call = g_new0(struct watch_call, 1);
	call->watch = watch;
	call->number = ++watch->call;
	reply.data = call;
	watch->out = true;
	watch->calls_out++;
	watch->sent_ms = waxwing_clock_now(watch->options.clock);
	if (watch->synced)
		store->ops->watch(store, watch->prefix, watch->revision, watch->options.wait_ms,
				  reply);
	else
		store->ops->range(store, watch->prefix, watch->after_key, reply);
}

bool waxwing_store_watch_synced(const struct waxwing_store_watch *watch)
{
	return watch->ever_synced;
}

void waxwing_store_watch_set_pace(struct waxwing_store_watch *watch, uint32_t pace_ms)
{
	watch->next_ms += (int64_t)pace_ms - watch->pace_ms;
	watch->pace_ms = pace_ms;
}

uint64_t waxwing_store_watch_revision(const struct waxwing_store_watch *watch)
{
	return watch->synced ? watch->revision : 0;
}

void waxwing_store_watch_restart(struct waxwing_store_watch *watch)
{
	if (!watch->out)
		return;
	watch->out = false;
	watch->next_ms = 0;
	waxwing_store_watch_run(watch);
}
