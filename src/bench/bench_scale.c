#include "bench_scale.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <malloc.h>
#include <time.h>

#define NS_PER_S INT64_C(1000000000)

GArray *waxwing_bench_scale_run(void)
{
	GArray *results = g_array_new(FALSE, FALSE, sizeof(struct waxwing_bench_scale_result));

	waxwing_bench_scale_scheduler(results);
	waxwing_bench_scale_dispatcher(results);
	waxwing_bench_scale_messages(results);
	waxwing_bench_scale_submissions(results);
	waxwing_bench_scale_membership(results);
	waxwing_bench_scale_settings(results);
	return results;
}

void waxwing_bench_scale_add(GArray *results, const struct waxwing_bench_scale_result *result)
{
	g_array_append_vals(results, result, 1);
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

static const struct waxwing_bench_scale_result *result_at(const GArray *results, guint index)
{
	return &g_array_index(results, struct waxwing_bench_scale_result, index);
}

void waxwing_bench_scale_table(FILE *out, const GArray *results)
{
	fprintf(out, "%-12s %-34s %8s %8s %12s %s\n", "part", "what", "size", "load", "value",
		"unit");
	for (guint i = 0; i < results->len; i++) {
		const struct waxwing_bench_scale_result *result = result_at(results, i);

		fprintf(out, "%-12s %-34s %8" PRIu64 " %8" PRIu64 " %12.1f %s\n", result->module,
			result->metric, result->size, result->load, result->value, result->unit);
	}
}

char *waxwing_bench_scale_json(const GArray *results)
{
	struct json_object *list = json_object_new_array();
	char *text;

	for (guint i = 0; i < results->len; i++) {
		const struct waxwing_bench_scale_result *result = result_at(results, i);
		struct json_object *object = json_object_new_object();

		json_object_object_add(object, "part", json_object_new_string(result->module));
		json_object_object_add(object, "what", json_object_new_string(result->metric));
		json_object_object_add(object, "size", json_object_new_uint64(result->size));
		json_object_object_add(object, "load", json_object_new_uint64(result->load));
		json_object_object_add(object, "value", json_object_new_double(result->value));
		json_object_object_add(object, "unit", json_object_new_string(result->unit));
		json_object_array_add(list, object);
	}
	text = g_strdup(json_object_to_json_string_ext(list, JSON_C_TO_STRING_PRETTY));
	json_object_put(list);
	return text;
}
