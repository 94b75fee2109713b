#include "counters.h"

#include <glib.h>
#include <inttypes.h>

struct waxwing_counters waxwing_counters;

static void print_counter(GString *out, const char *name, const char *help, uint64_t value)
{
	g_string_append_printf(out, "# HELP waxwing_%s_total %s\n# TYPE waxwing_%s_total counter\n",
			       name, help, name);
	g_string_append_printf(out, "waxwing_%s_total %" PRIu64 "\n", name, value);
}

char *waxwing_counters_print(void)
{
	GString *out = g_string_new(NULL);

#define PRINT_COUNTER(name, help)                                                                  \
	print_counter(out, #name, help,                                                            \
		      atomic_load_explicit(&waxwing_counters.name, memory_order_relaxed));
	WAXWING_COUNTERS(PRINT_COUNTER)
#undef PRINT_COUNTER
	return g_string_free(out, FALSE);
}
