/*
 * Latency added by an entry instance: single tasks through the instance, compared with direct
 * calls to an upstream.
 */
#include "bench_load.h"
#include "http_client.h"
#include "sender.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#define PROBE_BODY	 "sleep=0"
#define MAX_ANSWER_BYTES 65536
#define TIMEOUT_MS	 5000
#define US_PER_MS	 1000.0
#define WINDOW_HEADER	 "Waxwing-Window"
#define STATUS_OK	 200

/* Makes one HTTP call. Returns its duration in milliseconds, or -1 if it failed. */
static double timed_call(const struct waxwing_http_call *call, char **header)
{
	struct waxwing_http_answer answer;
	int64_t from_us = g_get_monotonic_time();
	enum waxwing_http_result end = waxwing_http_call(call, &answer);
	double duration_ms = (double)(g_get_monotonic_time() - from_us) / US_PER_MS;
	bool ok = end == WAXWING_HTTP_COMPLETE && answer.status == STATUS_OK;

	if (header)
		*header = g_strdup(answer.header);
	waxwing_http_answer_clear(&answer);
	return ok ? duration_ms : -1;
}

static char *fetch_window(const char *instance)
{
	struct waxwing_http_call call = {
		.method = "GET",
		.address = instance,
		.target = "/v1/window",
		.answer_header = WINDOW_HEADER,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_ms = TIMEOUT_MS,
	};
	char *window = NULL;

	timed_call(&call, &window);
	return window;
}

static double probe_through(const struct waxwing_bench_probe_options *options, const char *window,
			    uint32_t number)
{
	char *body = g_strdup_printf("{\"id\":\"%s/probe-%u\",\"caller\":\"bench\","
				     "\"branch\":\"%s\",\"deadline_ms\":%d,"
				     "\"tasks\":[{\"body\":\"" PROBE_BODY "\"}]}",
				     window, number, options->branch, TIMEOUT_MS);
	struct waxwing_http_call call = {
		.method = "POST",
		.address = options->instance,
		.target = "/v1/jobs",
		.body = waxwing_str(body),
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_ms = TIMEOUT_MS,
	};
	double duration_ms = timed_call(&call, NULL);

	g_free(body);
	return duration_ms;
}

static double probe_direct(const struct waxwing_bench_probe_options *options, uint32_t number)
{
	char *name = g_strdup_printf("probe/direct-%u#0", number);
	struct waxwing_http_call call = {
		.method = "POST",
		.address = options->upstream,
		.target = WAXWING_UPSTREAM_TASK_PATH,
		.header = WAXWING_UPSTREAM_TASK_HEADER,
		.header_value = name,
		.body = waxwing_str(PROBE_BODY),
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_ms = TIMEOUT_MS,
	};
	double duration_ms = timed_call(&call, NULL);

	g_free(name);
	return duration_ms;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static struct waxwing_bench_percentiles percentiles(GArray *samples)
{
	const double *values = (const double *)(const void *)samples->data;

	g_array_sort(samples, compare_doubles);
	return (struct waxwing_bench_percentiles){
		.p50 = waxwing_bench_percentile(values, samples->len, 0.5),
		.p99 = waxwing_bench_percentile(values, samples->len, 0.99),
		.p999 = waxwing_bench_percentile(values, samples->len, 0.999),
	};
}

static void add_sample(GArray *samples, double duration_ms, uint64_t *failures)
{
	if (duration_ms < 0)
		++*failures;
	else
		g_array_append_val(samples, duration_ms);
}

enum waxwing_error_code waxwing_bench_probe_run(const struct waxwing_bench_probe_options *options,
						struct waxwing_bench_probe_result *result,
						struct waxwing_error *error)
{
	char *window = fetch_window(options->instance);
	GArray *through = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *direct = g_array_new(FALSE, FALSE, sizeof(double));

	*result = (struct waxwing_bench_probe_result){ 0 };
	/* alternates the two kinds of call, so that load on the machine affects both alike */
	for (uint32_t i = 0; window && i < options->calls; i++) {
		add_sample(direct, probe_direct(options, i), &result->failures);
		add_sample(through, probe_through(options, window, i), &result->failures);
	}
	result->through_ms = percentiles(through);
	result->direct_ms = percentiles(direct);
	g_array_free(through, TRUE);
	g_array_free(direct, TRUE);
	if (!window)
		return waxwing_error_set(error, WAXWING_ERROR_UNREACHABLE, options->instance,
					 "the instance returned no submission window");
	g_free(window);
	return WAXWING_OK;
}

void waxwing_bench_probe_report(const struct waxwing_bench_probe_result *result, bool json)
{
	struct json_object *object;

	if (!json) {
		printf("%-10s %8s %8s %8s\n", "ms", "p50", "p99", "p99.9");
		printf("%-10s %8.2f %8.2f %8.2f\n", "through", result->through_ms.p50,
		       result->through_ms.p99, result->through_ms.p999);
		printf("%-10s %8.2f %8.2f %8.2f\n", "direct", result->direct_ms.p50,
		       result->direct_ms.p99, result->direct_ms.p999);
		printf("failures %" G_GUINT64_FORMAT "\n", result->failures);
		return;
	}
	object = json_object_new_object();
	json_object_object_add(object, "through_p50_ms",
			       json_object_new_double(result->through_ms.p50));
	json_object_object_add(object, "through_p99_ms",
			       json_object_new_double(result->through_ms.p99));
	json_object_object_add(object, "direct_p50_ms",
			       json_object_new_double(result->direct_ms.p50));
	json_object_object_add(object, "direct_p99_ms",
			       json_object_new_double(result->direct_ms.p99));
	json_object_object_add(object, "failures", json_object_new_uint64(result->failures));
	puts(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
}
