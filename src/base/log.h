/**
 * Syslog-style lines on standard error: "<level>part: sentence".
 *
 * Each module defines its part once, as LOG_PART, before it includes this header.
 */
#ifndef WAXWING_LOG_H
#define WAXWING_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Levels with syslog's numbers. */
enum waxwing_log_level {
	WAXWING_LOG_ERROR = 3,
	WAXWING_LOG_WARNING = 4,
	WAXWING_LOG_NOTICE = 5,
	WAXWING_LOG_INFO = 6,
	WAXWING_LOG_DEBUG = 7,
};

/** Lines above this level are dropped; the default is WAXWING_LOG_INFO. Any thread. */
void waxwing_log_set_level(enum waxwing_log_level level);

/** Reads "error", "warning", "notice", "info" or "debug"; false on anything else. Any thread. */
bool waxwing_log_level_parse(const char *name, enum waxwing_log_level *level);

/** Writes one line with one write(2). Any thread. */
void waxwing_log(enum waxwing_log_level level, const char *part, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Lets a burst through, then one line an interval, for logs that an outage or an attacker floods.
 * Zero-initialise it; one per place that logs. Any thread.
 */
struct waxwing_log_limit {
	int64_t interval_start_ms;
	uint32_t written;
	uint32_t suppressed;
};

/** True when the line may be written; *suppressed gets how many were dropped since the last. */
bool waxwing_log_allowed(struct waxwing_log_limit *limit, int64_t now_ms, uint32_t *suppressed);

#define log_error(...)	 waxwing_log(WAXWING_LOG_ERROR, LOG_PART, __VA_ARGS__)
#define log_warning(...) waxwing_log(WAXWING_LOG_WARNING, LOG_PART, __VA_ARGS__)
#define log_notice(...)	 waxwing_log(WAXWING_LOG_NOTICE, LOG_PART, __VA_ARGS__)
#define log_info(...)	 waxwing_log(WAXWING_LOG_INFO, LOG_PART, __VA_ARGS__)
#define log_debug(...)	 waxwing_log(WAXWING_LOG_DEBUG, LOG_PART, __VA_ARGS__)

#endif
