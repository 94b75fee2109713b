#include "log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES	  1024
#define LIMIT_INTERVAL_MS 1000
#define LIMIT_BURST_LINES 10

static atomic_int max_level = WAXWING_LOG_INFO;

void waxwing_log_set_level(enum waxwing_log_level level)
{
	atomic_store(&max_level, (int)level);
}

bool waxwing_log_level_parse(const char *name, enum waxwing_log_level *level)
{
	static const char *const names[] = { "error", "warning", "notice", "info", "debug" };

	for (unsigned int i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcmp(name, names[i]) == 0) {
			*level = WAXWING_LOG_ERROR + i;
			return true;
		}
	}
	return false;
}

/* Logged input of callers must not be able to forge a log line. */
static void replace_control_chars(char *text, int len)
{
	for (int i = 0; i < len; i++)
		if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
			text[i] = '?';
}

void waxwing_log(enum waxwing_log_level level, const char *component, const char *format, ...)
{
	char line[LINE_BYTES];
	va_list args;
	int len;
	int message_len;

	if ((int)level > atomic_load(&max_level))
		return;
	len = snprintf(line, sizeof(line), "<%d>%s: ", (int)level, component);
	va_start(args, format);
	message_len = vsnprintf(line + len, sizeof(line) - (size_t)len, format, args);
	va_end(args);
	if (message_len > 0)
		len += message_len;
	if (len > LINE_BYTES - 2)
		len = LINE_BYTES - 2;
	replace_control_chars(line, len);
	line[len++] = '\n';
	/* Errors are ignored: a full or closed standard error must not stop the process. */
	if (write(STDERR_FILENO, line, (size_t)len) < 0)
		return;
}

bool waxwing_log_limit_allow(struct waxwing_log_limit *limit, int64_t now_ms, uint32_t *suppressed)
{
	int64_t start = __atomic_load_n(&limit->interval_start_ms, __ATOMIC_RELAXED);

	*suppressed = 0;
	if (now_ms - start >= LIMIT_INTERVAL_MS &&
	    __atomic_compare_exchange_n(&limit->interval_start_ms, &start, now_ms, false,
					__ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
		__atomic_store_n(&limit->written, 0, __ATOMIC_RELAXED);
		*suppressed = __atomic_exchange_n(&limit->suppressed, 0, __ATOMIC_RELAXED);
	}
	if (__atomic_fetch_add(&limit->written, 1, __ATOMIC_RELAXED) < LIMIT_BURST_LINES)
		return true;
	__atomic_fetch_add(&limit->suppressed, 1, __ATOMIC_RELAXED);
	return false;
}
