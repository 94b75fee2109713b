#include "failure.h"

void waxwing_failed_answer_init(struct waxwing_failed_answer *failed, const char *id,
				const struct waxwing_error *error)
{
	bool not_run = waxwing_error_is_not_run(error->code);

	waxwing__job_answer__init(&failed->answer);
	waxwing__failure__init(&failed->failure);
	failed->failure.code = (char *)waxwing_error_name(error->code);
	failed->failure.message =
		(char *)(error->detail[0] ? error->detail : waxwing_strerror(error->code));
	failed->failure.path = error->path[0] ? (char *)error->path : NULL;
	failed->failure.has_line = error->line != 0;
	failed->failure.line = error->line;
	failed->failure.has_retry_after_ms = error->retry_after_ms != 0;
	failed->failure.retry_after_ms = error->retry_after_ms;
	failed->answer.id = (char *)id;
	failed->answer.state = not_run ? "not_run" : "unknown";
	failed->answer.failure = &failed->failure;
}
