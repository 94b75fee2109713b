#include "bench_scale.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <malloc.h>
#include <time.h>

#define NS_PER_S INT64_C(1000000000)

GArray *waxwing_bench_scale_run(void)
{
	GArray *slopes = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_slope));

	waxwing_bench_scale_scheduler(slopes);
	waxwing_bench_scale_dispatcher(slopes);
	waxwing_bench_scale_messages(slopes);
	waxwing_bench_scale_submissions(slopes);
	waxwing_bench_scale_membership(slopes);
	waxwing_bench_scale_settings(slopes);
	return slopes;
}

void waxwing_bench_scale_add(GArray *slopes, const struct waxwing_bench_slope *slope)
{
	g_array_append_vals(slopes, slope, 1);
}

int64_t waxwing_bench_scale_cpu_ns(void)
{
	struct timespec now = { 0 };

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * NS_PER_S + now.tv_nsec;
}

uint64_t waxwing_bench_scale_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static const struct waxwing_bench_slope *slope_at(const GArray *slopes, guint index)
{
	return &g_array_index(slopes, struct waxwing_bench_slope, index);
}

void waxwing_bench_scale_table(FILE *out, const GArray *slopes)
{
	fprintf(out, "%-12s %-34s %8s %8s %12s %s\n", "part", "what", "size", "load", "value",
		"unit");
	for (guint i = 0; i < slopes->len; i++) {
		const struct waxwing_bench_slope *slope = slope_at(slopes, i);

		fprintf(out, "%-12s %-34s %8" PRIu64 " %8" PRIu64 " %12.1f %s\n", slope->part,
			slope->what, slope->size, slope->load, slope->value, slope->unit);
	}
}

char *waxwing_bench_scale_json(const GArray *slopes)
{
	struct json_object *list = json_object_new_array();
	char *text;

	for (guint i = 0; i < slopes->len; i++) {
		const struct waxwing_bench_slope *slope = slope_at(slopes, i);
		struct json_object *object = json_object_new_object();

		json_object_object_add(object, "part", json_object_new_string(slope->part));
		json_object_object_add(object, "what", json_object_new_string(slope->what));
		json_object_object_add(object, "size", json_object_new_uint64(slope->size));
		json_object_object_add(object, "load", json_object_new_uint64(slope->load));
		json_object_object_add(object, "value", json_object_new_double(slope->value));
		json_object_object_add(object, "unit", json_object_new_string(slope->unit));
		json_object_array_add(list, object);
	}
	text = g_strdup(json_object_to_json_string_ext(list, JSON_C_TO_STRING_PRETTY));
	json_object_put(list);
	return text;
}
