#include "store_watch.h"

#define LOG_COMPONENT "store-watch"
#include "event_log.h"
#include "log.h"

/* Delay between attempts while the store does not answer or refuses calls. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 400

struct waxwing_store_watch {
	struct waxwing_store_watch_options options;
	char *prefix;
	GHashTable *known_revisions; /* key -> uint64_t revision */
	/* keys read so far of the current range; null: no range is being read */
	GHashTable *range_keys;
	char *after_key; /* last key of the previous page; null: read from the start */
	uint64_t revision; /* all changes up to this revision are known */
	uint64_t range_revision; /* revision of the range's first page */
	int64_t next_call_ms;
	uint32_t retry_ms;
	uint32_t min_interval_ms;
	int64_t sent_ms;
	int64_t answered_ms; /* last answer to a call, apart from the one being processed */
	bool failed; /* the last call was not answered, or refused */
	bool reports_events; /* changes of a watch call are being reported */
	bool synced; /* false: the range must be read first */
	bool ever_synced;
	bool call_pending; /* whether the call numbered call_number is pending */
	uint32_t calls_in_flight; /* includes abandoned calls */
	uint64_t call_number; /* number of the last call; answers to earlier ones are ignored */
	bool inactive;
	bool destroyed;
};

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
	watch->known_revisions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch->retry_ms = RETRY_MIN_MS;
	return watch;
}

static void forget_range(struct waxwing_store_watch *watch)
{
	if (watch->range_keys)
		g_hash_table_destroy(watch->range_keys);
	watch->range_keys = NULL;
	g_free(watch->after_key);
	watch->after_key = NULL;
}

static void watch_free(struct waxwing_store_watch *watch)
{
	g_hash_table_destroy(watch->known_revisions);
	forget_range(watch);
	g_free(watch->prefix);
	g_free(watch);
}

void waxwing_store_watch_destroy(struct waxwing_store_watch *watch)
{
	if (!watch)
		return;
	if (watch->calls_in_flight)
		watch->destroyed = true;
	else
		watch_free(watch);
}

static uint64_t known_revision(const struct waxwing_store_watch *watch, const char *key)
{
	const uint64_t *revision = g_hash_table_lookup(watch->known_revisions, key);

	return revision ? *revision : 0;
}

static void apply_item(struct waxwing_store_watch *watch, const struct waxwing_store_item *item)
{
	char *key = waxwing_str_dup(item->key);
	uint64_t known = known_revision(watch, key);

	if (item->deleted) {
		if (known && item->revision > known) {
			g_hash_table_remove(watch->known_revisions, key);
			watch->options.changed(watch->options.data, item);
		}
		g_free(key);
		return;
	}
	if (item->revision <= known) {
		g_free(key);
		return;
	}
	g_hash_table_replace(watch->known_revisions, key,
			     g_memdup2(&item->revision, sizeof(uint64_t)));
	watch->options.changed(watch->options.data, item);
}

/* Reports known entries that are missing from the range as removed. */
static void remove_missing(struct waxwing_store_watch *watch)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, watch->known_revisions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct waxwing_store_item removed = {
			.key = waxwing_str(key),
			.revision = watch->range_revision,
			.deleted = true,
		};

		if (g_hash_table_contains(watch->range_keys, key) ||
		    known_revision(watch, key) > watch->range_revision)
			continue;
		watch->options.changed(watch->options.data, &removed);
		g_hash_table_iter_remove(&iter);
	}
}

static void handle_page(struct waxwing_store_watch *watch,
			const struct waxwing_store_answer *answer)
{
	if (!watch->range_keys) {
		watch->range_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		watch->range_revision = answer->revision;
	}
	for (size_t i = 0; i < answer->item_count; i++) {
		g_hash_table_add(watch->range_keys, waxwing_str_dup(answer->items[i].key));
		apply_item(watch, &answer->items[i]);
	}
	g_free(watch->after_key);
	watch->after_key = NULL;
	if (answer->more && answer->item_count) {
		watch->after_key = waxwing_str_dup(answer->items[answer->item_count - 1].key);
		return;
	}
	remove_missing(watch);
	g_hash_table_destroy(watch->range_keys);
	watch->range_keys = NULL;
	watch->revision = watch->range_revision;
	watch->synced = true;
	watch->ever_synced = true;
	if (watch->options.history_lost)
		watch->options.history_lost(watch->options.data, false);
}

static void handle_history_loss(struct waxwing_store_watch *watch)
{
	waxwing_event("store_history_lost", "prefix=%s revision=%llu", watch->prefix,
		      (unsigned long long)watch->revision);
	watch->synced = false;
	if (watch->options.history_lost)
		watch->options.history_lost(watch->options.data, true);
}

static void back_off(struct waxwing_store_watch *watch, int64_t now_ms)
{
	watch->failed = true;
	watch->next_call_ms = now_ms + watch->retry_ms;
	watch->retry_ms = MIN(watch->retry_ms * 2, RETRY_MAX_MS);
	watch->options.reached(watch->options.data, false);
}

static void handle_watch_answer(struct waxwing_store_watch *watch,
				const struct waxwing_store_answer *answer)
{
	int64_t now_ms = waxwing_clock_now(watch->options.clock);

	watch->call_pending = false;
	if (answer->status == WAXWING_STORE_HISTORY_LOST) {
		handle_history_loss(watch);
	} else if (answer->status != WAXWING_STORE_OK) {
		back_off(watch, now_ms);
		return;
	} else if (!watch->synced) {
		handle_page(watch, answer);
	} else {
		watch->reports_events = true;
		for (size_t i = 0; i < answer->item_count; i++)
			apply_item(watch, &answer->items[i]);
		watch->reports_events = false;
		watch->revision = MAX(watch->revision, answer->revision);
	}
	watch->answered_ms = now_ms;
	watch->failed = false;
	watch->retry_ms = RETRY_MIN_MS;
	watch->options.reached(watch->options.data, true);
	if (watch->synced)
		watch->next_call_ms = watch->sent_ms + watch->min_interval_ms;
	waxwing_store_watch_run(watch);
}

static void watch_call_answered(void *data, const struct waxwing_store_answer *answer)
{
	struct watch_call *call = data;
	struct waxwing_store_watch *watch = call->watch;
	bool is_current = call->number == watch->call_number;

	g_free(call);
	watch->calls_in_flight--;
	if (watch->destroyed && !watch->calls_in_flight)
		watch_free(watch);
	else if (!watch->destroyed && is_current)
		handle_watch_answer(watch, answer);
}

static uint32_t watch_wait_ms(const struct waxwing_store_watch *watch)
{
	return watch->failed && watch->options.poll_after_failure ? 0 : watch->options.wait_ms;
}

void waxwing_store_watch_run(struct waxwing_store_watch *watch)
{
	struct waxwing_store_callback reply = { watch_call_answered, NULL };
	struct watch_call *call;
	struct waxwing_store *store = watch->options.store;

	if (watch->inactive || watch->call_pending ||
	    waxwing_clock_now(watch->options.clock) < watch->next_call_ms)
		return;
	call = g_new0(struct watch_call, 1);
	call->watch = watch;
	call->number = ++watch->call_number;
	reply.data = call;
	watch->call_pending = true;
	watch->calls_in_flight++;
	watch->sent_ms = waxwing_clock_now(watch->options.clock);
	if (watch->synced)
		store->ops->watch(store, watch->prefix, watch->revision, watch_wait_ms(watch),
				  reply);
	else
		store->ops->range(store, watch->prefix, watch->after_key, reply);
}

bool waxwing_store_watch_synced(const struct waxwing_store_watch *watch)
{
	return watch->ever_synced;
}

int64_t waxwing_store_watch_change_age_ms(const struct waxwing_store_watch *watch)
{
	if (!watch->reports_events)
		return INT64_MAX;
	return waxwing_clock_now(watch->options.clock) - watch->answered_ms;
}

void waxwing_store_watch_set_interval(struct waxwing_store_watch *watch, uint32_t interval_ms)
{
	watch->next_call_ms += (int64_t)interval_ms - watch->min_interval_ms;
	watch->min_interval_ms = interval_ms;
}

uint64_t waxwing_store_watch_revision(const struct waxwing_store_watch *watch)
{
	return watch->synced ? watch->revision : 0;
}

void waxwing_store_watch_restart(struct waxwing_store_watch *watch)
{
	if (!watch->call_pending)
		return;
	watch->call_pending = false;
	watch->next_call_ms = 0;
	waxwing_store_watch_run(watch);
}

void waxwing_store_watch_set_active(struct waxwing_store_watch *watch, bool active)
{
	if (watch->inactive == !active)
		return;
	watch->inactive = !active;
	if (!active) {
		forget_range(watch);
		g_hash_table_remove_all(watch->known_revisions);
		watch->synced = false;
		watch->ever_synced = false;
		/* the answer to a pending call is ignored */
		watch->call_pending = false;
		watch->call_number++;
		return;
	}
	watch->next_call_ms = 0;
	waxwing_store_watch_run(watch);
}
