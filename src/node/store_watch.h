/**
 * Tracks the keys under one prefix of the store.
 *
 * Reads the range, then watches for changes from its revision on. If the store has dropped that
 * history, reads the range again and reports the differences. While the store is unreachable, known
 * entries are kept.
 */
#ifndef WAXWING_STORE_WATCH_H
#define WAXWING_STORE_WATCH_H

#include "clock.h"
#include "store.h"

struct waxwing_store_watch;

struct waxwing_store_watch_options {
	struct waxwing_store *store;
	const struct waxwing_clock *clock;
	const char *prefix;
	uint32_t wait_ms; /**< how long a watch call waits at the store for a change */
	/**
	 * After a watch call without an answer, the next one does not wait at the store, so that the
	 * loss of its answer is noticed soon. Costs one call for each failure.
	 */
	bool poll_after_failure;
	/** Called for an entry that is new, changed or (item->deleted) removed. */
	void (*changed)(void *data, const struct waxwing_store_item *item);
	/** Called after each call, with whether the store answered it. */
	void (*reached)(void *data, bool reached);
	/**
	 * Called with true when the store has dropped changes that were not read yet, and with
	 * false once the range has been read instead. null: not called.
	 */
	void (*history_lost)(void *data, bool lost);
	void *data;
};

struct waxwing_store_watch *
waxwing_store_watch_create(const struct waxwing_store_watch_options *options);

/** Frees the watch. The answer to a pending call is ignored. */
void waxwing_store_watch_destroy(struct waxwing_store_watch *watch);

/** Abandons the pending call, whose connection may be lost, and sends a new one. */
void waxwing_store_watch_restart(struct waxwing_store_watch *watch);

/**
 * Starts or stops following the keys; a watch is created active. Stopping forgets all entries
 * without reporting them as removed; starting reads the range anew.
 */
void waxwing_store_watch_set_active(struct waxwing_store_watch *watch, bool active);

/** Sets the minimum time between two calls, so that one answer covers frequent changes. 0: none. */
void waxwing_store_watch_set_interval(struct waxwing_store_watch *watch, uint32_t interval_ms);

/** Sends the calls that are due. Call at least every 50 ms. */
void waxwing_store_watch_run(struct waxwing_store_watch *watch);

/** Returns the store revision up to which all changes are known; 0: the range is being read. */
uint64_t waxwing_store_watch_revision(const struct waxwing_store_watch *watch);

/**
 * May be called from changed(). Returns the time since the call before the one that reported the
 * change was answered: the change is not older, apart from that answer's way. INT64_MAX: the change
 * was found by reading the range, and its age is not known.
 */
int64_t waxwing_store_watch_change_age_ms(const struct waxwing_store_watch *watch);

/** Returns true once the whole range has been read since the watch became active. */
bool waxwing_store_watch_synced(const struct waxwing_store_watch *watch);

#endif
