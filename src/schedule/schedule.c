#include "schedule.h"

#define LOG_PART "schedule"
#include "log.h"

#include "schedule_private.h"

#define DEFAULT_SPAN_MS	    5000
#define DEFAULT_LATENESS_MS 2000
#define FIRST_BACKOFF_MS    500
#define LONGEST_BACKOFF_MS  5000
/* The last claimant looks more often, and the others let it go first, since it may run on. */
#define CLAIMANT_BACKOFF_MS 1000
#define AFTER_OUTAGE_MS	    2000
#define LONGEST_SLEEP_MS    1000
/*
 * A lower revision is a stale read, but for one that stays: a platform restored from an older copy. So
 * many reads in a row are believed, after which every span claimed before the restore has ended as well.
 */
#define LOWER_READS   40
#define LOWER_LOOK_MS 250
/* How often another's claim is looked at while its claimant seems gone. */
#define GONE_LOOK_MS 500

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
	schedule->check_ms = now_ms;
	schedule->looked_ms = now_ms;
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

bool waxwing_schedule_take(struct waxwing_schedule *schedule,
			   struct waxwing_schedule_action *action)
{
	action_free(schedule->taken);
	schedule->taken = g_queue_pop_head(schedule->actions);
	if (schedule->taken)
		*action = *schedule->taken;
	return schedule->taken != NULL;
}

void waxwing_schedule_settings(struct waxwing_schedule *schedule,
			       const struct waxwing_settings *settings, int64_t now_ms)
{
	bool had_none = schedule->has_settings && !schedule->jobs->len;

	g_array_unref(schedule->jobs);
	schedule->jobs = waxwing_scheduled_jobs(settings, schedule->options.domain);
	schedule->has_settings = true;
	if (had_none)
		schedule->jobs_since_ms = now_ms;
}

static void ask_read(struct waxwing_schedule *schedule, int64_t now_ms)
{
	waxwing_schedule_add_action(schedule, WAXWING_SCHEDULE_READ);
	schedule->state = WAXWING_SCHEDULE_STATE_READING;
	schedule->looked_ms = now_ms;
	schedule->counts.reads++;
}

static void ask_write(struct waxwing_schedule *schedule, const struct waxwing_claim *claim)
{
	struct waxwing_schedule_action *action =
		waxwing_schedule_add_action(schedule, WAXWING_SCHEDULE_WRITE);

	action->text = waxwing_str(waxwing_claim_print(claim));
	action->revision = schedule->revision;
	schedule->pending = *claim;
	schedule->written_on = schedule->revision;
	schedule->replaced = schedule->known;
	schedule->state = WAXWING_SCHEDULE_STATE_WRITING;
	schedule->counts.writes++;
}

/* How long before its end the known claim may be followed by one of this instance. */
static int64_t own_lead_ms(const struct waxwing_schedule *schedule)
{
	int64_t lead_ms = schedule->options.lead_ms;

	return waxwing_schedule_owns(schedule, &schedule->known) ? lead_ms : lead_ms / 2;
}

static void wait_for_end(struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t jitter_ms = 0;

	if (!waxwing_schedule_owns(schedule, &schedule->known))
		jitter_ms = g_rand_int_range(schedule->random, 0,
					     (gint32)(schedule->options.lead_ms / 4 + 1));
	schedule->check_ms = schedule->known.until_ms - own_lead_ms(schedule) + jitter_ms;
	schedule->check_ms = MAX(schedule->check_ms, now_ms + 1);
	schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
}

static void claim_next(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_claim *known = &schedule->known;
	struct waxwing_claim claim = { .incarnation = schedule->options.incarnation };

	claim.from_ms = now_ms;
	if (known->incarnation)
		claim.from_ms =
			MAX(known->until_ms, now_ms - (int64_t)schedule->options.lateness_ms);
	claim.until_ms = MAX(claim.from_ms, now_ms) + schedule->options.span_ms;
	claim.done_ms = known->incarnation ? known->until_ms : claim.from_ms;
	if (waxwing_schedule_owns(schedule, known) && claim.from_ms == known->until_ms)
		claim.done_ms = MIN(schedule->cursor_ms, claim.from_ms);
	ask_write(schedule, &claim);
}

/* What nobody had claimed before the own new claim. */
static void report_gap(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_claim *before = &schedule->replaced;
	int64_t start_ms = MAX(before->until_ms, schedule->jobs_since_ms);
	bool own = waxwing_schedule_owns(schedule, before);

	if (!before->incarnation || before->until_ms >= schedule->known.from_ms)
		return;
	for (guint i = 0; i < schedule->jobs->len; i++) {
		const struct waxwing_scheduled_job *job = waxwing_schedule_job(schedule, i);

		if (!job->run_on_outage)
			waxwing_schedule_report_missed(
				schedule, job, start_ms, schedule->known.from_ms,
				schedule->restored ? WAXWING_MISSED_UNCERTAIN :
						     WAXWING_MISSED_UNCLAIMED);
		else if (!own)
			waxwing_schedule_report_missed(schedule, job, start_ms, now_ms,
						       WAXWING_MISSED_UNCERTAIN);
	}
	/* The last claimant may have run these. */
	if (!own)
		schedule->outage_cursor_ms = MAX(schedule->outage_cursor_ms, now_ms);
}

/* The platform has the own claim: it may be fired from now on. */
static void adopt(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_claim *before = &schedule->replaced;
	bool contiguous = waxwing_schedule_owns(schedule, before) &&
			  before->until_ms == schedule->known.from_ms;

	report_gap(schedule, now_ms);
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
	schedule->unsettled.any = false;
	schedule->replaced = schedule->known;
	waxwing_schedule_fire_claimed(schedule, now_ms);
}

static bool holds_rest(const struct waxwing_schedule *schedule)
{
	return waxwing_schedule_owns(schedule, &schedule->known) &&
	       schedule->known.until_ms > schedule->cursor_ms;
}

static void give_back(struct waxwing_schedule *schedule)
{
	struct waxwing_claim claim = schedule->known;

	claim.until_ms = schedule->cursor_ms;
	claim.done_ms = schedule->cursor_ms;
	claim.from_ms = MIN(claim.from_ms, schedule->cursor_ms);
	ask_write(schedule, &claim);
}

/* The known claim is fresh: claim, give back or wait. */
static void decide(struct waxwing_schedule *schedule, int64_t now_ms)
{
	if (schedule->leaving && holds_rest(schedule))
		give_back(schedule);
	else if (schedule->leaving || !schedule->jobs->len ||
		 (schedule->known.incarnation &&
		  now_ms < schedule->known.until_ms - own_lead_ms(schedule)))
		wait_for_end(schedule, now_ms);
	else
		claim_next(schedule, now_ms);
}

static void failed(struct waxwing_schedule *schedule, int64_t now_ms)
{
	uint32_t longest_ms = waxwing_schedule_owns(schedule, &schedule->known) ?
				      CLAIMANT_BACKOFF_MS :
				      LONGEST_BACKOFF_MS;
	uint32_t backoff_ms = CLAMP(schedule->backoff_ms, FIRST_BACKOFF_MS, longest_ms);

	schedule->outage = true;
	schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
	schedule->check_ms =
		now_ms + backoff_ms / 2 + g_rand_int_range(schedule->random, 0, (gint32)backoff_ms);
	schedule->backoff_ms = MIN(2 * backoff_ms, LONGEST_BACKOFF_MS);
}

static void report_unsettled(struct waxwing_schedule *schedule, int64_t from_ms)
{
	for (guint i = 0; i < schedule->jobs->len; i++)
		waxwing_schedule_report_missed(schedule, waxwing_schedule_job(schedule, i),
					       MAX(from_ms, schedule->cursor_ms),
					       schedule->unsettled.until_ms,
					       WAXWING_MISSED_UNCERTAIN);
}

/* A fresh read tells what became of writes whose answers were lost. */
static void settle(struct waxwing_schedule *schedule, int64_t now_ms)
{
	const struct waxwing_claim *known = &schedule->known;
	struct waxwing_unsettled *unsettled = &schedule->unsettled;
	int64_t from_ms = unsettled->from_ms;

	if (!unsettled->any || schedule->revision == schedule->written_on)
		return;
	if (waxwing_schedule_owns(schedule, known)) {
		/* The own claim of before: none of the writes took effect. */
		unsettled->any = false;
		if (known->until_ms > schedule->until_ms)
			adopt(schedule, now_ms);
		return;
	}
	/* A gap before the span would have been reported with it. */
	if (schedule->replaced.incarnation)
		from_ms = MIN(from_ms, schedule->replaced.until_ms);
	if (!waxwing_unsettled_refuted(unsettled, known))
		report_unsettled(schedule, from_ms);
	unsettled->any = false;
}

static bool is_stale(struct waxwing_schedule *schedule, uint64_t revision)
{
	if (revision >= schedule->revision) {
		schedule->lower_reads = 0;
		return false;
	}
	if (++schedule->lower_reads < LOWER_READS)
		return true;
	log_warning("the claim of %s has gone back: the platform was restored", schedule->domain);
	schedule->lower_reads = 0;
	schedule->restored = true;
	if (schedule->unsettled.any)
		report_unsettled(schedule, schedule->unsettled.from_ms);
	schedule->unsettled.any = false;
	return false;
}

/* Keeps the later of the claims known here and in a restored platform. */
static void read_claim(struct waxwing_schedule *schedule, struct waxwing_str text)
{
	const struct waxwing_claim before = schedule->known;

	if (!waxwing_claim_parse(text, &schedule->known))
		log_warning("the claim of %s is malformed and counts as none", schedule->domain);
	if (schedule->restored && before.until_ms > schedule->known.until_ms)
		schedule->known = before;
}

static bool other_goes_first(const struct waxwing_schedule *schedule)
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
		failed(schedule, now_ms);
		return;
	}
	schedule->outage = false;
	schedule->backoff_ms = 0;
	if (is_stale(schedule, revision)) {
		schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
		schedule->check_ms = now_ms + LOWER_LOOK_MS;
		return;
	}
	schedule->revision = revision;
	read_claim(schedule, text);
	settle(schedule, now_ms);
	if (recovered && other_goes_first(schedule)) {
		schedule->state = WAXWING_SCHEDULE_STATE_WAITING;
		schedule->check_ms = now_ms + AFTER_OUTAGE_MS;
		return;
	}
	decide(schedule, now_ms);
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
		schedule->revision++; /* the real one is at least this */
		adopt(schedule, now_ms);
		if (schedule->leaving && holds_rest(schedule))
			ask_read(schedule, now_ms);
		else
			wait_for_end(schedule, now_ms);
		return;
	case WAXWING_ERROR_TIMEOUT:
		waxwing_unsettled_add(&schedule->unsettled, &schedule->pending);
		ask_read(schedule, now_ms);
		return;
	case WAXWING_ERROR_CONFLICT:
		ask_read(schedule, now_ms);
		return;
	default:
		failed(schedule, now_ms);
	}
}

/* Another's claim may have been given back when its claimant is not there. */
static bool claimant_seems_gone(const struct waxwing_schedule *schedule, int64_t now_ms)
{
	return schedule->known.incarnation && !waxwing_schedule_owns(schedule, &schedule->known) &&
	       now_ms >= schedule->looked_ms + GONE_LOOK_MS &&
	       !schedule->options.alive(schedule->options.context, schedule->known.incarnation);
}

void waxwing_schedule_tick(struct waxwing_schedule *schedule, int64_t now_ms)
{
	waxwing_schedule_fire_due(schedule, now_ms);
	if (schedule->state != WAXWING_SCHEDULE_STATE_WAITING || schedule->leaving ||
	    !schedule->jobs->len)
		return;
	if (now_ms >= schedule->check_ms || claimant_seems_gone(schedule, now_ms))
		ask_read(schedule, now_ms);
}

int64_t waxwing_schedule_next(const struct waxwing_schedule *schedule, int64_t now_ms)
{
	int64_t next_ms = now_ms + LONGEST_SLEEP_MS;

	if (schedule->state == WAXWING_SCHEDULE_STATE_WAITING && schedule->jobs->len &&
	    !schedule->leaving)
		next_ms = MIN(next_ms, schedule->check_ms);
	for (guint i = 0; i < schedule->jobs->len; i++) {
		const struct waxwing_scheduled_job *job = waxwing_schedule_job(schedule, i);
		int64_t due_ms;

		if (schedule->cursor_ms >= schedule->until_ms)
			break;
		due_ms = waxwing_occurrence_after(job, waxwing_schedule_cursor(schedule, job));
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
	if (schedule->state == WAXWING_SCHEDULE_STATE_WAITING && holds_rest(schedule))
		ask_read(schedule, now_ms);
}

bool waxwing_schedule_left(const struct waxwing_schedule *schedule)
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
