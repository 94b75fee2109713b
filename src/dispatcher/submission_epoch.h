/**
 * Ids of one window: submissions, and tombstones of those that never ran. Private to the submission table.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_SUBMISSION_EPOCH_H
#define WAXWING_SUBMISSION_EPOCH_H

#include "waxwingswitch/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** All that is kept of an id that was answered "not_run": it must never run later. */
struct waxwing_tombstone {
	uint64_t id_low; /**< 128-bit digest of the id */
	uint64_t id_high;
	uint64_t digest; /**< of the request */
	enum waxwing_error_code code;
};

/** Tombstones of one epoch are allocated in blocks of this many. */
#define WAXWING_TOMBSTONE_BLOCK 256
/** Tables an epoch is split into, so that none takes long to grow. */
#define WAXWING_EPOCH_SHARDS 64

struct waxwing_submission;

struct waxwing_epoch {
	uint64_t number;
	int64_t closes_ms; /**< no more minting from here on */
	int64_t expires_ms; /**< its ids are refused, and dropped bit by bit */
	bool expired; /**< nothing is looked up any more: the tables may hold what was freed */
	GHashTable *ids[WAXWING_EPOCH_SHARDS]; /**< id to struct waxwing_submission */
	GHashTable *tombstones[WAXWING_EPOCH_SHARDS]; /**< sets of struct waxwing_tombstone */
	GQueue members; /**< the submissions, through their epoch_link */
	GPtrArray *blocks; /**< that hold the tombstones */
	guint tombstone_count;
};

struct waxwing_epoch *waxwing_epoch_create(uint64_t number, int64_t closes_ms, int64_t expires_ms);
/** Frees an epoch without members. */
void waxwing_epoch_destroy(struct waxwing_epoch *epoch);

/** Adds a submission, which holds the id and the @link; the epoch takes no reference by itself. */
void waxwing_epoch_add(struct waxwing_epoch *epoch, const char *id, GList *link);
void waxwing_epoch_remove(struct waxwing_epoch *epoch, const char *id, GList *link);
/** The submission of an id, or null. */
struct waxwing_submission *waxwing_epoch_find(const struct waxwing_epoch *epoch, const char *id);

void waxwing_tombstone_add(struct waxwing_epoch *epoch, const char *id, uint64_t digest,
			   enum waxwing_error_code code);

/** The tombstone of an id, or null. */
const struct waxwing_tombstone *waxwing_tombstone_find(const struct waxwing_epoch *epoch,
						       const char *id);

/**
 * Of an expired epoch: frees a block of tombstones and returns how many it held, 0 when none is left.
 * No tombstone can be found after the first call.
 */
guint waxwing_epoch_drop_tombstones(struct waxwing_epoch *epoch);

#endif
