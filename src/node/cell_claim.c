#include "cell_claim.h"

#include "message.h"

#include <stdio.h>

#define LOG_COMPONENT "claim"
#include "event_log.h"
#include "log.h"

/* Renewals sent per TTL of the lease, so that the lease survives the loss of some renewals. */
#define RENEWALS_PER_TTL 4
/*
 * Time that a reachable owner gets to claim the cell again after its entry was removed. The owner
 * may learn of the removal later than this node.
 */
#define OWNER_RECLAIM_MS 900
/* Delay before another claim after a failed one. */
#define CLAIM_RETRY_MS 150

enum claim_call {
	CALL_NONE,
	CALL_GRANT_LEASE,
	CALL_CLAIM,
	CALL_RENEW_LEASE,
	CALL_RELEASE,
};

struct waxwing_cell_claim {
	struct waxwing_cell_claim_options options;
	char *owner_key;
	struct waxwing_cell_owner_view owner;
	uint64_t seen_revision; /* revision of the last entry or deletion seen */
	uint64_t lease; /* 0: none */
	int64_t vacant_since_ms; /* 0: not known to be vacant */
	/*
	 * revision of an own entry that the watch has not delivered yet, while this node still has
	 * its state of an earlier ownership; 0: there is none
	 */
	uint64_t unconfirmed_revision;
	bool history_lost; /* changes after seen_revision may have been missed */
	bool entry_read; /* the watch has delivered the known owner's entry */
	/* revision of the entry that a claim replaces; 0: there is none */
	uint64_t replaced_revision;
	/* the replaced entry, if its owner released the cell; this node's own claim keeps it */
	Waxwing__CellOwner *replaced_release;
	int64_t next_call_ms; /* time of the next renewal or claim */
	int64_t sent_ms; /* time at which the pending call was sent */
	int64_t renewed_ms; /* time of the last successful request or renewal of the lease */
	enum claim_call pending_call;
	bool releasing;
	uint64_t released_token; /* revision of the own entry that is being released */
	Waxwing__CellOwner *release; /* entry that is written to release the cell; null: none yet */
	bool leaving;
	bool destroyed;
};

char *waxwing_cell_claim_key(const char *cell)
{
	return g_strconcat(WAXWING_CELL_OWNER_PREFIX, cell, NULL);
}

struct waxwing_cell_claim *
waxwing_cell_claim_create(const struct waxwing_cell_claim_options *options)
{
	struct waxwing_cell_claim *claim = g_new0(struct waxwing_cell_claim, 1);

	claim->options = *options;
	claim->options.cell = g_strdup(options->cell);
	claim->options.node = g_strdup(options->node);
	claim->options.address = g_strdup(options->address);
	claim->owner_key = waxwing_cell_claim_key(options->cell);
	return claim;
}

static void set_replaced_release(struct waxwing_cell_claim *claim, Waxwing__CellOwner *release)
{
	if (claim->replaced_release)
		waxwing__cell_owner__free_unpacked(claim->replaced_release, NULL);
	claim->replaced_release = release;
	claim->owner.release = NULL;
}

static void set_release(struct waxwing_cell_claim *claim, Waxwing__CellOwner *release)
{
	if (claim->release)
		waxwing__cell_owner__free_unpacked(claim->release, NULL);
	claim->release = release;
}

static void claim_free(struct waxwing_cell_claim *claim)
{
	set_replaced_release(claim, NULL);
	set_release(claim, NULL);
	g_free((char *)claim->options.cell);
	g_free((char *)claim->options.node);
	g_free((char *)claim->options.address);
	g_free(claim->owner_key);
	g_free(claim);
}

void waxwing_cell_claim_destroy(struct waxwing_cell_claim *claim)
{
	if (!claim)
		return;
	if (claim->pending_call != CALL_NONE)
		claim->destroyed = true;
	else
		claim_free(claim);
}

static int64_t now(const struct waxwing_cell_claim *claim)
{
	return waxwing_clock_now(claim->options.clock);
}

static void notify_owner_changed(struct waxwing_cell_claim *claim)
{
	waxwing_event("cell_owner", "cell=%s owner=%s token=%llu known=%d self=%d",
		      claim->options.cell, claim->owner.known ? claim->owner.node : "none",
		      (unsigned long long)claim->owner.fencing_token, claim->owner.known,
		      claim->owner.is_self);
	claim->options.owner_changed(claim->options.data, &claim->owner);
}

/*
 * Ends this node's ownership, and so drops its state of the cell: another node owns the cell, or may
 * have owned it meanwhile.
 */
static void end_ownership(struct waxwing_cell_claim *claim)
{
	if (!claim->owner.is_self)
		return;
	claim->owner.is_self = false;
	claim->owner.known = false;
	notify_owner_changed(claim);
}

static void set_owner(struct waxwing_cell_claim *claim, const Waxwing__CellOwner *owner,
		      uint64_t revision)
{
	claim->seen_revision = revision;
	if (revision >= claim->unconfirmed_revision)
		claim->unconfirmed_revision = 0;
	claim->vacant_since_ms = 0;
	claim->owner.released = false;
	claim->owner.release = claim->replaced_release;
	claim->replaced_revision = 0;
	claim->owner.known = true;
	claim->entry_read = false;
	claim->owner.is_self = owner->incarnation == claim->options.incarnation;
	if (!claim->owner.is_self)
		set_replaced_release(claim, NULL);
	claim->owner.fencing_token = revision;
	claim->owner.incarnation = owner->incarnation;
	snprintf(claim->owner.address, sizeof(claim->owner.address), "%s", owner->address);
	snprintf(claim->owner.node, sizeof(claim->owner.node), "%s", owner->node);
	if (claim->owner.is_self)
		claim->next_call_ms = now(claim) + claim->options.ttl_ms / RENEWALS_PER_TTL;
	notify_owner_changed(claim);
}

/*
 * An owner whose entry was removed keeps the cell and claims it again without delay. Its state
 * holds only if no other node owns the cell meanwhile, see await_own_entry().
 */
static void set_vacant(struct waxwing_cell_claim *claim, uint64_t revision)
{
	int64_t delay_ms = claim->owner.is_self ? 0 : claim->options.delay_ms;

	if (!claim->owner.is_self && !claim->options.prepared(claim->options.data))
		delay_ms += claim->options.unprepared_delay_ms;
	claim->seen_revision = revision;
	claim->vacant_since_ms = now(claim);
	/* an entry that this node stored after this revision still needs its lease */
	if (revision >= claim->unconfirmed_revision) {
		claim->unconfirmed_revision = 0;
		claim->lease = 0;
		claim->next_call_ms = claim->vacant_since_ms + delay_ms;
	}
	claim->replaced_revision = 0;
	set_replaced_release(claim, NULL);
	claim->owner.known = false;
	notify_owner_changed(claim);
}

/*
 * The former owner has stopped sending orders and left its entry, which a claim replaces. Takes
 * ownership of @release.
 */
static void set_released(struct waxwing_cell_claim *claim, Waxwing__CellOwner *release,
			 uint64_t revision)
{
	claim->owner.released = true;
	set_vacant(claim, revision);
	claim->next_call_ms += (int64_t)claim->options.released_delay_ms - claim->options.delay_ms;
	claim->replaced_revision = revision;
	claim->replaced_release = release;
}

static void begin_release(struct waxwing_cell_claim *claim, uint64_t token);

/* A claim of this node took effect after the node had started to leave. */
static void release_late_claim(struct waxwing_cell_claim *claim, uint64_t revision)
{
	claim->seen_revision = revision;
	claim->unconfirmed_revision = 0;
	claim->releasing = true;
	begin_release(claim, revision);
}

static bool is_former_self(const struct waxwing_cell_claim *claim, const Waxwing__CellOwner *owner)
{
	return owner->incarnation != claim->options.incarnation &&
	       strcmp(owner->node, claim->options.node) == 0 &&
	       strcmp(owner->address, claim->options.address) == 0;
}

/* This node's former process owned the cell. */
static void set_former_self(struct waxwing_cell_claim *claim, uint64_t revision)
{
	waxwing_event("cell_owned_before", "cell=%s token=%llu", claim->options.cell,
		      (unsigned long long)revision);
	claim->owner.fencing_token = revision;
	set_vacant(claim, revision);
	claim->next_call_ms = claim->vacant_since_ms;
	claim->replaced_revision = revision;
}

void waxwing_cell_claim_update(struct waxwing_cell_claim *claim,
			       const struct waxwing_store_item *item)
{
	Waxwing__CellOwner *owner;

	if (!item->deleted && claim->owner.known && item->revision == claim->owner.fencing_token)
		claim->entry_read = true;
	if (item->revision <= claim->seen_revision)
		return;
	if (claim->history_lost)
		end_ownership(claim);
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
	if (owner->released) {
		set_released(claim, owner, item->revision);
		return;
	}
	if (is_former_self(claim, owner))
		set_former_self(claim, item->revision);
	else if (claim->leaving && owner->incarnation == claim->options.incarnation)
		release_late_claim(claim, item->revision);
	else
		set_owner(claim, owner, item->revision);
	claim->entry_read = claim->owner.known;
	waxwing__cell_owner__free_unpacked(owner, NULL);
}

void waxwing_cell_claim_learn_owner(struct waxwing_cell_claim *claim, const char *node,
				    const char *address, uint64_t incarnation, uint64_t revision)
{
	Waxwing__CellOwner owner = WAXWING__CELL_OWNER__INIT;

	/* of this node's own claims, only the watch shows what came before */
	if (revision <= claim->seen_revision || incarnation == claim->options.incarnation)
		return;
	owner.node = (char *)node;
	owner.address = (char *)address;
	owner.incarnation = incarnation;
	set_owner(claim, &owner, revision);
}

void waxwing_cell_claim_set_synced(struct waxwing_cell_claim *claim, uint64_t revision)
{
	if (!claim->owner.known && !claim->vacant_since_ms)
		set_vacant(claim, claim->seen_revision);
	/* another node may still report an owner whose entry was removed before it was read here */
	claim->seen_revision = MAX(claim->seen_revision, revision);
}

void waxwing_cell_claim_set_history_read(struct waxwing_cell_claim *claim, uint64_t revision)
{
	bool is_gone =
		claim->owner.known && !claim->entry_read && claim->owner.fencing_token <= revision;

	claim->history_lost = false;
	if (!is_gone)
		return;
	end_ownership(claim);
	set_vacant(claim, revision);
}

void waxwing_cell_claim_set_history_lost(struct waxwing_cell_claim *claim)
{
	claim->history_lost = true;
	if (claim->owner.known)
		return;
	/* if the store still has that entry, the range delivers it */
	claim->unconfirmed_revision = 0;
	end_ownership(claim);
}

void waxwing_cell_claim_set_fenced(struct waxwing_cell_claim *claim)
{
	if (!claim->owner.is_self)
		return;
	claim->owner.released = true;
	claim->lease = 0;
	claim->unconfirmed_revision = 0;
	/* The watch delivers the successor's entry or, if there is none, the deletion. */
	claim->next_call_ms = INT64_MAX;
	end_ownership(claim);
}

static Waxwing__CellOwner self_entry(const struct waxwing_cell_claim *claim)
{
	Waxwing__CellOwner owner = WAXWING__CELL_OWNER__INIT;

	owner.node = (char *)claim->options.node;
	owner.address = (char *)claim->options.address;
	owner.incarnation = claim->options.incarnation;
	return owner;
}

static void handle_claim_answer(void *data, const struct waxwing_store_answer *answer);

static struct waxwing_store_callback begin_call(struct waxwing_cell_claim *claim,
						enum claim_call call)
{
	claim->pending_call = call;
	claim->sent_ms = now(claim);
	return (struct waxwing_store_callback){ handle_claim_answer, claim };
}

static void send_entry(struct waxwing_cell_claim *claim, enum claim_call call,
		       const Waxwing__CellOwner *owner, uint64_t replaces, uint64_t lease)
{
	size_t len = waxwing__cell_owner__get_packed_size(owner);
	uint8_t *packed = g_malloc(len);
	struct waxwing_store_put put = {
		.key = claim->owner_key,
		.expected_revision = replaces,
		.lease = lease,
	};

	waxwing__cell_owner__pack(owner, packed);
	put.value = (struct waxwing_str){ len, (const char *)packed };
	claim->options.store->ops->put(claim->options.store, &put, begin_call(claim, call));
	g_free(packed);
}

static void send_claim(struct waxwing_cell_claim *claim)
{
	Waxwing__CellOwner owner = self_entry(claim);

	send_entry(claim, CALL_CLAIM, &owner, claim->replaced_revision, claim->lease);
}

static void send_release(struct waxwing_cell_claim *claim)
{
	/* never a successor's entry, which may be known by the time of another attempt */
	send_entry(claim, CALL_RELEASE, claim->release, claim->released_token, 0);
}

/*
 * An owner whose entry was removed and stored again goes on with its state only if no other node
 * owned the cell in between. The watch delivers all entries in order, so the own one comes last.
 */
static void await_own_entry(struct waxwing_cell_claim *claim, uint64_t revision)
{
	waxwing_event("cell_claimed_again", "cell=%s token=%llu revision=%llu", claim->options.cell,
		      (unsigned long long)claim->owner.fencing_token, (unsigned long long)revision);
	claim->unconfirmed_revision = revision;
	claim->next_call_ms = now(claim) + claim->options.ttl_ms / RENEWALS_PER_TTL;
	claim->options.read_owners(claim->options.data);
}

static void handle_claim_result(struct waxwing_cell_claim *claim,
				const struct waxwing_store_answer *answer)
{
	Waxwing__CellOwner owner = self_entry(claim);

	claim->next_call_ms = now(claim) + CLAIM_RETRY_MS;
	if (answer->status == WAXWING_STORE_OK && answer->revision > claim->seen_revision &&
	    claim->owner.is_self)
		await_own_entry(claim, answer->revision);
	else if (answer->status == WAXWING_STORE_OK && answer->revision > claim->seen_revision)
		set_owner(claim, &owner, answer->revision);
	else if (answer->status == WAXWING_STORE_NOT_FOUND)
		claim->lease = 0;
	/*
	 * Otherwise another node has won the claim or the result is unknown; the watch delivers the
	 * owner's entry.
	 */
}

static void handle_renewal(struct waxwing_cell_claim *claim,
			   const struct waxwing_store_answer *answer)
{
	claim->next_call_ms = now(claim) + claim->options.ttl_ms / RENEWALS_PER_TTL;
	if (answer->status == WAXWING_STORE_OK)
		claim->renewed_ms = claim->sent_ms;
	if (answer->status != WAXWING_STORE_NOT_FOUND)
		return;
	waxwing_event("cell_lease_ended", "cell=%s token=%llu", claim->options.cell,
		      (unsigned long long)claim->owner.fencing_token);
	claim->lease = 0;
	/* The watch delivers the deletion of the entry. */
}

static void handle_claim_answer(void *data, const struct waxwing_store_answer *answer)
{
	struct waxwing_cell_claim *claim = data;
	enum claim_call call = claim->pending_call;

	claim->pending_call = CALL_NONE;
	if (claim->destroyed) {
		claim_free(claim);
		return;
	}
	switch (call) {
	case CALL_GRANT_LEASE:
		if (answer->status == WAXWING_STORE_OK) {
			claim->lease = answer->lease;
			claim->renewed_ms = claim->sent_ms;
		} else {
			claim->next_call_ms = now(claim) + CLAIM_RETRY_MS;
		}
		break;
	case CALL_CLAIM:
		handle_claim_result(claim, answer);
		break;
	case CALL_RENEW_LEASE:
		handle_renewal(claim, answer);
		break;
	case CALL_RELEASE:
		claim->releasing = answer->status == WAXWING_STORE_REFUSED ||
				   answer->status == WAXWING_STORE_UNKNOWN;
		break;
	case CALL_NONE:
		break;
	}
	waxwing_cell_claim_run(claim);
}

void waxwing_cell_claim_release(struct waxwing_cell_claim *claim)
{
	claim->leaving = true;
	waxwing_cell_claim_hand_over(claim);
}

/* Prepares the entry that replaces the own one at revision @token. */
static void begin_release(struct waxwing_cell_claim *claim, uint64_t token)
{
	Waxwing__CellOwner self = self_entry(claim);

	set_release(claim, waxwing_message_copy(&self.base));
	claim->release->has_released = true;
	claim->release->released = true;
	claim->options.describe_release(claim->options.data, claim->release);
	claim->released_token = token;
}

void waxwing_cell_claim_hand_over(struct waxwing_cell_claim *claim)
{
	if (!claim->owner.is_self)
		return;
	begin_release(claim, claim->owner.fencing_token);
	claim->releasing = claim->owner.known;
	claim->owner.is_self = false;
	notify_owner_changed(claim);
}

static bool yields_to_owner(const struct waxwing_cell_claim *claim)
{
	if (claim->owner.known || claim->owner.is_self || claim->owner.released)
		return false;
	return now(claim) - claim->vacant_since_ms < OWNER_RECLAIM_MS &&
	       claim->options.owner_reachable(claim->options.data);
}

bool waxwing_cell_claim_is_due(const struct waxwing_cell_claim *claim)
{
	return !claim->leaving && !claim->owner.known && claim->vacant_since_ms &&
	       now(claim) >= claim->next_call_ms && !yields_to_owner(claim);
}

void waxwing_cell_claim_run(struct waxwing_cell_claim *claim)
{
	struct waxwing_store *store = claim->options.store;

	if (claim->pending_call != CALL_NONE)
		return;
	if (claim->releasing) {
		send_release(claim);
		return;
	}
	if (claim->leaving)
		return;
	if (now(claim) < claim->next_call_ms || yields_to_owner(claim))
		return;
	if (claim->lease &&
	    (claim->unconfirmed_revision || (claim->owner.known && claim->owner.is_self)))
		store->ops->renew_lease(store, claim->lease, begin_call(claim, CALL_RENEW_LEASE));
	else if (claim->unconfirmed_revision)
		return;
	else if (!claim->owner.known && claim->vacant_since_ms && !claim->lease)
		store->ops->grant_lease(store, claim->options.ttl_ms,
					begin_call(claim, CALL_GRANT_LEASE));
	else if (!claim->owner.known && claim->vacant_since_ms &&
		 claim->options.prepared(claim->options.data))
		send_claim(claim);
}

const struct waxwing_cell_owner_view *
waxwing_cell_claim_owner(const struct waxwing_cell_claim *claim)
{
	return &claim->owner;
}

int64_t waxwing_cell_claim_lease_until_ms(const struct waxwing_cell_claim *claim)
{
	if (!claim->owner.known || !claim->owner.is_self || !claim->lease)
		return 0;
	return claim->renewed_ms + claim->options.ttl_ms;
}

bool waxwing_cell_claim_is_lease_valid(const struct waxwing_cell_claim *claim)
{
	return now(claim) < waxwing_cell_claim_lease_until_ms(claim);
}

bool waxwing_cell_claim_is_releasing(const struct waxwing_cell_claim *claim)
{
	return claim->releasing;
}
