/**
 * A node's claim to one cell: who owns it, whether this node should, and the lease that shows it.
 *
 * The owner's entry stands in the store under a lease that the owner renews; its revision is the
 * fencing token. When the entry goes, nodes claim the cell after a delay of their own; the store lets
 * one win. An owner goes on while the store cannot be reached, until it learns of a successor: from
 * the store, or from an executor that has seen a higher token.
 */
#ifndef WAXWING_CLAIM_H
#define WAXWING_CLAIM_H

#include "clock.h"
#include "store.h"

struct waxwing_claim;

/** Who owns the cell, as far as this node knows. */
struct waxwing_cell_owner_view {
	bool known; /**< some node's entry stands */
	bool self;
	bool released; /**< the last owner gives no orders any more */
	bool orderly; /**< its predecessor had ended all orders before */
	char address[64]; /**< IP:port for messages */
	char node[64];
	uint64_t incarnation; /**< of the owner's process */
	uint64_t fencing_token;
};

struct waxwing_claim_options {
	struct waxwing_store *store;
	const struct waxwing_clock *clock;
	const char *cell;
	const char *node;
	const char *address; /**< where this node takes messages */
	uint64_t incarnation; /**< of this process */
	uint32_t ttl_ms; /**< of the owner's lease */
	uint32_t delay_ms; /**< between the entry's end and this node's claim */
	/** The cell is this node's, with a new token; or it is not any more. */
	void (*changed)(void *data, const struct waxwing_cell_owner_view *owner);
	/** The last owner is still heard, though its entry has gone: it may claim the cell anew first. */
	bool (*owner_heard)(void *data);
	void *data;
};

struct waxwing_claim *waxwing_claim_create(const struct waxwing_claim_options *options);
void waxwing_claim_destroy(struct waxwing_claim *claim);

/** The store's key of a cell's owner; freed with g_free(). */
char *waxwing_claim_key(const char *cell);

/** Prefix of all such keys. */
#define WAXWING_CLAIM_PREFIX "cells/"

/** What the store says of the key, in the order of revisions. */
void waxwing_claim_seen(struct waxwing_claim *claim, const struct waxwing_store_item *item);

/** Another node has told of an owner, with the revision of its entry. */
void waxwing_claim_told(struct waxwing_claim *claim, const char *node, const char *address,
			uint64_t incarnation, uint64_t revision);

/** The range of owners was read; from now on a missing entry is known to be missing. */
void waxwing_claim_synced(struct waxwing_claim *claim);

/** An executor has seen a higher token than this owner's: the cell is another's. */
void waxwing_claim_fenced(struct waxwing_claim *claim);

/** Gives the cell up, and claims it no more: this node is leaving. */
void waxwing_claim_release(struct waxwing_claim *claim);

/** Sends what is due; call it at least each 50 ms. */
void waxwing_claim_run(struct waxwing_claim *claim);

const struct waxwing_cell_owner_view *waxwing_claim_owner(const struct waxwing_claim *claim);

/** True when the cell is this node's for sure: its lease was renewed and cannot have ended yet. */
bool waxwing_claim_is_sure(const struct waxwing_claim *claim);

/** True while a release has not been answered by the store. */
bool waxwing_claim_releasing(const struct waxwing_claim *claim);

#endif
