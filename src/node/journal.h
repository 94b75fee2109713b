/**
 * The journal of one cell at the platform's store: what must outlast every node.
 *
 * Records are gathered while a write is out, and go out together as one segment under a key of its own.
 * Each write has the owner's entry as its condition, so a former owner writes nothing. A write without
 * an answer is sent again as it was: if it took effect, the key is there.
 *
 * The record that accepts a job also claims the job's id, under a key that all journals share: a job is
 * accepted by one cell, whichever cells it was offered to. One thread.
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
	const char *guard_key; /**< of the owner's entry */
	uint64_t fencing_token; /**< its revision */
	uint32_t value_bytes_most; /**< of an entry in the store */
	/** A record of what the journal held when the cell was taken over, in order. */
	void (*replay)(void *data, const Waxwing__JournalRecord *record);
	/** Everything was replayed: records may be written. */
	void (*recovered)(void *data);
	/** All records up to a number are stored. */
	void (*stored)(void *data, uint64_t number);
	/** Another cell, or an earlier owner of this one, has accepted the job: its record is dropped. */
	void (*taken)(void *data, uint64_t job);
	/** The owner's entry stands no more as it did. */
	void (*fenced)(void *data);
	/** Fills a segment with records that say all that holds, for a snapshot. */
	void (*snapshot)(void *data, Waxwing__JournalSegment *segment);
	void *data;
};

/** Starts to read what there is. */
struct waxwing_journal *waxwing_journal_create(const struct waxwing_journal_options *options);
void waxwing_journal_destroy(struct waxwing_journal *journal);

/** Adds a record; returns its number, from 1. The record is copied. */
uint64_t waxwing_journal_add(struct waxwing_journal *journal, const Waxwing__JournalRecord *record);

/** The job has ended, and its state need not be told any more: its id is free again. */
void waxwing_journal_forget(struct waxwing_journal *journal, uint64_t job);

/** The same owner goes on under a new entry. */
void waxwing_journal_set_token(struct waxwing_journal *journal, uint64_t fencing_token);

/** Sends what is due; call it after records were added, and at least each 50 ms. */
void waxwing_journal_run(struct waxwing_journal *journal);

/** How long the oldest record that is not stored has waited; 0: there is none. */
int64_t waxwing_journal_delay_ms(const struct waxwing_journal *journal);

#endif
