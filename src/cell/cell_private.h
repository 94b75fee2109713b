#ifndef WAXWING_CELL_PRIVATE_H
#define WAXWING_CELL_PRIVATE_H

#include "breaker.h"
#include "cell.h"
#include "estimate.h"
#include "histogram.h"

#include <glib.h>

/* A hold waits this long at the executor for an end. */
#define HOLD_WAIT_MS 250
/* Slowest that an executor's clock may run, by the protocol. */
#define SLOWEST_CLOCK 0.98
/* Added to times that must have passed on another machine. */
#define CERTAINTY_MS 30
/* An executor that the list has lost is used on for so long (store outages lose entries). */
#define MISSING_USED_MS 2000
/* Run times are learnt as a share of the estimate, in percent. */
#define RATIO_UNIT 100.0
/* Assumed for a step that gives no estimate. */
#define ESTIMATE_DEFAULT_MS 200

enum task_state {
	TASK_BLOCKED, /* steps before it have not ended */
	TASK_READY,
	TASK_OUT, /* a run of it may hold a lease */
	TASK_DONE,
};

enum run_state {
	RUN_STARTING,
	RUN_RUNNING,
	RUN_STOPPING,
};

struct task {
	struct cell_run *run; /* of TASK_OUT */
	uint32_t last_run; /* highest number used or seen */
	GArray *failed_runs; /* uint32_t: runs that ended as failed; null: none */
	enum task_state state;
	int64_t not_before_ms; /* of its next start */
	char *checkpoint; /* what a run of it saved last; null: nothing */
	char *failed_at; /* id of the executor of the last failure; null: none */
};

struct cell_step {
	const Waxwing__JobStep *spec;
	struct task *tasks;
	uint32_t done;
	bool open; /* all steps before it have ended */
	char *rack; /* where its tasks should run; null: on any */
	bool rack_only; /* and nowhere else */
	GHashTable *permits; /* executor's id -> struct permit; null: none asked for */
};

/* What a cell finds its jobs by. */
struct job_key {
	uint64_t id;
	uint32_t serial; /* 0: the whole job; of a job that repeats, the occurrences count from 1 */
};

/* The occurrences of a job that repeats: each is a job of its own, but for what is stored. */
struct repeats {
	GPtrArray *open; /* struct cell_job */
	bool *done; /* by occurrence */
	uint32_t next; /* the first whose time has not come */
};

struct cell_job {
	uint64_t id; /* with the serial, a struct job_key: both come first */
	uint32_t serial;
	uint32_t step_count; /* of the steps that it runs itself */
	struct repeats *repeats; /* null: it runs once */
	struct cell_job *whole; /* that this is an occurrence of; null: of none */
	uint64_t issuer;
	Waxwing__JobOffer *offer;
	const Waxwing__Job *spec;
	struct cell_step *steps;
	struct queue *queue;
	int64_t arrived_ms;
	int64_t due_ms; /* when it should have ended */
	int64_t unsure_until_ms; /* its tasks may run on a former owner's orders */
	uint32_t ready; /* tasks in TASK_READY */
	uint32_t out;
	uint32_t undone; /* tasks; of a job that repeats, occurrences */
	uint32_t tasks; /* of all steps; of a job that repeats, occurrences */
	bool started;
	bool late; /* past its due time: others come first */
	bool lasts; /* has a step whose tasks run until it is cancelled: it comes first */
	bool ended; /* its verdict is out; runs are being stopped */
	/* of one that must be kept */
	bool kept;
	bool checked_first; /* it is accepted once each step is known to have an executor */
	bool stored; /* its acceptance is */
	bool final_stored;
	uint64_t record_number; /* of its acceptance */
	uint64_t final_number; /* of its end */
	enum waxwing_job_state final_state; /* NONE: it has not ended */
	GArray *askers; /* struct asker that waits for the end to be stored; null: none */
	GSequenceIter *place; /* among the jobs that have ready tasks; null: none */
};

/* Waits for a job's end to be stored. */
struct asker {
	uint64_t asker;
	int64_t asked_ms;
	bool cancel;
};

/* A queue's learnt run times, as a share of the estimate. */
struct queue {
	char *name;
	struct waxwing_work ratio;
	uint32_t waiting_jobs; /* no task has started */
};

/* An end that may be acknowledged once a record is stored. */
struct ack_wait {
	uint64_t end;
	uint64_t record;
};

struct executor {
	char *id;
	char *address;
	char *service;
	char *rack;
	char **labels;
	struct waxwing_capacity capacity;
	struct waxwing_capacity used;
	struct waxwing_speed speed;
	struct waxwing_breaker breaker;
	struct kind *kind;
	uint64_t life;
	int64_t born_ms;
	int64_t missing_since_ms; /* 0: listed */
	bool draining;
	bool removed; /* freed once nothing runs there */
	/* holds */
	bool hold_out;
	bool hold_wanted; /* at once, though nothing runs */
	bool answered; /* has answered under this token */
	bool listed; /* its lists were taken since the journal was read */
	bool silent; /* the last call had no answer */
	int64_t hold_sent_ms;
	int64_t hold_next_ms; /* not sooner: after silence */
	int64_t answered_ms; /* last answer to a hold */
	int64_t leased_until_ms; /* leases given there have run out by then */
	int64_t clock_ms; /* executor's clock at clock_at_ms */
	int64_t clock_at_ms;
	uint64_t ended_upto; /* ends taken */
	uint64_t noted_upto; /* ends that may be acknowledged */
	GArray *ack_waits; /* struct ack_wait, in order */
	uint64_t acked_upto; /* said to the executor, and answered */
	uint64_t acking; /* in the hold that is out */
	int64_t full_until_ms; /* it said that it has no room */
	GPtrArray *runs; /* struct cell_run */
	uint32_t foreign; /* runs of unknown jobs */
	const struct cell_job *reserved_for; /* only its tasks are started here; null: any */
};

/* What executors of one kind have in common. */
struct kind {
	char *name;
	struct waxwing_speed speed;
};

struct cell_run {
	struct waxwing_run_name name;
	struct cell_job *job; /* null: of an unknown job */
	struct executor *executor;
	struct waxwing_capacity needs;
	enum run_state state;
	int64_t started_ms; /* when its start was answered, or sent */
	int64_t stop_next_ms;
	int64_t stopped_by_ms; /* its stop was answered: it does not run after this; 0: it was not */
	int64_t seen_ms; /* foreign: first seen */
};

/* A job that has ended. */
struct finished {
	uint64_t id;
	enum waxwing_job_state state;
	int64_t until_ms;
};

struct verdict_kept {
	int64_t until_ms;
	uint64_t issuer;
	Waxwing__JobVerdict verdict;
};

struct waxwing_cell {
	struct waxwing_cell_options options;
	GHashTable *jobs; /* struct job_key -> cell_job */
	GSequence *ready; /* cell_job, in the order of service */
	GHashTable *executors; /* id -> executor */
	GHashTable *lives; /* life -> executor */
	GPtrArray *list; /* executors */
	GHashTable *kinds;
	GHashTable *queues;
	GHashTable *verdicts; /* job -> verdict_kept */
	GHashTable *finished; /* id -> finished */
	uint64_t recorded; /* number of the last record */
	uint64_t stored; /* records up to it are stored */
	int64_t created_ms;
	int64_t swept_ms;
	bool permit_out; /* a question for permits is not answered yet */
	int64_t permit_next_ms;
	int64_t day_offset_ms; /* time of day less the caller's clock */
	int64_t first_listed_ms; /* when the first executor's lists were taken; 0: none were */
	int64_t appeared_ms; /* when an executor that was not known at first was listed last; 0: none was */
	uint64_t next_life;
	uint32_t runs;
	double queued_core_ms; /* of ready tasks, at speed 1 */
	struct waxwing_histogram start_wait_ms; /* of jobs, to the first start */
	uint64_t starts;
	uint64_t done;
	uint64_t failed;
	uint64_t lapsed;
	uint64_t refused;
};

/* cell_executor.c */
void executor_free(struct executor *executor);
bool executor_usable(const struct executor *executor, int64_t now_ms);
bool executor_has_label(const struct executor *executor, const char *label);
struct executor *cell_executor(struct waxwing_cell *cell, uint64_t life);
void executor_target(const struct waxwing_cell *cell, const struct executor *executor,
		     struct waxwing_order_target *target);
int64_t cell_lease_ms(const struct waxwing_cell *cell); /* must have run out after it */
int64_t executor_until(const struct waxwing_cell *cell, const struct executor *executor,
		       int64_t now_ms);
void executor_lease_given(const struct waxwing_cell *cell, struct executor *executor,
			  int64_t now_ms);
void executor_take_clock(struct executor *executor, int64_t now_ms, int64_t clock_ms);
void executor_failed(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms,
		     double weight);
void executor_new_life(struct executor *executor);
void cell_sweep_executors(struct waxwing_cell *cell, int64_t now_ms);

/* cell_hold.c */
void cell_hold_due(struct waxwing_cell *cell, int64_t now_ms);

/* cell_run.c */
struct cell_run *run_create(struct waxwing_cell *cell, struct executor *executor,
			    const struct waxwing_run_name *name,
			    const struct waxwing_capacity *needs);
bool run_is(const struct cell_run *run, const struct waxwing_run_name *name);
struct cell_run *run_find(const struct executor *executor, const struct waxwing_run_name *name);
void run_adopt(struct waxwing_cell *cell, struct cell_run *run, struct cell_job *job);
void run_stop(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
void run_release_task(struct waxwing_cell *cell, struct cell_run *run);
void run_cast_off(struct waxwing_cell *cell, struct cell_run *run, bool ends_itself,
		  int64_t now_ms);
void run_free(struct waxwing_cell *cell, struct cell_run *run);
void run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
	       int64_t now_ms);

/* cell_job.c */
void job_free(struct waxwing_cell *cell, struct cell_job *job);
bool job_has_task(const struct cell_job *job, uint32_t step, uint32_t index);
double step_estimate_ms(const Waxwing__JobStep *step);
struct waxwing_capacity step_needs(const Waxwing__JobStep *step);
double step_work_ms(const struct cell_job *job, const Waxwing__JobStep *step);
void job_task_ready(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index);
void job_task_taken(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index);
void job_task_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index,
		   int64_t now_ms);
void job_run_failed(struct waxwing_cell *cell, struct cell_job *job,
		    const struct waxwing_run_name *name, const struct executor *executor,
		    int64_t now_ms);
bool task_add_failure(struct task *task, uint32_t run); /* false: it was known */
uint32_t task_failures(const struct task *task);
void job_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
	     enum waxwing_job_outcome outcome, enum waxwing_error_code reason,
	     uint32_t retry_after_ms);
void cell_sweep_jobs(struct waxwing_cell *cell, int64_t now_ms);

guint job_key_hash(gconstpointer key);
gboolean job_key_equal(gconstpointer a, gconstpointer b);
struct cell_job *cell_find_job(const struct waxwing_cell *cell, uint64_t id); /* the whole */
struct cell_job *cell_find_run_job(struct waxwing_cell *cell, const struct waxwing_run_name *name,
				   int64_t now_ms);
GPtrArray *cell_whole_jobs(const struct waxwing_cell *cell);
struct cell_job *job_create(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
			    Waxwing__JobOffer *offer);
struct cell_job *job_create_occurrence(struct waxwing_cell *cell, struct cell_job *whole,
				       uint32_t occurrence, int64_t due_ms);
void job_resume(struct waxwing_cell *cell, struct cell_job *job);
bool job_counts_as_waiting(const struct cell_job *job);
void job_open_steps(struct waxwing_cell *cell, struct cell_job *job);
void job_adopt_runs(struct waxwing_cell *cell, struct cell_job *job);
void job_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void job_leave(struct waxwing_cell *cell, struct cell_job *job); /* frees it if nothing is left */
void job_answer_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		      Waxwing__JobOffer *offer, enum waxwing_job_outcome outcome,
		      enum waxwing_error_code reason, uint32_t retry_after_ms);

void task_take_checkpoint(struct task *task, const char *checkpoint);

/* cell_lasting.c: tasks that run until their job is cancelled */
void lasting_run_ended(struct waxwing_cell *cell, struct cell_run *run, enum waxwing_run_end end,
		       int64_t now_ms);
void lasting_sweep(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);

/* cell_fill.c: tasks that take no room */
uint32_t fill_used_milli(const struct executor *executor);
bool fill_allowed(const struct executor *executor, const Waxwing__JobStep *spec);
void fill_make_way(struct waxwing_cell *cell, struct executor *executor, int64_t now_ms);

/* cell_permit.c: steps that only some executors may run, as an outside service says */
void permits_clear(struct cell_step *step);
double permits_cost_ms(const Waxwing__Job *spec);
const char *permits_ticket(const struct cell_job *job, uint32_t step,
			   const struct executor *executor);
bool permits_allow(const struct cell_job *job, uint32_t step, const struct executor *executor);
void permits_expire(struct cell_step *step, int64_t now_ms);
void permits_reject(struct cell_job *job, uint32_t step, const struct executor *executor);
void permits_want(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		  int64_t now_ms);
uint32_t permits_unknown_step(const struct waxwing_cell *cell, const struct cell_job *job,
			      int64_t now_ms, bool *hopeless);

/* cell_repeat.c: jobs whose steps run many times */
struct repeats *repeats_create(const Waxwing__Job *spec);
void repeats_free(struct waxwing_cell *cell, struct repeats *repeats);
struct cell_job *repeats_find(struct waxwing_cell *cell, struct cell_job *whole,
			      uint32_t occurrence, int64_t now_ms); /* null: it has ended */
void repeats_sweep(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms);
void repeats_ended(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void repeats_close(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void repeats_close_all(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms);
void repeats_replay_end(struct waxwing_cell *cell, struct cell_job *whole, uint32_t occurrence);
void repeats_resume(struct waxwing_cell *cell, struct cell_job *whole, int64_t now_ms);

/* cell_keep.c: jobs that must be kept */
bool keep_offer(struct waxwing_cell *cell, int64_t now_ms, uint64_t issuer,
		Waxwing__JobOffer *offer); /* false: it is a new job */
void keep_begin(struct waxwing_cell *cell, struct cell_job *job);
void keep_done(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, uint32_t index);
void keep_failure(struct waxwing_cell *cell, const struct cell_job *job,
		  const struct waxwing_run_name *name);
void keep_occurrence_end(struct waxwing_cell *cell, const struct cell_job *whole,
			 uint32_t occurrence);
void keep_end(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms,
	      enum waxwing_job_state state);
void keep_tell_late_askers(struct waxwing_cell *cell, struct cell_job *job, int64_t now_ms);
void keep_sweep(struct waxwing_cell *cell, int64_t now_ms);

/* cell_gang.c: tasks that run at the same time, or not at all */
void gang_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
void gang_break(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
bool gang_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step);

/* cell_place.c */
struct executor *pick_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			       const struct task *task, int64_t now_ms, double *speed);
struct cell_run *take_place(struct waxwing_cell *cell, struct cell_job *job, uint32_t step,
			    uint32_t index, uint32_t number, struct executor *executor,
			    int64_t now_ms);
void give_start(struct waxwing_cell *cell, struct cell_run *run, int64_t now_ms);
uint32_t reserve_executor(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
			  int64_t now_ms);
uint32_t tasks_that_fit(const struct waxwing_capacity *room, const Waxwing__JobStep *step);
bool step_could_use(const struct executor *executor, const Waxwing__Job *spec,
		    const Waxwing__JobStep *step);
void choose_rack(struct waxwing_cell *cell, struct cell_job *job, uint32_t step, int64_t now_ms);
bool step_has_room(struct waxwing_cell *cell, const struct cell_job *job, uint32_t step,
		   int64_t now_ms);
void cell_place(struct waxwing_cell *cell, int64_t now_ms);
double cell_capacity(const struct waxwing_cell *cell, const char *service, int64_t now_ms);
double cell_wait_ms(const struct waxwing_cell *cell, const char *service, int64_t now_ms);
bool step_fits_somewhere(const struct waxwing_cell *cell, const Waxwing__Job *spec,
			 const Waxwing__JobStep *step);

/* The occurrence that the job is; 0 of one that runs once. */
static inline uint32_t job_occurrence(const struct cell_job *job)
{
	return job->serial ? job->serial - 1 : 0;
}

static inline bool run_lasts(const struct cell_run *run)
{
	return run->job && run->job->steps[run->name.step].spec->long_running;
}

/* The runs of a gang save their work for each other. */
static inline struct task *checkpoint_task(struct cell_job *job, uint32_t step, uint32_t index)
{
	return &job->steps[step].tasks[job->steps[step].spec->gang ? 0 : index];
}

static inline struct task *run_task(const struct cell_run *run)
{
	return &run->job->steps[run->name.step].tasks[run->name.index];
}

#endif
