#include "membership_state.h"

/** Draws for one heartbeat, and of how many one is from another domain. */
#define DRAWS_MOST 24
#define OWN_DRAWS  3

enum target_kind { TARGET_WATCHER, TARGET_RELEASED, TARGET_OWN, TARGET_OTHER, TARGET_SILENT };

static bool is_target(const struct waxwing_member_record *member, enum target_kind kind,
		      int64_t now_ms)
{
	switch (kind) {
	case TARGET_WATCHER:
		return member->watches;
	case TARGET_RELEASED:
		return member->release_rounds && member->alive;
	case TARGET_OWN:
		return member->alive && member->own_domain && !member->watches &&
		       !member->release_rounds;
	case TARGET_OTHER:
		return member->alive && !member->own_domain;
	default:
		return !member->alive && waxwing_member_tried(member, now_ms);
	}
}

/** Adds up to @max targets of a kind, each member in its turn; returns the new count. */
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
		if (member->release_rounds)
			member->release_rounds--;
	}
	return count;
}

/** The watchers, those that were until now, and others of the own domain in their turn. */
static size_t choose_own(struct waxwing_membership *membership, int64_t now_ms,
			 struct waxwing_str *addresses, size_t max, size_t *watchers)
{
	guint next = 0;
	size_t count;

	waxwing_watch_choose(membership);
	count = add_targets(membership, now_ms, TARGET_WATCHER, &next, addresses, 0, max);
	*watchers = count;
	next = 0;
	count = add_targets(membership, now_ms, TARGET_RELEASED, &next, addresses, count, max);
	return add_targets(membership, now_ms, TARGET_OWN, &membership->next_own, addresses, count,
			   max);
}

static size_t choose_targets(struct waxwing_membership *membership, int64_t now_ms,
			     struct waxwing_str *addresses, size_t max, size_t *watchers)
{
	bool other_first = membership->sequence % 2;
	size_t count = choose_own(membership, now_ms, addresses, max > 1 ? max - 1 : max, watchers);
	size_t last = MIN(count + 1, max);

	if (other_first)
		count = add_targets(membership, now_ms, TARGET_OTHER, &membership->next_other,
				    addresses, count, last);
	count = add_targets(membership, now_ms, TARGET_SILENT, &membership->next_silent, addresses,
			    count, last);
	return add_targets(membership, now_ms, TARGET_OTHER, &membership->next_other, addresses,
			   count, last);
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
	waxwing_watch_tell(member, news);
	return count + 1;
}

/** Two members that leave or are silent, or one that is new. */
static size_t add_changes(struct waxwing_membership *membership)
{
	guint len = membership->members->len;
	size_t count = 0;

	for (guint visited = 0; visited < len && count < WAXWING_NEWS_MOST; visited++) {
		struct waxwing_member_record *member =
			waxwing_member_at(membership, membership->next_change++ % len);

		if (!member->tell_rounds || !member->incarnation ||
		    (count && !member->leaving && !member->silence.count))
			continue;
		member->tell_rounds--;
		count = add_news(membership, member, count);
	}
	return count;
}

/** Whether a drawn member is worth naming: it is alive, or has left a successor. */
static bool is_news(const struct waxwing_member_record *member)
{
	return member->incarnation && (member->alive || member->successor);
}

/** One member drawn at random, more often of the own domain, so that news gets round in the end. */
static size_t add_drawn(struct waxwing_membership *membership)
{
	gint32 len = (gint32)membership->members->len;

	for (int tries = 0; len && tries < DRAWS_MOST; tries++) {
		bool own_domain = g_rand_int_range(membership->random, 0, OWN_DRAWS + 1) > 0;
		struct waxwing_member_record *member = waxwing_member_at(
			membership, (guint)g_rand_int_range(membership->random, 0, len));

		if (is_news(member) && member->own_domain == own_domain)
			return add_news(membership, member, 0);
	}
	return 0;
}

/** Inherited incarnations to name, in turn. */
static size_t add_answers_for(struct waxwing_membership *membership)
{
	size_t count = MIN(membership->answers_for_count, WAXWING_ANSWERS_FOR_TOLD);

	for (size_t i = 0; i < count; i++)
		membership->told_answers_for[i] =
			membership->answers_for[membership->next_answer_for++ %
						membership->answers_for_count];
	return count;
}

size_t waxwing_membership_heartbeat(struct waxwing_membership *membership, int64_t now_ms,
				    Waxwing__Heartbeat *heartbeat, struct waxwing_str *addresses,
				    size_t max, size_t *watchers)
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
	heartbeat->n_leaving_upstreams = waxwing_upstreams_tell(
		membership->upstreams, now_ms, membership->leaving_names, WAXWING_LEAVING_MOST);
	heartbeat->leaving_upstreams = membership->leaving_names;
	heartbeat->n_answers_for = add_answers_for(membership);
	heartbeat->answers_for = membership->told_answers_for;
	heartbeat->n_news = add_changes(membership);
	if (!heartbeat->n_news)
		heartbeat->n_news = add_drawn(membership);
	heartbeat->news = membership->news_pointers;
	return count;
}
