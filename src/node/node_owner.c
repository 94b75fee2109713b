#include "node_private.h"

#define LOG_PART "owner"
#include "event_log.h"
#include "log.h"

/* Time that an executor's answer may take beside what it was asked to wait. */
#define START_TIMEOUT_MS 200
#define STOP_TIMEOUT_MS	 350
#define HOLD_TIMEOUT_MS	 350
/* An offer that was longer on its way is not taken: its sender may have given it up by now. */
#define OFFER_AGE_MOST_MS 400
/* Records that wait so long tell that the store takes none; new jobs that must be kept are refused. */
#define JOURNAL_STUCK_MS       800
#define JOURNAL_STUCK_RETRY_MS 2000
/* Times on two machines' clocks may run apart by so much between two pings. */
#define CLOCK_SLACK_MS 20

/* An order that is out, and the ownership that gave it. */
struct order {
	struct node_cell *at;
	uint64_t ownership;
	uint64_t life;
	struct waxwing_run_name name;
};

static struct order *create_order(struct node_cell *at, uint64_t life,
				  const struct waxwing_run_name *name)
{
	struct order *order = g_new0(struct order, 1);

	order->at = at;
	order->ownership = at->ownership;
	order->life = life;
	if (name)
		order->name = *name;
	return order;
}

/* The owned cell that gave an order; null when it is owned no more. Frees nothing. */
static struct waxwing_cell *order_cell(const struct order *order)
{
	struct node_cell *at = order->at;

	at->node->touched = true;
	return at->ownership == order->ownership ? at->cell : NULL;
}

static void start_done(void *data, enum waxwing_start_answer answer, int64_t clock_ms)
{
	struct order *order = data;
	struct waxwing_cell *cell = order_cell(order);

	if (cell)
		waxwing_cell_start_answered(cell, node_now(order->at->node), order->life,
					    &order->name, answer, clock_ms);
	g_free(order);
}

static void stop_done(void *data, bool answered)
{
	struct order *order = data;
	struct waxwing_cell *cell = order_cell(order);

	if (cell)
		waxwing_cell_stop_answered(cell, node_now(order->at->node), order->life,
					   &order->name, answered);
	g_free(order);
}

static void hold_done(void *data, const struct waxwing_hold_answer *answer)
{
	struct order *order = data;
	struct waxwing_cell *cell = order_cell(order);

	if (cell)
		waxwing_cell_hold_answered(cell, node_now(order->at->node), order->life, answer);
	g_free(order);
}

static void order_start(void *data, const struct waxwing_order_target *target,
			const struct waxwing_run_order *order)
{
	struct node_cell *at = data;
	struct waxwing_executors *executors = at->node->options.executors;
	struct waxwing_executor_start start = {
		.target = target,
		.order = order,
		.timeout_ms = START_TIMEOUT_MS,
		.done = start_done,
		.data = create_order(at, target->life, &order->name),
	};

	executors->ops->start(executors, &start);
}

static void order_stop(void *data, const struct waxwing_order_target *target,
		       const struct waxwing_run_name *name)
{
	struct node_cell *at = data;
	struct waxwing_executors *executors = at->node->options.executors;
	struct waxwing_executor_stop stop = {
		.target = target,
		.name = name,
		.timeout_ms = STOP_TIMEOUT_MS,
		.done = stop_done,
		.data = create_order(at, target->life, name),
	};

	executors->ops->stop(executors, &stop);
}

static void order_hold(void *data, const struct waxwing_order_target *target, int64_t until_ms,
		       uint64_t acked_upto, uint32_t wait_ms)
{
	struct node_cell *at = data;
	struct waxwing_executors *executors = at->node->options.executors;
	struct waxwing_executor_hold hold = {
		.target = target,
		.until_ms = until_ms,
		.acked_upto = acked_upto,
		.wait_ms = wait_ms,
		.timeout_ms = HOLD_TIMEOUT_MS,
		.done = hold_done,
		.data = create_order(at, target->life, NULL),
	};

	executors->ops->hold(executors, &hold);
}

/* A message of the present ownership, without its content. */
static Waxwing__NodeMessage begin_message(const struct node_cell *at)
{
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	message.cell = at->name;
	message.fencing_token = waxwing_claim_owner(at->claim)->fencing_token;
	return message;
}

static void send_answer(const struct node_cell *at, uint64_t sender,
			const Waxwing__NodeMessage *message)
{
	at->node->link->ops->answer(at->node->link, sender, message);
}

/* A question that is out; one block with the rows and the texts that it points to. */
struct permit_call {
	struct node_cell *at;
	uint64_t ownership;
	struct waxwing_permit_question question;
};

static struct permit_call *create_permit_call(struct node_cell *at,
					      const struct waxwing_permit_question *question)
{
	size_t rows = question->count * (sizeof(char *) + sizeof(uint64_t));
	size_t texts = 0;
	struct permit_call *call;
	const char **executors;
	uint64_t *lives;
	char *text;

	for (size_t i = 0; i < question->count; i++)
		texts += strlen(question->executors[i]) + 1;
	call = g_malloc0(sizeof(*call) + rows + texts);
	lives = (uint64_t *)(void *)(call + 1);
	executors = (const char **)(void *)(lives + question->count);
	text = (char *)(executors + question->count);
	for (size_t i = 0; i < question->count; i++) {
		lives[i] = question->lives[i];
		executors[i] = text;
		text = g_stpcpy(text, question->executors[i]) + 1;
	}
	call->at = at;
	call->ownership = at->ownership;
	call->question = *question;
	call->question.executors = executors;
	call->question.lives = lives;
	return call;
}

static void permits_done(void *data, const struct waxwing_permit_answer *answer)
{
	struct permit_call *call = data;
	struct node_cell *at = call->at;

	if (at->ownership == call->ownership && at->cell)
		waxwing_cell_permits_answered(at->cell, node_now(at->node), &call->question,
					      answer);
	at->node->touched = true;
	g_free(call);
}

static void ask_permits(void *data, const struct waxwing_permit_question *question)
{
	struct node_cell *at = data;
	struct waxwing_permits *permits = at->node->options.permits;
	struct permit_call *call = create_permit_call(at, question);
	struct waxwing_permits_call ask = { &call->question, permits_done, call };

	permits->ops->ask(permits, &ask);
}

static void give_verdict(void *data, uint64_t issuer, const Waxwing__JobVerdict *verdict)
{
	struct node_cell *at = data;
	Waxwing__NodeMessage message = begin_message(at);

	if (issuer == WAXWING_ISSUER_SELF) {
		node_jobs_verdict(at, verdict);
		return;
	}
	message.verdict = (Waxwing__JobVerdict *)verdict;
	send_answer(at, issuer, &message);
}

static void forget_job(void *data, uint64_t job)
{
	struct node_cell *at = data;

	waxwing_journal_forget(at->journal, job);
}

static uint64_t add_record(void *data, const Waxwing__JournalRecord *record)
{
	struct node_cell *at = data;

	return waxwing_journal_add(at->journal, record);
}

static void tell_state(void *data, uint64_t asker, const Waxwing__JobTold *told)
{
	struct node_cell *at = data;
	Waxwing__NodeMessage message = begin_message(at);

	/* a successor that is not known here yet may have accepted the job */
	if (told->state == WAXWING_STATE_NONE && !waxwing_claim_is_sure(at->claim))
		return;
	if (asker == WAXWING_ISSUER_SELF) {
		node_asks_told(at, told);
		return;
	}
	message.told = (Waxwing__JobTold *)told;
	send_answer(at, asker, &message);
}

/* Only noted here: the cell is in the midst of its work. */
static void note_fenced(void *data, const char *executor)
{
	struct node_cell *at = data;
	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(at->claim);

	if (at->fenced_token == owner->fencing_token)
		return;
	at->fenced_token = owner->fencing_token;
	waxwing_event("cell_fenced", "cell=%s token=%llu executor=%s", at->name,
		      (unsigned long long)owner->fencing_token, executor);
}

static const struct waxwing_cell_ops cell_ops = {
	.start = order_start,
	.stop = order_stop,
	.hold = order_hold,
	.verdict = give_verdict,
	.ask_permits = ask_permits,
	.record = add_record,
	.forget = forget_job,
	.told = tell_state,
	.fenced = note_fenced,
};

static void journal_replay(void *data, const Waxwing__JournalRecord *record)
{
	struct node_cell *at = data;

	waxwing_cell_replay(at->cell, node_now(at->node), record);
}

static void journal_recovered(void *data)
{
	struct node_cell *at = data;

	waxwing_cell_recovered(at->cell, node_now(at->node));
	at->node->touched = true;
}

static void journal_stored(void *data, uint64_t number)
{
	struct node_cell *at = data;

	waxwing_cell_stored(at->cell, node_now(at->node), number);
	at->node->touched = true;
}

static void journal_taken(void *data, uint64_t job)
{
	struct node_cell *at = data;

	waxwing_cell_taken(at->cell, node_now(at->node), job);
}

static void journal_fenced(void *data)
{
	note_fenced(data, "journal");
}

static void journal_snapshot(void *data, Waxwing__JournalSegment *segment)
{
	struct node_cell *at = data;

	waxwing_cell_snapshot(at->cell, segment);
}

static struct waxwing_journal *open_journal(struct node_cell *at, uint64_t token)
{
	struct waxwing_journal_options options = {
		.store = at->node->options.store,
		.clock = at->node->clock,
		.cell = at->name,
		.guard_key = at->claim_key,
		.fencing_token = token,
		.value_bytes_most = at->node->options.value_bytes_most,
		.replay = journal_replay,
		.recovered = journal_recovered,
		.stored = journal_stored,
		.taken = journal_taken,
		.fenced = journal_fenced,
		.snapshot = journal_snapshot,
		.data = at,
	};

	return waxwing_journal_create(&options);
}

static const char *id_of(const struct waxwing_node *node, const char *key)
{
	size_t len = strlen(node->options.executor_prefix);

	return strncmp(key, node->options.executor_prefix, len) == 0 ? key + len : key;
}

static void use_entry(void *data, const struct waxwing_executor_entry *entry)
{
	struct waxwing_node *node = data;

	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];

		if (at->cell && strcmp(at->name, entry->zone) == 0)
			waxwing_cell_set_executor(at->cell, node_now(node), entry);
	}
	node->touched = true;
}

static void lose_entry(struct waxwing_node *node, const char *key)
{
	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];

		if (at->cell)
			waxwing_cell_lose_executor(at->cell, node_now(node), id_of(node, key));
	}
}

void node_entry_free(gpointer value)
{
	struct waxwing_store_item *entry = value;

	g_free((char *)entry->key.data);
	g_free((char *)entry->value.data);
	g_free(entry);
}

void node_executors_changed(struct waxwing_node *node, const struct waxwing_store_item *item)
{
	struct waxwing_store_item *entry = g_new0(struct waxwing_store_item, 1);

	*entry = *item;
	entry->key.data = waxwing_str_dup(item->key);
	entry->value.data = waxwing_str_dup(item->value);
	if (item->deleted) {
		lose_entry(node, entry->key.data);
		g_hash_table_remove(node->entries, entry->key.data);
		node_entry_free(entry);
		return;
	}
	g_hash_table_replace(node->entries, (gpointer)entry->key.data, entry);
	node->options.read_executor(entry, use_entry, node);
}

static void tell_entries(struct waxwing_node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		node->options.read_executor(value, use_entry, node);
}

void node_owner_begin(struct node_cell *at, uint64_t token)
{
	struct waxwing_node *node = at->node;
	struct waxwing_cell_options options = {
		.ops = &cell_ops,
		.permits = node->options.permits != NULL,
		.data = at,
		.name = at->name,
		.fencing_token = token,
		.lease_most_ms = node->options.lease_most_ms,
		.stop_ms = node->options.stop_ms,
		.far_factor = node->options.far_factor,
		.took_over = true,
		.list_incomplete = true,
		.recovering = true,
		.status_ms = node->options.status_ms,
	};

	if (at->cell) {
		waxwing_cell_set_token(at->cell, token);
		waxwing_journal_set_token(at->journal, token);
		return;
	}
	at->ownership = node->next_ownership++;
	at->cell = waxwing_cell_create(node_now(node), &options);
	at->journal = open_journal(at, token);
	at->issuers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	node->takeovers++;
	tell_entries(node);
	at->list_checked = false;
	waxwing_event("cell_taken", "cell=%s token=%llu orderly=%d", at->name,
		      (unsigned long long)token, waxwing_claim_owner(at->claim)->orderly);
}

void node_owner_end(struct node_cell *at)
{
	Waxwing__NodeMessage message = begin_message(at);
	GHashTableIter iter;
	gpointer value;

	if (!at->cell)
		return;
	message.has_released = true;
	message.released = true;
	g_hash_table_iter_init(&iter, at->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_answer(at, ((struct issuer *)value)->sender, &message);
	g_hash_table_destroy(at->issuers);
	at->issuers = NULL;
	waxwing_cell_destroy(at->cell);
	at->cell = NULL;
	waxwing_journal_destroy(at->journal);
	at->journal = NULL;
	waxwing_event("cell_given_up", "cell=%s token=%llu", at->name,
		      (unsigned long long)message.fencing_token);
}

/*
 * An issuer counts the time from when it heard the owner last. What it says it heard bounds that time,
 * however late this message is read, and when the owner hears an issuer that does not hear it.
 */
static struct issuer *note_heard(struct node_cell *at, uint64_t sender,
				 const Waxwing__NodeMessage *message, int64_t now_ms)
{
	struct issuer *issuer = g_hash_table_lookup(at->issuers, &sender);

	if (!issuer) {
		issuer = g_new0(struct issuer, 1);
		issuer->sender = sender;
		issuer->gone = true; /* until it has heard this owner */
		g_hash_table_insert(at->issuers, &issuer->sender, issuer);
	}
	if (message->has_echo_ms)
		issuer->echo_ms = MAX(issuer->echo_ms, (int64_t)message->echo_ms);
	if (now_ms - issuer->echo_ms < WAXWING_SILENT_MS)
		issuer->gone = false;
	return issuer;
}

/*
 * After an orderly hand-over, the list of executors that is as new as the ownership names all to which
 * the former owner can have given orders. Otherwise that owner may still go on for a while.
 */
static void check_list(struct node_cell *at, int64_t now_ms)
{
	struct waxwing_node *node = at->node;
	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(at->claim);

	if (at->list_checked || !owner->orderly || now_ms < node->list_sure_ms ||
	    waxwing_store_watch_revision(node->executor_watch) < owner->fencing_token)
		return;
	at->list_checked = true;
	waxwing_cell_list_is_complete(at->cell);
}

void node_owner_run(struct node_cell *at, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (!at->cell)
		return;
	check_list(at, now_ms);
	g_hash_table_iter_init(&iter, at->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct issuer *issuer = value;

		if (issuer->gone || now_ms - issuer->echo_ms < WAXWING_SILENT_MS)
			continue;
		issuer->gone = true;
		waxwing_event("issuer_silent", "cell=%s sender=%016llx", at->name,
			      (unsigned long long)issuer->sender);
		waxwing_cell_forget_issuer(at->cell, now_ms, issuer->sender);
	}
	waxwing_cell_set_day(at->cell, node_day_offset(at->node));
	waxwing_cell_run(at->cell, now_ms);
	waxwing_journal_run(at->journal);
	if (at->fenced_token && at->fenced_token == waxwing_claim_owner(at->claim)->fencing_token)
		waxwing_claim_fenced(at->claim);
}

bool node_owner_keeps_none(const struct node_cell *at)
{
	const struct waxwing_node *node = at->node;

	return waxwing_cell_recovering(at->cell) ||
	       waxwing_journal_delay_ms(at->journal) >= JOURNAL_STUCK_MS ||
	       (node->store_lost_ms && node_now(node) - node->store_lost_ms >= JOURNAL_STUCK_MS);
}

/* The store takes no records now: the job is known not to be accepted here. */
static bool refuse_unkept(struct node_cell *at, uint64_t sender, Waxwing__JobOffer *offer)
{
	Waxwing__JobVerdict verdict = WAXWING__JOB_VERDICT__INIT;

	if (!offer->job->kept || waxwing_journal_delay_ms(at->journal) < JOURNAL_STUCK_MS ||
	    waxwing_cell_knows(at->cell, offer->job->id))
		return false;
	verdict.job = offer->job->id;
	verdict.outcome = WAXWING_JOB_REFUSED;
	verdict.has_reason = true;
	verdict.reason = WAXWING_ERROR_PLATFORM_DOWN;
	verdict.has_retry_after_ms = true;
	verdict.retry_after_ms = JOURNAL_STUCK_RETRY_MS;
	give_verdict(at, sender, &verdict);
	waxwing__job_offer__free_unpacked(offer, NULL);
	return true;
}

void node_owner_offer(struct node_cell *at, uint64_t sender, Waxwing__JobOffer *offer)
{
	if (refuse_unkept(at, sender, offer))
		return;
	waxwing_cell_offer(at->cell, node_now(at->node), sender, offer);
	at->node->touched = true;
}

/* What a pong tells of another cell's owner. */
struct news {
	Waxwing__OwnerNews row; /* first */
	Waxwing__CellOwner owner;
};

/* Adds a row of what a pong tells of queues. */
static void add_waiting(void *data, const char *queue, uint32_t jobs)
{
	Waxwing__QueueWaiting *row = g_new0(Waxwing__QueueWaiting, 1);

	waxwing__queue_waiting__init(row);
	row->queue = (char *)queue;
	row->jobs = jobs;
	g_ptr_array_add(data, row);
}

/* Nodes that the store does not answer learn of new owners from those that know. */
static void add_news(struct node_cell *about, uint64_t known_token, GPtrArray *rows)
{
	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(about->claim);
	struct news *news;

	if (!owner->known || owner->fencing_token <= known_token)
		return;
	news = g_new0(struct news, 1);
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

static GPtrArray *gather_news(const struct waxwing_node *node, const Waxwing__CellPing *ping)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < node->cells->len && i < ping->n_known_tokens; i++)
		add_news(node->cells->pdata[i], ping->known_tokens[i], rows);
	return rows;
}

static void answer_ping(struct node_cell *at, uint64_t sender, const Waxwing__CellPing *ping)
{
	Waxwing__NodeMessage message = begin_message(at);
	Waxwing__CellPong pong = WAXWING__CELL_PONG__INIT;
	GPtrArray *waiting = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *news = gather_news(at->node, ping);
	struct waxwing_cell_view view;
	int64_t now_ms = node_now(at->node);

	waxwing_cell_view(at->cell, now_ms, &view);
	waxwing_cell_waiting(at->cell, add_waiting, waiting);
	pong.ping_ms = ping->sent_ms;
	pong.owner_ms = (uint64_t)now_ms;
	pong.free_milli = view.free_milli;
	pong.wait_ms = view.wait_ms;
	pong.has_keeps_none = true;
	pong.keeps_none = node_owner_keeps_none(at);
	pong.n_waiting = waiting->len;
	pong.waiting = (Waxwing__QueueWaiting **)waiting->pdata;
	pong.n_owners = news->len;
	pong.owners = (Waxwing__OwnerNews **)news->pdata;
	message.pong = &pong;
	send_answer(at, sender, &message);
	g_ptr_array_free(waiting, TRUE);
	g_ptr_array_free(news, TRUE);
}

static void take_offer(struct node_cell *at, const struct issuer *issuer,
		       Waxwing__NodeMessage *message)
{
	Waxwing__NodeMessage answer = begin_message(at);
	int64_t age_ms = node_now(at->node) - (int64_t)message->heard_ms;
	Waxwing__JobOffer *offer = message->offer;

	if (issuer->gone || !message->has_heard_ms || age_ms > OFFER_AGE_MOST_MS + CLOCK_SLACK_MS) {
		waxwing_event("offer_too_old", "cell=%s job=%016llx age_ms=%lld", at->name,
			      (unsigned long long)offer->job->id, (long long)age_ms);
		return;
	}
	/* a job that must be kept is taken once it is stored */
	answer.has_accepted = !offer->job->kept;
	answer.accepted = offer->job->id;
	if (answer.has_accepted)
		send_answer(at, issuer->sender, &answer);
	message->offer = NULL;
	node_owner_offer(at, issuer->sender, offer);
}

void node_owner_message(struct node_cell *at, uint64_t sender, Waxwing__NodeMessage *message)
{
	Waxwing__NodeMessage answer = begin_message(at);
	const struct issuer *issuer;

	if (!at->cell || message->fencing_token != answer.fencing_token) {
		answer.fencing_token = message->fencing_token;
		answer.has_released = true;
		answer.released = true;
		send_answer(at, sender, &answer);
		return;
	}
	issuer = note_heard(at, sender, message, node_now(at->node));
	if (message->ping)
		answer_ping(at, sender, message->ping);
	if (message->has_withdraw)
		waxwing_cell_withdraw(at->cell, node_now(at->node), message->withdraw);
	if (message->ask)
		waxwing_cell_ask(at->cell, node_now(at->node), sender, message->ask);
	if (message->offer)
		take_offer(at, issuer, message);
	at->node->touched = true;
}
