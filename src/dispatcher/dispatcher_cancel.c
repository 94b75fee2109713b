/* Cancellation of jobs. Any instance accepts the request; the job's issuer carries it out. */
#include "dispatcher_private.h"
#include "failure.h"

static void answer_cancel(struct waxwing_dispatcher *d, struct waxwing_waiter waiter,
			  const char *id, const struct waxwing_error *error)
{
	struct waxwing_failed_answer failed;

	/* A malformed id may not be valid text, so it is not returned. */
	waxwing_failed_answer_init(&failed, error->code == WAXWING_ERROR_BAD_ID ? "" : id, error);
	if (error->code == WAXWING_OK) {
		failed.answer.state = "cancelled";
		failed.answer.failure = NULL;
	} else {
		failed.answer.state = "not_cancelled";
	}
	waxwing_dispatcher_deliver_answer(d, waiter, &failed.answer);
}

static void forward_cancel(struct waxwing_dispatcher *d, int64_t now_ms, const char *id,
			   struct waxwing_waiter waiter)
{
	Waxwing__JobRequest request = WAXWING__JOB_REQUEST__INIT;

	request.id = (char *)id;
	request.caller = "";
	request.branch = "";
	waxwing_dispatcher_forward(d, now_ms, &request, WAXWING_SUBMIT_CANCEL, waiter);
}

void waxwing_dispatcher_cancel(struct waxwing_dispatcher *d, int64_t now_ms, const char *id,
			       struct waxwing_waiter waiter)
{
	struct waxwing_submission_id parsed;
	struct waxwing_error error = WAXWING_ERROR_INIT;

	if (waxwing_submission_id_parse(waxwing_str(id), &parsed, &error) == WAXWING_OK &&
	    parsed.window.incarnation != d->incarnation) {
		forward_cancel(d, now_ms, id, waiter);
		return;
	}
	if (error.code == WAXWING_OK)
		waxwing_submissions_cancel(d->submissions, now_ms, waxwing_str(id), &error);
	answer_cancel(d, waiter, id, &error);
	waxwing_dispatcher_process_results(d, now_ms);
	waxwing_dispatcher_run_actions(d, now_ms);
}
