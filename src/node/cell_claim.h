/**
 * Ownership of one cell: which node owns it, whether this node should claim it, and the store lease
 * that backs the claim.
 *
 * The owner's entry is stored under a lease that the owner renews. The revision of the entry is the
 * fencing token. When the entry disappears, each node waits for its own delay and then claims the
 * cell; the store accepts only one claim. While the store is unreachable, the owner keeps the cell
 * until it learns of a successor, from the store or from an executor that has seen a higher token.
 * If its entry was removed, the owner claims the cell again, and goes on with what it knows only if
 * the store's history shows that no other node owned the cell in between.
 *
 * A node that finds an entry of its own former process replaces it without waiting for the lease:
 * that process has ended, since this one listens at its address. Orders that it sent may still be
 * on their way, as after the loss of any owner.
 */
#ifndef WAXWING_CELL_CLAIM_H
#define WAXWING_CELL_CLAIM_H

#include "clock.h"
#include "generated/node.pb-c.h"
#include "store.h"

struct waxwing_cell_claim;

/** The owner of a cell, as far as this node knows. */
struct waxwing_cell_owner_view {
	bool known; /**< the store holds an entry of an owner */
	bool is_self;
	bool released; /**< the last owner has stopped sending orders */
	/**
	 * what the previous owner wrote when it released the cell, before this owner took over;
	 * null: it did not release it
	 */
	const Waxwing__CellOwner *release;
	char address[64]; /**< IP:port of the owner's message socket */
	char node[64];
	uint64_t incarnation; /**< incarnation of the owner's process */
	uint64_t fencing_token;
};

struct waxwing_cell_claim_options {
	struct waxwing_store *store;
	const struct waxwing_clock *clock;
	const char *cell;
	const char *node;
	const char *address; /**< IP:port of this node's message socket */
	uint64_t incarnation; /**< incarnation of this process */
	uint32_t ttl_ms; /**< TTL of the lease on the owner's entry */
	uint32_t delay_ms; /**< time between the removal of the entry and this node's claim */
	uint32_t released_delay_ms; /**< the same, after the owner has released the cell */
	/** additional delay while prepared() is false, so that few nodes prepare at the same time */
	uint32_t unprepared_delay_ms;
	/**
	 * Called when the owner or its token changes; this node may have gained or lost the cell.
	 */
	void (*owner_changed)(void *data, const struct waxwing_cell_owner_view *owner);
	/**
	 * Returns true while the last owner still answers, although its entry was removed. That
	 * owner may then claim the cell again before other nodes do.
	 */
	bool (*owner_reachable)(void *data);
	/**
	 * Called when this node releases the cell, before owner_changed(). Adds to @release what its
	 * successor must know, allocated as waxwing__cell_owner__unpack() does.
	 */
	void (*describe_release)(void *data, Waxwing__CellOwner *release);
	/**
	 * Called when this node has stored its entry again after it was removed. Reads the owners'
	 * entries up to then soon: the node owns the cell once waxwing_cell_claim_update() has
	 * reported them.
	 */
	void (*read_owners)(void *data);
	/** Returns true once this node knows enough to serve the cell; until then it claims nothing. */
	bool (*prepared)(void *data);
	void *data;
};

struct waxwing_cell_claim *
waxwing_cell_claim_create(const struct waxwing_cell_claim_options *options);
void waxwing_cell_claim_destroy(struct waxwing_cell_claim *claim);

/** Returns the store's key for the owner of @cell; free with g_free(). */
char *waxwing_cell_claim_key(const char *cell);

/** Prefix of the store's keys for cell owners. */
#define WAXWING_CELL_OWNER_PREFIX "cells/"

/** Applies an entry or a deletion read from the store. Call in the order of revisions. */
void waxwing_cell_claim_update(struct waxwing_cell_claim *claim,
			       const struct waxwing_store_item *item);

/** Applies an owner that another node reported. @revision is the revision of the owner's entry. */
void waxwing_cell_claim_learn_owner(struct waxwing_cell_claim *claim, const char *node,
				    const char *address, uint64_t incarnation, uint64_t revision);

/**
 * Called when the store no longer has all changes since the last one that was reported, and the
 * current entries are read instead. A node whose entry may have been replaced meanwhile gives up
 * its cell.
 */
void waxwing_cell_claim_set_history_lost(struct waxwing_cell_claim *claim);

/**
 * Called when all entries as of @revision have been read, whether or not history was lost. An owner
 * that was only reported by another node, and whose entry is not among them, is gone.
 */
void waxwing_cell_claim_set_history_read(struct waxwing_cell_claim *claim, uint64_t revision);

/**
 * Marks the owners' entries as read up to @revision of the store: from now on, a cell without an
 * entry has no owner.
 */
void waxwing_cell_claim_set_synced(struct waxwing_cell_claim *claim, uint64_t revision);

/** Gives up the cell because an executor or the journal has seen a higher token. */
void waxwing_cell_claim_set_fenced(struct waxwing_cell_claim *claim);

/** Releases the cell, if owned, and makes no further claims: the node is shutting down. */
void waxwing_cell_claim_release(struct waxwing_cell_claim *claim);

/** Returns true if this node is about to claim the cell, and therefore should prepare to serve it. */
bool waxwing_cell_claim_is_due(const struct waxwing_cell_claim *claim);

/** Releases the cell, if owned, so that another node claims it. This node may claim it again. */
void waxwing_cell_claim_hand_over(struct waxwing_cell_claim *claim);

/** Sends the calls that are due. Call at least every 50 ms. */
void waxwing_cell_claim_run(struct waxwing_cell_claim *claim);

const struct waxwing_cell_owner_view *
waxwing_cell_claim_owner(const struct waxwing_cell_claim *claim);

/**
 * Returns the time until which this node owns the cell for sure: its lease, by the last successful
 * renewal, cannot have expired before. 0: none.
 */
int64_t waxwing_cell_claim_lease_until_ms(const struct waxwing_cell_claim *claim);

/** Returns true if that time has not come yet. */
bool waxwing_cell_claim_is_lease_valid(const struct waxwing_cell_claim *claim);

/**
 * Returns true while a release is outstanding. The release is repeated until the store has accepted
 * or rejected it.
 */
bool waxwing_cell_claim_is_releasing(const struct waxwing_cell_claim *claim);

#endif
