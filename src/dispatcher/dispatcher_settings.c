/*
 * Application of settings, and their exchange with peers. Upstreams are sent along, for an instance
 * that cannot reach the platform.
 */
#include "dispatcher_private.h"

#define LOG_COMPONENT "settings"
#include "log.h"

#include "settings_log.h"

#include <inttypes.h>

/* Minimum time between two requests for a peer's settings. */
#define SETTINGS_REQUEST_INTERVAL_MS 100

static void apply_settings(struct waxwing_dispatcher *d, int64_t now_ms,
			   struct waxwing_settings *settings)
{
	const struct waxwing_limits *limits = waxwing_settings_limits(settings);

	for (uint32_t i = 0; i < d->cells->len; i++)
		waxwing_dispatcher_push_policies(d, now_ms, waxwing_dispatcher_find_cell(d, i),
						 d->settings_store.current, settings);
	waxwing_submissions_set_windows(d->submissions, now_ms, limits->window_life_ms,
					limits->window_grace_ms);
	waxwing_dispatcher_set_retry_budget(d, limits->retry_percent);
	waxwing_settings_publish(&d->settings_store, settings);
	waxwing_dispatcher_set_cells(d, now_ms, limits->cells);
}

void waxwing_dispatcher_set_settings(struct waxwing_dispatcher *d, int64_t now_ms,
				     struct waxwing_settings *settings)
{
	uint64_t revision = waxwing_settings_revision(settings);

	if (d->settings_store.current &&
	    revision <= waxwing_settings_revision(d->settings_store.current)) {
		waxwing_settings_publish(&d->settings_store, settings);
		return;
	}
	apply_settings(d, now_ms, settings);
	d->need_full_settings = false;
	waxwing_counter_increment(settings_changes);
	log_info("settings revision %" PRIu64 " is in force", revision);
	waxwing_membership_set_settings_revision(d->membership, revision);
	waxwing_dispatcher_run_actions(d, now_ms);
}

struct waxwing_settings_store *waxwing_dispatcher_settings_store(struct waxwing_dispatcher *d)
{
	return &d->settings_store;
}

/*
 * Parses a peer's settings; returns null with @error on failure. Sets need_full_settings if a
 * settings head cannot be resolved from the settings in force.
 */
static struct waxwing_settings *parse_peer_settings(struct waxwing_dispatcher *d,
						    const Waxwing__SettingsDocument *document,
						    struct waxwing_error *error)
{
	struct waxwing_str head = { document->document.len, (const char *)document->document.data };
	struct waxwing_str have = { 0, "" };
	struct waxwing_settings *settings = NULL;
	char *text;

	d->need_full_settings = false;
	if (!waxwing_settings_is_head(head))
		return waxwing_settings_parse(head, document->revision, error);
	if (d->settings_store.current)
		have = waxwing_settings_document(d->settings_store.current);
	text = waxwing_settings_resolve(head, have, NULL, error);
	d->need_full_settings = !text;
	if (text)
		settings = waxwing_settings_parse(waxwing_str(text), document->revision, error);
	if (settings)
		waxwing_settings_set_head(settings, head);
	g_free(text);
	return settings;
}

void waxwing_dispatcher_receive_settings(struct waxwing_dispatcher *d, int64_t now_ms,
					 const Waxwing__SettingsDocument *document)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	uint32_t suppressed;
	struct waxwing_settings *settings;

	if (d->settings_store.current &&
	    document->revision <= waxwing_settings_revision(d->settings_store.current))
		return;
	settings = parse_peer_settings(d, document, &error);
	if (settings) {
		waxwing_dispatcher_set_settings(d, now_ms, settings);
		return;
	}
	if (d->need_full_settings)
		return;
	waxwing_counter_increment(settings_refused);
	if (waxwing_log_limit_allow(&d->peer_log, now_ms, &suppressed))
		log_warning("refused settings from a peer: %s at %s (%u lines not logged)",
			    waxwing_strerror(error.code), error.path, suppressed);
}

static void send_document(const struct waxwing_dispatcher *d, struct waxwing_stream *stream,
			  bool head_only)
{
	Waxwing__SettingsDocument *document;
	struct waxwing_str text;

	if (!d->settings_store.current || stream->settings)
		return;
	text = head_only ? waxwing_settings_head(d->settings_store.current) :
			   waxwing_settings_document(d->settings_store.current);
	document = g_new(Waxwing__SettingsDocument, 1);
	waxwing__settings_document__init(document);
	document->revision = waxwing_settings_revision(d->settings_store.current);
	document->document.len = text.len;
	document->document.data = g_memdup2(text.data, text.len);
	stream->settings = document;
}

/* Sends the upstreams along with the settings, for an instance that cannot reach the platform. */
static void send_upstreams(struct waxwing_dispatcher *d, struct waxwing_stream *stream)
{
	struct waxwing_upstream upstream;
	struct waxwing_member member;

	if (!waxwing_membership_find_member(d->membership, stream->key.incarnation, &member) ||
	    !waxwing_str_equal(member.domain, waxwing_str(d->domain)))
		return;
	for (size_t i = 0; waxwing_membership_upstream_at(d->membership, i, &upstream); i++) {
		Waxwing__UpstreamNews *news;

		if (upstream.state == WAXWING_UPSTREAM_REMOVED)
			continue;
		news = g_new(Waxwing__UpstreamNews, 1);
		waxwing__upstream_news__init(news);
		news->name = waxwing_str_dup(upstream.name);
		news->address = waxwing_str_dup(upstream.address);
		news->slots = upstream.slots;
		news->leaving = upstream.state == WAXWING_UPSTREAM_LEAVING;
		waxwing_stream_add(stream, WAXWING_STREAM_UPSTREAM, &news->base);
	}
}

void waxwing_dispatcher_receive_upstreams(struct waxwing_dispatcher *d, int64_t now_ms,
					  const Waxwing__Batch *batch)
{
	struct waxwing_platform_list list = { .count = batch->n_upstreams };

	if (!list.count || d->upstreams_known)
		return;
	list.items = g_new0(struct waxwing_platform_instance, list.count);
	for (size_t i = 0; i < list.count; i++) {
		const Waxwing__UpstreamNews *news = batch->upstreams[i];

		list.items[i] = (struct waxwing_platform_instance){ .name = news->name,
								    .address = news->address,
								    .peer_address = "",
								    .domain = d->domain,
								    .slots = news->slots,
								    .leaving = news->leaving };
	}
	waxwing_dispatcher_set_upstreams(d, now_ms, &list);
	g_free(list.items);
}

void waxwing_dispatcher_send_settings(struct waxwing_dispatcher *d, struct waxwing_stream *stream,
				      bool head_only)
{
	send_document(d, stream, head_only);
	if (!head_only)
		send_upstreams(d, stream);
}

void waxwing_dispatcher_request_settings(struct waxwing_dispatcher *d, int64_t now_ms,
					 const Waxwing__Heartbeat *heartbeat)
{
	uint64_t revision = d->settings_store.current ?
				    waxwing_settings_revision(d->settings_store.current) :
				    0;
	struct waxwing_stream *stream;

	if (heartbeat->settings_revision <= revision ||
	    now_ms - d->settings_requested_ms < SETTINGS_REQUEST_INTERVAL_MS)
		return;
	stream = waxwing_dispatcher_stream(d, heartbeat->incarnation);
	if (!stream)
		return;
	d->settings_requested_ms = now_ms;
	stream->want_settings = true;
	stream->settings_head =
		d->settings_store.current && d->upstreams_known && !d->need_full_settings;
}
