#include "store_meter.h"

#include "histogram.h"

enum call_kind {
	KIND_RANGE,
	KIND_WATCH,
	KIND_PUT,
	KIND_APPEND,
	KIND_GRANT_LEASE,
	KIND_RENEW_LEASE,
	KIND_COUNT,
};

#define STATUS_COUNT (WAXWING_STORE_UNKNOWN + 1)

static const char *const kind_names[KIND_COUNT] = { "range",  "watch", "change",
						    "append", "lease", "keep" };
static const char *const status_names[STATUS_COUNT] = { "ok",		"conflict", "not_found",
							"history_lost", "refused",  "unknown" };

struct store_meter {
	struct waxwing_store base; /* must be the first member */
	struct waxwing_store *inner;
	const struct waxwing_clock *clock;
	uint64_t counts[KIND_COUNT][STATUS_COUNT];
	struct waxwing_histogram durations[KIND_COUNT];
};

/* A pending call. */
struct metered_call {
	struct store_meter *meter;
	enum call_kind kind;
	int64_t sent_ms;
	struct waxwing_store_callback reply;
};

static void handle_metered_answer(void *data, const struct waxwing_store_answer *answer)
{
	struct metered_call *call = data;
	struct store_meter *meter = call->meter;

	meter->counts[call->kind][answer->status]++;
	waxwing_histogram_add(&meter->durations[call->kind],
			      waxwing_clock_now(meter->clock) - call->sent_ms);
	call->reply.done(call->reply.data, answer);
	g_free(call);
}

static struct waxwing_store_callback begin_metered_call(struct waxwing_store *store,
							enum call_kind kind,
							struct waxwing_store_callback reply)
{
	struct metered_call *call = g_new0(struct metered_call, 1);

	call->meter = (struct store_meter *)store;
	call->kind = kind;
	call->sent_ms = waxwing_clock_now(call->meter->clock);
	call->reply = reply;
	return (struct waxwing_store_callback){ handle_metered_answer, call };
}

static struct waxwing_store *get_inner(struct waxwing_store *store)
{
	return ((struct store_meter *)store)->inner;
}

static void meter_range(struct waxwing_store *store, const char *prefix, const char *after_key,
			struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->range(inner, prefix, after_key, begin_metered_call(store, KIND_RANGE, reply));
}

static void meter_watch(struct waxwing_store *store, const char *prefix, uint64_t after_revision,
			uint32_t wait_ms, struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->watch(inner, prefix, after_revision, wait_ms,
			  begin_metered_call(store, KIND_WATCH, reply));
}

static void meter_put(struct waxwing_store *store, const struct waxwing_store_put *put,
		      struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->put(inner, put, begin_metered_call(store, KIND_PUT, reply));
}

static void meter_append(struct waxwing_store *store, const struct waxwing_store_append *append,
			 struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->append(inner, append, begin_metered_call(store, KIND_APPEND, reply));
}

static void meter_grant_lease(struct waxwing_store *store, uint32_t ttl_ms,
			      struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->grant_lease(inner, ttl_ms, begin_metered_call(store, KIND_GRANT_LEASE, reply));
}

static void meter_renew_lease(struct waxwing_store *store, uint64_t lease,
			      struct waxwing_store_callback reply)
{
	struct waxwing_store *inner = get_inner(store);

	inner->ops->renew_lease(inner, lease, begin_metered_call(store, KIND_RENEW_LEASE, reply));
}

static const struct waxwing_store_ops meter_ops = {
	.range = meter_range,
	.watch = meter_watch,
	.put = meter_put,
	.append = meter_append,
	.grant_lease = meter_grant_lease,
	.renew_lease = meter_renew_lease,
};

struct waxwing_store *waxwing_store_meter_create(struct waxwing_store *inner,
						 const struct waxwing_clock *clock)
{
	struct store_meter *meter = g_new0(struct store_meter, 1);

	meter->base.ops = &meter_ops;
	meter->inner = inner;
	meter->clock = clock;
	return &meter->base;
}

void waxwing_store_meter_destroy(struct waxwing_store *store)
{
	g_free(store);
}

void waxwing_store_meter_print(const struct waxwing_store *store, GString *text)
{
	const struct store_meter *meter = (const struct store_meter *)store;

	for (int kind = 0; kind < KIND_COUNT; kind++) {
		char *labels = g_strdup_printf("call=\"%s\",", kind_names[kind]);

		for (int status = 0; status < STATUS_COUNT; status++)
			g_string_append_printf(text,
					       "waxwing_store_calls_total{call=\"%s\",end=\"%s\"} "
					       "%llu\n",
					       kind_names[kind], status_names[status],
					       (unsigned long long)meter->counts[kind][status]);
		/* The duration of a watch only shows for how long nothing changed. */
		if (kind != KIND_WATCH)
			waxwing_histogram_print(&meter->durations[kind], text,
						"waxwing_store_call_ms", labels);
		g_free(labels);
	}
}
