#include "membership_state.h"

#define HEARTBEAT_MS  250
#define DEAD_AFTER_MS 1500
#define FAN_OUT	      8

/** Number of heartbeats that carry news of a leaving or a newly alive member before other news. */
#define LEAVING_NEWS_ROUNDS 12
#define JOINED_NEWS_ROUNDS  2
/** Number of heartbeat intervals without a heartbeat after which a member is considered dead. */
#define MISSED_INTERVALS_MAX 6
/** A gap between ticks of this many heartbeat intervals means that this process was paused. */
#define PAUSE_HEARTBEATS 4
/** How long the record of a dead member, which includes its successor, is kept. */
#define DEAD_RECORD_MS (60 * 60 * 1000)
/** Maximum length of a chain of successors; limits the search if the chain is a cycle. */
#define SUCCESSOR_CHAIN_MAX 64

static void member_free(gpointer data)
{
	struct waxwing_member_record *member = data;

	g_free(member->name);
	g_free(member->domain);
	g_free(member->peer_address);
	g_free(member->http_address);
	g_free(member);
}

struct waxwing_membership *
waxwing_membership_create(const struct waxwing_membership_options *options, int64_t now_ms)
{
	struct waxwing_membership *membership = g_new0(struct waxwing_membership, 1);

	membership->name = waxwing_str_dup(options->name);
	membership->domain = waxwing_str_dup(options->domain);
	membership->http_address = waxwing_str_dup(options->http_address);
	membership->peer_address = waxwing_str_dup(options->peer_address);
	membership->incarnation = options->incarnation;
	membership->heartbeat_ms = options->heartbeat_ms ? options->heartbeat_ms : HEARTBEAT_MS;
	membership->dead_after_ms = options->dead_after_ms ? options->dead_after_ms : DEAD_AFTER_MS;
	membership->fan_out = options->fan_out ? options->fan_out : FAN_OUT;
	membership->random = g_rand_new_with_seed((guint32)(options->seed ^ options->seed >> 32));
	membership->members = g_ptr_array_new_with_free_func(member_free);
	membership->by_incarnation = g_hash_table_new(g_int64_hash, g_int64_equal);
	membership->released_addresses = g_ptr_array_new_with_free_func(g_free);
	membership->upstreams = waxwing_upstreams_create(options->domain);
	membership->successor_claims =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	waxwing_membership_set_cells(membership, 1);
	membership->tick_ms = now_ms;
	membership->next_heartbeat_ms = now_ms;
	for (size_t i = 0; i < WAXWING_NEWS_MAX; i++)
		membership->news_pointers[i] = &membership->news[i];
	return membership;
}

void waxwing_membership_destroy(struct waxwing_membership *membership)
{
	if (!membership)
		return;
	g_hash_table_destroy(membership->successor_claims);
	waxwing_upstreams_destroy(membership->upstreams);
	g_hash_table_destroy(membership->by_incarnation);
	g_ptr_array_free(membership->members, true);
	g_ptr_array_free(membership->released_addresses, true);
	g_rand_free(membership->random);
	g_free(membership->name);
	g_free(membership->domain);
	g_free(membership->http_address);
	g_free(membership->peer_address);
	g_free(membership->schedulers);
	g_free(membership);
}

static void replace_string(char **string, const char *value)
{
	if (strcmp(*string, value) == 0)
		return;
	g_free(*string);
	*string = g_strdup(value);
}

static struct waxwing_member_record *member_add(struct waxwing_membership *membership,
						const char *name, uint64_t incarnation,
						const char *domain, const char *peer_address)
{
	struct waxwing_member_record *member = g_new0(struct waxwing_member_record, 1);

	member->name = g_strdup(name);
	member->domain = g_strdup(domain);
	member->peer_address = g_strdup(peer_address);
	member->http_address = g_strdup("");
	member->incarnation = incarnation;
	member->direct_ms = INT64_MIN;
	member->batch_ms = INT64_MIN;
	member->own_domain = strcmp(domain, membership->domain) == 0;
	g_ptr_array_add(membership->members, member);
	if (incarnation)
		g_hash_table_insert(membership->by_incarnation, &member->incarnation, member);
	return member;
}

static void member_remove(struct waxwing_membership *membership, guint index)
{
	const struct waxwing_member_record *member = waxwing_member_at(membership, index);

	waxwing_member_release_address(membership, member);
	if (member->incarnation)
		g_hash_table_remove(membership->by_incarnation, &member->incarnation);
	g_ptr_array_remove_index(membership->members, index);
}

void waxwing_member_set_alive(struct waxwing_membership *membership,
			      struct waxwing_member_record *member, bool alive)
{
	if (member->alive == alive)
		return;
	member->alive = alive;
	membership->changed = true;
	if (alive)
		member->news_rounds = JOINED_NEWS_ROUNDS;
}

static void set_leaving(struct waxwing_membership *membership, struct waxwing_member_record *member,
			uint64_t successor)
{
	if (member->leaving && (!successor || member->successor == successor))
		return;
	member->leaving = true;
	if (successor)
		member->successor = successor;
	member->news_rounds = LEAVING_NEWS_ROUNDS;
	membership->changed = true;
}

/** Maps peer addresses to the list's items, leaving out this instance. */
static GHashTable *items_by_address(const struct waxwing_membership *membership,
				    const struct waxwing_platform_list *list)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < list->count; i++)
		if (strcmp(list->items[i].peer_address, membership->peer_address) != 0)
			g_hash_table_insert(items, list->items[i].peer_address, &list->items[i]);
	return items;
}

/**
 * Updates known members from the list, and removes unlisted ones that were known from the list
 * only. Removes known addresses from @items, so that only new members remain.
 */
static void update_known(struct waxwing_membership *membership, GHashTable *items)
{
	GHashTable *known = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer address;

	for (guint i = membership->members->len; i > 0; i--) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i - 1);
		const struct waxwing_platform_instance *item =
			g_hash_table_lookup(items, member->peer_address);

		member->listed = item != NULL;
		if (item)
			g_hash_table_add(known, item->peer_address);
		if (item && !member->incarnation)
			member->leaving = item->leaving;
		if (!item && !member->incarnation)
			member_remove(membership, i - 1);
	}
	g_hash_table_iter_init(&iter, known);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		g_hash_table_remove(items, address);
	g_hash_table_destroy(known);
}

void waxwing_membership_set_instances(struct waxwing_membership *membership, int64_t now_ms,
				      const struct waxwing_platform_list *list)
{
	GHashTable *items = items_by_address(membership, list);
	GHashTableIter iter;
	gpointer value;

	(void)now_ms;
	update_known(membership, items);
	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct waxwing_platform_instance *item = value;
		struct waxwing_member_record *member =
			member_add(membership, item->name, 0, item->domain, item->peer_address);

		replace_string(&member->http_address, item->address);
		member->listed = true;
		member->leaving = item->leaving;
	}
	g_hash_table_destroy(items);
}

void waxwing_membership_set_upstreams(struct waxwing_membership *membership, int64_t now_ms,
				      const struct waxwing_platform_list *list)
{
	waxwing_upstreams_update(membership->upstreams, now_ms, list);
}

void waxwing_membership_mark_upstream_leaving(struct waxwing_membership *membership, int64_t now_ms,
					      struct waxwing_str upstream)
{
	waxwing_upstreams_mark_leaving(membership->upstreams, now_ms, upstream, true);
}

static void mark_alive(struct waxwing_membership *membership, int64_t now_ms,
		       struct waxwing_member_record *member)
{
	waxwing_watch_refute(member, member->sequence);
	member->heard_ms = now_ms;
	member->superseded = false;
	waxwing_member_set_alive(membership, member, true);
}

/**
 * Records a member's sequence if it is higher than the one known, and marks the member alive unless
 * the sequence may predate the reports that it is unresponsive.
 */
static void apply_sequence(struct waxwing_membership *membership, int64_t now_ms,
			   struct waxwing_member_record *member, uint64_t sequence)
{
	bool stale = waxwing_watch_is_stale(member, sequence);

	if (sequence <= member->sequence)
		return;
	member->sequence = sequence;
	if (!stale)
		mark_alive(membership, now_ms, member);
}

static void apply_news(struct waxwing_membership *membership, int64_t now_ms,
		       const Waxwing__MemberNews *news)
{
	struct waxwing_member_record *member = waxwing_member_find(membership, news->incarnation);

	if (!news->incarnation || news->incarnation == membership->incarnation)
		return;
	if (!member && news->n_silent_to)
		return;
	if (!member)
		member = member_add(membership, news->name, news->incarnation, news->domain,
				    news->peer_address);
	if (news->leaving)
		set_leaving(membership, member, news->successor);
	apply_sequence(membership, now_ms, member, news->sequence);
	for (size_t i = 0; i < news->n_silent_to; i++)
		waxwing_watch_add_report(membership, member, news->sequence, news->silent_to[i]);
}

/**
 * Marks other records with the address of @heard, which was heard from directly, as superseded;
 * removes those known from the list only.
 */
static void supersede(struct waxwing_membership *membership, struct waxwing_member_record *heard)
{
	for (guint i = membership->members->len; i > 0; i--) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i - 1);

		if (member == heard || strcmp(member->peer_address, heard->peer_address) != 0)
			continue;
		heard->listed |= member->listed;
		if (!member->incarnation) {
			member_remove(membership, i - 1);
			continue;
		}
		member->superseded = true;
		waxwing_member_set_alive(membership, member, false);
	}
}

static void apply_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
			    const Waxwing__Heartbeat *heartbeat)
{
	struct waxwing_member_record *member =
		waxwing_member_find(membership, heartbeat->incarnation);

	if (!member)
		member = member_add(membership, heartbeat->name, heartbeat->incarnation,
				    heartbeat->domain, heartbeat->peer_address);
	if (heartbeat->sequence <= member->direct_sequence)
		return;
	if (!member->direct_sequence || !member->alive)
		supersede(membership, member);
	member->direct_sequence = heartbeat->sequence;
	member->direct_ms = now_ms;
	member->watched = heartbeat->watched;
	member->settings_revision = heartbeat->settings_revision;
	replace_string(&member->http_address, heartbeat->http_address);
	if (heartbeat->leaving)
		set_leaving(membership, member, heartbeat->successor);
	if (heartbeat->sequence <= member->sequence && member->alive)
		return;
	member->sequence = MAX(member->sequence, heartbeat->sequence);
	mark_alive(membership, now_ms, member);
}

/**
 * Records that the sender has inherited an incarnation. A leaving sender doesn't replace another
 * member that claimed the incarnation.
 */
static void apply_successor_claim(struct waxwing_membership *membership, int64_t now_ms,
				  uint64_t incarnation, const Waxwing__Heartbeat *heartbeat)
{
	struct waxwing_successor_claim *claim =
		g_hash_table_lookup(membership->successor_claims, &incarnation);

	if (claim && heartbeat->leaving && claim->successor != heartbeat->incarnation)
		return;
	if (!claim) {
		claim = g_new0(struct waxwing_successor_claim, 1);
		claim->incarnation = incarnation;
		g_hash_table_insert(membership->successor_claims, &claim->incarnation, claim);
	}
	claim->successor = heartbeat->incarnation;
	claim->heard_ms = now_ms;
}

void waxwing_membership_receive_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
					  const Waxwing__Heartbeat *heartbeat)
{
	if (!heartbeat->incarnation || heartbeat->incarnation == membership->incarnation)
		return;
	apply_heartbeat(membership, now_ms, heartbeat);
	for (size_t i = 0; i < heartbeat->n_news; i++)
		apply_news(membership, now_ms, heartbeat->news[i]);
	for (size_t i = 0; i < heartbeat->n_answers_for; i++)
		apply_successor_claim(membership, now_ms, heartbeat->answers_for[i], heartbeat);
	if (strcmp(heartbeat->domain, membership->domain) != 0)
		return;
	for (size_t i = 0; i < heartbeat->n_leaving_upstreams; i++)
		waxwing_upstreams_mark_leaving(membership->upstreams, now_ms,
					       waxwing_str(heartbeat->leaving_upstreams[i]), false);
}

void waxwing_membership_receive_batch(struct waxwing_membership *membership, int64_t now_ms,
				      uint64_t incarnation)
{
	struct waxwing_member_record *member = waxwing_member_find(membership, incarnation);

	if (!member)
		return;
	member->batch_ms = now_ms;
	member->direct_ms = now_ms;
	mark_alive(membership, now_ms, member);
}

void waxwing_membership_leave(struct waxwing_membership *membership, int64_t now_ms,
			      uint64_t successor)
{
	membership->leaving = true;
	membership->successor = successor;
	membership->changed = true;
	membership->next_heartbeat_ms = now_ms;
}

void waxwing_membership_set_inherited(struct waxwing_membership *membership,
				      const uint64_t *incarnations, size_t count)
{
	membership->inherited_count = MIN(count, WAXWING_MEMBERSHIP_INHERITED_MAX);
	memcpy(membership->inherited, incarnations,
	       membership->inherited_count * sizeof(*incarnations));
}

void waxwing_membership_set_settings_revision(struct waxwing_membership *membership,
					      uint64_t revision)
{
	membership->settings_revision = revision;
}

static void member_view(const struct waxwing_member_record *member, struct waxwing_member *view)
{
	*view = (struct waxwing_member){
		.name = waxwing_str(member->name),
		.incarnation = member->incarnation,
		.domain = waxwing_str(member->domain),
		.peer_address = waxwing_str(member->peer_address),
		.http_address = waxwing_str(member->http_address),
		.leaving = member->leaving,
		.alive = member->alive,
		.settings_revision = member->settings_revision,
		.successor = member->successor,
		.heard_ms = member->heard_ms,
	};
}

bool waxwing_membership_member_at(const struct waxwing_membership *membership, size_t index,
				  struct waxwing_member *member)
{
	if (index >= membership->members->len)
		return false;
	member_view(waxwing_member_at(membership, (guint)index), member);
	return true;
}

bool waxwing_membership_upstream_at(const struct waxwing_membership *membership, size_t index,
				    struct waxwing_upstream *upstream)
{
	return waxwing_upstreams_at(membership->upstreams, index, upstream);
}

bool waxwing_membership_find_upstream(const struct waxwing_membership *membership,
				      struct waxwing_str name, struct waxwing_upstream *upstream)
{
	return waxwing_upstreams_find(membership->upstreams, name, upstream);
}

uint64_t waxwing_membership_upstreams_version(const struct waxwing_membership *membership)
{
	return waxwing_upstreams_version(membership->upstreams);
}

bool waxwing_membership_find_member(const struct waxwing_membership *membership,
				    uint64_t incarnation, struct waxwing_member *member)
{
	const struct waxwing_member_record *found = waxwing_member_find(membership, incarnation);

	if (!found)
		return false;
	member_view(found, member);
	return true;
}

/** Returns the next incarnation in a chain of successors; 0 at its end. */
static uint64_t next_successor(const struct waxwing_membership *membership, uint64_t incarnation)
{
	const struct waxwing_successor_claim *claim =
		g_hash_table_lookup(membership->successor_claims, &incarnation);
	const struct waxwing_member_record *member = waxwing_member_find(membership, incarnation);
	const struct waxwing_member_record *claimant;

	if (claim) {
		claimant = waxwing_member_find(membership, claim->successor);
		if (claimant && (claimant->alive || !member || !member->successor))
			return claim->successor;
	}
	return member ? member->successor : 0;
}

uint64_t waxwing_membership_last_successor(const struct waxwing_membership *membership,
					   uint64_t incarnation)
{
	uint64_t last = 0;
	uint64_t next;

	for (int i = 0; i < SUCCESSOR_CHAIN_MAX; i++) {
		next = next_successor(membership, incarnation);
		if (!next)
			break;
		last = next;
		incarnation = next;
	}
	return last;
}

/**
 * Counts the members of this domain, or of all others, among which heartbeats are divided: those
 * that are alive, and unresponsive ones that may still be. Unresponsive members that are leaving or
 * superseded aren't counted, nor is this instance.
 */
static uint32_t count_group(const struct waxwing_membership *membership, int64_t now_ms,
			    bool own_domain)
{
	uint32_t count = 0;

	for (guint i = 0; i < membership->members->len; i++) {
		const struct waxwing_member_record *member = waxwing_member_at(membership, i);
		bool expected = !member->leaving && !member->superseded &&
				(member->listed || now_ms - member->heard_ms < WAXWING_PROBE_MS);

		count += member->own_domain == own_domain && (member->alive || expected);
	}
	return count;
}

/**
 * Returns how many members of this domain get a heartbeat in addition to the watchers. One address
 * of the fan-out is reserved for an unresponsive member or one of another domain.
 */
static uint32_t own_domain_fan_out(const struct waxwing_membership *membership)
{
	return MAX(membership->fan_out, WAXWING_WATCHERS + 2) - 1 - WAXWING_WATCHERS;
}

/** Counts the members of this domain that aren't watchers. */
static uint32_t count_non_watchers(const struct waxwing_membership *membership, int64_t now_ms)
{
	uint32_t count = count_group(membership, now_ms, true);

	return count > WAXWING_WATCHERS ? count - WAXWING_WATCHERS : 0;
}

/**
 * Returns the time without a heartbeat after which a member is considered dead, in a group of
 * @group members of which @reached get each heartbeat.
 */
static int64_t dead_limit_ms(const struct waxwing_membership *membership, uint32_t group,
			     uint32_t reached)
{
	int64_t interval_ms = (int64_t)membership->heartbeat_ms * group / reached;

	return MAX((int64_t)membership->dead_after_ms, MISSED_INTERVALS_MAX * interval_ms);
}

/** Extends the time in which members must be heard from by a pause of this process. */
static void compensate_pause(struct waxwing_membership *membership, int64_t now_ms)
{
	int64_t gap_ms = now_ms - membership->tick_ms;

	if (gap_ms < PAUSE_HEARTBEATS * (int64_t)membership->heartbeat_ms)
		return;
	for (guint i = 0; i < membership->members->len; i++) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i);

		if (!member->alive)
			continue;
		member->heard_ms = MIN(member->heard_ms + gap_ms, now_ms);
		if (member->direct_ms != INT64_MIN)
			member->direct_ms = MIN(member->direct_ms + gap_ms, now_ms);
		if (member->batch_ms != INT64_MIN)
			member->batch_ms = MIN(member->batch_ms + gap_ms, now_ms);
	}
}

static gboolean successor_claim_expired(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(const int64_t *)now_ms -
		       ((const struct waxwing_successor_claim *)value)->heard_ms >=
	       WAXWING_PROBE_MS;
}

bool waxwing_membership_tick(struct waxwing_membership *membership, int64_t now_ms)
{
	int64_t own_domain_ms = dead_limit_ms(membership, count_non_watchers(membership, now_ms),
					      own_domain_fan_out(membership));
	int64_t other_domain_ms =
		dead_limit_ms(membership, count_group(membership, now_ms, false), 1);
	bool changed;

	compensate_pause(membership, now_ms);
	membership->tick_ms = now_ms;
	for (guint i = membership->members->len; i > 0; i--) {
		struct waxwing_member_record *member = waxwing_member_at(membership, i - 1);
		int64_t unheard_ms = now_ms - member->heard_ms;

		if (member->alive &&
		    unheard_ms >= (member->own_domain ? own_domain_ms : other_domain_ms))
			waxwing_member_set_alive(membership, member, false);
		waxwing_watch_check(membership, member, now_ms);
		waxwing_member_update_released(membership, member, now_ms);
		if (member->incarnation && !member->alive && unheard_ms >= DEAD_RECORD_MS)
			member_remove(membership, i - 1);
	}
	g_hash_table_foreach_remove(membership->successor_claims, successor_claim_expired, &now_ms);
	own_domain_ms = dead_limit_ms(membership, count_non_watchers(membership, now_ms),
				      own_domain_fan_out(membership));
	waxwing_membership_choose_schedulers(membership, now_ms, own_domain_ms);
	changed = membership->changed;
	membership->changed = false;
	return waxwing_upstreams_tick(membership->upstreams, now_ms) || changed;
}
