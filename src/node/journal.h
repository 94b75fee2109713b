/**
 * Journal of one cell in the platform's store, holding all state that must survive the loss of
 * every node.
 *
 * Records added while a write is in progress are queued and then written together as one segment
 * under its own key. Each write is conditional on the owner's entry, so that a former owner cannot
 * write. An unanswered write is repeated unchanged: if the first attempt took effect, the segment's
 * key exists.
 *
 * The record that accepts a job also claims the job's id under a key that all journals share. A job
 * is therefore accepted by one cell only, even if it was offered to several. Not thread-safe.
 */
#ifndef WAXWING_JOURNAL_H
#define WAXWING_JOURNAL_H

#include "clock.h"
#include "generated/node.pb-c.h"
#include "store.h"

struct waxwing_journal;

struct waxwing_journal_options {
	struct waxwing_store *store;
	const struct waxwing_clock *clock;
	const char *cell;
	const char *guard_key; /**< key of the owner's entry, on which each write is conditional */
	uint64_t fencing_token; /**< revision of the owner's entry */
	uint32_t max_value_bytes; /**< maximum size of a value in the store */
	/** Called for each record found when the cell was taken over, in order. */
	void (*replay)(void *data, const Waxwing__JournalRecord *record);
	/** Called after the last replayed record; records may be added from now on. */
	void (*recovered)(void *data);
	/** Called when all records up to @number are stored. */
	void (*stored)(void *data, uint64_t number);
	/**
	 * Called when another cell, or an earlier owner of this one, has accepted the job. Its
	 * record is dropped.
	 */
	void (*claimed_elsewhere)(void *data, uint64_t job);
	/** Called when the owner's entry was replaced by a newer one. */
	void (*fenced)(void *data);
	/** Fills @segment with records of the complete current state, for a snapshot. */
	void (*snapshot)(void *data, Waxwing__JournalSegment *segment);
	void *data;
};

/** Creates a journal; waxwing_journal_run() then starts by reading the stored segments. */
struct waxwing_journal *waxwing_journal_create(const struct waxwing_journal_options *options);
void waxwing_journal_destroy(struct waxwing_journal *journal);

/** Queues a copy of @record for writing. Returns the record's number, starting at 1. */
uint64_t waxwing_journal_add(struct waxwing_journal *journal, const Waxwing__JournalRecord *record);

/** Releases the id of an ended job whose state is no longer reported. */
void waxwing_journal_release_job(struct waxwing_journal *journal, uint64_t job);

/** Sets the token after the same owner has stored a new entry. */
void waxwing_journal_set_token(struct waxwing_journal *journal, uint64_t fencing_token);

/** Sends the calls that are due. Call after adding records, and at least every 50 ms. */
void waxwing_journal_run(struct waxwing_journal *journal);

/** Returns the age of the oldest record that is not stored; 0: all are stored. */
int64_t waxwing_journal_delay_ms(const struct waxwing_journal *journal);

#endif
