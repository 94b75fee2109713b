#include "histogram.h"

#include <string.h>

static const int64_t bounds[WAXWING_HISTOGRAM_BUCKETS - 1] = WAXWING_HISTOGRAM_BOUNDS;

void waxwing_histogram_add(struct waxwing_histogram *histogram, int64_t ms)
{
	size_t bucket = 0;

	while (bucket < G_N_ELEMENTS(bounds) && ms > bounds[bucket])
		bucket++;
	histogram->counts[bucket]++;
	histogram->sum_ms += ms;
}

void waxwing_histogram_print(const struct waxwing_histogram *histogram, GString *text,
			     const char *name, const char *labels)
{
	uint64_t count = 0;
	char *series;

	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		count += histogram->counts[i];
		g_string_append_printf(text, "%s_bucket{%sle=\"%lld\"} %llu\n", name, labels,
				       (long long)bounds[i], (unsigned long long)count);
	}
	count += histogram->counts[G_N_ELEMENTS(bounds)];
	g_string_append_printf(text, "%s_bucket{%sle=\"+Inf\"} %llu\n", name, labels,
			       (unsigned long long)count);
	series = labels[0] ? g_strdup_printf("{%.*s}", (int)strlen(labels) - 1, labels) :
			     g_strdup("");
	g_string_append_printf(text, "%s_sum%s %lld\n%s_count%s %llu\n", name, series,
			       (long long)histogram->sum_ms, name, series,
			       (unsigned long long)count);
	g_free(series);
}
