#ifndef WAXWING_CELL_PRIVATE_H
#define WAXWING_CELL_PRIVATE_H

#include "answer_time.h"
#include "breaker.h"
#include "cell.h"
#include "estimate.h"
#include "histogram.h"
#include "near_wait.h"
#include "warmup.h"

#include <glib.h>

/* Maximum time that an executor waits for the end of a run before it answers a hold. */
#define HOLD_WAIT_MS 250
/* Minimum rate of an executor's clock relative to real time; part of the protocol. */
#define MIN_CLOCK_RATE 0.98
/* Safety margin added to a delay that must have elapsed on another machine. */
#define REMOTE_TIME_MARGIN_MS 30
/*
 * How long an executor stays in use after it leaves the platform's list: outages of the store drop
 * entries.
 */
#define UNLISTED_GRACE_MS 2000
/*
 * Entries of executors that expired during a network partition return within 2 seconds of the end
 * of the partition, by the protocol; the other 500 ms allow for reading them.
 */
#define EXECUTOR_ENTRIES_WAIT_MS 2500
/* Run times are learned in percent of the step's estimate. */
#define RATIO_SCALE 100.0
/* A job is useless to its caller after this multiple of its target duration. */
#define GIVE_UP_FACTOR 3.0
/* Minimum delay before a caller may retry. */
#define MIN_RETRY_AFTER_MS 200
/* Estimated run time of a step that states none. */
#define DEFAULT_ESTIMATE_MS 200

enum task_state {
	TASK_BLOCKED, /* waits for earlier steps to complete */
	TASK_READY,
	TASK_ASSIGNED, /* has a run, which may hold a lease */
	TASK_DONE,
};

enum run_state {
	RUN_STARTING,
	RUN_RUNNING,
	RUN_STOPPING,
};

struct task {
	struct cell_run *run; /* run of a task in TASK_ASSIGNED; null: none, or no longer tracked */
	uint32_t last_run; /* highest run number in use; the next run gets a higher one */
	GArray *failed_runs; /* uint32_t: numbers of the runs that failed; null: none */
	enum task_state state;
	int64_t not_before_ms; /* earliest time of the next start */
	char *checkpoint; /* last one that a run saved; null: none */
	char *last_failed_on; /* id of the executor where a run failed last; null: none */
	int64_t avoid_until_ms; /* until then, the task does not start on that executor */

	/* Waits for a place on the task's rack, see cell_near.c. */
	struct near_wait *near_wait; /* null: does not wait */
	int64_t near_waited_ms; /* total of the waits that have ended */
};

/* A task's wait for a place on its rack: the inputs of the first decision. */
struct near_wait {
	int64_t since_ms;
	double near_ms;
	double far_ms;
	double near_free_ms;
	enum waxwing_near_wait_reason reason;
};

struct cell_step {
	const Waxwing__JobStep *spec;
	struct task *tasks;
	uint32_t done; /* tasks in TASK_DONE */
	bool unblocked; /* all steps that this step depends on have completed */
	char *rack; /* preferred rack of its tasks; null: any */
	bool rack_required; /* tasks may run on no other rack */
	GHashTable *permits; /* executor id -> struct permit; null: no query was answered */
};

/* Priorities whose admitted work is tracked one by one. */
#define ADMISSION_PRIORITIES 4

/* Whether a new job is admitted, see cell_admission.c. */
enum admission {
	ADMITTED_IN_TIME, /* expected to end by its due time */
	ADMITTED_LATE, /* expected to end later, but soon enough to be useful */
	ADMISSION_REFUSED,
};

/* Key of a job in the table of jobs. */
struct job_key {
	uint64_t id;
	uint32_t serial; /* 0: the job itself; n: occurrence n - 1 of a repeating job */
};

/*
 * The occurrences of a repeating job. Each has a struct cell_job, but in the journal they are part
 * of the repeating job.
 */
struct occurrences {
	GPtrArray *open_jobs; /* struct cell_job: occurrences that were opened and not freed yet */
	bool *done; /* indexed by occurrence; true: it has completed */
	uint32_t next_scheduled; /* next occurrence to open when its start time is reached */
};

struct cell_job {
	uint64_t id; /* must come first, with serial: the two make up a struct job_key */
	uint32_t serial;
	uint32_t step_count; /* 0 for a repeating job, whose steps belong to its occurrences */
	struct occurrences *occurrences; /* null: not a repeating job */
	struct cell_job *parent; /* repeating job of this occurrence; null: not an occurrence */
	uint64_t issuer;
	Waxwing__JobOffer *offer;
	const Waxwing__Job *spec;
	struct cell_step *steps;
	struct queue *queue;
	int64_t arrived_ms;
	int64_t due_ms; /* target completion time */
	int64_t closed_ms; /* if ended: when it ended */
	int64_t former_runs_until_ms; /* runs of former owners have ended by this time; 0: none */
	/* an owner before those that released the cell may have started it */
	bool of_earlier_owner;
	uint32_t ready_tasks; /* tasks in TASK_READY */
	uint32_t assigned_tasks; /* tasks in TASK_ASSIGNED */
	uint32_t remaining; /* tasks, or occurrences of a repeating job, that have not completed */
	uint32_t total; /* number of tasks, or occurrences of a repeating job */
	bool started; /* a start order was sent: a task may have started */
	bool begun; /* a task has started */
	bool neglected; /* of a queue that was mostly refused: served before other jobs */
	bool late; /* past its due time and not nearly done: served after other jobs */
	bool long_running; /* has a step whose tasks run until the job is cancelled; served first */
	bool ended; /* no more tasks start; remaining runs are being stopped */
	bool durable; /* survives the loss of its owner; the next 7 fields are for durable jobs */
	bool awaits_permits; /* accepted once every step has a permitted executor */
	bool acceptance_stored;
	bool end_stored;
	uint64_t acceptance_record; /* number of the journal record that accepts the job */
	uint64_t end_record; /* record number; 0: not ended */
	enum waxwing_job_state final_state; /* WAXWING_STATE_NONE: not ended */
	GArray *state_waiters; /* struct state_waiter; null: none */
	GSequenceIter *ready_iter; /* position in the cell's ready_jobs; null: no ready tasks */
};

/* A state query or cancellation that waits until the job's end is stored. */
struct state_waiter {
	uint64_t asker;
	int64_t asked_ms;
	bool cancel; /* asked to cancel the job, not only for its state */
};

/* A queue and the learned run times of its tasks. */
struct queue {
	char *name;
	struct waxwing_work_estimate ratio; /* of run time to estimate, in percent */
	struct waxwing_near_ratio near_ratio; /* durations on a task's rack and elsewhere */
	uint32_t near_candidates; /* tasks that could have waited before enough was measured */
	uint32_t waiting_jobs; /* jobs that have not started a task */
	/* recent numbers of jobs, decayed; see cell_admission.c */
	double offered;
	double admitted;
	int64_t counts_updated_ms;
};

/* The end of a run. Acknowledged to the executor once the journal record is stored. */
struct pending_ack {
	uint64_t end_number;
	uint64_t record_number;
	bool foreign; /* neither the run nor its job is known: another owner may have started it */
};

/* A hold that was sent, whether or not it is still outstanding. */
struct hold_call {
	uint64_t number; /* increases with each call to the executor; 0: none was sent */
	bool in_flight;
	bool hedge; /* sent while another one was outstanding */
	bool may_hedge; /* once overdue, a hedge is sent; not if its own timeout comes first */
	int64_t sent_ms;
	int64_t overdue_ms; /* by then, an answer that is not lost has come */
	uint32_t wait_ms;
	uint64_t token; /* its fencing token */
	uint64_t acking_upto; /* it acknowledges ends up to this number */
	bool in_order; /* it was answered before any later call was sent */
};

struct executor {
	char *id;
	char *address;
	char *service;
	char *rack;
	char **labels;
	struct waxwing_capacity capacity;
	struct waxwing_capacity allocated;
	struct waxwing_speed_estimate speed;
	struct waxwing_breaker breaker;
	struct hardware_kind *kind;
	uint64_t handle; /* identifies this struct in answers; never reused */
	int64_t started_ms; /* start of its incarnation, Unix time in ms; 0: unknown */
	int64_t unlisted_since_ms; /* when it left the platform's list; 0: listed */
	bool draining;
	bool removed; /* accepts no work; freed when it has no runs and no leases */

	/* Holds and leases. */
	struct hold_call calls[2]; /* the last regular call, and another that may be outstanding */
	uint64_t last_call; /* number of the last call */
	uint64_t last_call_at_state; /* last_call when the last state was received */
	int64_t state_clock_ms; /* the executor's clock in the answer that shows its last state */
	uint64_t list_after_call; /* if list_wanted: only a later call can show the list */
	int64_t last_heard_ms; /* when a call of any kind was last answered */
	uint64_t last_call_at_answer; /* last_call when the last answer was received */
	int64_t last_hedge_ms;
	int64_t last_lost_ms; /* when a call was last found to be unanswered */
	uint32_t regular_call; /* index in calls */
	bool list_wanted;
	bool connection_closed; /* the last hold ended with WAXWING_HOLD_CLOSED */
	bool hold_requested; /* a hold is needed even if nothing runs there */
	bool answered; /* has answered a hold */
	bool runs_listed; /* has listed its runs and ends since the journal was replayed */
	bool ends_truncated; /* the last list may not have contained all ends */
	bool unresponsive; /* the last hold was not answered */
	int64_t next_hold_ms; /* earliest time of the next hold */
	int64_t last_answer_ms; /* time of the last answer to a hold that showed its state */
	int64_t accepted_ms; /* when the last hold was sent that it answered */
	int64_t appeared_ms; /* when this owner first noticed its current incarnation */
	int64_t leases_expire_ms; /* time by which all leases granted there have expired */
	int64_t lease_ms; /* by how much its leases were last extended; at most 0: they were not */
	int64_t clock_ms; /* the executor's clock at clock_read_ms */
	int64_t clock_read_ms;
	uint64_t processed_upto; /* number of the last end that was processed */
	uint64_t ackable_upto; /* ends up to this number may be acknowledged */
	GArray *pending_acks; /* struct pending_ack, ascending */
	uint64_t acked_upto; /* ends up to this number are known to be acknowledged */

	int64_t backoff_until_ms; /* no run starts there before this time, as a start failed */
	GPtrArray *runs; /* struct cell_run */
	uint32_t unknown_runs; /* listed runs that are assigned to no job of this cell */
	const struct cell_job *reserved_for; /* only this job may start tasks; null: any job may */

	/* Slow start after a restart, see cell_cold.c. */
	struct waxwing_warmup warmup;
	int64_t warmup_started_ms; /* incarnation that warmup is about, as in started_ms */
	const struct cold_service *cold_service;
	uint64_t cold_starts; /* in this cold phase */
	bool cold; /* warmup said so at the last scan or entry */

	/* Indexes, see cell_near.c. */
	struct rack *rack_entry;
	struct service_load *load;
	bool rack_listed; /* counted in rack_entry->listed */
	uint32_t load_milli; /* its part of load->capacity_milli */
};

/* What the executors of a service bear while they are cold, as the jobs of the service tell. */
struct cold_service {
	char *name;
	uint64_t routing_version; /* configuration that the values are from */
	uint32_t cold_start_ms; /* how long an executor is cold after its start; 0: it is not */
	uint32_t milli_starts_per_s; /* 0: no limit */
};

/* The executors of one rack. */
struct rack {
	char *name;
	GPtrArray *executors; /* struct executor */
	uint32_t listed; /* executors that are not draining */
	uint64_t placement; /* call of cell_place() that ahead_milli belongs to */
	uint64_t ahead_milli; /* CPU of tasks that want the rack and are served earlier */
	double offered_milli; /* mean CPU in use if all tasks that want the rack ran there */
	int64_t offered_ms; /* when offered_milli was updated */
};

/* CPU of all executors of one service, in thousandths of a core. */
struct service_load {
	char *name;
	uint64_t capacity_milli; /* of executors that are not draining */
	uint64_t allocated_milli;
};

/* State shared by executors of one hardware kind. */
struct hardware_kind {
	char *name;
	struct waxwing_speed_estimate speed; /* initial speed of a new executor */
	double cold_log_factor; /* logarithm of how much longer tasks take while it is cold */
};

struct cell_run {
	struct waxwing_run_id id;
	struct cell_job *job; /* null: unknown, or the run no longer counts for its task */
	struct executor *executor;
	struct waxwing_capacity needs;
	enum run_state state;
	/*
	 * whether the run started is not known: its start order may arrive later. A list of runs
	 * without it does not show that it ended.
	 */
	bool start_unconfirmed;
	int64_t start_sent_ms; /* 0: by a former owner */
	uint64_t start_token; /* fencing token of the last start order */
	bool stop_resent; /* the stop was repeated as soon as it was found to be lost */
	/*
	 * the start was sent twice; the first order may have been carried out, or may be carried
	 * out later
	 */
	bool start_resent;
	bool start_lost; /* the start was not answered, and no list has shown the run since */
	uint64_t list_after_call; /* if start_lost: a later call lists it if it has started */
	int64_t list_deadline_ms; /* if there is no such list by then, it is stopped; 0: none */
	int64_t started_ms; /* when the start was answered, or sent if not answered */
	int64_t next_stop_ms; /* when to repeat the stop order */
	int64_t stop_deadline_ms; /* time by which a stopped run has ended; 0: stop is repeated */
	int64_t first_seen_ms; /* when an unknown run was first listed; 0: known run */
	bool cold; /* its executor was cold when it started */
	bool done; /* it has ended done */
	double far_factor; /* expected duration, relative to that on the rack the task wants */
};

/* A durable job that has ended and whose state can still be queried. */
struct finished_job {
	uint64_t id;
	enum waxwing_job_state state;
	int64_t expires_ms;
};

/* Verdict that is repeated when its job is offered again. */
struct cached_verdict {
	int64_t expires_ms;
	uint64_t issuer;
	Waxwing__JobVerdict verdict;
};

struct waxwing_cell {
	struct waxwing_cell_options options;
	GHashTable *jobs; /* struct job_key -> struct cell_job */
	GSequence *ready_jobs; /* struct cell_job with ready tasks, in order of service */
	GHashTable *executors_by_id; /* id -> struct executor */
	GHashTable *executors_by_handle; /* handle -> struct executor */
	GPtrArray *executors; /* struct executor */
	GHashTable *kinds; /* name -> struct hardware_kind */
	GHashTable *cold_services; /* name -> struct cold_service */
	GHashTable *racks; /* name -> struct rack */
	uint64_t racks_sum; /* sum of the hashes of the racks with listed executors */
	GHashTable *loads; /* service -> struct service_load */
	uint64_t placement; /* number of the current call of cell_place() */
	GHashTable *queues; /* name -> struct queue */
	GHashTable *verdicts; /* job id -> struct cached_verdict */
	GHashTable *issuers_heard; /* issuer -> int64_t, see waxwing_cell_issuer_heard() */
	GHashTable *finished; /* job id -> struct finished_job */
	uint64_t last_record; /* number of the last journal record */
	uint64_t stored_upto; /* journal records up to this number are stored */
	int64_t created_ms;
	int64_t last_scan_ms;
	struct waxwing_answer_time answer_time; /* of the cell's executors */
	int64_t last_holds_ms; /* when holds were last sent or considered */
	int64_t hedge_after_ms; /* no hedged holds before this time */
	int64_t last_lost_ms; /* when a call to any executor was last found to be unanswered */
	bool permit_query_in_flight;
	int64_t next_permit_query_ms;
	int64_t wall_offset_ms; /* wall-clock time minus the caller's clock */
	int64_t owned_until_ms; /* until when the store has confirmed that this owner holds it */
	int64_t first_runs_listed_ms; /* when an executor first listed its runs; 0: none has */
	int64_t last_appeared_ms; /* when an executor was last added after creation; 0: never */
	uint64_t next_handle;
	uint32_t runs;
	/* evacuation, see cell_evacuation.c: */
	bool evacuated; /* no task starts from start_until_ms on; offers are refused */
	bool starts_held; /* whether the cell is evacuated is not known yet; no task starts */
	int64_t start_until_ms;
	/* rate of the work admitted in time, in cores at speed 1, by priority; the last is all lower */
	double inflow_cores[ADMISSION_PRIORITIES];
	int64_t inflow_updated_ms;
	double queued_core_ms; /* work of ready tasks, in core milliseconds at speed 1 */
	struct waxwing_histogram start_wait_ms; /* from a job's arrival to its first start */
	uint64_t starts;
	uint64_t starts_unanswered;
	uint64_t starts_resent;
	uint64_t holds_hedged;
	uint64_t hedges_answered;
	uint64_t starts_confirmed;
	uint64_t done;
	uint64_t failed;
	uint64_t lapsed;
	uint64_t refused;
	uint64_t cold_phases;
	uint64_t cold_starts;
	/* waits for a rack, see struct waxwing_cell_stats */
	uint64_t near_waits;
	uint64_t near_waits_near;
	uint64_t near_waits_far;
	uint64_t near_waits_dropped;
	uint64_t near_waited_ms;
	uint64_t near_saved_ms;
	uint64_t near_lost_ms;
	uint64_t near_visits;
};

/* Returns true if no other node can own the cell at @now_ms. */
static inline bool cell_is_owned(const struct waxwing_cell *cell, int64_t now_ms)
{
	return now_ms < cell->owned_until_ms;
}

/* cell_executor.c */
void executor_free(struct executor *executor);
bool executor_usable(const struct executor *executor, int64_t now_ms);
bool executor_has_label(const struct executor *executor, const char *label);
struct executor *cell_find_executor(struct waxwing_cell *cell, uint64_t handle);
void executor_target(const struct waxwing_cell *cell, const struct executor *executor,
		     struct waxwing_order_target *target);
/* Duration in ms after which a lease granted now must have expired. */
int64_t cell_lease_expires_after_ms(const struct waxwing_cell *cell);
bool executor_lease_suits(const struct waxwing_cell *cell, const struct executor *executor,
			  const struct cell_job *job, int64_t now_ms);
int64_t executor_extend_lease(const struct waxwing_cell *cell, struct executor *executor,
			      int64_t now_ms);
bool executor_accepted_recently(const struct executor *executor, int64_t now_ms);
bool executor_may_start(const struct waxwing_cell *cell, const struct executor *executor,
			const struct cell_job *job, int64_t now_ms);
void executor_set_clock(struct executor *executor, int64_t now_ms, int64_t clock_ms);
void executor_add_failure(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
			  double weight);
void executor_call_lost(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);
void executor_reset(struct executor *executor, int64_t now_ms);
void cell_scan_executors(struct waxwing_cell *cell, int64_t now_ms);

/* Returns true if a hold is outstanding. */
static inline bool executor_hold_in_flight(const struct executor *executor)
{
	return executor->calls[0].in_flight || executor->calls[1].in_flight;
}

/* cell_hold.c */
void cell_send_holds(struct waxwing_cell *cell, int64_t now_ms);

/* cell_run.c */
struct cell_run *run_create(struct waxwing_cell *cell, struct executor *executor,
			    const struct waxwing_run_id *id, const struct waxwing_capacity *needs);
bool run_matches(const struct cell_run *run, const struct waxwing_run_id *id);
struct cell_run *run_find(const struct executor *executor, const struct waxwing_run_id *id);
void run_adopt(struct waxwing_cell *cell, struct cell_run *run, struct cell_job *job);
void run_stop(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
void run_release_task(struct waxwing_cell *cell, struct cell_run *run);
void run_abandon(struct waxwing_cell *cell, struct cell_run *run, bool ends_itself, int64_t now_ms);
void run_free(struct waxwing_cell *cell, struct cell_run *run);
void run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
	       int64_t now_ms);

/* cell_scan.c */
void cell_scan_jobs(struct waxwing_cell *cell, int64_t now_ms);

/* cell_job.c */
void job_free(struct waxwing_cell *cell, struct cell_job *job);
bool job_has_task(const struct cell_job *job, uint32_t step, uint32_t index);
double step_estimate_ms(const Waxwing__JobStep *step);
struct waxwing_capacity step_needs(const Waxwing__JobStep *step);
double step_work_ms(const struct cell_job *job, const Waxwing__JobStep *step);
double job_work_ms(const struct cell_job *job);
/* Time after which the job is useless to its caller. */
int64_t job_give_up_ms(const struct cell_job *job);
int job_compare(gconstpointer a, gconstpointer b, gpointer user);
void job_task_ready(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index);
void job_task_assigned(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       uint32_t index);
void job_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		   int64_t now_ms);
void job_run_failed(struct waxwing_cell *cell, struct cell_job *job,
		    const struct waxwing_run_id *id, const struct executor *executor,
		    int64_t now_ms);
bool task_add_failure(struct task *task, uint32_t run); /* false: already counted */
uint32_t task_failures(const struct task *task);
void task_failed_on(struct task *task, const struct executor *executor, int64_t now_ms);
void job_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
	     enum waxwing_job_outcome outcome, enum waxwing_error_code reason,
	     uint32_t retry_after_ms);

guint job_key_hash(gconstpointer key);
gboolean job_key_equal(gconstpointer a, gconstpointer b);
struct cell_job *cell_find_job(const struct waxwing_cell *cell,
			       uint64_t id); /* the job itself, never one of its occurrences */
struct cell_job *cell_find_run_job(struct waxwing_cell *cell, const struct waxwing_run_id *id,
				   int64_t now_ms);
GPtrArray *cell_list_jobs(const struct waxwing_cell *cell);
struct cell_job *job_create(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			    Waxwing__JobOffer *offer);
struct cell_job *job_create_occurrence(struct waxwing_cell *cell, struct cell_job *parent,
				       uint32_t occurrence, int64_t start_ms);
void job_resume(struct waxwing_cell *cell, struct cell_job *job);
bool job_counts_as_waiting(const struct cell_job *job);
void job_set_begun(struct cell_job *job); /* a task has started */
void job_unblock_steps(struct waxwing_cell *cell, struct cell_job *job);
void job_adopt_runs(struct waxwing_cell *cell, struct cell_job *job);
void job_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void job_free_if_unused(struct waxwing_cell *cell, struct cell_job *job); /* if it has ended */
void job_reject_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		      Waxwing__JobOffer *offer, enum waxwing_job_outcome outcome,
		      enum waxwing_error_code reason, uint32_t retry_after_ms);

void task_set_checkpoint(struct task *task, const char *checkpoint);

/* cell_evacuation.c: nothing more is sent to the cell's executors, by the operator's order */
bool evacuation_allows_starts(const struct waxwing_cell *cell, int64_t now_ms);
bool evacuation_refuse_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			     Waxwing__JobOffer *offer); /* false: not evacuated, not answered */
/* Ends a best-effort job that can no longer run here. Returns true if it did. */
bool evacuation_end_job(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);

/* cell_long_running.c: tasks that run until their job is cancelled */
void long_running_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
			int64_t now_ms);
void long_running_drain(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);

/* cell_backfill.c: tasks that use spare CPU only ("fills" in the protocol) */
uint32_t backfill_cpu_milli(const struct executor *executor);
bool backfill_allowed(const struct executor *executor, const Waxwing__JobStep *spec);
void backfill_preempt(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);

/* cell_permit.c: steps that an outside service permits only some executors to run */
void permits_clear(struct cell_step *step);
double permits_query_ms(const Waxwing__Job *spec);
const char *permits_ticket(const struct cell_job *job, uint32_t step,
			   const struct executor *executor);
bool permits_allow(const struct cell_job *job, uint32_t step, const struct executor *executor);
void permits_expire(struct cell_step *step, int64_t now_ms);
void permits_drop(struct cell_job *job, uint32_t step, const struct executor *executor);
void permits_request(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		     int64_t now_ms);
uint32_t permits_find_unknown_step(const struct waxwing_cell *cell, const struct cell_job *job,
				   int64_t now_ms, bool *none_permitted);

/* cell_repeat.c: jobs that repeat at set times */
struct occurrences *occurrences_create(const Waxwing__Job *spec);
void occurrences_free(struct waxwing_cell *cell, struct occurrences *occurrences);
struct cell_job *occurrence_find(struct waxwing_cell *cell, struct cell_job *parent,
				 uint32_t occurrence,
				 int64_t now_ms); /* null: has ended, or cannot be opened yet */
void occurrences_open_scheduled(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms);
void occurrence_completed(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void occurrence_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void occurrences_close_all(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms);
void occurrence_replay_end(struct waxwing_cell *cell, struct cell_job *parent, uint32_t occurrence);
void occurrences_resume(struct waxwing_cell *cell, struct cell_job *parent, int64_t now_ms);

/* cell_durable.c: jobs that survive the loss of the owner ("kept" in the protocol) */
bool durable_answer_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			  Waxwing__JobOffer *offer); /* false: a new job, not answered */
void durable_accept(struct waxwing_cell *cell, struct cell_job *job);
void durable_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		       uint32_t index);
void durable_task_failed(struct waxwing_cell *cell, const struct cell_job *job,
			 const struct waxwing_run_id *id);
void durable_occurrence_end(struct waxwing_cell *cell, const struct cell_job *parent,
			    uint32_t occurrence);
void durable_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
		 enum waxwing_job_state state);
void durable_answer_waiters(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void durable_expire_finished(struct waxwing_cell *cell, int64_t now_ms);

/* cell_admission.c: which jobs are admitted when the cell cannot run all in time */
enum admission admission_decide(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
				uint32_t *wait_ms);
uint32_t admission_retry_after_ms(const struct cell_job *job, uint32_t wait_ms);

/* cell_gang.c: tasks that must all run at the same time */
void gang_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
void gang_stop(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
bool gang_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step);

/* cell_cold.c: executors that are slow after their start */
void cold_service_free(gpointer service);
void cold_learn_service(struct waxwing_cell *cell, const Waxwing__Job *spec);
void cold_executor_added(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);
void cold_entry_read(struct waxwing_cell *cell, struct executor *executor,
		     const struct waxwing_executor_entry *entry, int64_t now_ms);
void cold_executor_restarted(struct waxwing_cell *cell, struct executor *executor,
			     int64_t started_ms, int64_t now_ms);
void cold_learn_factor(const struct cell_run *run, int64_t now_ms);
double cold_speed(const struct executor *executor, bool cold);
bool cold_may_start(struct executor *executor, int64_t now_ms);
void cold_run_added(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
void cold_run_withdrawn(struct waxwing_cell *cell, const struct cell_run *run);
void cold_update(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);
/* cell_near.c: executors by rack, and waits of tasks for a place on their rack */
void near_init(struct waxwing_cell *cell);
void near_destroy(struct waxwing_cell *cell);
void near_index_executor(struct waxwing_cell *cell, struct executor *executor);
void near_unindex_executor(struct waxwing_cell *cell, struct executor *executor);
const char *step_wanted_rack(const struct cell_step *step); /* null: any */
double step_far_factor(const struct waxwing_cell *cell, const struct executor *executor,
		       const struct cell_job *job, uint32_t step);
bool near_learn(const struct waxwing_cell *cell, const struct cell_run *run, double *ran_ms);
bool near_should_wait(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
		      uint32_t index, const struct executor *far, double far_speed, int64_t now_ms);
void near_wait_ended(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		     const struct executor *executor, int64_t now_ms);
void near_waits_drop(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void near_add_ahead(struct waxwing_cell *cell, const struct cell_step *step, uint32_t tasks);

/* cell_place.c */
bool executor_fits(const struct executor *executor, const struct waxwing_capacity *needs);
bool executor_allowed(const struct executor *executor, const struct cell_job *job, uint32_t step);
double speed_for(const struct waxwing_cell *cell, const struct executor *executor,
		 const struct cell_job *job, uint32_t step);
double run_remaining_ms(const struct cell_run *run, int64_t now_ms);
struct executor *pick_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			       const struct task *task, int64_t now_ms, double *speed);
struct cell_run *run_allocate(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			      uint32_t index, uint32_t number, struct executor *executor,
			      int64_t now_ms);
void run_send_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
/*
 * Repeats the start order of a run whose first order may or may not have been carried out. Returns
 * false if it was repeated before, or if the run must not start any more.
 */
bool run_resend_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
uint32_t reserve_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			  int64_t now_ms);
uint32_t count_fitting_tasks(const struct waxwing_capacity *available,
			     const Waxwing__JobStep *step);
bool step_matches_executor(const struct executor *executor, const Waxwing__Job *spec,
			   const Waxwing__JobStep *step);
void choose_rack(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
bool step_can_start(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		    int64_t now_ms);
void cell_place(struct waxwing_cell *cell, int64_t now_ms);
double cell_capacity(const struct waxwing_cell *cell, const char *service, int64_t now_ms);
double cell_expected_wait_ms(const struct waxwing_cell *cell, const char *service, int64_t now_ms);
bool step_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step);

/* Number of the occurrence, from 0; 0 for a job that does not repeat. */
static inline uint32_t job_occurrence(const struct cell_job *job)
{
	return job->serial ? job->serial - 1 : 0;
}

static inline bool run_is_long_running(const struct cell_run *run)
{
	return run->job && run->job->steps[run->id.step].spec->long_running;
}

/* The members of a gang share one checkpoint, stored in the first task. */
static inline struct task *checkpoint_task(struct cell_job *job, uint32_t step, uint32_t index)
{
	return &job->steps[step].tasks[job->steps[step].spec->gang ? 0 : index];
}

static inline struct task *run_task(const struct cell_run *run)
{
	return &run->job->steps[run->id.step].tasks[run->id.index];
}

#endif
