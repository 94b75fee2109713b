/**
 * Watches the platform from threads of its own: the settings tree, the entry instances, the upstreams.
 *
 * Each watch is one call that waits at the platform. After a failure it backs off with jitter.
 */
#ifndef WAXWING_PLATFORM_WATCH_H
#define WAXWING_PLATFORM_WATCH_H

#include "core.h"

struct waxwing_platform_watch;

struct waxwing_platform_watch_options {
	struct waxwing_core *core;
	const char *platform; /**< IP:port */
	const char *settings_key;
	const char *domain; /**< the own one; other domains' upstreams are not asked for */
};

/** Starts the threads. Null with @error: RANGE (malformed address) or SYSTEM. */
struct waxwing_platform_watch *
waxwing_platform_watch_open(const struct waxwing_platform_watch_options *options,
			    struct waxwing_error *error);
/** What one watch has cost of the platform's budget. */
struct waxwing_platform_watch_view {
	const char *what; /**< static */
	uint64_t calls;
	uint64_t failures;
};

/** The watch at @index, from 0; false past the last. Any thread. */
bool waxwing_platform_watch_view(const struct waxwing_platform_watch *watch, size_t index,
				 struct waxwing_platform_watch_view *view);

/** Ends the threads; takes as long as a waiting call. */
void waxwing_platform_watch_close(struct waxwing_platform_watch *watch);

#endif
