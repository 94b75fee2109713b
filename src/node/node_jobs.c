#include "node_private.h"

#define LOG_COMPONENT "jobs"
#include "event_log.h"
#include "log.h"

#include "message.h"

/* Delay before an offer without confirmed receipt is sent again. */
#define OFFER_RETRY_MS 120
/*
 * Delay before an unanswered offer of a durable job is sent again. The owner does not answer while
 * it reads the journal.
 */
#define DURABLE_OFFER_RETRY_MS 250
/*
 * Time after an offer at which a durable job moves to another cell if the owner reports that it
 * accepts no durable jobs.
 */
#define DURABLE_MOVE_DELAY_MS 100
/*
 * The verdict on an accepted job may have been lost; sending the offer again makes the owner repeat
 * the verdict.
 */
#define VERDICT_RETRY_MS 1000
/*
 * A job is refused if no cell becomes reachable within this time: after the loss of an owner, its
 * entry lapses within 1000 ms, and the claim takes up to 300 ms more.
 */
#define NO_CELL_TIMEOUT_MS 1300
/* Part of the caller's timeout for which a job may wait for a cell; the rest is for its run. */
#define NO_CELL_WAIT_SHARE 0.4
#define NO_CELL_RETRY_MS   1000
/* Additional cost of a cell in another failure domain, for the round trip. */
#define REMOTE_CELL_COST_MS 4.0
/*
 * A refused job is offered to another cell only if the expected wait there is shorter by this much.
 */
#define MIN_MOVE_GAIN_MS 40
/*
 * Expected delay of a job, as a share of its run time, if the cell lacks all the CPU that the job
 * needs.
 */
#define CPU_SHORTFALL_COST 0.5

/* A verdict, queued until the cells have run. */
struct queued_verdict {
	struct node_cell *cell;
	Waxwing__JobVerdict verdict;
};

void node_pending_job_free(gpointer value)
{
	struct pending_job *pending = value;

	waxwing__job__free_unpacked(pending->job, NULL);
	g_free(pending);
}

static uint32_t initial_cpu_milli(const Waxwing__Job *job)
{
	uint32_t cpu_milli = 0;

	for (size_t i = 0; i < job->n_steps; i++)
		if (!job->steps[i]->n_after)
			cpu_milli += job->steps[i]->count * job->steps[i]->cpu_milli;
	return cpu_milli;
}

static double cell_cost(const struct node_cell *cell, const Waxwing__Job *job)
{
	double cpu_milli = initial_cpu_milli(job);
	double cost = cell->wait_ms;

	if (strcmp(cell->name, cell->node->options.zone) != 0)
		cost += REMOTE_CELL_COST_MS;
	if (cpu_milli > cell->free_milli)
		cost += (cpu_milli - cell->free_milli) / cpu_milli * CPU_SHORTFALL_COST *
			job->steps[0]->estimated_ms;
	return cost + node_racks_far_cost_ms(cell, job);
}

/* Returns the cells of evacuated failure domains, as a bit set. */
static uint32_t evacuated_cells(const struct waxwing_node *node)
{
	uint32_t cells = 0;

	for (guint i = 0; i < node->cells->len; i++) {
		const struct node_cell *cell = node->cells->pdata[i];

		if (cell->evacuated)
			cells |= node_cell_bit(cell);
	}
	return cells;
}

/*
 * Returns the reachable cell that is expected to finish the job soonest, except @excluded_cells (a
 * bit set); null: none.
 */
static struct node_cell *choose_among(struct waxwing_node *node, const Waxwing__Job *job,
				      uint32_t excluded_cells, int64_t now_ms)
{
	struct node_cell *best = NULL;
	double best_cost = 0;

	for (guint i = 0; i < node->cells->len; i++) {
		struct node_cell *cell = node->cells->pdata[i];
		double cost;

		if (excluded_cells & node_cell_bit(cell) || !node_cell_reachable(cell, now_ms) ||
		    (job->kept && cell->rejects_durable_jobs))
			continue;
		cost = cell_cost(cell, job);
		if (!best || cost < best_cost) {
			best = cell;
			best_cost = cost;
		}
	}
	return best;
}

/*
 * The same without the cells of evacuated failure domains. A durable job is offered to them last:
 * one that has accepted the job before confirms it.
 */
static struct node_cell *choose_cell(struct waxwing_node *node, const Waxwing__Job *job,
				     uint32_t excluded_cells, int64_t now_ms)
{
	uint32_t evacuated = evacuated_cells(node);
	struct node_cell *best = choose_among(node, job, excluded_cells | evacuated, now_ms);

	if (best || !evacuated || !job->kept)
		return best;
	return choose_among(node, job, excluded_cells, now_ms);
}

/*
 * Subtracts the CPU that the job needs from the cell's free capacity until the owner's next report.
 */
static void reserve_cpu(struct node_cell *cell, const Waxwing__Job *job)
{
	uint32_t cpu_milli = initial_cpu_milli(job);

	cell->free_milli = cell->free_milli > cpu_milli ? cell->free_milli - cpu_milli : 0;
}

static void send_offer(struct pending_job *pending, int64_t now_ms)
{
	struct node_cell *cell = pending->cell;
	Waxwing__JobOffer job_offer = WAXWING__JOB_OFFER__INIT;
	Waxwing__NodeMessage message = WAXWING__NODE_MESSAGE__INIT;

	pending->offered_token = waxwing_cell_claim_owner(cell->claim)->fencing_token;
	pending->offered_ms = now_ms;
	node_withdrawals_remove(cell, pending->id);
	job_offer.job = pending->job;
	job_offer.age_ms = (uint32_t)(now_ms - pending->arrived_ms);
	/* A durable job was not started if the journal does not contain it. */
	job_offer.has_running_before = true;
	job_offer.running_before = pending->offered_to_former_owner && !pending->job->kept;
	job_offer.has_former_token = job_offer.running_before;
	job_offer.former_token = pending->former_token;
	waxwing_event("job_offered",
		      "job=%016llx queue=%s cell=%s token=%llu again=%d age_ms=%u wait_ms=%u "
		      "free_milli=%u news_age_ms=%lld",
		      (unsigned long long)pending->id, pending->job->queue, cell->name,
		      (unsigned long long)pending->offered_token, pending->offered_to_former_owner,
		      job_offer.age_ms, cell->wait_ms, cell->free_milli,
		      (long long)(cell->owned ? 0 : now_ms - cell->last_pong_ms));
	if (cell->owned) {
		pending->accepted = true; /* the offer is a local call and cannot be lost */
		node_owner_offer(cell, WAXWING_ISSUER_SELF, waxwing_message_copy(&job_offer.base));
		return;
	}
	message.offer = &job_offer;
	node_send(cell, &message);
}

static void withdraw_job(struct pending_job *pending)
{
	struct node_cell *cell = pending->cell;

	if (!cell || pending->job->kept)
		return;
	if (!cell->owned) {
		node_withdrawals_add(cell, pending->id);
		return;
	}
	waxwing_cell_withdraw(cell->owned, node_now(cell->node), WAXWING_ISSUER_SELF, pending->id);
	cell->node->has_events = true;
}

static void answer_job(struct waxwing_node *node, struct pending_job *pending,
		       const struct waxwing_node_answer *node_answer)
{
	struct waxwing_job_waiter *waiter = pending->waiters;

	waxwing_event("job_answered",
		      "job=%016llx cell=%s outcome=%d reason=%s may_have_run=%d "
		      "age_ms=%lld routing=%llu",
		      (unsigned long long)pending->id, pending->cell ? pending->cell->name : "none",
		      node_answer->outcome, waxwing_error_name(node_answer->reason),
		      node_answer->may_have_run, (long long)(node_now(node) - pending->arrived_ms),
		      (unsigned long long)pending->job->routing_version);
	waxwing_histogram_add(&node->answer_ms[node_answer->outcome],
			      node_now(node) - pending->arrived_ms);
	if (node_answer->outcome == WAXWING_JOB_COMPLETED ||
	    node_answer->outcome == WAXWING_JOB_STORED) {
		node->completed++;
	} else {
		node->not_completed++;
		node->not_completed_by_reason[node_answer->reason]++;
	}
	g_hash_table_steal(node->pending_jobs, &pending->id);
	while (waiter) {
		struct waxwing_job_waiter *next = waiter->next;

		waiter->answer(waiter, node_answer);
		waiter = next;
	}
	node_pending_job_free(pending);
}

static void offer_to_best_cell(struct waxwing_node *node, struct pending_job *pending,
			       int64_t now_ms)
{
	pending->cell = node_withdrawals_find(node, pending->id, now_ms);
	if (!pending->cell)
		pending->cell = choose_cell(node, pending->job, 0, now_ms);
	if (!pending->cell)
		return;
	pending->accepted = false;
	reserve_cpu(pending->cell, pending->job);
	send_offer(pending, now_ms);
}

/* Returns the time within which the job is expected to end, if its steps run one after the other. */
static double target_duration_ms(const Waxwing__Job *job)
{
	double estimated_ms = 0;

	for (size_t i = 0; i < job->n_steps; i++)
		estimated_ms += job->steps[i]->estimated_ms;
	return job->allowance_ms + job->stretch_milli / 1000.0 * estimated_ms;
}

/*
 * A node that leaves goes on serving callers whose connections it still gets; a durable job is
 * answered as soon as it is stored.
 */
static bool ends_after_leaving(const struct waxwing_node *node, const Waxwing__Job *job,
			       int64_t now_ms)
{
	double needed_ms = job->kept ? DURABLE_OFFER_RETRY_MS : target_duration_ms(job);

	return node->leaving && (double)now_ms + needed_ms > (double)node->leave_by_ms;
}

void waxwing_node_submit(struct waxwing_node *node, Waxwing__Job *job,
			 struct waxwing_job_waiter *waiter)
{
	struct pending_job *pending = g_hash_table_lookup(node->pending_jobs, &job->id);
	int64_t now_ms = node_now(node);

	waiter->job = job->id;
	node->submitted++;
	if (job->kept)
		node->last_durable_job_ms = now_ms;
	if (pending) {
		waiter->next = pending->waiters;
		pending->waiters = waiter;
		waxwing__job__free_unpacked(job, NULL);
		return;
	}
	pending = g_new0(struct pending_job, 1);
	pending->id = job->id;
	pending->job = job;
	pending->arrived_ms = now_ms - waiter->waited_ms;
	pending->waiters = waiter;
	waiter->next = NULL;
	g_hash_table_insert(node->pending_jobs, &pending->id, pending);
	pending->too_late = ends_after_leaving(node, job, now_ms);
	if (!pending->too_late)
		offer_to_best_cell(node, pending, now_ms);
}

void waxwing_node_withdraw(struct waxwing_node *node, struct waxwing_job_waiter *waiter)
{
	struct pending_job *pending = g_hash_table_lookup(node->pending_jobs, &waiter->job);
	struct waxwing_job_waiter **link = pending ? &pending->waiters : NULL;

	while (link && *link && *link != waiter)
		link = &(*link)->next;
	if (!link || !*link)
		return;
	*link = waiter->next;
	if (pending->waiters)
		return;
	waxwing_event("caller_gone", "job=%016llx age_ms=%lld", (unsigned long long)pending->id,
		      (long long)(node_now(node) - pending->arrived_ms));
	withdraw_job(pending);
	g_hash_table_remove(node->pending_jobs, &pending->id);
}

void node_jobs_set_accepted(struct node_cell *cell, uint64_t job)
{
	struct pending_job *pending = g_hash_table_lookup(cell->node->pending_jobs, &job);

	if (pending && pending->cell == cell)
		pending->accepted = true;
}

void node_jobs_add_verdict(struct node_cell *cell, const Waxwing__JobVerdict *verdict)
{
	struct queued_verdict *queued = g_new0(struct queued_verdict, 1);

	queued->cell = cell;
	queued->verdict = *verdict;
	g_ptr_array_add(cell->node->verdicts, queued);
}

/*
 * A refusal for load, or for lack of suitable executors, applies to one cell only: others are asked
 * until one has a place, since what is known of their room may be out of date. A durable job is
 * offered to all cells: it may have been submitted before, and the cell that accepted it then
 * confirms it.
 */
static struct node_cell *choose_other_cell(struct waxwing_node *node, struct pending_job *pending,
					   enum waxwing_error_code reason, int64_t now_ms)
{
	struct node_cell *other;

	pending->refused_cells |= node_cell_bit(pending->cell);
	other = choose_cell(node, pending->job, pending->refused_cells, now_ms);
	if (!other || pending->job->kept || reason == WAXWING_ERROR_NO_UPSTREAM ||
	    reason == WAXWING_ERROR_OVERLOAD)
		return other;
	if (pending->moved_after_refusal || cell_cost(other, pending->job) + MIN_MOVE_GAIN_MS >
						    cell_cost(pending->cell, pending->job))
		return NULL;
	pending->moved_after_refusal = true;
	return other;
}

static bool try_other_cell(struct waxwing_node *node, struct pending_job *pending,
			   enum waxwing_error_code reason, int64_t now_ms)
{
	struct node_cell *other = choose_other_cell(node, pending, reason, now_ms);

	if (!other)
		return false;
	pending->cell = other;
	pending->accepted = false;
	pending->offered_to_former_owner = false;
	reserve_cpu(other, pending->job);
	send_offer(pending, now_ms);
	return true;
}

static void handle_verdict(struct waxwing_node *node, const struct queued_verdict *queued)
{
	const Waxwing__JobVerdict *verdict = &queued->verdict;
	struct pending_job *pending = g_hash_table_lookup(node->pending_jobs, &verdict->job);
	struct waxwing_node_answer node_answer = {
		.outcome = (enum waxwing_job_outcome)verdict->outcome,
		.reason = (enum waxwing_error_code)verdict->reason,
		.retry_after_ms = verdict->retry_after_ms,
	};

	/*
	 * Any cell may report a durable job as stored, because the job may have been offered to
	 * that cell before.
	 */
	if (!pending ||
	    (pending->cell != queued->cell && node_answer.outcome != WAXWING_JOB_STORED))
		return;
	if (node_answer.outcome == WAXWING_JOB_REFUSED) {
		bool durable = pending->job->kept;

		/* For a durable job, an owner knows whether a former owner has stored it. */
		node_answer.may_have_run = durable ? pending->may_be_stored : pending->may_have_run;
		if ((durable || !node_answer.may_have_run) &&
		    try_other_cell(node, pending, node_answer.reason, node_now(node)))
			return;
	}
	if (node_answer.outcome == WAXWING_JOB_GIVEN_UP)
		node_answer.may_have_run = true;
	answer_job(node, pending, &node_answer);
}

void node_jobs_process_verdicts(struct waxwing_node *node)
{
	GPtrArray *verdicts = node->verdicts;

	if (!verdicts->len)
		return;
	node->verdicts = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < verdicts->len; i++)
		handle_verdict(node, verdicts->pdata[i]);
	g_ptr_array_free(verdicts, TRUE);
}

static void refuse_job(struct waxwing_node *node, struct pending_job *pending, bool may_have_run,
		       enum waxwing_error_code reason)
{
	struct waxwing_node_answer node_answer = {
		.outcome = may_have_run ? WAXWING_JOB_GIVEN_UP : WAXWING_JOB_REFUSED,
		.reason = reason,
		.may_have_run = may_have_run,
		.retry_after_ms = NO_CELL_RETRY_MS,
	};

	answer_job(node, pending, &node_answer);
}

/*
 * Moves the job to another cell: the owner is unreachable or refuses to store the job, and there is
 * no successor.
 */
static void move_job(struct waxwing_node *node, struct pending_job *pending, int64_t now_ms)
{
	struct node_cell *to = choose_cell(
		node, pending->job, pending->refused_cells | node_cell_bit(pending->cell), now_ms);

	if (!to)
		return;
	waxwing_event("job_moved", "job=%016llx from=%s to=%s age_ms=%lld",
		      (unsigned long long)pending->id, pending->cell->name, to->name,
		      (long long)(now_ms - pending->arrived_ms));
	pending->cell = to;
	pending->accepted = false;
	pending->offered_to_former_owner = false;
	pending->may_have_run = true;
	pending->may_be_stored = true;
	send_offer(pending, now_ms);
}

/*
 * Moving a durable job is safe: its id is claimed in the store, so only one of the
 * cells accepts it.
 */
static bool should_move_durable_job(const struct pending_job *pending, bool reachable,
				    int64_t now_ms)
{
	return !reachable || (pending->cell->rejects_durable_jobs &&
			      now_ms - pending->offered_ms >= DURABLE_MOVE_DELAY_MS);
}

static void update_durable_offer(struct waxwing_node *node, struct pending_job *pending,
				 int64_t now_ms)
{
	bool reachable = node_cell_reachable(pending->cell, now_ms);

	if (should_move_durable_job(pending, reachable, now_ms))
		move_job(node, pending, now_ms);
	if (node_cell_reachable(pending->cell, now_ms) &&
	    now_ms - pending->offered_ms >= DURABLE_OFFER_RETRY_MS)
		send_offer(pending, now_ms);
}

static void update_offer(struct waxwing_node *node, struct pending_job *pending, int64_t now_ms)
{
	struct node_cell *cell = pending->cell;
	const struct waxwing_cell_owner_view *owner = waxwing_cell_claim_owner(cell->claim);
	bool reachable = node_cell_reachable(cell, now_ms);

	if (reachable && owner->fencing_token != pending->offered_token) {
		if (!pending->offered_to_former_owner)
			pending->former_token = pending->offered_token;
		pending->offered_to_former_owner = true;
		pending->may_have_run = true;
		pending->accepted = false;
		send_offer(pending, now_ms);
	} else if (pending->job->kept) {
		update_durable_offer(node, pending, now_ms);
	} else if (reachable && !cell->owned && !pending->accepted &&
		   now_ms - pending->offered_ms >= OFFER_RETRY_MS) {
		send_offer(pending, now_ms);
	} else if (reachable && !cell->owned && now_ms - pending->offered_ms >= VERDICT_RETRY_MS) {
		send_offer(pending, now_ms);
	} else if (!reachable && now_ms >= cell->orders_expire_ms) {
		move_job(node, pending, now_ms);
	}
}

/*
 * Returns how long a job waits for a cell whose owner is reachable. While the store does not
 * answer, no cell gets a new owner, so waiting is of no use.
 */
static double no_cell_timeout_ms(const struct waxwing_node *node, const struct pending_job *pending,
				 int64_t now_ms)
{
	if (node->store_lost_ms && now_ms - node->store_lost_ms >= NO_CELL_TIMEOUT_MS)
		return 0;
	return MIN(NO_CELL_TIMEOUT_MS, pending->job->patience_ms * NO_CELL_WAIT_SHARE);
}

static void run_pending_job(struct waxwing_node *node, struct pending_job *pending, int64_t now_ms)
{
	int64_t age_ms = now_ms - pending->arrived_ms;

	if (pending->too_late) {
		refuse_job(node, pending, false, WAXWING_ERROR_LEAVING);
		return;
	}
	if (age_ms >= pending->job->patience_ms) {
		withdraw_job(pending);
		refuse_job(node, pending, pending->cell != NULL, WAXWING_ERROR_DEADLINE);
		return;
	}
	if (pending->cell) {
		update_offer(node, pending, now_ms);
		return;
	}
	offer_to_best_cell(node, pending, now_ms);
	if (!pending->cell && !pending->job->kept && node_evacuation_of_all(node)) {
		node->refused_evacuated++;
		refuse_job(node, pending, false, WAXWING_ERROR_NO_UPSTREAM);
		return;
	}
	if (!pending->cell && (double)age_ms >= no_cell_timeout_ms(node, pending, now_ms))
		refuse_job(node, pending, false, WAXWING_ERROR_NOT_READY);
}

void node_jobs_run(struct waxwing_node *node, int64_t now_ms)
{
	GList *jobs = g_hash_table_get_values(node->pending_jobs);

	for (GList *item = jobs; item; item = item->next)
		run_pending_job(node, item->data, now_ms);
	g_list_free(jobs);
}

void waxwing_node_abort_pending(struct waxwing_node *node)
{
	GList *jobs = g_hash_table_get_values(node->pending_jobs);

	node_queries_abort(node);

	for (GList *item = jobs; item; item = item->next) {
		struct pending_job *pending = item->data;

		withdraw_job(pending);
		refuse_job(node, pending, pending->cell != NULL, WAXWING_ERROR_LEAVING);
	}
	g_list_free(jobs);
}

uint32_t waxwing_node_count_waiting(const struct waxwing_node *node, const char *queue)
{
	uint32_t jobs = 0;

	for (guint i = 0; i < node->cells->len; i++) {
		const struct node_cell *cell = node->cells->pdata[i];

		if (!cell->owned)
			jobs += GPOINTER_TO_UINT(g_hash_table_lookup(cell->waiting_jobs, queue));
		else
			jobs += waxwing_cell_waiting_jobs(cell->owned, queue);
	}
	return jobs;
}
