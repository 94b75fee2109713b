#include "node_private.h"

#define LOG_PART "jobs"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* An offer whose receipt is not confirmed is sent again after this. */
#define OFFER_AGAIN_MS 120
/* The same of a job that must be kept: its owner may be reading the journal, and says nothing then. */
#define KEPT_AGAIN_MS 250
/* Such an offer goes to another cell when the owner has said since then that it accepts none. */
#define KEPT_MOVES_MS 100
/* An accepted job's verdict may have been lost: the offer, sent again, has it repeated. */
#define VERDICT_AGAIN_MS 1000
/* A job for which no cell can be reached is refused after this. */
#define NO_CELL_MS	 300
#define NO_CELL_RETRY_MS 1000
/* Another failure domain's cell costs this much more, for the way there and back. */
#define FAR_CELL_MS 4.0
/* A refused job is offered to another cell only if that expects so much less wait. */
#define OTHER_CELL_GAIN_MS 40
/* Share of its run time that a job is expected to be held up by room that is lacking. */
#define LACK_COST 0.5

/* A verdict, kept until the cells have done their work. */
struct verdict_copy {
	struct node_cell *at;
	Waxwing__JobVerdict verdict;
};

void node_pending_free(gpointer value)
{
	struct pending *pending = value;

	waxwing__job__free_unpacked(pending->job, NULL);
	g_free(pending);
}

static uint32_t first_needs_milli(const Waxwing__Job *job)
{
	uint32_t needs = 0;

	for (size_t i = 0; i < job->n_steps; i++)
		if (!job->steps[i]->n_after)
			needs += job->steps[i]->count * job->steps[i]->cpu_milli;
	return needs;
}

static double cell_cost(const struct node_cell *at, const Waxwing__Job *job)
{
	double needs = first_needs_milli(job);
	double cost = at->wait_ms;

	if (strcmp(at->name, at->node->options.zone) != 0)
		cost += FAR_CELL_MS;
	if (needs > at->free_milli)
		cost += (needs - at->free_milli) / needs * LACK_COST * job->steps[0]->estimated_ms;
	return cost;
}

/* The cell that will do the job soonest, but for those of the bits @but; null: none can be reached. */
static struct node_cell *choose_cell(struct waxwing_node *node, const Waxwing__Job *job,
				     uint32_t but, int64_t now_ms)
{
	struct node_cell *best = NULL;
	double best_cost = 0;

	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *at = node->cells->pdata[i];
		double cost;

		if (but & node_cell_bit(at) || !node_cell_reachable(at, now_ms) ||
		    (job->kept && at->keeps_none))
			continue;
		cost = cell_cost(at, job);
		if (!best || cost < best_cost) {
			best = at;
			best_cost = cost;
		}
	}
	return best;
}

/* Until the owner tells anew, the room that the job takes is counted as taken. */
static void note_taken(struct node_cell *at, const Waxwing__Job *job)
{
	uint32_t needs = first_needs_milli(job);

	at->free_milli = at->free_milli > needs ? at->free_milli - needs : 0;
}

static void offer(struct pending *pending, int64_t now_ms)
{
	struct node_cell *at = pending->cell;
	Waxwing__JobOffer fields = WAXWING__JOB_OFFER__INIT;
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	pending->token = waxwing_claim_owner(at->claim)->fencing_token;
	pending->offered_ms = now_ms;
	fields.job = pending->job;
	fields.age_ms = (uint32_t)(now_ms - pending->arrived_ms);
	/* a job that must be kept was not started if the journal does not have it */
	fields.has_running_before = true;
	fields.running_before = pending->offered_before && !pending->job->kept;
	waxwing_event("job_offered",
		      "job=%016llx queue=%s cell=%s token=%llu again=%d age_ms=%u wait_ms=%u "
		      "free_milli=%u news_age_ms=%lld",
		      (unsigned long long)pending->id, pending->job->queue, at->name,
		      (unsigned long long)pending->token, pending->offered_before, fields.age_ms,
		      at->wait_ms, at->free_milli,
		      (long long)(at->cell ? 0 : now_ms - at->heard_ms));
	if (at->cell) {
		pending->accepted = true; /* a message to oneself is not lost */
		node_owner_offer(at, WAXWING_ISSUER_SELF, waxwing_message_copy(&fields.base));
		return;
	}
	message.offer = &fields;
	node_send(at, &message);
}

static void withdraw(struct pending *pending)
{
	struct node_cell *at = pending->cell;
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	if (!at || pending->job->kept)
		return;
	if (at->cell) {
		waxwing_cell_withdraw(at->cell, node_now(at->node), pending->id);
		at->node->touched = true;
		return;
	}
	if (!node_cell_reachable(at, node_now(at->node)))
		return;
	message.has_withdraw = true;
	message.withdraw = pending->id;
	node_send(at, &message);
}

static void answer(struct waxwing_node *node, struct pending *pending,
		   const struct waxwing_node_answer *told)
{
	struct waxwing_ticket *ticket = pending->tickets;

	waxwing_event("job_answered",
		      "job=%016llx cell=%s outcome=%d reason=%s may_have_run=%d "
		      "age_ms=%lld routing=%llu",
		      (unsigned long long)pending->id, pending->cell ? pending->cell->name : "none",
		      told->outcome, waxwing_error_name(told->reason), told->may_have_run,
		      (long long)(node_now(node) - pending->arrived_ms),
		      (unsigned long long)pending->job->routing_version);
	waxwing_histogram_add(&node->answer_ms[told->outcome],
			      node_now(node) - pending->arrived_ms);
	if (told->outcome == WAXWING_JOB_COMPLETED || told->outcome == WAXWING_JOB_STORED) {
		node->completed++;
	} else {
		node->not_completed++;
		node->not_completed_for[told->reason]++;
	}
	g_hash_table_steal(node->pendings, &pending->id);
	while (ticket) {
		struct waxwing_ticket *next = ticket->next;

		ticket->answer(ticket, told);
		ticket = next;
	}
	node_pending_free(pending);
}

static void offer_somewhere(struct waxwing_node *node, struct pending *pending, int64_t now_ms)
{
	pending->cell = choose_cell(node, pending->job, 0, now_ms);
	if (!pending->cell)
		return;
	pending->accepted = false;
	note_taken(pending->cell, pending->job);
	offer(pending, now_ms);
}

void waxwing_node_submit(struct waxwing_node *node, Waxwing__Job *job,
			 struct waxwing_ticket *ticket)
{
	struct pending *pending = g_hash_table_lookup(node->pendings, &job->id);
	int64_t now_ms = node_now(node);

	ticket->job = job->id;
	node->submitted++;
	if (job->kept)
		node->kept_ms = now_ms;
	if (pending) {
		ticket->next = pending->tickets;
		pending->tickets = ticket;
		waxwing__job__free_unpacked(job, NULL);
		return;
	}
	pending = g_new0(struct pending, 1);
	pending->id = job->id;
	pending->job = job;
	pending->arrived_ms = now_ms;
	pending->tickets = ticket;
	ticket->next = NULL;
	g_hash_table_insert(node->pendings, &pending->id, pending);
	offer_somewhere(node, pending, now_ms);
}

void waxwing_node_withdraw(struct waxwing_node *node, struct waxwing_ticket *ticket)
{
	struct pending *pending = g_hash_table_lookup(node->pendings, &ticket->job);
	struct waxwing_ticket **at = pending ? &pending->tickets : NULL;

	while (at && *at && *at != ticket)
		at = &(*at)->next;
	if (!at || !*at)
		return;
	*at = ticket->next;
	if (pending->tickets)
		return;
	waxwing_event("caller_gone", "job=%016llx age_ms=%lld", (unsigned long long)pending->id,
		      (long long)(node_now(node) - pending->arrived_ms));
	withdraw(pending);
	g_hash_table_remove(node->pendings, &pending->id);
}

void node_jobs_accepted(struct node_cell *at, uint64_t job)
{
	struct pending *pending = g_hash_table_lookup(at->node->pendings, &job);

	if (pending && pending->cell == at)
		pending->accepted = true;
}

void node_jobs_verdict(struct node_cell *at, const Waxwing__JobVerdict *verdict)
{
	struct verdict_copy *copy = g_new0(struct verdict_copy, 1);

	copy->at = at;
	copy->verdict = *verdict;
	g_ptr_array_add(at->node->verdicts, copy);
}

/*
 * A refusal for load is true of one cell only, and one for want of executors that may run the job as well. A job
 * that must be kept is offered to all: it may have been sent before, and the cell that has accepted it says so.
 */
static struct node_cell *other_cell(struct waxwing_node *node, struct pending *pending,
				    enum waxwing_error_code reason, int64_t now_ms)
{
	struct node_cell *other;

	pending->refusals |= node_cell_bit(pending->cell);
	other = choose_cell(node, pending->job, pending->refusals, now_ms);
	if (!other || pending->job->kept || reason == WAXWING_ERROR_NO_UPSTREAM)
		return other;
	if (pending->refused_once || cell_cost(other, pending->job) + OTHER_CELL_GAIN_MS >
					     cell_cost(pending->cell, pending->job))
		return NULL;
	pending->refused_once = true;
	return other;
}

static bool try_other_cell(struct waxwing_node *node, struct pending *pending,
			   enum waxwing_error_code reason, int64_t now_ms)
{
	struct node_cell *other = other_cell(node, pending, reason, now_ms);

	if (!other)
		return false;
	pending->cell = other;
	pending->accepted = false;
	pending->offered_before = false;
	note_taken(other, pending->job);
	offer(pending, now_ms);
	return true;
}

static void take_verdict(struct waxwing_node *node, const struct verdict_copy *copy)
{
	const Waxwing__JobVerdict *verdict = &copy->verdict;
	struct pending *pending = g_hash_table_lookup(node->pendings, &verdict->job);
	struct waxwing_node_answer told = {
		.outcome = (enum waxwing_job_outcome)verdict->outcome,
		.reason = (enum waxwing_error_code)verdict->reason,
		.retry_after_ms = verdict->retry_after_ms,
	};

	/* a job that must be kept may have been offered to other cells before */
	if (!pending || (pending->cell != copy->at && told.outcome != WAXWING_JOB_STORED))
		return;
	if (told.outcome == WAXWING_JOB_REFUSED) {
		bool kept = pending->job->kept;

		/* an owner knows whether a former one has stored a job that must be kept */
		told.may_have_run = kept ? pending->may_be_stored : pending->may_have_run;
		if ((kept || !told.may_have_run) &&
		    try_other_cell(node, pending, told.reason, node_now(node)))
			return;
	}
	if (told.outcome == WAXWING_JOB_GIVEN_UP)
		told.may_have_run = true;
	answer(node, pending, &told);
}

void node_jobs_tell(struct waxwing_node *node)
{
	GPtrArray *verdicts = node->verdicts;

	if (!verdicts->len)
		return;
	node->verdicts = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < verdicts->len; i++)
		take_verdict(node, verdicts->pdata[i]);
	g_ptr_array_free(verdicts, TRUE);
}

static void refuse(struct waxwing_node *node, struct pending *pending, bool may_have_run,
		   enum waxwing_error_code reason)
{
	struct waxwing_node_answer told = {
		.outcome = may_have_run ? WAXWING_JOB_GIVEN_UP : WAXWING_JOB_REFUSED,
		.reason = reason,
		.may_have_run = may_have_run,
		.retry_after_ms = NO_CELL_RETRY_MS,
	};

	answer(node, pending, &told);
}

/* The owner is silent, and no other has come: the job goes where it can run, or be kept. */
static void move(struct waxwing_node *node, struct pending *pending, int64_t now_ms)
{
	struct node_cell *to = choose_cell(
		node, pending->job, pending->refusals | node_cell_bit(pending->cell), now_ms);

	if (!to)
		return;
	waxwing_event("job_moved", "job=%016llx from=%s to=%s age_ms=%lld",
		      (unsigned long long)pending->id, pending->cell->name, to->name,
		      (long long)(now_ms - pending->arrived_ms));
	pending->cell = to;
	pending->accepted = false;
	pending->offered_before = false;
	pending->may_have_run = true;
	pending->may_be_stored = true;
	offer(pending, now_ms);
}

/* Its id is claimed in the store: whichever cells it was offered to, one of them accepts it. */
static bool should_move_kept(const struct pending *pending, bool reachable, int64_t now_ms)
{
	return !reachable ||
	       (pending->cell->keeps_none && now_ms - pending->offered_ms >= KEPT_MOVES_MS);
}

static void follow_kept(struct waxwing_node *node, struct pending *pending, int64_t now_ms)
{
	bool reachable = node_cell_reachable(pending->cell, now_ms);

	if (should_move_kept(pending, reachable, now_ms))
		move(node, pending, now_ms);
	if (node_cell_reachable(pending->cell, now_ms) &&
	    now_ms - pending->offered_ms >= KEPT_AGAIN_MS)
		offer(pending, now_ms);
}

static void follow(struct waxwing_node *node, struct pending *pending, int64_t now_ms)
{
	struct node_cell *at = pending->cell;
	const struct waxwing_cell_owner_view *owner = waxwing_claim_owner(at->claim);
	bool reachable = node_cell_reachable(at, now_ms);

	if (reachable && owner->fencing_token != pending->token) {
		pending->offered_before = true;
		pending->may_have_run = true;
		pending->accepted = false;
		offer(pending, now_ms);
	} else if (pending->job->kept) {
		follow_kept(node, pending, now_ms);
	} else if (reachable && !at->cell && !pending->accepted &&
		   now_ms - pending->offered_ms >= OFFER_AGAIN_MS) {
		offer(pending, now_ms);
	} else if (reachable && !at->cell && now_ms - pending->offered_ms >= VERDICT_AGAIN_MS) {
		offer(pending, now_ms);
	} else if (!reachable && now_ms >= at->orders_until_ms) {
		move(node, pending, now_ms);
	}
}

static void run_pending(struct waxwing_node *node, struct pending *pending, int64_t now_ms)
{
	int64_t age_ms = now_ms - pending->arrived_ms;

	if (age_ms >= pending->job->patience_ms) {
		withdraw(pending);
		refuse(node, pending, pending->cell != NULL, WAXWING_ERROR_DEADLINE);
		return;
	}
	if (pending->cell) {
		follow(node, pending, now_ms);
		return;
	}
	offer_somewhere(node, pending, now_ms);
	if (!pending->cell && age_ms >= NO_CELL_MS)
		refuse(node, pending, false, WAXWING_ERROR_NOT_READY);
}

void node_jobs_run(struct waxwing_node *node, int64_t now_ms)
{
	GList *pendings = g_hash_table_get_values(node->pendings);

	for (GList *at = pendings; at; at = at->next)
		run_pending(node, at->data, now_ms);
	g_list_free(pendings);
}

void waxwing_node_give_up(struct waxwing_node *node)
{
	GList *pendings = g_hash_table_get_values(node->pendings);

	for (GList *at = pendings; at; at = at->next) {
		struct pending *pending = at->data;

		withdraw(pending);
		refuse(node, pending, pending->cell != NULL, WAXWING_ERROR_LEAVING);
	}
	g_list_free(pendings);
}

uint32_t waxwing_node_waiting(const struct waxwing_node *node, const char *queue)
{
	uint32_t jobs = 0;

	for (guint i = 0; i < node->cells->len; i++) {
		const struct node_cell *at = node->cells->pdata[i];

		if (!at->cell)
			jobs += GPOINTER_TO_UINT(g_hash_table_lookup(at->waiting, queue));
		else
			jobs += waxwing_cell_waiting_of(at->cell, queue);
	}
	return jobs;
}
