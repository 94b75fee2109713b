/**
 * Ids of one window: submissions, and tombstones for those that never ran. Private to the
 * submission table.
 *
 * Not thread-safe.
 */
#ifndef WAXWING_SUBMISSION_EPOCH_H
#define WAXWING_SUBMISSION_EPOCH_H

#include "waxwingswitch/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Record of an id that was answered "not_run", kept so that the id never runs later. */
struct waxwing_tombstone {
	uint64_t id_low; /**< Lower half of the 128-bit digest of the id. */
	uint64_t id_high;
	uint64_t digest; /**< Digest of the request. */
	enum waxwing_error_code code;
};

/** Number of tombstones that are allocated at a time. */
#define WAXWING_TOMBSTONE_BLOCK 256
/** Number of hash tables per epoch. The split limits how long growing one of them takes. */
#define WAXWING_EPOCH_SHARDS 64

struct waxwing_submission;

struct waxwing_epoch {
	uint64_t number;
	int64_t closes_ms; /**< From this time on new ids belong to the next epoch. */
	/** From this time on the epoch's ids are refused and gradually freed. */
	int64_t expires_ms;
	bool expired; /**< Ids can no longer be looked up; the tables may point to freed memory. */
	GHashTable *ids[WAXWING_EPOCH_SHARDS]; /**< Id -> struct waxwing_submission. */
	GHashTable *tombstones[WAXWING_EPOCH_SHARDS]; /**< Sets of struct waxwing_tombstone. */
	GQueue submissions; /**< Linked through epoch_link. */
	GPtrArray *tombstone_blocks; /**< Memory of the tombstones. */
	guint tombstone_count;
};

struct waxwing_epoch *waxwing_epoch_create(uint64_t number, int64_t closes_ms, int64_t expires_ms);
/** Frees an epoch that has no submissions. */
void waxwing_epoch_destroy(struct waxwing_epoch *epoch);

/** Adds the submission that owns @id and @link. The epoch takes no reference. */
void waxwing_epoch_add(struct waxwing_epoch *epoch, const char *id, GList *link);
void waxwing_epoch_remove(struct waxwing_epoch *epoch, const char *id, GList *link);
/** Returns the submission of an id, or null. */
struct waxwing_submission *waxwing_epoch_find(const struct waxwing_epoch *epoch, const char *id);

void waxwing_tombstone_add(struct waxwing_epoch *epoch, const char *id, uint64_t digest,
			   enum waxwing_error_code code);

/** Returns the tombstone of an id, or null. */
const struct waxwing_tombstone *waxwing_tombstone_find(const struct waxwing_epoch *epoch,
						       const char *id);

/**
 * Frees a block of tombstones of an expired epoch. Returns how many it held, 0 if none is left.
 * Tombstones can no longer be looked up after the first call.
 */
guint waxwing_epoch_drop_tombstones(struct waxwing_epoch *epoch);

#endif
