#include "event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES   1024
#define FIELDS_BYTES 640
#define INTERVAL_MS  1000
/* Maximum number of lines of one kind that are written in an interval. */
#define INTERVAL_LINES 60

/* Rate limit of one event kind. */
struct rate_limit {
	int64_t interval_start_ms;
	uint32_t written;
	uint32_t suppressed;
};

static struct {
	char common_fields[200];
	bool open;
	GHashTable *rate_limits; /* kind (by address) -> struct rate_limit */
	uint64_t dropped;
	const struct waxwing_clock *clock; /* null: the system clocks */
} event_log;

static int64_t read_clock(const struct waxwing_clock *system_clock)
{
	return waxwing_clock_now(event_log.clock ? event_log.clock : system_clock);
}

void waxwing_event_log_set_clock(const struct waxwing_clock *clock)
{
	event_log.clock = clock;
}

void waxwing_event_log_open(const char *node, const char *zone)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	snprintf(event_log.common_fields, sizeof(event_log.common_fields),
		 "\"node\":\"%s\",\"zone\":\"%s\"", node, zone);
	if (!event_log.rate_limits)
		event_log.rate_limits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	event_log.open = true;
}

static bool within_rate_limit(const char *kind, int64_t now_ms, uint32_t *suppressed)
{
	struct rate_limit *rate_limit = g_hash_table_lookup(event_log.rate_limits, kind);

	if (!rate_limit) {
		rate_limit = g_new0(struct rate_limit, 1);
		g_hash_table_insert(event_log.rate_limits, (gpointer)kind, rate_limit);
	}
	if (now_ms - rate_limit->interval_start_ms >= INTERVAL_MS) {
		rate_limit->interval_start_ms = now_ms;
		rate_limit->written = 0;
	}
	if (rate_limit->written >= INTERVAL_LINES) {
		rate_limit->suppressed++;
		event_log.dropped++;
		return false;
	}
	rate_limit->written++;
	*suppressed = rate_limit->suppressed;
	rate_limit->suppressed = 0;
	return true;
}

static bool is_number(const char *text, size_t len)
{
	size_t first = len && text[0] == '-' ? 1 : 0;

	/* A value with leading zeros is an id, so it stays a string. */
	if (len == first || len > 15 || (text[first] == '0' && len > first + 1))
		return false;
	for (size_t i = first; i < len; i++)
		if (!g_ascii_isdigit(text[i]))
			return false;
	return true;
}

static void append_value(GString *line, const char *text, size_t len)
{
	if (is_number(text, len)) {
		g_string_append_len(line, text, (gssize)len);
		return;
	}
	g_string_append_c(line, '"');
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		g_string_append_c(line,
				  c < ' ' || c == '"' || c == '\\' || c > 0x7e ? '?' : (char)c);
	}
	g_string_append_c(line, '"');
}

static void append_fields(GString *line, const char *fields)
{
	while (*fields) {
		size_t len = strcspn(fields, " ");
		const char *equals = memchr(fields, '=', len);

		if (equals) {
			g_string_append_printf(line, ",\"%.*s\":", (int)(equals - fields), fields);
			append_value(line, equals + 1, len - (size_t)(equals + 1 - fields));
		}
		fields += len + (fields[len] == ' ');
	}
}

void waxwing_event(const char *kind, const char *format, ...)
{
	char fields[FIELDS_BYTES];
	int64_t now_ms;
	uint32_t suppressed = 0;
	GString *line;
	va_list args;

	if (!event_log.open)
		return;
	now_ms = read_clock(waxwing_clock_monotonic());
	if (!within_rate_limit(kind, now_ms, &suppressed))
		return;
	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	line = g_string_sized_new(LINE_BYTES);
	g_string_printf(line, "{\"ms\":%lld,\"event\":\"%s\",%s",
			(long long)read_clock(waxwing_clock_wall()), kind, event_log.common_fields);
	append_fields(line, fields);
	if (suppressed)
		g_string_append_printf(line, ",\"left_out\":%u", suppressed);
	g_string_append(line, "}\n");
	if (write(STDOUT_FILENO, line->str, line->len) != (ssize_t)line->len)
		event_log.dropped++;
	g_string_free(line, TRUE);
}

uint64_t waxwing_event_log_dropped(void)
{
	return event_log.dropped;
}
