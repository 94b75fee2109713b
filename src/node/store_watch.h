/**
 * Keeps a copy of the keys under one prefix of the store up to date.
 *
 * Reads the range, then watches from its revision on; when the store has dropped that history, reads
 * again and tells the difference. While the store does not answer, what is known stays.
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
	uint32_t wait_ms; /**< how long a call waits at the store for a change */
	/** An entry is new, changed or (item->deleted) gone. */
	void (*changed)(void *data, const struct waxwing_store_item *item);
	/** The store was reached, or was not. */
	void (*reached)(void *data, bool reached);
	void *data;
};

struct waxwing_store_watch *
waxwing_store_watch_create(const struct waxwing_store_watch_options *options);

/** Frees the watch; a call that is out ends without effect. */
void waxwing_store_watch_destroy(struct waxwing_store_watch *watch);

/** Gives up the call that is out, whose connection may be lost, and asks anew. */
void waxwing_store_watch_restart(struct waxwing_store_watch *watch);

/** Least time between two calls, so that frequent changes come in one answer. 0: none. */
void waxwing_store_watch_set_pace(struct waxwing_store_watch *watch, uint32_t pace_ms);

/** Sends what is due; call it at least each 50 ms. */
void waxwing_store_watch_run(struct waxwing_store_watch *watch);

/** All changes up to this revision of the store are known. */
uint64_t waxwing_store_watch_revision(const struct waxwing_store_watch *watch);

/** True once the whole range was read. */
bool waxwing_store_watch_synced(const struct waxwing_store_watch *watch);

#endif
