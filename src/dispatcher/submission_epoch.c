#include "submission_epoch.h"
#include "str.h"
#include "window.h"

#include <string.h>
#include <xxhash.h>

static struct waxwing_tombstone tombstone_key(const char *id)
{
	XXH128_hash_t hash = XXH3_128bits(id, strlen(id));

	return (struct waxwing_tombstone){ .id_low = hash.low64, .id_high = hash.high64 };
}

static guint tombstone_hash(gconstpointer key)
{
	return (guint)((const struct waxwing_tombstone *)key)->id_low;
}

static gboolean tombstone_equal(gconstpointer a, gconstpointer b)
{
	const struct waxwing_tombstone *left = a;
	const struct waxwing_tombstone *right = b;

	return left->id_low == right->id_low && left->id_high == right->id_high;
}

struct waxwing_epoch *waxwing_epoch_create(uint64_t number, int64_t closes_ms, int64_t expires_ms)
{
	struct waxwing_epoch *epoch = g_new0(struct waxwing_epoch, 1);

	epoch->number = number;
	epoch->closes_ms = closes_ms;
	epoch->expires_ms = expires_ms;
	for (size_t i = 0; i < WAXWING_EPOCH_SHARDS; i++) {
		epoch->ids[i] = g_hash_table_new(waxwing_submission_id_hash, g_str_equal);
		epoch->tombstones[i] = g_hash_table_new(tombstone_hash, tombstone_equal);
	}
	g_queue_init(&epoch->submissions);
	epoch->tombstone_blocks = g_ptr_array_new_with_free_func(g_free);
	return epoch;
}

void waxwing_epoch_destroy(struct waxwing_epoch *epoch)
{
	for (size_t i = 0; i < WAXWING_EPOCH_SHARDS; i++) {
		g_hash_table_destroy(epoch->tombstones[i]);
		g_hash_table_destroy(epoch->ids[i]);
	}
	g_ptr_array_free(epoch->tombstone_blocks, true);
	g_free(epoch);
}

static GHashTable *id_shard(const struct waxwing_epoch *epoch, const char *id)
{
	struct waxwing_str text = waxwing_str(id);

	return epoch->ids[waxwing_str_hash(text, 0) % WAXWING_EPOCH_SHARDS];
}

void waxwing_epoch_add(struct waxwing_epoch *epoch, const char *id, GList *link)
{
	g_hash_table_insert(id_shard(epoch, id), (gpointer)id, link->data);
	g_queue_push_tail_link(&epoch->submissions, link);
}

void waxwing_epoch_remove(struct waxwing_epoch *epoch, const char *id, GList *link)
{
	if (!epoch->expired)
		g_hash_table_remove(id_shard(epoch, id), id);
	g_queue_unlink(&epoch->submissions, link);
}

struct waxwing_submission *waxwing_epoch_find(const struct waxwing_epoch *epoch, const char *id)
{
	return g_hash_table_lookup(id_shard(epoch, id), id);
}

static GHashTable *tombstone_shard(const struct waxwing_epoch *epoch,
				   const struct waxwing_tombstone *tombstone)
{
	return epoch->tombstones[tombstone->id_high % WAXWING_EPOCH_SHARDS];
}

static struct waxwing_tombstone *tombstone_alloc(struct waxwing_epoch *epoch)
{
	guint offset = epoch->tombstone_count++ % WAXWING_TOMBSTONE_BLOCK;
	struct waxwing_tombstone *block;

	if (!offset)
		g_ptr_array_add(epoch->tombstone_blocks,
				g_new(struct waxwing_tombstone, WAXWING_TOMBSTONE_BLOCK));
	block = g_ptr_array_index(epoch->tombstone_blocks, epoch->tombstone_blocks->len - 1);
	return &block[offset];
}

void waxwing_tombstone_add(struct waxwing_epoch *epoch, const char *id, uint64_t digest,
			   enum waxwing_error_code code)
{
	struct waxwing_tombstone *tombstone = tombstone_alloc(epoch);

	*tombstone = tombstone_key(id);
	tombstone->digest = digest;
	tombstone->code = code;
	g_hash_table_add(tombstone_shard(epoch, tombstone), tombstone);
}

const struct waxwing_tombstone *waxwing_tombstone_find(const struct waxwing_epoch *epoch,
						       const char *id)
{
	struct waxwing_tombstone key = tombstone_key(id);

	return g_hash_table_lookup(tombstone_shard(epoch, &key), &key);
}

guint waxwing_epoch_drop_tombstones(struct waxwing_epoch *epoch)
{
	guint held;

	if (!epoch->tombstone_count)
		return 0;
	held = (epoch->tombstone_count - 1) % WAXWING_TOMBSTONE_BLOCK + 1;
	epoch->tombstone_count -= held;
	g_ptr_array_remove_index(epoch->tombstone_blocks, epoch->tombstone_blocks->len - 1);
	return held;
}
