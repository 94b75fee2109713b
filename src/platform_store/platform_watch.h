/**
 * Watches the settings, the entry instances and the upstreams on the platform, with a thread for
 * each, and passes changes to the core.
 *
 * Each watch repeats a blocking query. After a failure it backs off exponentially with jitter.
 */
#ifndef WAXWING_PLATFORM_WATCH_H
#define WAXWING_PLATFORM_WATCH_H

#include "core.h"

struct waxwing_platform_watch;

struct waxwing_platform_watch_options {
	struct waxwing_core *core;
	const char *platform; /**< address of the platform (IP:port) */
	const char *settings_key;
	const char *domain; /**< own failure domain; upstreams of other domains aren't requested */
};

/**
 * Starts the threads. On failure returns null and sets @error to WAXWING_ERROR_RANGE (malformed
 * address) or WAXWING_ERROR_SYSTEM.
 */
struct waxwing_platform_watch *
waxwing_platform_watch_open(const struct waxwing_platform_watch_options *options,
			    struct waxwing_error *error);

/** Calls that one watch has made, which count against the platform's call budget. */
struct waxwing_platform_watch_view {
	const char *subject; /**< what is watched; static string */
	uint64_t calls;
	uint64_t failures; /**< calls without a complete response */
};

/**
 * Gets the counters of a watch by index; returns false past the end. May be called from any thread.
 */
bool waxwing_platform_watch_view(const struct waxwing_platform_watch *watch, size_t index,
				 struct waxwing_platform_watch_view *view);

/** Stops the threads. Blocks until their pending calls have returned. */
void waxwing_platform_watch_close(struct waxwing_platform_watch *watch);

#endif
