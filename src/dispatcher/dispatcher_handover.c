/*
 * The end of an instance's life: drain, hand the ids over, go. And its other side: the successor that
 * answers for inherited windows.
 */
#include "dispatcher_private.h"

#define LOG_PART "handover"
#include "log.h"

#include <inttypes.h>

/* Time for the news of the successor to spread before the instance is gone. */
#define SPREAD_MS 800

/* Takes a drain to its next state. */
static void enter(struct waxwing_dispatcher *d, int64_t now_ms, enum waxwing_drain_state state)
{
	static const char *const names[] = { "serving", "draining", "handing over", "spreading",
					     "drained" };

	log_info("%s", names[state]);
	d->drain = state;
	d->drain_entered_ms = now_ms;
}

static bool fits_as_successor(const struct waxwing_dispatcher *d,
			      const struct waxwing_member *member)
{
	return member->incarnation && member->incarnation != d->incarnation && member->alive &&
	       !member->leaving && waxwing_str_equal(member->domain, waxwing_str(d->domain));
}

/* A live member of the own domain; 0 when there is none. */
static uint64_t choose_successor(const struct waxwing_dispatcher *d)
{
	struct waxwing_member member;

	for (size_t i = 0; waxwing_membership_member(d->membership, i, &member); i++)
		if (fits_as_successor(d, &member))
			return member.incarnation;
	return 0;
}

static bool successor_lives(const struct waxwing_dispatcher *d)
{
	struct waxwing_member member;

	return waxwing_membership_find(d->membership, d->successor, &member) &&
	       fits_as_successor(d, &member);
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
	while ((part = waxwing_handover_take(d->handover, now_ms)) != NULL)
		send_part(stream, part);
}

static void hand_over(struct waxwing_dispatcher *d, int64_t now_ms)
{
	if (!d->successor || !successor_lives(d)) {
		d->successor = choose_successor(d);
		if (!d->successor) {
			log_warning("no successor in %s: the ids end here", d->domain);
			enter(d, now_ms, WAXWING_DRAIN_DONE);
			return;
		}
		waxwing_handover_restart(d->handover);
	}
	send_parts(d, now_ms);
	if (!waxwing_handover_done(d->handover))
		return;
	waxwing_membership_leave(d->membership, now_ms, d->successor);
	log_notice("ids handed over to %016" PRIx64, d->successor);
	enter(d, now_ms, WAXWING_DRAIN_SPREADING);
}

/* Peers that start later learn from this who answers for those that left. */
static void tell_inherited(struct waxwing_dispatcher *d, int64_t now_ms)
{
	uint64_t incarnations[WAXWING_ANSWERS_FOR_MOST];
	size_t count = waxwing_inheritance_incarnations(d->inheritance, now_ms, incarnations,
							WAXWING_ANSWERS_FOR_MOST);

	waxwing_membership_set_answers_for(d->membership, incarnations, count);
}

void waxwing_dispatcher_advance_drain(struct waxwing_dispatcher *d, int64_t now_ms)
{
	const struct waxwing_handover_options options = { .incarnation = d->incarnation };

	tell_inherited(d, now_ms);
	switch (d->drain) {
	case WAXWING_DRAIN_SERVING:
	case WAXWING_DRAIN_DONE:
		break;
	case WAXWING_DRAIN_JOBS:
		if (waxwing_submissions_running(d->submissions) || d->in_flight_count)
			break;
		d->handover =
			waxwing_handover_create(&options, d->submissions, d->inheritance, now_ms);
		enter(d, now_ms, WAXWING_DRAIN_HANDING_OVER);
		break;
	case WAXWING_DRAIN_HANDING_OVER:
		hand_over(d, now_ms);
		break;
	case WAXWING_DRAIN_SPREADING:
		if (now_ms - d->drain_entered_ms >= SPREAD_MS)
			enter(d, now_ms, WAXWING_DRAIN_DONE);
		break;
	}
}

void waxwing_dispatcher_drain(struct waxwing_dispatcher *d, int64_t now_ms)
{
	if (d->drain != WAXWING_DRAIN_SERVING)
		return;
	enter(d, now_ms, WAXWING_DRAIN_JOBS);
	waxwing_submissions_freeze(d->submissions);
	waxwing_membership_leave(d->membership, now_ms, 0);
	waxwing_dispatcher_tick(d, now_ms);
}

bool waxwing_dispatcher_drained(const struct waxwing_dispatcher *d)
{
	return d->drain == WAXWING_DRAIN_DONE && !g_hash_table_size(d->forwards) &&
	       !g_hash_table_size(d->remote_waiters);
}

void waxwing_dispatcher_take_handovers(struct waxwing_dispatcher *d, int64_t now_ms,
				       struct waxwing_stream *stream, const Waxwing__Batch *batch)
{
	for (size_t i = 0; i < batch->n_handovers; i++) {
		Waxwing__HandoverAck *ack = g_new(Waxwing__HandoverAck, 1);

		waxwing__handover_ack__init(ack);
		waxwing_inheritance_take(d->inheritance, now_ms, batch->from, batch->handovers[i],
					 ack);
		waxwing_stream_add(stream, WAXWING_STREAM_ACK, &ack->base);
	}
	for (size_t i = 0; d->handover && i < batch->n_acks; i++)
		waxwing_handover_acked(d->handover, batch->acks[i]);
}

bool waxwing_dispatcher_answer_inherited(struct waxwing_dispatcher *d, int64_t now_ms,
					 const Waxwing__JobRequest *request,
					 struct waxwing_waiter waiter)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	const Waxwing__JobAnswer *answer;

	switch (waxwing_inheritance_lookup(d->inheritance, now_ms, request, &answer, &error)) {
	case WAXWING_INHERITED_NONE:
		return false;
	case WAXWING_INHERITED_FINISHED:
		waxwing_dispatcher_deliver(d, waiter, answer);
		break;
	case WAXWING_INHERITED_REFUSED:
		waxwing_dispatcher_fail(d, waiter, request->id, &error);
		break;
	}
	return true;
}
