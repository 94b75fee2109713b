/**
 * Log lines on standard error with a syslog priority prefix: "<level>component: message".
 *
 * Each source file that logs defines LOG_COMPONENT, its component name, before it includes this
 * header.
 */
#ifndef WAXWING_LOG_H
#define WAXWING_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Log levels, numbered as in syslog. */
enum waxwing_log_level {
	WAXWING_LOG_ERROR = 3,
	WAXWING_LOG_WARNING = 4,
	WAXWING_LOG_NOTICE = 5,
	WAXWING_LOG_INFO = 6,
	WAXWING_LOG_DEBUG = 7,
};

/** Sets the highest level that is written; the default is WAXWING_LOG_INFO. Any thread. */
void waxwing_log_set_level(enum waxwing_log_level level);

/** Parses "error", "warning", "notice", "info" or "debug"; false for any other name. Any thread. */
bool waxwing_log_level_parse(const char *name, enum waxwing_log_level *level);

/**
 * Writes one line with a single write(2), truncated to 1024 bytes; control characters become '?'.
 * Any thread.
 */
void waxwing_log(enum waxwing_log_level level, const char *component, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Rate limit for log lines that an outage or an attacker could repeat without bound: 10 lines a
 * second. Zero-initialise one for each message. Any thread.
 */
struct waxwing_log_limit {
	int64_t interval_start_ms;
	uint32_t written;
	uint32_t suppressed;
};

/**
 * Returns true if a line may be written. *suppressed is set on the first line of an interval to the
 * number of lines dropped before it, else to 0.
 */
bool waxwing_log_limit_allow(struct waxwing_log_limit *limit, int64_t now_ms, uint32_t *suppressed);

#define log_error(...)	 waxwing_log(WAXWING_LOG_ERROR, LOG_COMPONENT, __VA_ARGS__)
#define log_warning(...) waxwing_log(WAXWING_LOG_WARNING, LOG_COMPONENT, __VA_ARGS__)
#define log_notice(...)	 waxwing_log(WAXWING_LOG_NOTICE, LOG_COMPONENT, __VA_ARGS__)
#define log_info(...)	 waxwing_log(WAXWING_LOG_INFO, LOG_COMPONENT, __VA_ARGS__)
#define log_debug(...)	 waxwing_log(WAXWING_LOG_DEBUG, LOG_COMPONENT, __VA_ARGS__)

#endif
