/*
 * Graceful shutdown of an instance: drain, hand over the ids, exit. Also the successor's side,
 * which answers for inherited windows.
 */
#include "dispatcher_private.h"

#define LOG_COMPONENT "handover"
#include "log.h"

#include <inttypes.h>

/* How long the successor is announced to peers before the instance may exit. */
#define ANNOUNCE_MS 800

static void set_drain_state(struct waxwing_dispatcher *d, int64_t now_ms,
			    enum waxwing_drain_state state)
{
	static const char *const names[] = { "serving", "draining", "handing over", "spreading",
					     "drained" };

	log_info("%s", names[state]);
	d->drain = state;
	d->drain_entered_ms = now_ms;
}

static bool can_be_successor(const struct waxwing_dispatcher *d,
			     const struct waxwing_member *member)
{
	return member->incarnation && member->incarnation != d->incarnation && member->alive &&
	       !member->leaving && waxwing_str_equal(member->domain, waxwing_str(d->domain));
}

/* Returns the incarnation of a live member of the same domain, or 0 if there is none. */
static uint64_t choose_successor(const struct waxwing_dispatcher *d)
{
	struct waxwing_member member;

	for (size_t i = 0; waxwing_membership_member_at(d->membership, i, &member); i++)
		if (can_be_successor(d, &member))
			return member.incarnation;
	return 0;
}

static bool successor_is_alive(const struct waxwing_dispatcher *d)
{
	struct waxwing_member member;

	return waxwing_membership_find_member(d->membership, d->successor, &member) &&
	       can_be_successor(d, &member);
}

static void send_part(struct waxwing_stream *stream, const Waxwing__Handover *part)
{
	size_t len = waxwing__handover__get_packed_size(part);
	uint8_t *data = g_malloc(len);

	waxwing__handover__pack(part, data);
	waxwing_stream_add(stream, WAXWING_STREAM_HANDOVER,
			   &waxwing__handover__unpack(NULL, len, data)->base);
	g_free(data);
}

static void send_parts(struct waxwing_dispatcher *d, int64_t now_ms)
{
	struct waxwing_stream *stream = waxwing_dispatcher_stream(d, d->successor);
	const Waxwing__Handover *part;

	if (!stream)
		return;
	while ((part = waxwing_handover_next_part(d->handover, now_ms)) != NULL)
		send_part(stream, part);
}

static void hand_over(struct waxwing_dispatcher *d, int64_t now_ms)
{
	if (!d->successor || !successor_is_alive(d)) {
		d->successor = choose_successor(d);
		if (!d->successor) {
			log_warning("no successor in %s; the ids are not handed over", d->domain);
			set_drain_state(d, now_ms, WAXWING_DRAIN_DONE);
			return;
		}
		waxwing_handover_restart(d->handover);
	}
	send_parts(d, now_ms);
	if (!waxwing_handover_is_complete(d->handover))
		return;
	waxwing_membership_leave(d->membership, now_ms, d->successor);
	log_notice("ids handed over to %016" PRIx64, d->successor);
	set_drain_state(d, now_ms, WAXWING_DRAIN_ANNOUNCING);
}

/* Announces whose ids this instance has inherited, also to peers that start later. */
static void publish_inherited(struct waxwing_dispatcher *d, int64_t now_ms)
{
	uint64_t incarnations[WAXWING_MEMBERSHIP_INHERITED_MAX];
	size_t count = waxwing_inherited_windows_incarnations(d->inheritance, now_ms, incarnations,
							      WAXWING_MEMBERSHIP_INHERITED_MAX);

	waxwing_membership_set_inherited(d->membership, incarnations, count);
}

void waxwing_dispatcher_advance_drain(struct waxwing_dispatcher *d, int64_t now_ms)
{
	const struct waxwing_handover_options options = { .incarnation = d->incarnation };

	publish_inherited(d, now_ms);
	switch (d->drain) {
	case WAXWING_DRAIN_SERVING:
	case WAXWING_DRAIN_DONE:
		break;
	case WAXWING_DRAIN_FINISHING_JOBS:
		if (waxwing_submissions_running(d->submissions) || d->in_flight_count)
			break;
		d->handover =
			waxwing_handover_create(&options, d->submissions, d->inheritance, now_ms);
		set_drain_state(d, now_ms, WAXWING_DRAIN_HANDING_OVER);
		break;
	case WAXWING_DRAIN_HANDING_OVER:
		hand_over(d, now_ms);
		break;
	case WAXWING_DRAIN_ANNOUNCING:
		if (now_ms - d->drain_entered_ms >= ANNOUNCE_MS)
			set_drain_state(d, now_ms, WAXWING_DRAIN_DONE);
		break;
	}
}

void waxwing_dispatcher_drain(struct waxwing_dispatcher *d, int64_t now_ms)
{
	if (d->drain != WAXWING_DRAIN_SERVING)
		return;
	set_drain_state(d, now_ms, WAXWING_DRAIN_FINISHING_JOBS);
	waxwing_submissions_freeze(d->submissions);
	waxwing_membership_leave(d->membership, now_ms, 0);
	waxwing_dispatcher_tick(d, now_ms);
}

bool waxwing_dispatcher_is_drained(const struct waxwing_dispatcher *d)
{
	return d->drain == WAXWING_DRAIN_DONE && !g_hash_table_size(d->forwards) &&
	       !g_hash_table_size(d->remote_waiters);
}

void waxwing_dispatcher_receive_handovers(struct waxwing_dispatcher *d, int64_t now_ms,
					  struct waxwing_stream *stream,
					  const Waxwing__Batch *batch)
{
	for (size_t i = 0; i < batch->n_handovers; i++) {
		Waxwing__HandoverAck *ack = g_new(Waxwing__HandoverAck, 1);

		waxwing__handover_ack__init(ack);
		waxwing_inherited_windows_receive_part(d->inheritance, now_ms, batch->from,
						       batch->handovers[i], ack);
		waxwing_stream_add(stream, WAXWING_STREAM_ACK, &ack->base);
	}
	for (size_t i = 0; d->handover && i < batch->n_acks; i++)
		waxwing_handover_receive_ack(d->handover, batch->acks[i]);
}

bool waxwing_dispatcher_answer_inherited(struct waxwing_dispatcher *d, int64_t now_ms,
					 const Waxwing__JobRequest *request,
					 struct waxwing_waiter waiter)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	const Waxwing__JobAnswer *answer;

	switch (waxwing_inherited_windows_lookup(d->inheritance, now_ms, request, &answer,
						 &error)) {
	case WAXWING_INHERITED_NONE:
		return false;
	case WAXWING_INHERITED_FINISHED:
		waxwing_dispatcher_deliver_answer(d, waiter, answer);
		break;
	case WAXWING_INHERITED_REFUSED:
		waxwing_dispatcher_answer_failure(d, waiter, request->id, &error);
		break;
	}
	return true;
}
