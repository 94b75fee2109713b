/**
 * Client library: submits jobs to the entry instances and waits for their complete answers.
 *
 * A submission id is generated within a window, which an instance issues. The client fetches a
 * window when it needs one and renews it from the answers it receives. If an answer is lost, the
 * job is submitted again under the same id to the next instance. This does not start the job twice:
 * the submission attaches to the running job or returns its stored answer.
 *
 * All calls block and can be made from any thread. Several threads may use a client at the same
 * time, but no other call may run during create and destroy. Strings without a length are
 * zero-terminated UTF-8.
 */
#ifndef WAXWINGSWITCH_CLIENT_H
#define WAXWINGSWITCH_CLIENT_H

#include <stddef.h>
#include <stdint.h>

#include "waxwingswitch/error.h"

/** Size of the longest id in bytes, including the terminating zero. */
#define WAXWING_CLIENT_ID_BYTES 257

struct waxwing_client;

/** Options of a client. All strings are copied. */
struct waxwing_client_options {
	const char *const *instances; /**< "IP:port" of each entry instance; IPv6 in brackets */
	size_t instance_count; /**< at least 1 */
	const char *caller; /**< name for the instances' logs, e.g. of a clinic or crew */
	uint32_t timeout_ms; /**< timeout of one call, including the run of the job; 0: 30,000 */
	uint32_t attempts; /**< maximum number of calls for one job; 0: 6 */
	/**
	 * Before a call, the client waits a random time of up to pause_ms, multiplied by the number
	 * of completed rounds over all instances, so not at all in the first round; 0: 200.
	 */
	uint32_t pause_ms;
	uint32_t window_age_ms; /**< an older window is renewed before use; 0: 20,000 */
	size_t answer_bytes; /**< longest accepted answer; 0: 64 MiB */
};

/** A task of a job. It must stay valid during the call that submits it. */
struct waxwing_client_task {
	const char *body; /**< UTF-8 text without zero bytes; null when body_len is 0 */
	size_t body_len; /**< in bytes */
	uint32_t declared_ms; /**< expected run time; 0: the branch's default */
};

/** A job. It must stay valid during the call that submits it. */
struct waxwing_client_job {
	/**
	 * Id from waxwing_client_new_id(); null: the client generates one. An id set here may have
	 * been submitted before, so "not run" is reported only if the id's issuer says so.
	 */
	const char *id;
	const char *branch; /**< path in the settings tree, e.g. "meals/booking" */
	uint32_t deadline_ms; /**< counted from admission; 0: the branch's default */
	const struct waxwing_client_task *tasks; /**< the answers have the same order */
	size_t task_count; /**< at least 1 */
};

/** The outcome of a job. */
enum waxwing_client_state {
	WAXWING_CLIENT_COMPLETE, /**< every task ran and its answer is available */
	WAXWING_CLIENT_FAILED, /**< the job was started and failed */
	WAXWING_CLIENT_NOT_RUN, /**< no task ran, and none will run under this id */
	WAXWING_CLIENT_UNKNOWN, /**< the job may have run; submit the same id again to find out */
};

/** The answer of a task, freed with the job's answer. */
struct waxwing_client_task_answer {
	char *body; /**< zero-terminated */
	size_t body_len; /**< in bytes, without the terminating zero */
};

/** The answer of a job; free it with waxwing_client_answer_clear(). */
struct waxwing_client_answer {
	enum waxwing_client_state state; /**< always set */
	char id[WAXWING_CLIENT_ID_BYTES]; /**< id of the job; empty if none was generated */
	struct waxwing_client_task_answer *tasks; /**< one for each task if complete, else null */
	size_t task_count; /**< number of tasks if complete, else 0 */
	uint32_t calls; /**< number of calls made */
	struct waxwing_error error; /**< code WAXWING_OK if complete */
};

/**
 * Creates a client without making a call. Free it with waxwing_client_destroy().
 *
 * Null with @error: WAXWING_ERROR_MISSING (no instance or no caller), WAXWING_ERROR_RANGE (an
 * address is not "IP:port"), WAXWING_ERROR_SYSTEM (no random numbers). Any thread.
 */
struct waxwing_client *waxwing_client_create(const struct waxwing_client_options *options,
					     struct waxwing_error *error);

/** Frees a client; null is allowed. No call may be in progress. Any thread. */
void waxwing_client_destroy(struct waxwing_client *client);

/**
 * Fetches a new window, so that generating the next id needs no call. Optional.
 *
 * Errors, from the last instance tried if none returned a window: WAXWING_ERROR_UNREACHABLE,
 * WAXWING_ERROR_TIMEOUT, WAXWING_ERROR_SYNTAX. @error may be null. Any thread.
 */
enum waxwing_error_code waxwing_client_refresh(struct waxwing_client *client,
					       struct waxwing_error *error);

/**
 * Generates a unique id, for callers that store it in order to submit the job again after they
 * crash. @id is a buffer of WAXWING_CLIENT_ID_BYTES bytes.
 *
 * Errors: those of waxwing_client_refresh(), if the window had to be renewed. @error may be null.
 * Any thread.
 */
enum waxwing_error_code waxwing_client_new_id(struct waxwing_client *client, char *id,
					      struct waxwing_error *error);

/**
 * Submits a job and waits for its complete answer, submitting the same id again if an answer is
 * lost. An id generated by the client is replaced by a new one if the instance is leaving or not
 * ready or the id's window has closed, provided that no earlier call can have run the job.
 *
 * Returns the code of @answer->error. Errors: WAXWING_ERROR_TYPE (a body is not UTF-8 text without
 * zero bytes), WAXWING_ERROR_MISSING (no branch or task), WAXWING_ERROR_BAD_ID (job->id is too
 * long), those of waxwing_client_new_id(), WAXWING_ERROR_UNREACHABLE (no instance could be reached;
 * the job was not run if the client generated the id), WAXWING_ERROR_OUTCOME_UNKNOWN (no complete
 * answer arrived), WAXWING_ERROR_TOO_LARGE (the answer is longer than the client's answer_bytes),
 * and any error that an instance returns. @answer is always set and must be cleared. Any thread.
 */
enum waxwing_error_code waxwing_client_submit(struct waxwing_client *client,
					      const struct waxwing_client_job *job,
					      struct waxwing_client_answer *answer);

/**
 * Submits a job of exactly one task as a single request, which the instances retry by themselves if
 * its branch is declared idempotent. Errors and answer as with waxwing_client_submit(), and also
 * WAXWING_ERROR_TOO_MANY (more than one task). Any thread.
 */
enum waxwing_error_code waxwing_client_request(struct waxwing_client *client,
					       const struct waxwing_client_job *job,
					       struct waxwing_client_answer *answer);

/** Frees the contents of an answer, not the struct itself. Any thread. */
void waxwing_client_answer_clear(struct waxwing_client_answer *answer);

/** Returns the name of a state on the wire, e.g. "not_run". Static; never freed. Any thread. */
const char *waxwing_client_state_name(enum waxwing_client_state state);

#endif
