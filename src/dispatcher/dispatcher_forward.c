/*
 * Submissions under another incarnation's window: forwarded to it, or answered with an unknown
 * outcome. They are never started here.
 */
#include "dispatcher_private.h"
#include "failure.h"

#define LOG_COMPONENT "forward"
#include "log.h"

/* How long after a job's deadline to wait for its issuer's answer. */
#define ANSWER_GRACE_MS 2000
/* Delay before an unanswered forward is resent; it doubles up to the maximum. */
#define RESEND_MAX_MS	  4000
#define RESEND_INITIAL_MS 500
/*
 * Maximum number of times that a submission is forwarded. More than one can be needed because the
 * instances' views of the membership may differ for a moment.
 */
#define MAX_HOPS 3
/*
 * How long after its start an instance waits to hear who answers for an id that it does not know.
 * Peers tell it in heartbeats, by default every 250 ms, some of which may be lost.
 */
#define FIRST_NEWS_MS 2000
/* Deadline assumed for a forwarded job that has none. */
#define DEFAULT_DEADLINE_MS 60000

void waxwing_dispatcher_answer_failure(struct waxwing_dispatcher *d, struct waxwing_waiter waiter,
				       const char *id, const struct waxwing_error *error)
{
	struct waxwing_failed_answer failed;

	waxwing_failed_answer_init(&failed, id, error);
	waxwing_dispatcher_deliver_answer(d, waiter, &failed.answer);
}

static void answer_unknown(struct waxwing_dispatcher *d, struct waxwing_waiter waiter,
			   const char *id, const char *why)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;

	waxwing_error_set(&error, WAXWING_ERROR_OUTCOME_UNKNOWN, "id", "%s", why);
	waxwing_dispatcher_answer_failure(d, waiter, id, &error);
}

static void count_answer(const Waxwing__JobAnswer *answer)
{
	if (strcmp(answer->state, "complete") == 0)
		waxwing_counter_increment(jobs_complete);
	else if (strcmp(answer->state, "failed") == 0)
		waxwing_counter_increment(jobs_failed);
	else if (strcmp(answer->state, "not_run") == 0)
		waxwing_counter_increment(jobs_not_run);
	else if (strcmp(answer->state, "unknown") == 0)
		waxwing_counter_increment(jobs_unknown);
}

static void answer_peer(struct waxwing_dispatcher *d, const struct waxwing_remote_waiter *remote,
			const Waxwing__JobAnswer *answer)
{
	struct waxwing_stream *stream = waxwing_dispatcher_stream(d, remote->peer);
	Waxwing__ForwardAnswer *message;

	if (!stream)
		return;
	message = g_new(Waxwing__ForwardAnswer, 1);
	waxwing__forward_answer__init(message);
	message->correlation = remote->correlation;
	message->answer.len = waxwing__job_answer__get_packed_size(answer);
	message->answer.data = g_malloc(message->answer.len);
	waxwing__job_answer__pack(answer, message->answer.data);
	waxwing_stream_add(stream, WAXWING_STREAM_ANSWER, &message->base);
}

void waxwing_dispatcher_deliver_answer(struct waxwing_dispatcher *d, struct waxwing_waiter waiter,
				       const Waxwing__JobAnswer *answer)
{
	struct waxwing_remote_waiter *remote;

	if (waiter.number <= WAXWING_WAITER_MAX) {
		count_answer(answer);
		d->ops->answer(d->context, waiter, answer);
		return;
	}
	remote = g_hash_table_lookup(d->remote_waiters, &waiter.number);
	if (!remote)
		return;
	answer_peer(d, remote, answer);
	g_hash_table_remove(d->remote_waiters, &waiter.number);
}

static Waxwing__Forward *forward_message(uint64_t correlation, uint32_t kind, uint32_t hops,
					 const uint8_t *data, size_t len)
{
	Waxwing__Forward *message = g_new(Waxwing__Forward, 1);

	waxwing__forward__init(message);
	message->correlation = correlation;
	message->kind = kind;
	message->has_hops = true;
	message->hops = hops;
	message->request.len = len;
	message->request.data = g_memdup2(data, len);
	return message;
}

/*
 * Sends a copy and keeps the message for resends, since a batch may be lost. The issuer recognizes
 * an id that arrives twice.
 */
static void send_copy(struct waxwing_forward *forward, struct waxwing_stream *stream,
		      int64_t now_ms)
{
	const Waxwing__Forward *message = forward->message;

	waxwing_stream_add(stream, WAXWING_STREAM_FORWARD,
			   &forward_message(message->correlation, message->kind, message->hops,
					    message->request.data, message->request.len)
				    ->base);
	forward->next_resend_ms = now_ms + forward->resend_delay_ms;
	forward->resend_delay_ms = MIN(2 * forward->resend_delay_ms, RESEND_MAX_MS);
}

/* Returns how often the waiter's submission has been forwarded. */
static uint32_t forward_hops(const struct waxwing_dispatcher *d, struct waxwing_waiter waiter)
{
	const struct waxwing_remote_waiter *remote =
		g_hash_table_lookup(d->remote_waiters, &waiter.number);

	return remote ? remote->hops + 1 : 0;
}

static struct waxwing_forward *create_forward(struct waxwing_dispatcher *d, int64_t now_ms,
					      uint64_t issuer, const Waxwing__JobRequest *request,
					      enum waxwing_submit_kind kind,
					      struct waxwing_waiter waiter)
{
	struct waxwing_forward *forward = g_new0(struct waxwing_forward, 1);
	size_t len = waxwing__job_request__get_packed_size(request);
	uint8_t *data = g_malloc(len);

	waxwing__job_request__pack(request, data);
	forward->correlation = ++d->last_number;
	forward->waiter = waiter;
	forward->issuer = issuer;
	forward->id = g_strdup(request->id);
	forward->expires_ms =
		now_ms + ANSWER_GRACE_MS +
		(request->has_deadline_ms ? request->deadline_ms : DEFAULT_DEADLINE_MS);
	forward->resend_delay_ms = RESEND_INITIAL_MS;
	forward->message =
		forward_message(forward->correlation, kind, forward_hops(d, waiter), data, len);
	g_free(data);
	g_hash_table_insert(d->forwards, &forward->correlation, forward);
	return forward;
}

/*
 * Returns the stream to the instance that answers for an incarnation's ids: its last known
 * successor, or the incarnation itself if it has none. Null if that instance is not alive or its
 * address is unknown.
 */
static struct waxwing_stream *answering_stream(struct waxwing_dispatcher *d, uint64_t incarnation)
{
	uint64_t successor = waxwing_membership_last_successor(d->membership, incarnation);
	uint64_t answering = successor ? successor : incarnation;
	struct waxwing_member member;

	if (!waxwing_membership_find_member(d->membership, answering, &member) || !member.alive)
		return NULL;
	return waxwing_dispatcher_stream(d, answering);
}

void waxwing_dispatcher_forward(struct waxwing_dispatcher *d, int64_t now_ms,
				const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
				struct waxwing_waiter waiter)
{
	struct waxwing_submission_id id;
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_stream *stream;

	if (waxwing_submission_id_parse(waxwing_str(request->id), &id, &error) != WAXWING_OK) {
		waxwing_dispatcher_answer_failure(d, waiter, request->id, &error);
		return;
	}
	stream = answering_stream(d, id.window.incarnation);
	if (stream && forward_hops(d, waiter) < MAX_HOPS) {
		send_copy(create_forward(d, now_ms, stream->key.incarnation, request, kind, waiter),
			  stream, now_ms);
		waxwing_counter_increment(jobs_forwarded);
	} else if (!stream && now_ms - d->created_ms < FIRST_NEWS_MS) {
		create_forward(d, now_ms, id.window.incarnation, request, kind, waiter)
			->held_until_ms = d->created_ms + FIRST_NEWS_MS;
	} else {
		answer_unknown(d, waiter, request->id, "the instance of this id cannot be reached");
	}
}

static void process_request(struct waxwing_dispatcher *d, int64_t now_ms,
			    const Waxwing__JobRequest *request, enum waxwing_submit_kind kind,
			    struct waxwing_waiter waiter)
{
	if (kind == WAXWING_SUBMIT_CANCEL)
		waxwing_dispatcher_cancel(d, now_ms, request->id, waiter);
	else
		waxwing_dispatcher_submit(d, now_ms, request, kind, waiter);
}

void waxwing_dispatcher_receive_forward(struct waxwing_dispatcher *d, int64_t now_ms,
					struct waxwing_stream *stream,
					const Waxwing__Forward *message)
{
	Waxwing__JobRequest *request =
		waxwing__job_request__unpack(NULL, message->request.len, message->request.data);
	uint32_t suppressed;
	struct waxwing_remote_waiter *remote;
	struct waxwing_waiter waiter;

	if (!request || message->kind > WAXWING_SUBMIT_CANCEL) {
		if (waxwing_log_limit_allow(&d->peer_log, now_ms, &suppressed))
			log_warning("dropped a malformed forward (%u lines not logged)",
				    suppressed);
		if (request)
			waxwing__job_request__free_unpacked(request, NULL);
		return;
	}
	waiter.number = WAXWING_WAITER_MAX + ++d->last_number;
	remote = g_new(struct waxwing_remote_waiter, 1);
	remote->peer = stream->key.incarnation;
	remote->correlation = message->correlation;
	remote->hops = message->hops;
	g_hash_table_insert(d->remote_waiters, g_memdup2(&waiter.number, sizeof(waiter.number)),
			    remote);
	process_request(d, now_ms, request, (enum waxwing_submit_kind)message->kind, waiter);
	waxwing__job_request__free_unpacked(request, NULL);
}

void waxwing_dispatcher_receive_forward_answer(struct waxwing_dispatcher *d,
					       const Waxwing__ForwardAnswer *message)
{
	struct waxwing_forward *forward = g_hash_table_lookup(d->forwards, &message->correlation);
	Waxwing__JobAnswer *answer;

	if (!forward)
		return;
	answer = waxwing__job_answer__unpack(NULL, message->answer.len, message->answer.data);
	if (answer)
		waxwing_dispatcher_deliver_answer(d, forward->waiter, answer);
	else
		answer_unknown(d, forward->waiter, forward->id, "the issuer's answer is malformed");
	if (answer)
		waxwing__job_answer__free_unpacked(answer, NULL);
	g_hash_table_remove(d->forwards, &message->correlation);
}

static bool is_undeliverable(const struct waxwing_dispatcher *d, int64_t now_ms,
			     const struct waxwing_forward *forward)
{
	struct waxwing_member member;

	return now_ms >= forward->expires_ms ||
	       !waxwing_membership_find_member(d->membership, forward->issuer, &member) ||
	       !member.alive;
}

/*
 * Resends a forward that is due; returns false if it has expired or its issuer is not alive, or if
 * it was held and need not wait any longer.
 */
static bool resend_if_due(struct waxwing_dispatcher *d, int64_t now_ms,
			  struct waxwing_forward *forward)
{
	struct waxwing_stream *stream;

	if (forward->held_until_ms)
		return now_ms < MIN(forward->held_until_ms, forward->expires_ms) &&
		       !answering_stream(d, forward->issuer);
	if (is_undeliverable(d, now_ms, forward))
		return false;
	if (now_ms < forward->next_resend_ms)
		return true;
	stream = waxwing_dispatcher_stream(d, forward->issuer);
	if (stream)
		send_copy(forward, stream, now_ms);
	return true;
}

/*
 * Resubmits a held forward, or an undeliverable one if a successor answers for the issuer's ids, if
 * it has not expired; otherwise answers that the outcome is unknown.
 */
static void redirect_forward(struct waxwing_dispatcher *d, int64_t now_ms,
			     struct waxwing_forward *forward)
{
	const Waxwing__Forward *message = forward->message;
	Waxwing__JobRequest *request;

	if ((!forward->held_until_ms &&
	     !waxwing_membership_last_successor(d->membership, forward->issuer)) ||
	    now_ms >= forward->expires_ms) {
		answer_unknown(d, forward->waiter, forward->id, "the issuer did not answer");
		return;
	}
	request = waxwing__job_request__unpack(NULL, message->request.len, message->request.data);
	process_request(d, now_ms, request, (enum waxwing_submit_kind)message->kind,
			forward->waiter);
	waxwing__job_request__free_unpacked(request, NULL);
}

void waxwing_dispatcher_expire_forwards(struct waxwing_dispatcher *d, int64_t now_ms)
{
	GPtrArray *undeliverable = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, d->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!resend_if_due(d, now_ms, value))
			g_ptr_array_add(undeliverable, value);
	for (guint i = 0; i < undeliverable->len; i++) {
		struct waxwing_forward *forward = g_ptr_array_index(undeliverable, i);

		redirect_forward(d, now_ms, forward);
		g_hash_table_remove(d->forwards, &forward->correlation);
	}
	g_ptr_array_free(undeliverable, TRUE);
}
