/**
 * Fake of the platform's store for tests. It holds one main key, and write-once keys under
 * "bases/". Faults are injected at random, with GLib's test seed.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "platform.h"

#include <glib.h>

#define FAKE_HISTORY 64

struct fake_store {
	struct waxwing_platform base;
	char *data;
	uint64_t revision;
	char *history[FAKE_HISTORY]; /* values by revision modulo FAKE_HISTORY, for stale reads */
	uint64_t writes; /* number of writes of the main key */
	GHashTable *write_once; /* maps write-once keys to their texts */
	GHashTable *removed; /* maps removed write-once keys to their texts, for checks */
	/* Probabilities of faults in percent. */
	int down_percent; /* the platform doesn't respond */
	int request_lost_percent; /* the request is lost: it times out and the write isn't made */
	int response_lost_percent; /* the write is made but its response is lost */
	int stale_percent; /* a read returns the revision before the current one */
	int read_timeout_percent; /* a read times out */
	int delayed_percent; /* the response is lost, and the write is made later */
	/* The write that is delayed; null: none. */
	char *delayed_data;
	uint64_t delayed_revision;
	/* Called before each put of the main key, so that a test can make a concurrent change. */
	void (*before_put)(struct fake_store *store);
};

static inline bool fake_random_percent(int percent)
{
	return percent && g_test_rand_int_range(0, 100) < percent;
}

static inline bool fake_write(struct fake_store *store, uint64_t revision, const char *data,
			      size_t len)
{
	if (revision != store->revision)
		return false;
	g_free(store->data);
	store->data = g_strndup(data, len);
	store->revision++;
	store->writes++;
	g_free(store->history[store->revision % FAKE_HISTORY]);
	store->history[store->revision % FAKE_HISTORY] = g_strdup(store->data);
	return true;
}

/* Makes the delayed write, if any; its compare-and-swap may fail. */
static inline void fake_apply_delayed_write(struct fake_store *store)
{
	if (!store->delayed_data)
		return;
	fake_write(store, store->delayed_revision, store->delayed_data,
		   strlen(store->delayed_data));
	g_clear_pointer(&store->delayed_data, g_free);
}

/* Whether a key is one of the write-once keys. */
static inline bool fake_is_write_once(const char *key)
{
	return strstr(key, "bases/") != NULL;
}

static inline enum waxwing_error_code fake_put_write_once(struct fake_store *store, const char *key,
							  struct waxwing_str data,
							  struct waxwing_error *error)
{
	if (fake_random_percent(store->down_percent))
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "down");
	if (fake_random_percent(store->request_lost_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "lost");
	g_assert_true(g_hash_table_insert(store->write_once, g_strdup(key), waxwing_str_dup(data)));
	if (fake_random_percent(store->response_lost_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "lost");
	return WAXWING_OK;
}

static inline enum waxwing_error_code fake_remove(struct waxwing_platform *platform,
						  const char *key, struct waxwing_error *error)
{
	struct fake_store *store = (struct fake_store *)platform;
	gpointer name;
	gpointer text;

	platform->calls++;
	g_assert_true(fake_is_write_once(key));
	if (fake_random_percent(store->down_percent))
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "down");
	if (g_hash_table_steal_extended(store->write_once, key, &name, &text))
		g_hash_table_insert(store->removed, name, text);
	if (fake_random_percent(store->response_lost_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "lost");
	return WAXWING_OK;
}

static inline void fake_get_write_once(const struct fake_store *store, const char *key,
				       struct waxwing_platform_value *value)
{
	const char *text = g_hash_table_lookup(store->write_once, key);

	value->revision = text ? 1 : 0;
	value->data = g_strdup(text ? text : "");
	value->len = strlen(value->data);
}

static inline enum waxwing_error_code fake_get(struct waxwing_platform *platform, const char *key,
					       struct waxwing_platform_value *value,
					       struct waxwing_error *error)
{
	struct fake_store *store = (struct fake_store *)platform;

	platform->calls++;
	if (fake_random_percent(store->down_percent))
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "down");
	if (fake_random_percent(store->read_timeout_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "slow");
	if (fake_random_percent(50))
		fake_apply_delayed_write(store);
	if (fake_is_write_once(key)) {
		fake_get_write_once(store, key, value);
		return WAXWING_OK;
	}
	value->revision = store->revision;
	if (store->revision > 1 && fake_random_percent(store->stale_percent))
		value->revision--;
	value->data =
		g_strdup(value->revision ? store->history[value->revision % FAKE_HISTORY] : "");
	value->len = strlen(value->data);
	return WAXWING_OK;
}

static inline enum waxwing_error_code fake_put(struct waxwing_platform *platform, const char *key,
					       uint64_t revision, struct waxwing_str data,
					       struct waxwing_error *error)
{
	struct fake_store *store = (struct fake_store *)platform;

	platform->calls++;
	if (fake_is_write_once(key))
		return fake_put_write_once(store, key, data, error);
	if (store->before_put)
		store->before_put(store);
	if (fake_random_percent(store->down_percent))
		return waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, key, "down");
	if (fake_random_percent(store->request_lost_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "lost");
	if (!store->delayed_data && fake_random_percent(store->delayed_percent)) {
		store->delayed_data = waxwing_str_dup(data);
		store->delayed_revision = revision;
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "write delayed");
	}
	if (!fake_write(store, revision, data.data, data.len))
		return waxwing_error_set(error, WAXWING_ERROR_CONFLICT, key, "revision");
	if (fake_random_percent(store->response_lost_percent))
		return waxwing_error_set(error, WAXWING_ERROR_TIMEOUT, key, "lost");
	return WAXWING_OK;
}

static const struct waxwing_platform_ops fake_store_ops = { .get = fake_get,
							    .put = fake_put,
							    .remove = fake_remove };

static inline void fake_store_init(struct fake_store *store, const char *data)
{
	*store = (struct fake_store){ .base = { .ops = &fake_store_ops } };
	store->write_once = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (data)
		fake_write(store, 0, data, strlen(data));
}

static inline void fake_store_clear(struct fake_store *store)
{
	g_free(store->data);
	g_free(store->delayed_data);
	g_hash_table_destroy(store->write_once);
	g_hash_table_destroy(store->removed);
	for (int i = 0; i < FAKE_HISTORY; i++)
		g_free(store->history[i]);
}

#endif
