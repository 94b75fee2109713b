#include "membership_upstream.h"

#include "scheduler_table.h"

/** How long an upstream that is leaving is named in heartbeats. */
#define TELL_MS 5000
/** How long peers' word is not taken after an upstream came back. */
#define QUIET_MS 30000
/** How long an upstream that left the list is still shown as gone. */
#define FORGET_MS 60000

struct upstream {
	struct waxwing_str key; /**< the name, with a zero after it; owned */
	char *address;
	uint32_t slots;
	enum waxwing_upstream_state state;
	bool listed; /**< now */
	bool ever_listed;
	bool marked; /**< a sign said leaving */
	bool list_followed; /**< the list has said so as well since */
	int64_t sign_ms; /**< last sign, a peer's while marked not counted */
	int64_t tell_until_ms;
	int64_t quiet_until_ms;
	int64_t gone_ms;
	uint64_t version; /**< of the last change */
};

struct waxwing_upstreams {
	char *domain;
	GPtrArray *items; /**< of struct upstream */
	GHashTable *by_name;
	uint64_t version;
	bool changed;
	guint next_told;
};

static void upstream_free(gpointer data)
{
	struct upstream *upstream = data;

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

static struct upstream *upstream_add(struct waxwing_upstreams *upstreams, struct waxwing_str name)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->key = (struct waxwing_str){ name.len, waxwing_str_dup(name) };
	upstream->address = g_strdup("");
	upstream->state = WAXWING_UPSTREAM_GONE;
	g_ptr_array_add(upstreams->items, upstream);
	g_hash_table_insert(upstreams->by_name, &upstream->key, upstream);
	return upstream;
}

static void touch(struct waxwing_upstreams *upstreams, struct upstream *upstream)
{
	upstream->version = ++upstreams->version;
	upstreams->changed = true;
}

static void set_state(struct waxwing_upstreams *upstreams, int64_t now_ms,
		      struct upstream *upstream, enum waxwing_upstream_state state)
{
	if (upstream->state == state)
		return;
	if (state == WAXWING_UPSTREAM_GONE)
		upstream->gone_ms = now_ms;
	upstream->state = state;
	touch(upstreams, upstream);
}

static void mark(struct upstream *upstream, int64_t now_ms, bool list_followed)
{
	upstream->marked = true;
	upstream->list_followed = list_followed;
	upstream->sign_ms = now_ms;
	upstream->tell_until_ms = now_ms + TELL_MS;
}

static void unmark(struct upstream *upstream, int64_t now_ms)
{
	upstream->marked = false;
	upstream->quiet_until_ms = now_ms + QUIET_MS;
	upstream->tell_until_ms = now_ms;
}

/** What the list says of one upstream, put together with the signs. */
static void listed_as(struct waxwing_upstreams *upstreams, int64_t now_ms,
		      struct upstream *upstream, enum waxwing_upstream_state state)
{
	if (state == WAXWING_UPSTREAM_LIVE && upstream->marked) {
		if (upstream->list_followed ||
		    now_ms - upstream->sign_ms >= WAXWING_LEAVING_HOLD_MS)
			unmark(upstream, now_ms);
		else
			state = WAXWING_UPSTREAM_LEAVING;
	} else if (state == WAXWING_UPSTREAM_LEAVING && !upstream->marked) {
		mark(upstream, now_ms, true);
	} else if (state != WAXWING_UPSTREAM_LIVE && upstream->ever_listed) {
		upstream->list_followed = true;
	}
	set_state(upstreams, now_ms, upstream, state);
}

static void list_item(struct waxwing_upstreams *upstreams, int64_t now_ms,
		      const struct waxwing_platform_instance *item)
{
	struct waxwing_str name = waxwing_str(item->name);
	struct upstream *upstream = g_hash_table_lookup(upstreams->by_name, &name);

	if (!upstream)
		upstream = upstream_add(upstreams, name);
	upstream->listed = true;
	upstream->ever_listed = true;
	if (upstream->slots != item->slots || strcmp(upstream->address, item->address) != 0) {
		g_free(upstream->address);
		upstream->address = g_strdup(item->address);
		upstream->slots = item->slots;
		touch(upstreams, upstream);
	}
	listed_as(upstreams, now_ms, upstream,
		  item->leaving ? WAXWING_UPSTREAM_LEAVING : WAXWING_UPSTREAM_LIVE);
}

void waxwing_upstreams_list(struct waxwing_upstreams *upstreams, int64_t now_ms,
			    const struct waxwing_platform_list *list)
{
	for (guint i = 0; i < upstreams->items->len; i++)
		((struct upstream *)g_ptr_array_index(upstreams->items, i))->listed = false;
	for (size_t i = 0; i < list->count; i++)
		if (strcmp(list->items[i].domain, upstreams->domain) == 0)
			list_item(upstreams, now_ms, &list->items[i]);
	for (guint i = 0; i < upstreams->items->len; i++) {
		struct upstream *upstream = g_ptr_array_index(upstreams->items, i);

		if (!upstream->listed)
			listed_as(upstreams, now_ms, upstream, WAXWING_UPSTREAM_GONE);
	}
}

void waxwing_upstreams_leaving(struct waxwing_upstreams *upstreams, int64_t now_ms,
			       struct waxwing_str name, bool own)
{
	struct upstream *upstream = g_hash_table_lookup(upstreams->by_name, &name);

	if (!upstream) {
		upstream = upstream_add(upstreams, name);
		upstream->gone_ms = now_ms;
	}
	if (own)
		touch(upstreams, upstream);
	if (upstream->state == WAXWING_UPSTREAM_GONE && upstream->ever_listed)
		return;
	if (!own && (upstream->marked || now_ms < upstream->quiet_until_ms))
		return;
	if (upstream->marked)
		upstream->sign_ms = now_ms;
	else
		mark(upstream, now_ms, upstream->state == WAXWING_UPSTREAM_LEAVING);
	if (upstream->ever_listed)
		set_state(upstreams, now_ms, upstream, WAXWING_UPSTREAM_LEAVING);
}

bool waxwing_upstreams_tick(struct waxwing_upstreams *upstreams, int64_t now_ms)
{
	bool changed = upstreams->changed;

	for (guint i = upstreams->items->len; i > 0; i--) {
		struct upstream *upstream = g_ptr_array_index(upstreams->items, i - 1);

		if (upstream->state != WAXWING_UPSTREAM_GONE ||
		    now_ms - upstream->gone_ms < FORGET_MS)
			continue;
		g_hash_table_remove(upstreams->by_name, &upstream->key);
		g_ptr_array_remove_index(upstreams->items, i - 1);
	}
	upstreams->changed = false;
	return changed;
}

size_t waxwing_upstreams_tell(struct waxwing_upstreams *upstreams, int64_t now_ms, char **names,
			      size_t max)
{
	guint len = upstreams->items->len;
	size_t count = 0;

	for (guint visited = 0; visited < len && count < max; visited++) {
		struct upstream *upstream =
			g_ptr_array_index(upstreams->items, upstreams->next_told++ % len);

		if (upstream->marked && now_ms < upstream->tell_until_ms)
			names[count++] = (char *)upstream->key.data;
	}
	return count;
}

uint64_t waxwing_upstreams_version(const struct waxwing_upstreams *upstreams)
{
	return upstreams->version;
}

static void view(const struct waxwing_upstreams *upstreams, const struct upstream *found,
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
	view(upstreams, g_ptr_array_index(upstreams->items, index), upstream);
	return true;
}

bool waxwing_upstreams_find(const struct waxwing_upstreams *upstreams, struct waxwing_str name,
			    struct waxwing_upstream *upstream)
{
	const struct upstream *found = g_hash_table_lookup(upstreams->by_name, &name);

	if (found)
		view(upstreams, found, upstream);
	return found != NULL;
}
