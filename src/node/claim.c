#include "claim.h"

#include "generated/node.pb-c.h"

#include <stdio.h>

#define LOG_PART "claim"
#include "event_log.h"
#include "log.h"

/* Renewals in a lease's time: some may be lost before it ends. */
#define RENEWALS_IN_TTL 4
/* An owner that is heard has so long to claim its cell anew; it may be slower to hear of the loss. */
#define GIVE_WAY_MS 900
/* After a claim that did not come about. */
#define CLAIM_AGAIN_MS 150

enum claim_call {
	CALL_NONE,
	CALL_LEASE,
	CALL_CLAIM,
	CALL_KEEP,
	CALL_RELEASE,
};

struct waxwing_claim {
	struct waxwing_claim_options options;
	char *key;
	struct waxwing_cell_owner_view owner;
	uint64_t seen_revision; /* of the last entry or deletion */
	uint64_t lease; /* 0: none */
	int64_t vacant_since_ms; /* 0: not known to be vacant */
	uint64_t
		replaces; /* revision of a released entry that a claim replaces; 0: there is none */
	int64_t next_ms; /* of a renewal or a claim */
	int64_t sent_ms; /* of the call that is out */
	int64_t renewed_ms; /* when the lease was asked for or renewed last, with success */
	enum claim_call out;
	bool releasing;
	bool leaving;
	bool destroyed;
};

char *waxwing_claim_key(const char *cell)
{
	return g_strconcat(WAXWING_CLAIM_PREFIX, cell, NULL);
}

struct waxwing_claim *waxwing_claim_create(const struct waxwing_claim_options *options)
{
	struct waxwing_claim *claim = g_new0(struct waxwing_claim, 1);

	claim->options = *options;
	claim->options.cell = g_strdup(options->cell);
	claim->options.node = g_strdup(options->node);
	claim->options.address = g_strdup(options->address);
	claim->key = waxwing_claim_key(options->cell);
	return claim;
}

static void claim_free(struct waxwing_claim *claim)
{
	g_free((char *)claim->options.cell);
	g_free((char *)claim->options.node);
	g_free((char *)claim->options.address);
	g_free(claim->key);
	g_free(claim);
}

void waxwing_claim_destroy(struct waxwing_claim *claim)
{
	if (!claim)
		return;
	if (claim->out != CALL_NONE)
		claim->destroyed = true;
	else
		claim_free(claim);
}

static int64_t now(const struct waxwing_claim *claim)
{
	return waxwing_clock_now(claim->options.clock);
}

static void tell(struct waxwing_claim *claim)
{
	waxwing_event("cell_owner", "cell=%s owner=%s token=%llu known=%d self=%d",
		      claim->options.cell, claim->owner.known ? claim->owner.node : "none",
		      (unsigned long long)claim->owner.fencing_token, claim->owner.known,
		      claim->owner.self);
	claim->options.changed(claim->options.data, &claim->owner);
}

static void set_owner(struct waxwing_claim *claim, const Waxwing__CellOwner *owner,
		      uint64_t revision)
{
	claim->seen_revision = revision;
	claim->vacant_since_ms = 0;
	claim->owner.released = false;
	claim->owner.orderly = claim->replaces != 0;
	claim->replaces = 0;
	claim->owner.known = true;
	claim->owner.self = owner->incarnation == claim->options.incarnation;
	claim->owner.fencing_token = revision;
	claim->owner.incarnation = owner->incarnation;
	snprintf(claim->owner.address, sizeof(claim->owner.address), "%s", owner->address);
	snprintf(claim->owner.node, sizeof(claim->owner.node), "%s", owner->node);
	if (claim->owner.self)
		claim->next_ms = now(claim) + claim->options.ttl_ms / RENEWALS_IN_TTL;
	tell(claim);
}

/* An owner whose entry has gone keeps the cell and claims it anew at once. */
static void set_vacant(struct waxwing_claim *claim, uint64_t revision)
{
	int64_t delay_ms = claim->owner.self ? 0 : claim->options.delay_ms;

	claim->seen_revision = revision;
	claim->vacant_since_ms = now(claim);
	claim->next_ms = claim->vacant_since_ms + delay_ms;
	claim->lease = 0;
	claim->replaces = 0;
	claim->owner.known = false;
	tell(claim);
}

/* The former owner has ended its orders; the entry is taken over in place. */
static void set_released(struct waxwing_claim *claim, uint64_t revision)
{
	claim->owner.released = true;
	set_vacant(claim, revision);
	claim->replaces = revision;
}

void waxwing_claim_seen(struct waxwing_claim *claim, const struct waxwing_store_item *item)
{
	Waxwing__CellOwner *owner;

	if (item->revision <= claim->seen_revision)
		return;
	if (item->deleted) {
		set_vacant(claim, item->revision);
		return;
	}
	owner = waxwing__cell_owner__unpack(NULL, item->value.len,
					    (const uint8_t *)item->value.data);
	if (!owner) {
		waxwing_event("cell_owner_unreadable", "cell=%s bytes=%zu", claim->options.cell,
			      item->value.len);
		return;
	}
	if (owner->released)
		set_released(claim, item->revision);
	else
		set_owner(claim, owner, item->revision);
	waxwing__cell_owner__free_unpacked(owner, NULL);
}

void waxwing_claim_told(struct waxwing_claim *claim, const char *node, const char *address,
			uint64_t incarnation, uint64_t revision)
{
	Waxwing__CellOwner owner = WAXWING__CELL_OWNER__INIT;

	if (revision <= claim->seen_revision)
		return;
	owner.node = (char *)node;
	owner.address = (char *)address;
	owner.incarnation = incarnation;
	set_owner(claim, &owner, revision);
}

void waxwing_claim_synced(struct waxwing_claim *claim)
{
	if (!claim->owner.known && !claim->vacant_since_ms)
		set_vacant(claim, claim->seen_revision);
}

void waxwing_claim_fenced(struct waxwing_claim *claim)
{
	if (!claim->owner.self)
		return;
	claim->owner.self = false;
	claim->owner.known = false;
	claim->owner.released = true;
	claim->lease = 0;
	/* the successor's entry comes with the watch; without one the deletion does */
	claim->next_ms = INT64_MAX;
	tell(claim);
}

static Waxwing__CellOwner self_entry(const struct waxwing_claim *claim)
{
	Waxwing__CellOwner owner = WAXWING__CELL_OWNER__INIT;

	owner.node = (char *)claim->options.node;
	owner.address = (char *)claim->options.address;
	owner.incarnation = claim->options.incarnation;
	return owner;
}

static void answered(void *data, const struct waxwing_store_answer *answer);

static struct waxwing_store_reply reply_to(struct waxwing_claim *claim, enum claim_call call)
{
	claim->out = call;
	claim->sent_ms = now(claim);
	return (struct waxwing_store_reply){ answered, claim };
}

static void send_entry(struct waxwing_claim *claim, enum claim_call call,
		       const Waxwing__CellOwner *owner, uint64_t replaces, uint64_t lease)
{
	uint8_t packed[512];
	size_t len = waxwing__cell_owner__get_packed_size(owner);
	struct waxwing_store_change change = {
		.key = claim->key,
		.expected_revision = replaces,
		.lease = lease,
	};

	if (len > sizeof(packed)) {
		log_error("The owner's entry is too long");
		return;
	}
	waxwing__cell_owner__pack(owner, packed);
	change.value = (struct waxwing_str){ len, (const char *)packed };
	claim->options.store->ops->change(claim->options.store, &change, reply_to(claim, call));
}

static void send_claim(struct waxwing_claim *claim)
{
	Waxwing__CellOwner owner = self_entry(claim);

	send_entry(claim, CALL_CLAIM, &owner, claim->replaces, claim->lease);
}

static void send_release(struct waxwing_claim *claim)
{
	Waxwing__CellOwner owner = self_entry(claim);

	owner.has_released = true;
	owner.released = true;
	send_entry(claim, CALL_RELEASE, &owner, claim->owner.fencing_token, 0);
}

static void take_claim(struct waxwing_claim *claim, const struct waxwing_store_answer *answer)
{
	Waxwing__CellOwner owner = self_entry(claim);

	claim->next_ms = now(claim) + CLAIM_AGAIN_MS;
	if (answer->end == WAXWING_STORE_OK && answer->revision > claim->seen_revision)
		set_owner(claim, &owner, answer->revision);
	else if (answer->end == WAXWING_STORE_NOT_FOUND)
		claim->lease = 0;
	/* otherwise another has won, or the watch will tell */
}

static void take_keep(struct waxwing_claim *claim, const struct waxwing_store_answer *answer)
{
	claim->next_ms = now(claim) + claim->options.ttl_ms / RENEWALS_IN_TTL;
	if (answer->end == WAXWING_STORE_OK)
		claim->renewed_ms = claim->sent_ms;
	if (answer->end != WAXWING_STORE_NOT_FOUND)
		return;
	waxwing_event("cell_lease_ended", "cell=%s token=%llu", claim->options.cell,
		      (unsigned long long)claim->owner.fencing_token);
	claim->lease = 0;
	/* the entry's end comes with the watch */
}

static void answered(void *data, const struct waxwing_store_answer *answer)
{
	struct waxwing_claim *claim = data;
	enum claim_call call = claim->out;

	claim->out = CALL_NONE;
	if (claim->destroyed) {
		claim_free(claim);
		return;
	}
	switch (call) {
	case CALL_LEASE:
		if (answer->end == WAXWING_STORE_OK) {
			claim->lease = answer->lease;
			claim->renewed_ms = claim->sent_ms;
		} else {
			claim->next_ms = now(claim) + CLAIM_AGAIN_MS;
		}
		break;
	case CALL_CLAIM:
		take_claim(claim, answer);
		break;
	case CALL_KEEP:
		take_keep(claim, answer);
		break;
	case CALL_RELEASE:
		claim->releasing = answer->end == WAXWING_STORE_REFUSED ||
				   answer->end == WAXWING_STORE_UNKNOWN;
		break;
	case CALL_NONE:
		break;
	}
	waxwing_claim_run(claim);
}

void waxwing_claim_release(struct waxwing_claim *claim)
{
	claim->leaving = true;
	if (!claim->owner.self)
		return;
	claim->releasing = claim->owner.known;
	claim->owner.self = false;
	tell(claim);
}

static bool gives_way(const struct waxwing_claim *claim)
{
	if (claim->owner.known || claim->owner.self || claim->owner.released)
		return false;
	return now(claim) - claim->vacant_since_ms < GIVE_WAY_MS &&
	       claim->options.owner_heard(claim->options.data);
}

void waxwing_claim_run(struct waxwing_claim *claim)
{
	struct waxwing_store *store = claim->options.store;

	if (claim->out != CALL_NONE)
		return;
	if (claim->leaving) {
		if (claim->releasing)
			send_release(claim);
		return;
	}
	if (now(claim) < claim->next_ms || gives_way(claim))
		return;
	if (claim->owner.known && claim->owner.self && claim->lease)
		store->ops->keep(store, claim->lease, reply_to(claim, CALL_KEEP));
	else if (!claim->owner.known && claim->vacant_since_ms && !claim->lease)
		store->ops->lease(store, claim->options.ttl_ms, reply_to(claim, CALL_LEASE));
	else if (!claim->owner.known && claim->vacant_since_ms)
		send_claim(claim);
}

const struct waxwing_cell_owner_view *waxwing_claim_owner(const struct waxwing_claim *claim)
{
	return &claim->owner;
}

bool waxwing_claim_is_sure(const struct waxwing_claim *claim)
{
	return claim->owner.known && claim->owner.self && claim->lease &&
	       now(claim) - claim->renewed_ms < claim->options.ttl_ms;
}

bool waxwing_claim_releasing(const struct waxwing_claim *claim)
{
	return claim->releasing;
}
