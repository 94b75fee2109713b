#include "node_private.h"

#include "job_check.h"

#define LOG_COMPONENT "owner"
#include "event_log.h"
#include "log.h"

/* Offers older than this are ignored, because the issuer may have moved the job to another cell. */
#define MAX_OFFER_AGE_MS 400
/*
 * If a journal record waits this long, the store is assumed to accept no writes, and new durable
 * jobs are refused.
 */
#define JOURNAL_STALL_MS       800
#define JOURNAL_STALL_RETRY_MS 2000
/* Maximum drift between two machines' clocks from one ping to the next. */
#define CLOCK_DRIFT_MS 20

/* Issuers with a longer delay before a claim are in other failure domains than the cell. */
#define REMOTE_ISSUER_DELAY_MS 3000
/*
 * How long a node of the cell's own domain must have been there before it is given the cell: longer
 * than the 2.2 s after which a node notices that the store does not answer (a watch call's wait and
 * its response timeout).
 */
#define HAND_BACK_DELAY_MS 3000

/* A pending order and the ownership that sent it. */
struct executor_order {
	struct node_cell *cell;
	uint64_t ownership_id;
	uint64_t handle;
	struct waxwing_run_id run_id;
	uint64_t call; /* number of a hold */
};

static struct executor_order *create_order(struct node_cell *cell, uint64_t handle,
					   const struct waxwing_run_id *run_id)
{
	struct executor_order *order = g_new0(struct executor_order, 1);

	order->cell = cell;
	order->ownership_id = cell->ownership_id;
	order->handle = handle;
	if (run_id)
		order->run_id = *run_id;
	return order;
}

/*
 * Returns the cell that sent the order; null if this node no longer owns it. Does not free the
 * order.
 */
static struct waxwing_cell *get_order_cell(const struct executor_order *order)
{
	struct node_cell *cell = order->cell;

	cell->node->has_events = true;
	return cell->ownership_id == order->ownership_id ? cell->owned : NULL;
}

static void start_done(void *data, enum waxwing_start_answer answer, int64_t clock_ms)
{
	struct executor_order *order = data;
	struct waxwing_cell *cell = get_order_cell(order);

	if (cell)
		waxwing_cell_start_answered(cell, node_now(order->cell->node), order->handle,
					    &order->run_id, answer, clock_ms);
	g_free(order);
}

static void stop_done(void *data, bool answered)
{
	struct executor_order *order = data;
	struct waxwing_cell *cell = get_order_cell(order);

	if (cell)
		waxwing_cell_stop_answered(cell, node_now(order->cell->node), order->handle,
					   &order->run_id, answered);
	g_free(order);
}

static void hold_done(void *data, const struct waxwing_hold_answer *answer)
{
	struct executor_order *order = data;
	struct waxwing_cell *cell = get_order_cell(order);
	struct waxwing_hold_answer numbered = *answer;

	numbered.call = order->call;
	if (cell)
		waxwing_cell_hold_answered(cell, node_now(order->cell->node), order->handle,
					   &numbered);
	g_free(order);
}

static uint32_t call_timeout_ms(const struct node_cell *cell, int64_t longest_ms)
{
	return (uint32_t)waxwing_cell_answer_timeout_ms(cell->owned, node_now(cell->node),
							longest_ms);
}

static void order_start(void *data, const struct waxwing_order_target *target,
			const struct waxwing_run_order *order)
{
	struct node_cell *cell = data;
	struct waxwing_executors *executors = cell->node->options.executors;
	struct waxwing_executor_start start = {
		.target = target,
		.order = order,
		.timeout_ms = call_timeout_ms(cell, WAXWING_START_TIMEOUT_MS),
		.done = start_done,
		.data = create_order(cell, target->handle, &order->run_id),
	};

	executors->ops->start(executors, &start);
}

static void order_stop(void *data, const struct waxwing_order_target *target,
		       const struct waxwing_run_id *run_id)
{
	struct node_cell *cell = data;
	struct waxwing_executors *executors = cell->node->options.executors;
	struct waxwing_executor_stop stop = {
		.target = target,
		.run_id = run_id,
		.timeout_ms = call_timeout_ms(cell, WAXWING_STOP_TIMEOUT_MS),
		.done = stop_done,
		.data = create_order(cell, target->handle, run_id),
	};

	executors->ops->stop(executors, &stop);
}

static void order_hold(void *data, const struct waxwing_order_target *target, uint64_t call,
		       int64_t until_ms, uint64_t acked_upto, uint32_t wait_ms)
{
	struct node_cell *cell = data;
	struct executor_order *order = create_order(cell, target->handle, NULL);
	struct waxwing_executors *executors = cell->node->options.executors;
	struct waxwing_executor_hold hold = {
		.target = target,
		.lease_until_ms = until_ms,
		.acked_upto = acked_upto,
		.wait_ms = wait_ms,
		.timeout_ms = WAXWING_HOLD_TIMEOUT_MS,
		.done = hold_done,
		.data = order,
	};

	order->call = call;
	executors->ops->hold(executors, &hold);
}

/* Returns a message with the header of this node's ownership and no content. */
static Waxwing__NodeMessage begin_message(const struct node_cell *cell)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	message.cell = cell->name;
	message.fencing_token = cell->held_token;
	return message;
}

static void send_answer(const struct node_cell *cell, uint64_t sender,
			const Waxwing__NodeMessage *message)
{
	cell->node->link->ops->answer(cell->node->link, sender, message);
}

/*
 * A pending query to the permits service, in one memory block with the arrays and strings that it
 * points to.
 */
struct permit_call {
	struct node_cell *cell;
	uint64_t ownership_id;
	struct waxwing_permit_query query;
};

static struct permit_call *create_permit_call(struct node_cell *cell,
					      const struct waxwing_permit_query *query)
{
	size_t row_bytes = query->count * (sizeof(char *) + sizeof(uint64_t));
	size_t text_bytes = 0;
	struct permit_call *call;
	const char **executors;
	uint64_t *handles;
	char *text;

	for (size_t i = 0; i < query->count; i++)
		text_bytes += strlen(query->executors[i]) + 1;
	call = g_malloc0(sizeof(*call) + row_bytes + text_bytes);
	handles = (uint64_t *)(void *)(call + 1);
	executors = (const char **)(void *)(handles + query->count);
	text = (char *)(executors + query->count);
	for (size_t i = 0; i < query->count; i++) {
		handles[i] = query->handles[i];
		executors[i] = text;
		text = g_stpcpy(text, query->executors[i]) + 1;
	}
	call->cell = cell;
	call->ownership_id = cell->ownership_id;
	call->query = *query;
	call->query.executors = executors;
	call->query.handles = handles;
	return call;
}

static void permits_done(void *data, const struct waxwing_permit_answer *answer)
{
	struct permit_call *call = data;
	struct node_cell *cell = call->cell;

	if (cell->ownership_id == call->ownership_id && cell->owned)
		waxwing_cell_permits_answered(cell->owned, node_now(cell->node), &call->query,
					      answer);
	cell->node->has_events = true;
	g_free(call);
}

static void query_permits(void *data, const struct waxwing_permit_query *query)
{
	struct node_cell *cell = data;
	struct waxwing_permits *permits = cell->node->options.permits;
	struct permit_call *call = create_permit_call(cell, query);
	struct waxwing_permits_call request = { &call->query, permits_done, call };

	permits->ops->query(permits, &request);
}

static void send_verdict(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict)
{
	struct node_cell *cell = data;
	Waxwing__NodeMessage message = begin_message(cell);

	if (issuer == WAXWING_ISSUER_SELF) {
		node_jobs_add_verdict(cell, verdict);
		return;
	}
	message.verdict = (Waxwing__JobVerdict *)verdict;
	send_answer(cell, issuer, &message);
}

static void release_job(void *data, uint64_t job)
{
	struct node_cell *cell = data;

	waxwing_journal_release_job(cell->journal, job);
}

static uint64_t add_record(void *data, const Waxwing__JournalRecord *record)
{
	struct node_cell *cell = data;

	return waxwing_journal_add(cell->journal, record);
}

static void send_job_state(void *data, uint64_t asker, const Waxwing__JobTold *told)
{
	struct node_cell *cell = data;
	Waxwing__NodeMessage message = begin_message(cell);

	/* A successor that this node does not know of yet may have accepted the job. */
	if (told->state == WAXWING_STATE_NONE && !waxwing_cell_claim_is_lease_valid(cell->claim))
		return;
	if (asker == WAXWING_ISSUER_SELF) {
		node_queries_add_answer(cell, told);
		return;
	}
	message.told = (Waxwing__JobTold *)told;
	send_answer(cell, asker, &message);
}

/*
 * Only records the token, because this may be called from within the cell; node_owner_run() then
 * gives up the cell.
 */
static void record_fenced(void *data, const char *executor)
{
	struct node_cell *cell = data;
	const struct waxwing_cell_owner_view *owner = waxwing_cell_claim_owner(cell->claim);

	if (cell->fenced_token == owner->fencing_token)
		return;
	cell->fenced_token = owner->fencing_token;
	waxwing_event("cell_fenced", "cell=%s token=%llu executor=%s", cell->name,
		      (unsigned long long)owner->fencing_token, executor);
}

static const struct waxwing_cell_ops cell_ops = {
	.start = order_start,
	.stop = order_stop,
	.hold = order_hold,
	.send_verdict = send_verdict,
	.query_permits = query_permits,
	.append_record = add_record,
	.job_forgotten = release_job,
	.send_state = send_job_state,
	.fenced = record_fenced,
};

static void journal_replay(void *data, const Waxwing__JournalRecord *record)
{
	struct node_cell *cell = data;

	waxwing_cell_replay(cell->owned, node_now(cell->node), record);
}

static void journal_recovered(void *data)
{
	struct node_cell *cell = data;

	waxwing_cell_recovered(cell->owned, node_now(cell->node));
	cell->node->has_events = true;
}

static void journal_stored(void *data, uint64_t number)
{
	struct node_cell *cell = data;

	waxwing_cell_records_stored(cell->owned, node_now(cell->node), number);
	cell->node->has_events = true;
}

static void journal_claimed_elsewhere(void *data, uint64_t job)
{
	struct node_cell *cell = data;

	waxwing_cell_job_claimed_elsewhere(cell->owned, node_now(cell->node), job);
}

static void journal_fenced(void *data)
{
	record_fenced(data, "journal");
}

static void journal_snapshot(void *data, Waxwing__JournalSegment *segment)
{
	struct node_cell *cell = data;

	waxwing_cell_snapshot(cell->owned, segment);
}

static struct waxwing_journal *open_journal(struct node_cell *cell, uint64_t token)
{
	struct waxwing_journal_options options = {
		.store = cell->node->options.store,
		.clock = cell->node->clock,
		.cell = cell->name,
		.guard_key = cell->owner_key,
		.fencing_token = token,
		.max_value_bytes = cell->node->options.max_value_bytes,
		.replay = journal_replay,
		.recovered = journal_recovered,
		.stored = journal_stored,
		.claimed_elsewhere = journal_claimed_elsewhere,
		.fenced = journal_fenced,
		.snapshot = journal_snapshot,
		.data = cell,
	};

	return waxwing_journal_create(&options);
}

void node_owner_begin(struct node_cell *cell, uint64_t token)
{
	struct waxwing_node *node = cell->node;
	const Waxwing__CellOwner *release = waxwing_cell_claim_owner(cell->claim)->release;
	struct waxwing_cell_options options = {
		.ops = &cell_ops,
		.permits_available = node->options.permits != NULL,
		.data = cell,
		.name = cell->name,
		.fencing_token = token,
		.max_lease_ms = node->options.max_lease_ms,
		.stop_ms = node->options.max_stop_ms,
		.remote_data_factor = node->options.remote_data_factor,
		.took_over = true,
		.list_incomplete = true,
		.orderly_since = release ? release->orderly_since : 0,
		.recovering = true,
		.status_ms = node->options.state_retention_ms,
	};

	cell->held_token = token;
	if (cell->owned) {
		waxwing_cell_set_token(cell->owned, token);
		waxwing_journal_set_token(cell->journal, token);
		return;
	}
	cell->ownership_id = node->next_ownership_id++;
	cell->first_token = token;
	cell->taken_ms = cell->no_local_ms = node_now(node);
	cell->owned = waxwing_cell_create(node_now(node), &options);
	cell->journal = open_journal(cell, token);
	cell->issuers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	node->takeovers++;
	node_evacuation_apply(cell, cell->taken_ms);
	node_release_adopt(cell, release);
	node_entries_use(node);
	waxwing_event("cell_taken",
		      "cell=%s token=%llu orderly=%d unlisted=%zu unknown=%u orderly_since=%llu",
		      cell->name, (unsigned long long)token, cell->orderly_since != 0,
		      release ? release->n_unlisted : 0,
		      cell->unknown_leased ? g_hash_table_size(cell->unknown_leased) : 0,
		      (unsigned long long)cell->orderly_since);
}

void node_owner_end(struct node_cell *cell)
{
	Waxwing__NodeMessage message = begin_message(cell);
	GHashTableIter iter;
	gpointer value;

	if (!cell->owned)
		return;
	message.has_released = true;
	message.released = true;
	g_hash_table_iter_init(&iter, cell->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_answer(cell, ((struct issuer *)value)->sender, &message);
	g_hash_table_destroy(cell->issuers);
	cell->issuers = NULL;
	waxwing_cell_destroy(cell->owned);
	cell->owned = NULL;
	waxwing_journal_destroy(cell->journal);
	cell->journal = NULL;
	node_release_forget(cell);
	waxwing_event("cell_given_up", "cell=%s token=%llu", cell->name,
		      (unsigned long long)message.fencing_token);
}

/* Stops the jobs of an issuer that has received nothing from this owner for too long. */
static void check_issuer(struct node_cell *cell, struct issuer *issuer, int64_t now_ms)
{
	if (issuer->is_unresponsive || now_ms - issuer->echo_ms < WAXWING_PEER_TIMEOUT_MS)
		return;
	issuer->is_unresponsive = true;
	waxwing_event("issuer_silent", "cell=%s sender=%016llx", cell->name,
		      (unsigned long long)issuer->sender);
	waxwing_cell_stop_issuer_jobs(cell->owned, now_ms, issuer->sender);
}

/*
 * An issuer considers the owner unreachable WAXWING_PEER_TIMEOUT_MS after the owner's last message
 * that it received. The issuer's messages echo the owner's time of that message, so that the owner
 * can apply the same limit, even if the owner reads them late or the issuer no longer receives the
 * owner's messages.
 */
static struct issuer *update_issuer(struct node_cell *cell, uint64_t sender,
				    const Waxwing__NodeMessage *message, int64_t now_ms)
{
	struct issuer *issuer = g_hash_table_lookup(cell->issuers, &sender);

	if (!issuer) {
		issuer = g_new0(struct issuer, 1);
		issuer->sender = sender;
		issuer->is_unresponsive =
			true; /* until it has received a message from this owner */
		g_hash_table_insert(cell->issuers, &issuer->sender, issuer);
	}
	/* after a pause of this node, a silence before this message may not have been noticed yet */
	check_issuer(cell, issuer, now_ms);
	if (message->has_echo_ms)
		issuer->echo_ms = MAX(issuer->echo_ms, (int64_t)message->echo_ms);
	waxwing_cell_issuer_heard(cell->owned, sender, issuer->echo_ms);
	if (now_ms - issuer->echo_ms < WAXWING_PEER_TIMEOUT_MS)
		issuer->is_unresponsive = false;
	if (message->ping)
		issuer->claim_delay_ms = message->ping->has_claim_delay_ms ?
						 message->ping->claim_delay_ms :
						 UINT32_MAX;
	return issuer;
}

/*
 * Hands a cell of another failure domain over to a node of that domain, once there is one that has
 * stood by for a while: if the domain is isolated, its cell must have an owner inside.
 */
static bool hand_back(struct node_cell *cell, int64_t now_ms)
{
	bool has_local = false;
	GHashTableIter iter;
	gpointer value;

	if (strcmp(cell->name, cell->node->options.zone) == 0)
		return false;
	g_hash_table_iter_init(&iter, cell->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct issuer *issuer = value;

		has_local |=
			!issuer->is_unresponsive && issuer->claim_delay_ms < REMOTE_ISSUER_DELAY_MS;
	}
	/* a release that does not reach the store would leave the cell without an owner */
	if (!has_local || cell->node->store_lost_ms)
		cell->no_local_ms = now_ms;
	if (now_ms - cell->no_local_ms < HAND_BACK_DELAY_MS)
		return false;
	waxwing_event("cell_handed_back", "cell=%s", cell->name);
	waxwing_cell_claim_hand_over(cell->claim);
	return true;
}

void node_owner_run(struct node_cell *cell, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (!cell->owned || hand_back(cell, now_ms))
		return;
	node_release_run(cell, now_ms);
	g_hash_table_iter_init(&iter, cell->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_issuer(cell, value, now_ms);
	waxwing_cell_set_owned_until(cell->owned, now_ms,
				     waxwing_cell_claim_lease_until_ms(cell->claim));
	node_evacuation_apply(cell, now_ms);
	waxwing_cell_set_wall_clock_offset(cell->owned, node_day_offset(cell->node));
	waxwing_cell_advance(cell->owned, now_ms);
	waxwing_journal_run(cell->journal);
	if (cell->fenced_token &&
	    cell->fenced_token == waxwing_cell_claim_owner(cell->claim)->fencing_token)
		waxwing_cell_claim_set_fenced(cell->claim);
}

bool node_owner_rejects_durable_jobs(const struct node_cell *cell)
{
	const struct waxwing_node *node = cell->node;

	return waxwing_cell_recovering(cell->owned) ||
	       waxwing_journal_delay_ms(cell->journal) >= JOURNAL_STALL_MS ||
	       (node->store_lost_ms && node_now(node) - node->store_lost_ms >= JOURNAL_STALL_MS);
}

/*
 * Refuses a durable job while the store accepts no writes. A job that the cell does not know is
 * then certain not to have been accepted here.
 */
static bool refuse_if_journal_stalled(struct node_cell *cell, uint64_t sender,
				      Waxwing__JobOffer *offer)
{
	Waxwing__JobVerdict verdict = WAXWING__JOB_VERDICT__INIT;

	if (!offer->job->kept || waxwing_journal_delay_ms(cell->journal) < JOURNAL_STALL_MS ||
	    waxwing_cell_has_job(cell->owned, offer->job->id))
		return false;
	verdict.job = offer->job->id;
	verdict.outcome = WAXWING_JOB_REFUSED;
	verdict.has_reason = true;
	verdict.reason = WAXWING_ERROR_PLATFORM_DOWN;
	verdict.has_retry_after_ms = true;
	verdict.retry_after_ms = JOURNAL_STALL_RETRY_MS;
	send_verdict(cell, sender, &verdict);
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

void node_owner_offer(struct node_cell *cell, uint64_t sender, Waxwing__JobOffer *offer)
{
	if (refuse_if_journal_stalled(cell, sender, offer))
		return;
	waxwing_cell_offer(cell->owned, node_now(cell->node), sender, offer);
	cell->node->has_events = true;
}

/* A pong's report of another cell's owner. */
struct owner_news_row {
	Waxwing__OwnerNews row; /* must be the first member */
	Waxwing__CellOwner owner;
};

/* Adds a queue's number of waiting jobs to a pong. */
static void add_waiting(void *data, const char *queue, uint32_t jobs)
{
	Waxwing__QueueWaiting *row = g_new0(Waxwing__QueueWaiting, 1);

	waxwing__queue_waiting__init(row);
	row->queue = (char *)queue;
	row->jobs = jobs;
	g_ptr_array_add(data, row);
}

/* Nodes that cannot reach the store learn of new owners from other nodes. */
static void add_owner_news(struct node_cell *about, uint64_t known_token, GPtrArray *rows)
{
	const struct waxwing_cell_owner_view *owner = waxwing_cell_claim_owner(about->claim);
	struct owner_news_row *news;

	if (!owner->known || owner->fencing_token <= known_token)
		return;
	news = g_new0(struct owner_news_row, 1);
	waxwing__owner_news__init(&news->row);
	waxwing__cell_owner__init(&news->owner);
	news->owner.node = (char *)owner->node;
	news->owner.address = (char *)owner->address;
	news->owner.incarnation = owner->incarnation;
	news->row.cell = about->name;
	news->row.fencing_token = owner->fencing_token;
	news->row.owner = &news->owner;
	g_ptr_array_add(rows, news);
}

static GPtrArray *build_owner_news(const struct waxwing_node *node, const Waxwing__CellPing *ping)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < node->cells->len && i < ping->n_known_tokens; i++)
		add_owner_news(node->cells->pdata[i], ping->known_tokens[i], rows);
	return rows;
}

static void answer_ping(struct node_cell *cell, struct issuer *issuer,
			const Waxwing__CellPing *ping)
{
	Waxwing__NodeMessage message = begin_message(cell);
	Waxwing__CellPong pong = WAXWING__CELL_PONG__INIT;
	GPtrArray *waiting = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *news = build_owner_news(cell->node, ping);
	struct waxwing_cell_stats stats;
	int64_t now_ms = node_now(cell->node);
	GArray *racks = node_racks_describe(cell, issuer, &pong, now_ms);

	waxwing_cell_get_stats(cell->owned, now_ms, &stats);
	waxwing_cell_foreach_waiting_queue(cell->owned, add_waiting, waiting);
	pong.ping_ms = ping->sent_ms;
	pong.owner_ms = (uint64_t)now_ms;
	pong.free_milli = stats.free_milli;
	pong.wait_ms = stats.wait_ms;
	pong.has_keeps_none = true;
	pong.keeps_none = node_owner_rejects_durable_jobs(cell);
	pong.n_waiting = waiting->len;
	pong.waiting = (Waxwing__QueueWaiting **)waiting->pdata;
	pong.n_owners = news->len;
	pong.owners = (Waxwing__OwnerNews **)news->pdata;
	pong.has_standby = true;
	pong.standby = node_entries_is_standby(cell, issuer);
	message.pong = &pong;
	send_answer(cell, issuer->sender, &message);
	g_array_free(racks, TRUE);
	g_ptr_array_free(waiting, TRUE);
	g_ptr_array_free(news, TRUE);
}

/* A malformed offer is dropped; its issuer offers the job again, or gives it up in time. */
static bool offer_is_valid(const struct node_cell *cell, const Waxwing__JobOffer *offer)
{
	const char *field = waxwing_job_invalid_field(offer->job);

	if (field)
		waxwing_event("offer_invalid", "cell=%s job=%016llx field=%s", cell->name,
			      (unsigned long long)offer->job->id, field);
	return !field;
}

static void handle_offer(struct node_cell *cell, const struct issuer *issuer,
			 Waxwing__NodeMessage *message)
{
	Waxwing__NodeMessage answer = begin_message(cell);
	int64_t age_ms = node_now(cell->node) - (int64_t)message->heard_ms;
	Waxwing__JobOffer *offer = message->offer;

	if (issuer->is_unresponsive || !message->has_heard_ms ||
	    age_ms > MAX_OFFER_AGE_MS + CLOCK_DRIFT_MS) {
		waxwing_event("offer_too_old", "cell=%s job=%016llx age_ms=%lld", cell->name,
			      (unsigned long long)offer->job->id, (long long)age_ms);
		return;
	}
	/* A durable job is confirmed once it is stored. */
	answer.has_accepted = !offer->job->kept;
	answer.accepted = offer->job->id;
	if (answer.has_accepted)
		send_answer(cell, issuer->sender, &answer);
	message->offer = NULL;
	node_owner_offer(cell, issuer->sender, offer);
}

void node_owner_message(struct node_cell *cell, uint64_t sender, Waxwing__NodeMessage *message)
{
	Waxwing__NodeMessage answer = begin_message(cell);
	struct issuer *issuer;

	if (!cell->owned || message->fencing_token != answer.fencing_token) {
		answer.fencing_token = message->fencing_token;
		answer.has_released = true;
		answer.released = true;
		send_answer(cell, sender, &answer);
		return;
	}
	issuer = update_issuer(cell, sender, message, node_now(cell->node));
	if (message->ping)
		answer_ping(cell, issuer, message->ping);
	if (message->has_withdraw) {
		waxwing_cell_withdraw(cell->owned, node_now(cell->node), sender, message->withdraw);
		answer.has_withdrawn = true;
		answer.withdrawn = message->withdraw;
		send_answer(cell, sender, &answer);
	}
	if (message->ask)
		waxwing_cell_query_state(cell->owned, node_now(cell->node), sender, message->ask);
	if (message->offer && offer_is_valid(cell, message->offer))
		handle_offer(cell, issuer, message);
	cell->node->has_events = true;
}
