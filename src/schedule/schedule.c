#include "schedule.h"

#define LOG_COMPONENT "schedule"
#include "log.h"

#include "schedule_private.h"

#define DEFAULT_SPAN_MS	    5000
#define DEFAULT_LATENESS_MS 2000
#define MIN_BACKOFF_MS	    500
#define MAX_BACKOFF_MS	    5000
/*
 * The last claimant may have fired jobs during an outage, so it should claim first when the
 * outage ends: it retries more often, and the other instances wait.
 */
#define CLAIMANT_MAX_BACKOFF_MS 1000
#define OUTAGE_RECOVERY_MS	2000
#define MAX_TICK_INTERVAL_MS	1000
/*
 * A lower revision is usually a stale read; if it persists, the platform was restored from an older
 * copy. The lower revision is accepted after this many consecutive reads, by which time every span
 * claimed before the restore has ended.
 */
#define RESTORE_READS		 40
#define RESTORE_READ_INTERVAL_MS 250
/* Interval of reads while the claimant, another instance, is unreachable. */
#define UNREACHABLE_READ_INTERVAL_MS 500

struct waxwing_schedule *waxwing_schedule_create(const struct waxwing_schedule_options *options,
						 int64_t now_ms)
{
	struct waxwing_schedule *schedule = g_new0(struct waxwing_schedule, 1);

	schedule->options = *options;
	schedule->domain = waxwing_str_dup(options->domain);
	schedule->options.domain = waxwing_str(schedule->domain);
	if (!options->span_ms)
		schedule->options.span_ms = DEFAULT_SPAN_MS;
	if (!options->lead_ms)
		schedule->options.lead_ms = schedule->options.span_ms / 2;
	if (!options->lateness_ms)
		schedule->options.lateness_ms = DEFAULT_LATENESS_MS;
	schedule->key = g_strdup_printf("waxwing/schedule/%s", schedule->domain);
	schedule->random = g_rand_new_with_seed((guint32)(options->seed ^ (options->seed >> 32)));
	schedule->jobs = g_array_new(FALSE, FALSE, sizeof(struct waxwing_scheduled_job));
	schedule->cursor_ms = INT64_MIN;
	schedule->outage_cursor_ms = INT64_MIN;
	schedule->until_ms = INT64_MIN;
	schedule->actions = g_queue_new();
	schedule->next_read_ms = now_ms;
	schedule->last_read_ms = now_ms;
	return schedule;
}

static void action_free(void *data)
{
	struct waxwing_schedule_action *action = data;

	if (!action)
		return;
	g_free((char *)action->text.data);
	g_free((char *)action->branch.data);
	g_free((char *)action->job.data);
	g_free(action);
}

void waxwing_schedule_destroy(struct waxwing_schedule *schedule)
{
	if (!schedule)
		return;
	g_queue_free_full(schedule->actions, action_free);
	action_free(schedule->taken);
	g_array_unref(schedule->jobs);
	g_rand_free(schedule->random);
	g_free(schedule->key);
	g_free(schedule->domain);
	g_free(schedule);
}

const char *waxwing_schedule_key(const struct waxwing_schedule *schedule)
{
	return schedule->key;
}

struct waxwing_schedule_action *waxwing_schedule_add_action(struct waxwing_schedule *schedule,
							    enum waxwing_schedule_action_kind kind)
{
	struct waxwing_schedule_action *action = g_new0(struct waxwing_schedule_action, 1);

	action->kind = kind;
	g_queue_push_tail(schedule->actions, action);
	return action;
}

bool waxwing_schedule_next_action(struct waxwing_schedule *schedule,
				  struct waxwing_schedule_action *action)
{
	action_free(schedule->taken);
	schedule->taken = g_queue_pop_head(schedule->actions);
	if (schedule->taken)
		*action = *schedule->taken;
	return schedule->taken != NULL;
}

void waxwing_schedule_set_settings(struct waxwing_schedule *schedule,
				   const struct waxwing_settings *settings, int64_t now_ms)
{
	bool had_no_jobs = schedule->has_settings && !schedule->jobs->len;

	g_array_unref(schedule->jobs);
	schedule->jobs = waxwing_scheduled_jobs_create(settings, schedule->options.domain);
	schedule->has_settings = true;
	if (had_no_jobs)
		schedule->jobs_since_ms = now_ms;
}

static void request_read(struct waxwing_schedule *schedule, int64_t now_ms)
{
	waxwing_schedule_add_action(schedule, WAXWING_SCHEDULE_READ);
	schedule->state = WAXWING_SCHEDULE_STATE_READING;
	schedule->last_read_ms = now_ms;
	schedule->counts.reads++;
}

static void request_write(struct waxwing_schedule *schedule,
			  const struct waxwing_schedule_claim *claim)
{
	struct waxwing_schedule_action *action =
		waxwing_schedule_add_action(schedule, WAXWING_SCHEDULE_WRITE);

	action->text = waxwing_str(waxwing_schedule_claim_print(claim));
	action->revision = schedule->revision;
	schedule->pending = *claim;
	schedule->write_base_revision = schedule->revision;
	schedule->replaced = schedule->known;
	schedule->state = WAXWING_SCHEDULE_STATE_WRITING;
	schedule->counts.writes++;
}

/* Returns how long before the end of the known claim this instance may claim the next span. */
static int64_t claim_lead_ms(const struct waxwing_schedule *schedule)
{
	int64_t lead_ms = schedule->options.lead_ms;

	return waxwing_schedule_owns(schedule, &schedule->known) ? lead_ms : lead_ms / 2;
}

static void wait_for_claim_end(struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t jitter_ms = 0;

	if (!waxwing_schedule_owns(schedule, &schedule->known))
		jitter_ms = g_rand_int_range(schedule->random, 0,
					     (gint32)(schedule->options.lead_ms / 4 + 1));
	schedule->next_read_ms = schedule->known.until_ms - claim_lead_ms(schedule) + jitter_ms;
	schedule->next_read_ms = MAX(schedule->next_read_ms, now_ms + 1);
	schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
}

static void claim_next(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_schedule_claim *known = &schedule->known;
	struct waxwing_schedule_claim claim = { .incarnation = schedule->options.incarnation };

	claim.from_ms = now_ms;
	if (known->incarnation)
		claim.from_ms =
			MAX(known->until_ms, now_ms - (int64_t)schedule->options.lateness_ms);
	claim.until_ms = MAX(claim.from_ms, now_ms) + schedule->options.span_ms;
	claim.done_ms = known->incarnation ? known->until_ms : claim.from_ms;
	if (waxwing_schedule_owns(schedule, known) && claim.from_ms == known->until_ms)
		claim.done_ms = MIN(schedule->cursor_ms, claim.from_ms);
	request_write(schedule, &claim);
}

/* Reports the occurrences between the end of the replaced claim and this instance's new one. */
static void report_unclaimed(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_schedule_claim *before = &schedule->replaced;
	int64_t start_ms = MAX(before->until_ms, schedule->jobs_since_ms);
	bool owned_before = waxwing_schedule_owns(schedule, before);

	if (!before->incarnation || before->until_ms >= schedule->known.from_ms)
		return;
	for (guint i = 0; i < schedule->jobs->len; i++) {
		const struct waxwing_scheduled_job *job = waxwing_schedule_job(schedule, i);

		if (!job->run_on_outage)
			waxwing_schedule_report_missed(
				schedule, job, start_ms, schedule->known.from_ms,
				schedule->restored ? WAXWING_MISSED_UNCERTAIN :
						     WAXWING_MISSED_UNCLAIMED);
		else if (!owned_before)
			waxwing_schedule_report_missed(schedule, job, start_ms, now_ms,
						       WAXWING_MISSED_UNCERTAIN);
	}
	/* The last claimant may have fired run_on_outage jobs until now. */
	if (!owned_before)
		schedule->outage_cursor_ms = MAX(schedule->outage_cursor_ms, now_ms);
}

/* Starts firing within this instance's claim once the platform has stored it. */
static void apply_own_claim(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_schedule_claim *before = &schedule->replaced;
	bool contiguous = waxwing_schedule_owns(schedule, before) &&
			  before->until_ms == schedule->known.from_ms;

	report_unclaimed(schedule, now_ms);
	schedule->restored = false;
	if (before->incarnation && !waxwing_schedule_owns(schedule, before))
		schedule->watched =
			(struct waxwing_watched_claim){ before->incarnation, before->done_ms,
							before->until_ms };
	if (!contiguous) {
		for (guint i = 0; i < schedule->jobs->len; i++)
			waxwing_schedule_report_missed(schedule, waxwing_schedule_job(schedule, i),
						       schedule->cursor_ms, schedule->until_ms,
						       WAXWING_MISSED_LATE);
		schedule->cursor_ms = MAX(schedule->cursor_ms, schedule->known.from_ms);
	}
	schedule->until_ms = schedule->leaving ? schedule->cursor_ms : schedule->known.until_ms;
	schedule->unconfirmed.any = false;
	schedule->replaced = schedule->known;
	waxwing_schedule_fire_claimed(schedule, now_ms);
}

static bool has_unused_span(const struct waxwing_schedule *schedule)
{
	return waxwing_schedule_owns(schedule, &schedule->known) &&
	       schedule->known.until_ms > schedule->cursor_ms;
}

static void release_span(struct waxwing_schedule *schedule)
{
	struct waxwing_schedule_claim claim = schedule->known;

	claim.until_ms = schedule->cursor_ms;
	claim.done_ms = schedule->cursor_ms;
	claim.from_ms = MIN(claim.from_ms, schedule->cursor_ms);
	request_write(schedule, &claim);
}

/* Claims the next span, releases the current one or waits, based on a fresh read. */
static void claim_or_wait(struct waxwing_schedule *schedule, int64_t now_ms)
{
	if (schedule->leaving && has_unused_span(schedule))
		release_span(schedule);
	else if (schedule->leaving || !schedule->jobs->len ||
		 (schedule->known.incarnation &&
		  now_ms < schedule->known.until_ms - claim_lead_ms(schedule)))
		wait_for_claim_end(schedule, now_ms);
	else
		claim_next(schedule, now_ms);
}

static void handle_failure(struct waxwing_schedule *schedule, int64_t now_ms)
{
	uint32_t max_backoff_ms = waxwing_schedule_owns(schedule, &schedule->known) ?
					  CLAIMANT_MAX_BACKOFF_MS :
					  MAX_BACKOFF_MS;
	uint32_t backoff_ms = CLAMP(schedule->backoff_ms, MIN_BACKOFF_MS, max_backoff_ms);

	schedule->outage = true;
	schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
	schedule->next_read_ms =
		now_ms + backoff_ms / 2 + g_rand_int_range(schedule->random, 0, (gint32)backoff_ms);
	schedule->backoff_ms = MIN(2 * backoff_ms, MAX_BACKOFF_MS);
}

static void report_unconfirmed(struct waxwing_schedule *schedule, int64_t from_ms)
{
	for (guint i = 0; i < schedule->jobs->len; i++)
		waxwing_schedule_report_missed(schedule, waxwing_schedule_job(schedule, i),
					       MAX(from_ms, schedule->cursor_ms),
					       schedule->unconfirmed.until_ms,
					       WAXWING_MISSED_UNCERTAIN);
}

/* Determines from a fresh read whether writes that timed out have taken effect. */
static void resolve_unconfirmed(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_schedule_claim *known = &schedule->known;
	struct waxwing_unconfirmed_spans *unconfirmed = &schedule->unconfirmed;
	int64_t from_ms = unconfirmed->from_ms;

	if (!unconfirmed->any || schedule->revision == schedule->write_base_revision)
		return;
	if (waxwing_schedule_owns(schedule, known)) {
		/* Either a write took effect or this instance's previous claim is still stored. */
		unconfirmed->any = false;
		if (known->until_ms > schedule->until_ms)
			apply_own_claim(schedule, now_ms);
		return;
	}
	/* The unclaimed time before the unconfirmed spans has not been reported either. */
	if (schedule->replaced.incarnation)
		from_ms = MIN(from_ms, schedule->replaced.until_ms);
	if (!waxwing_unconfirmed_spans_disproved(unconfirmed, known))
		report_unconfirmed(schedule, from_ms);
	unconfirmed->any = false;
}

static bool is_stale(struct waxwing_schedule *schedule, uint64_t revision)
{
	if (revision >= schedule->revision) {
		schedule->lower_revision_reads = 0;
		return false;
	}
	if (++schedule->lower_revision_reads < RESTORE_READS)
		return true;
	log_warning("the claim of %s has a lower revision: the platform was restored",
		    schedule->domain);
	schedule->lower_revision_reads = 0;
	schedule->restored = true;
	if (schedule->unconfirmed.any)
		report_unconfirmed(schedule, schedule->unconfirmed.from_ms);
	schedule->unconfirmed.any = false;
	return false;
}

/* Sets the known claim to the claim read; after a restore, keeps the known one if it ends later. */
static void apply_read(struct waxwing_schedule *schedule, struct waxwing_str text)
{
	const struct waxwing_schedule_claim before = schedule->known;

	if (!waxwing_schedule_claim_parse(text, &schedule->known))
		log_warning("ignoring the malformed claim of %s", schedule->domain);
	if (schedule->restored && before.until_ms > schedule->known.until_ms)
		schedule->known = before;
}

static bool other_claimant_is_alive(const struct waxwing_schedule *schedule)
{
	return schedule->known.incarnation && !waxwing_schedule_owns(schedule, &schedule->known) &&
	       schedule->options.alive(schedule->options.context, schedule->known.incarnation);
}

void waxwing_schedule_read_done(struct waxwing_schedule *schedule, int64_t now_ms,
				enum waxwing_error_code code, uint64_t revision,
				struct waxwing_str text)
{
	bool recovered = schedule->outage;

	waxwing_schedule_fire_due(schedule, now_ms);
	if (code != WAXWING_OK) {
		handle_failure(schedule, now_ms);
		return;
	}
	schedule->outage = false;
	schedule->backoff_ms = 0;
	if (is_stale(schedule, revision)) {
		schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
		schedule->next_read_ms = now_ms + RESTORE_READ_INTERVAL_MS;
		return;
	}
	schedule->revision = revision;
	apply_read(schedule, text);
	resolve_unconfirmed(schedule, now_ms);
	if (recovered && other_claimant_is_alive(schedule)) {
		schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
		schedule->next_read_ms = now_ms + OUTAGE_RECOVERY_MS;
		return;
	}
	claim_or_wait(schedule, now_ms);
}

void waxwing_schedule_write_done(struct waxwing_schedule *schedule, int64_t now_ms,
				 enum waxwing_error_code code)
{
	waxwing_schedule_fire_due(schedule, now_ms);
	schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
	switch (code) {
	case WAXWING_OK:
		schedule->outage = false;
		schedule->known = schedule->pending;
		schedule->revision++; /* a lower bound of the actual revision */
		apply_own_claim(schedule, now_ms);
		if (schedule->leaving && has_unused_span(schedule))
			request_read(schedule, now_ms);
		else
			wait_for_claim_end(schedule, now_ms);
		return;
	case WAXWING_ERROR_TIMEOUT:
		waxwing_unconfirmed_spans_add(&schedule->unconfirmed, &schedule->pending);
		request_read(schedule, now_ms);
		return;
	case WAXWING_ERROR_CONFLICT:
		request_read(schedule, now_ms);
		return;
	default:
		handle_failure(schedule, now_ms);
	}
}

/* Returns whether to read early: an unreachable claimant may have released its claim. */
static bool claimant_is_unreachable(const struct waxwing_schedule *schedule, int64_t now_ms)
{
	return schedule->known.incarnation && !waxwing_schedule_owns(schedule, &schedule->known) &&
	       now_ms >= schedule->last_read_ms + UNREACHABLE_READ_INTERVAL_MS &&
	       !schedule->options.alive(schedule->options.context, schedule->known.incarnation);
}

void waxwing_schedule_tick(struct waxwing_schedule *schedule, int64_t now_ms)
{
	waxwing_schedule_fire_due(schedule, now_ms);
	if (schedule->state != WAXWING_SCHEDULE_STATE_WAITING || schedule->leaving ||
	    !schedule->jobs->len)
		return;
	if (now_ms >= schedule->next_read_ms || claimant_is_unreachable(schedule, now_ms))
		request_read(schedule, now_ms);
}

int64_t waxwing_schedule_next_tick_ms(const struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t next_ms = now_ms + MAX_TICK_INTERVAL_MS;

	if (schedule->state == WAXWING_SCHEDULE_STATE_WAITING && schedule->jobs->len &&
	    !schedule->leaving)
		next_ms = MIN(next_ms, schedule->next_read_ms);
	for (guint i = 0; i < schedule->jobs->len; i++) {
		const struct waxwing_scheduled_job *job = waxwing_schedule_job(schedule, i);
		int64_t due_ms;

		if (schedule->cursor_ms >= schedule->until_ms)
			break;
		due_ms = waxwing_occurrence_next(job, waxwing_schedule_job_cursor(schedule, job));
		if (due_ms < schedule->until_ms)
			next_ms = MIN(next_ms, due_ms);
	}
	return MAX(next_ms, now_ms + 1);
}

void waxwing_schedule_leave(struct waxwing_schedule *schedule, int64_t now_ms)
{
	if (schedule->leaving)
		return;
	waxwing_schedule_fire_due(schedule, now_ms);
	schedule->leaving = true;
	schedule->until_ms = schedule->cursor_ms;
	if (schedule->state == WAXWING_SCHEDULE_STATE_WAITING && has_unused_span(schedule))
		request_read(schedule, now_ms);
}

bool waxwing_schedule_has_left(const struct waxwing_schedule *schedule)
{
	return schedule->leaving && schedule->state == WAXWING_SCHEDULE_STATE_WAITING;
}

void waxwing_schedule_view(const struct waxwing_schedule *schedule,
			   struct waxwing_schedule_view *view)
{
	*view = schedule->counts;
	view->jobs = schedule->jobs->len;
	view->outage = schedule->outage;
	if (schedule->until_ms > schedule->cursor_ms)
		view->claimed_until_ms = schedule->until_ms;
}
