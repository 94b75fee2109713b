#include "membership_state.h"

/** Maximum number of attempts to pick a random member whose news a heartbeat carries. */
#define RANDOM_PICKS_MAX 24
/** How many times as often the random member is picked from this domain as from another. */
#define OWN_DOMAIN_WEIGHT 3

enum target_kind {
	TARGET_WATCHER,
	TARGET_FORMER_WATCHER,
	TARGET_OWN_DOMAIN, /**< alive, neither watcher nor former watcher */
	TARGET_OTHER_DOMAIN, /**< a live member of another domain */
	TARGET_UNRESPONSIVE /**< not alive but still probed */
};

static bool is_target(const struct waxwing_member_record *member, enum target_kind kind,
		      int64_t now_ms)
{
	switch (kind) {
	case TARGET_WATCHER:
		return member->is_watcher;
	case TARGET_FORMER_WATCHER:
		return member->unwatch_rounds && member->alive;
	case TARGET_OWN_DOMAIN:
		return member->alive && member->own_domain && !member->is_watcher &&
		       !member->unwatch_rounds;
	case TARGET_OTHER_DOMAIN:
		return member->alive && !member->own_domain;
	default:
		return !member->alive && waxwing_member_probed(member, now_ms);
	}
}

/** Adds targets of a kind in rotation until there are @max addresses; returns the new count. */
static size_t add_targets(struct waxwing_membership *membership, int64_t now_ms,
			  enum target_kind kind, guint *next, struct waxwing_str *addresses,
			  size_t count, size_t max)
{
	guint len = membership->members->len;

	for (guint visited = 0; visited < len && count < max; visited++) {
		struct waxwing_member_record *member =
			waxwing_member_at(membership, (*next)++ % len);

		if (!is_target(member, kind, now_ms) ||
		    strcmp(member->peer_address, membership->peer_address) == 0)
			continue;
		addresses[count++] = waxwing_str(member->peer_address);
		if (member->unwatch_rounds)
			member->unwatch_rounds--;
	}
	return count;
}

/** Selects the watchers, then former watchers, then other members of this domain in rotation. */
static size_t choose_own_domain(struct waxwing_membership *membership, int64_t now_ms,
				struct waxwing_str *addresses, size_t max, size_t *watchers)
{
	guint next = 0;
	size_t count;

	waxwing_watch_choose(membership);
	count = add_targets(membership, now_ms, TARGET_WATCHER, &next, addresses, 0, max);
	*watchers = count;
	next = 0;
	count = add_targets(membership, now_ms, TARGET_FORMER_WATCHER, &next, addresses, count,
			    max);
	return add_targets(membership, now_ms, TARGET_OWN_DOMAIN, &membership->next_own_domain,
			   addresses, count, max);
}

/**
 * Selects the targets of a heartbeat. The last address is reserved for a member of another domain
 * or an unresponsive member; heartbeats alternate in which of the two they prefer.
 */
static size_t choose_targets(struct waxwing_membership *membership, int64_t now_ms,
			     struct waxwing_str *addresses, size_t max, size_t *watchers)
{
	bool other_first = membership->sequence % 2;
	size_t count =
		choose_own_domain(membership, now_ms, addresses, max > 1 ? max - 1 : max, watchers);
	size_t last = MIN(count + 1, max);

	if (other_first)
		count = add_targets(membership, now_ms, TARGET_OTHER_DOMAIN,
				    &membership->next_other_domain, addresses, count, last);
	count = add_targets(membership, now_ms, TARGET_UNRESPONSIVE, &membership->next_unresponsive,
			    addresses, count, last);
	return add_targets(membership, now_ms, TARGET_OTHER_DOMAIN, &membership->next_other_domain,
			   addresses, count, last);
}

static size_t add_news(struct waxwing_membership *membership, struct waxwing_member_record *member,
		       size_t count)
{
	Waxwing__MemberNews *news = &membership->news[count];

	for (size_t i = 0; i < count; i++)
		if (membership->news[i].incarnation == member->incarnation)
			return count;
	waxwing__member_news__init(news);
	news->name = member->name;
	news->incarnation = member->incarnation;
	news->domain = member->domain;
	news->peer_address = member->peer_address;
	news->leaving = member->leaving;
	news->sequence = member->sequence;
	news->has_successor = member->successor != 0;
	news->successor = member->successor;
	waxwing_watch_fill_news(member, news);
	return count + 1;
}

/**
 * Adds news of up to WAXWING_NEWS_MAX changed members. After the first member, only members that
 * are leaving or reported unresponsive are added.
 */
static size_t add_changed(struct waxwing_membership *membership)
{
	guint len = membership->members->len;
	size_t count = 0;

	for (guint visited = 0; visited < len && count < WAXWING_NEWS_MAX; visited++) {
		struct waxwing_member_record *member =
			waxwing_member_at(membership, membership->next_changed++ % len);

		if (!member->news_rounds || !member->incarnation ||
		    (count && !member->leaving && !member->unresponsive_reports.count))
			continue;
		member->news_rounds--;
		count = add_news(membership, member, count);
	}
	return count;
}

/** Whether random news may be about a member: it is alive or has a successor. */
static bool is_newsworthy(const struct waxwing_member_record *member)
{
	return member->incarnation && (member->alive || member->successor);
}

/**
 * Adds news of a random member, preferably of this domain, so that all news eventually reaches
 * every member.
 */
static size_t add_random(struct waxwing_membership *membership)
{
	gint32 len = (gint32)membership->members->len;

	for (int tries = 0; len && tries < RANDOM_PICKS_MAX; tries++) {
		bool own_domain =
			g_rand_int_range(membership->random, 0, OWN_DOMAIN_WEIGHT + 1) > 0;
		struct waxwing_member_record *member = waxwing_member_at(
			membership, (guint)g_rand_int_range(membership->random, 0, len));

		if (is_newsworthy(member) && member->own_domain == own_domain)
			return add_news(membership, member, 0);
	}
	return 0;
}

/** Adds inherited incarnations to the heartbeat, in rotation; returns their number. */
static size_t add_inherited_incarnations(struct waxwing_membership *membership)
{
	size_t count = MIN(membership->inherited_count, WAXWING_HEARTBEAT_INHERITED_MAX);

	for (size_t i = 0; i < count; i++)
		membership->heartbeat_inherited[i] =
			membership->inherited[membership->next_inherited++ %
					      membership->inherited_count];
	return count;
}

size_t waxwing_membership_next_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
					 Waxwing__Heartbeat *heartbeat,
					 struct waxwing_str *addresses, size_t max,
					 size_t *watchers)
{
	size_t count;

	*watchers = 0;
	if (now_ms < membership->next_heartbeat_ms)
		return 0;
	membership->next_heartbeat_ms = now_ms + membership->heartbeat_ms;
	membership->sequence++;
	count = choose_targets(membership, now_ms, addresses, MIN(max, membership->fan_out),
			       watchers);
	waxwing__heartbeat__init(heartbeat);
	heartbeat->name = membership->name;
	heartbeat->incarnation = membership->incarnation;
	heartbeat->domain = membership->domain;
	heartbeat->peer_address = membership->peer_address;
	heartbeat->http_address = membership->http_address;
	heartbeat->leaving = membership->leaving;
	heartbeat->settings_revision = membership->settings_revision;
	heartbeat->has_sequence = true;
	heartbeat->sequence = membership->sequence;
	heartbeat->has_successor = membership->successor != 0;
	heartbeat->successor = membership->successor;
	heartbeat->n_leaving_upstreams = waxwing_upstreams_leaving_names(
		membership->upstreams, now_ms, membership->leaving_names, WAXWING_LEAVING_MAX);
	heartbeat->leaving_upstreams = membership->leaving_names;
	heartbeat->n_answers_for = add_inherited_incarnations(membership);
	heartbeat->answers_for = membership->heartbeat_inherited;
	heartbeat->n_news = add_changed(membership);
	if (!heartbeat->n_news)
		heartbeat->n_news = add_random(membership);
	heartbeat->news = membership->news_pointers;
	return count;
}
