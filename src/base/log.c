#include "log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES	  1024
#define LIMIT_INTERVAL_MS 1000
#define LIMIT_BURST_LINES 10

static atomic_int highest_level = WAXWING_LOG_INFO;

void waxwing_log_set_level(enum waxwing_log_level level)
{
	atomic_store(&highest_level, (int)level);
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

/* What callers send must not look like lines of its own. */
static void replace_controls(char *text, int len)
{
	for (int i = 0; i < len; i++)
		if ((unsigned char)text[i] < ' ' || text[i] == 0x7f)
			text[i] = '?';
}

void waxwing_log(enum waxwing_log_level level, const char *part, const char *format, ...)
{
	char line[LINE_BYTES];
	va_list args;
	int used;
	int more;

	if ((int)level > atomic_load(&highest_level))
		return;
	used = snprintf(line, sizeof(line), "<%d>%s: ", (int)level, part);
	va_start(args, format);
	more = vsnprintf(line + used, sizeof(line) - (size_t)used, format, args);
	va_end(args);
	if (more > 0)
		used += more;
	if (used > LINE_BYTES - 2)
		used = LINE_BYTES - 2;
	replace_controls(line, used);
	line[used++] = '\n';
	/* A full or closed standard error must not stop the process. */
	if (write(STDERR_FILENO, line, (size_t)used) < 0)
		return;
}

bool waxwing_log_allowed(struct waxwing_log_limit *limit, int64_t now_ms, uint32_t *suppressed)
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
