#include "membership_upstream.h"

#include "scheduler_table.h"

/** How long heartbeats carry the name of a leaving upstream. */
#define LEAVING_NEWS_MS 5000
/** How long peers' leaving reports are ignored after an upstream came back. */
#define IGNORE_PEERS_MS 30000
/** How long the record of a removed upstream is kept. */
#define REMOVED_RECORD_MS 60000

struct upstream_record {
	struct waxwing_str key; /**< name, null-terminated; owned */
	char *address;
	uint32_t slots;
	enum waxwing_upstream_state state;
	bool listed; /**< is in the platform's current list */
	bool ever_listed;
	bool marked_leaving; /**< according to a report or the list */
	bool list_confirmed; /**< the list has shown it as leaving or absent since it was marked */
	int64_t report_ms; /**< time of the last leaving report that set or extended the mark */
	int64_t news_until_ms; /**< end of the time in which heartbeats carry its name */
	int64_t ignore_peers_until_ms;
	int64_t removed_ms; /**< when it was removed from the list, or added by a report */
	uint64_t version; /**< version of the upstreams at this one's last change */
};

struct waxwing_upstreams {
	char *domain;
	GPtrArray *items; /**< struct upstream_record */
	GHashTable *by_name;
	uint64_t version;
	bool changed;
	guint next_leaving; /**< index in @items at which the search for leaving names starts */
};

static void upstream_free(gpointer data)
{
	struct upstream_record *upstream = data;

	g_free((char *)upstream->key.data);
	g_free(upstream->address);
	g_free(upstream);
}

struct waxwing_upstreams *waxwing_upstreams_create(struct waxwing_str domain)
{
	struct waxwing_upstreams *upstreams = g_new0(struct waxwing_upstreams, 1);

	upstreams->domain = waxwing_str_dup(domain);
	upstreams->items = g_ptr_array_new_with_free_func(upstream_free);
	upstreams->by_name = g_hash_table_new(waxwing_name_hash, waxwing_name_equal);
	return upstreams;
}

void waxwing_upstreams_destroy(struct waxwing_upstreams *upstreams)
{
	g_hash_table_destroy(upstreams->by_name);
	g_ptr_array_free(upstreams->items, true);
	g_free(upstreams->domain);
	g_free(upstreams);
}

static struct upstream_record *upstream_add(struct waxwing_upstreams *upstreams,
					    struct waxwing_str name)
{
	struct upstream_record *upstream = g_new0(struct upstream_record, 1);

	upstream->key = (struct waxwing_str){ name.len, waxwing_str_dup(name) };
	upstream->address = g_strdup("");
	upstream->state = WAXWING_UPSTREAM_REMOVED;
	g_ptr_array_add(upstreams->items, upstream);
	g_hash_table_insert(upstreams->by_name, &upstream->key, upstream);
	return upstream;
}

static void bump_version(struct waxwing_upstreams *upstreams, struct upstream_record *upstream)
{
	upstream->version = ++upstreams->version;
	upstreams->changed = true;
}

static void set_state(struct waxwing_upstreams *upstreams, int64_t now_ms,
		      struct upstream_record *upstream, enum waxwing_upstream_state state)
{
	if (upstream->state == state)
		return;
	if (state == WAXWING_UPSTREAM_REMOVED)
		upstream->removed_ms = now_ms;
	upstream->state = state;
	bump_version(upstreams, upstream);
}

static void mark_leaving(struct upstream_record *upstream, int64_t now_ms, bool list_confirmed)
{
	upstream->marked_leaving = true;
	upstream->list_confirmed = list_confirmed;
	upstream->report_ms = now_ms;
	upstream->news_until_ms = now_ms + LEAVING_NEWS_MS;
}

static void unmark_leaving(struct upstream_record *upstream, int64_t now_ms)
{
	upstream->marked_leaving = false;
	upstream->ignore_peers_until_ms = now_ms + IGNORE_PEERS_MS;
	upstream->news_until_ms = now_ms;
}

/** Combines the state of an upstream in the list with the leaving reports. */
static void apply_list_state(struct waxwing_upstreams *upstreams, int64_t now_ms,
			     struct upstream_record *upstream, enum waxwing_upstream_state state)
{
	if (state == WAXWING_UPSTREAM_LIVE && upstream->marked_leaving) {
		if (upstream->list_confirmed ||
		    now_ms - upstream->report_ms >= WAXWING_LEAVING_HOLD_MS)
			unmark_leaving(upstream, now_ms);
		else
			state = WAXWING_UPSTREAM_LEAVING;
	} else if (state == WAXWING_UPSTREAM_LEAVING && !upstream->marked_leaving) {
		mark_leaving(upstream, now_ms, true);
	} else if (state != WAXWING_UPSTREAM_LIVE && upstream->ever_listed) {
		upstream->list_confirmed = true;
	}
	set_state(upstreams, now_ms, upstream, state);
}

static void apply_list_item(struct waxwing_upstreams *upstreams, int64_t now_ms,
			    const struct waxwing_platform_instance *item)
{
	struct waxwing_str name = waxwing_str(item->name);
	struct upstream_record *upstream = g_hash_table_lookup(upstreams->by_name, &name);

	if (!upstream)
		upstream = upstream_add(upstreams, name);
	upstream->listed = true;
	upstream->ever_listed = true;
	if (upstream->slots != item->slots || strcmp(upstream->address, item->address) != 0) {
		g_free(upstream->address);
		upstream->address = g_strdup(item->address);
		upstream->slots = item->slots;
		bump_version(upstreams, upstream);
	}
	apply_list_state(upstreams, now_ms, upstream,
			 item->leaving ? WAXWING_UPSTREAM_LEAVING : WAXWING_UPSTREAM_LIVE);
}

void waxwing_upstreams_update(struct waxwing_upstreams *upstreams, int64_t now_ms,
			      const struct waxwing_platform_list *list)
{
	for (guint i = 0; i < upstreams->items->len; i++)
		((struct upstream_record *)g_ptr_array_index(upstreams->items, i))->listed = false;
	for (size_t i = 0; i < list->count; i++)
		if (strcmp(list->items[i].domain, upstreams->domain) == 0)
			apply_list_item(upstreams, now_ms, &list->items[i]);
	for (guint i = 0; i < upstreams->items->len; i++) {
		struct upstream_record *upstream = g_ptr_array_index(upstreams->items, i);

		if (!upstream->listed)
			apply_list_state(upstreams, now_ms, upstream, WAXWING_UPSTREAM_REMOVED);
	}
}

void waxwing_upstreams_mark_leaving(struct waxwing_upstreams *upstreams, int64_t now_ms,
				    struct waxwing_str name, bool direct)
{
	struct upstream_record *upstream = g_hash_table_lookup(upstreams->by_name, &name);

	if (!upstream) {
		upstream = upstream_add(upstreams, name);
		upstream->removed_ms = now_ms;
	}
	if (direct)
		bump_version(upstreams, upstream);
	if (upstream->state == WAXWING_UPSTREAM_REMOVED && upstream->ever_listed)
		return;
	if (!direct && (upstream->marked_leaving || now_ms < upstream->ignore_peers_until_ms))
		return;
	if (upstream->marked_leaving)
		upstream->report_ms = now_ms;
	else
		mark_leaving(upstream, now_ms, upstream->state == WAXWING_UPSTREAM_LEAVING);
	if (upstream->ever_listed)
		set_state(upstreams, now_ms, upstream, WAXWING_UPSTREAM_LEAVING);
}

bool waxwing_upstreams_tick(struct waxwing_upstreams *upstreams, int64_t now_ms)
{
	bool changed = upstreams->changed;

	for (guint i = upstreams->items->len; i > 0; i--) {
		struct upstream_record *upstream = g_ptr_array_index(upstreams->items, i - 1);

		if (upstream->state != WAXWING_UPSTREAM_REMOVED ||
		    now_ms - upstream->removed_ms < REMOVED_RECORD_MS)
			continue;
		g_hash_table_remove(upstreams->by_name, &upstream->key);
		g_ptr_array_remove_index(upstreams->items, i - 1);
	}
	upstreams->changed = false;
	return changed;
}

size_t waxwing_upstreams_leaving_names(struct waxwing_upstreams *upstreams, int64_t now_ms,
				       char **names, size_t max)
{
	guint len = upstreams->items->len;
	size_t count = 0;

	for (guint visited = 0; visited < len && count < max; visited++) {
		struct upstream_record *upstream =
			g_ptr_array_index(upstreams->items, upstreams->next_leaving++ % len);

		if (upstream->marked_leaving && now_ms < upstream->news_until_ms)
			names[count++] = (char *)upstream->key.data;
	}
	return count;
}

uint64_t waxwing_upstreams_version(const struct waxwing_upstreams *upstreams)
{
	return upstreams->version;
}

static void upstream_to_public(const struct waxwing_upstreams *upstreams,
			       const struct upstream_record *found,
			       struct waxwing_upstream *upstream)
{
	*upstream = (struct waxwing_upstream){
		.name = found->key,
		.address = waxwing_str(found->address),
		.domain = waxwing_str(upstreams->domain),
		.slots = found->slots,
		.state = found->state,
		.version = found->version,
	};
}

bool waxwing_upstreams_at(const struct waxwing_upstreams *upstreams, size_t index,
			  struct waxwing_upstream *upstream)
{
	if (index >= upstreams->items->len)
		return false;
	upstream_to_public(upstreams, g_ptr_array_index(upstreams->items, index), upstream);
	return true;
}

bool waxwing_upstreams_find(const struct waxwing_upstreams *upstreams, struct waxwing_str name,
			    struct waxwing_upstream *upstream)
{
	const struct upstream_record *found = g_hash_table_lookup(upstreams->by_name, &name);

	if (found)
		upstream_to_public(upstreams, found, upstream);
	return found != NULL;
}
