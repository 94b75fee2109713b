#include "edit.h"

#include "edit_diff.h"
#include "edit_store.h"
#include "edit_text.h"
#include "settings.h"

#include <json-c/json.h>
#include <time.h>

#define DEFAULT_ATTEMPTS 8
#define BACKOFF_BASE_MS	 20
#define BACKOFF_MAX_MS	 1000
#define NS_PER_MS	 1000000

struct edit_operation {
	const struct waxwing_edit *edit;
	const struct waxwing_edit_options *options;
	char *baseline; /* value that the edit replaces, as JSON; for REPLACE the whole document */
	bool has_baseline;
	uint64_t highest_revision; /* highest revision read so far */
	uint64_t unconfirmed_revision; /* revision that the unconfirmed write was based on */
	bool unconfirmed; /* a write got no response and may still take effect */
	struct waxwing_edit_result result;
	struct waxwing_error *error;
};

enum step {
	STEP_DONE,
	STEP_RETRY,
	STEP_REFUSED, /* give up with the current error */
};

static void sleep_ms(void *context, uint32_t wait_ms)
{
	struct timespec wait = { wait_ms / 1000, (long)(wait_ms % 1000) * NS_PER_MS };

	(void)context;
	nanosleep(&wait, NULL);
}

static void wait_before_retry(const struct edit_operation *op, uint32_t attempt)
{
	uint32_t max_wait_ms = MIN(BACKOFF_BASE_MS << MIN(attempt, 10u), BACKOFF_MAX_MS);
	uint32_t wait_ms = max_wait_ms / 2 + g_random_int() % max_wait_ms;

	if (op->options->pause)
		op->options->pause(op->options->context, wait_ms);
	else
		sleep_ms(NULL, wait_ms);
}

/* Returns the value to edit as JSON in json-c's format; empty if it is unset. */
static char *value_at(const struct waxwing_edit *edit, struct waxwing_str document)
{
	struct waxwing_key_path key_path = { (const char *const *)edit->keys,
					     g_strv_length(edit->keys) };
	struct waxwing_str text;
	json_object *json;
	char *plain;

	if (!document.len || !waxwing_text_get(document, key_path, &text))
		return g_strdup("");
	json = waxwing_text_parse(text);
	plain = g_strdup(json_object_to_json_string_ext(json, JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
	return plain;
}

static const char *value_or_unset(const char *json)
{
	return *json ? json : "unset";
}

static enum step report_conflict(struct edit_operation *op, const char *found)
{
	char *path = g_strjoinv(".", op->edit->keys);

	waxwing_error_set(op->error, WAXWING_ERROR_CONFLICT, path,
			  "another edit made it %s; it was %s when this one to %s began",
			  value_or_unset(found), value_or_unset(op->baseline),
			  value_or_unset(op->edit->value ? op->edit->value : ""));
	g_free(path);
	return STEP_REFUSED;
}

/* Reports a conflict if the value is neither the baseline nor the one that the edit sets. */
static enum step check_value(struct edit_operation *op, struct waxwing_str document)
{
	char *found = value_at(op->edit, document);
	enum step step = STEP_RETRY;

	if (!op->has_baseline)
		op->baseline = g_strdup(op->edit->expected ? op->edit->expected : found);
	op->has_baseline = true;
	if (strcmp(found, op->baseline) != 0 &&
	    g_strcmp0(found, op->edit->value ? op->edit->value : "") != 0)
		step = report_conflict(op, found);
	g_free(found);
	return step;
}

static void report_difference(void *context, const struct waxwing_difference *difference)
{
	struct edit_operation *op = context;

	if (op->error->code == WAXWING_OK && difference->before)
		waxwing_error_set(op->error, WAXWING_ERROR_CONFLICT, difference->path,
				  "the platform has %s, this edit would make it %s",
				  difference->before,
				  difference->after ? difference->after : "unset");
}

/*
 * Checks the document at the first read of a REPLACE: its revision must be the expected one.
 * Without an expected revision the edit must not change or remove any value.
 */
static enum step check_first_document(struct edit_operation *op, struct waxwing_str document,
				      uint64_t revision)
{
	const struct waxwing_edit *edit = op->edit;

	if (edit->has_expected_revision && revision != edit->expected_revision) {
		waxwing_error_set(op->error, WAXWING_ERROR_CONFLICT, NULL,
				  "the document is at revision %" G_GUINT64_FORMAT
				  ", not at the expected revision %" G_GUINT64_FORMAT,
				  revision, edit->expected_revision);
		return STEP_REFUSED;
	}
	if (edit->has_expected_revision || !document.len)
		return STEP_RETRY;
	op->error->code = WAXWING_OK;
	waxwing_settings_diff(document, waxwing_str(edit->value), report_difference, op);
	return op->error->code == WAXWING_OK ? STEP_RETRY : STEP_REFUSED;
}

static enum step check_document(struct edit_operation *op, struct waxwing_str document,
				uint64_t revision)
{
	if (!op->has_baseline) {
		op->baseline = waxwing_str_dup(document);
		op->has_baseline = true;
		return check_first_document(op, document, revision);
	}
	op->error->code = WAXWING_OK;
	if (!waxwing_settings_diff(document, waxwing_str(op->baseline), report_difference, op))
		return STEP_RETRY;
	if (op->error->code == WAXWING_OK)
		waxwing_error_set(op->error, WAXWING_ERROR_CONFLICT, NULL,
				  "another edit removed values from the document");
	return STEP_REFUSED;
}

/* Combines the platform's @revision with the document's generation. */
static uint64_t combined_revision(struct waxwing_str document, uint64_t revision)
{
	struct waxwing_settings *settings = waxwing_settings_parse(document, revision, NULL);

	if (settings)
		revision = waxwing_settings_revision(settings);
	waxwing_settings_free(settings);
	return revision;
}

static bool has_change(struct waxwing_str document, const char *change)
{
	struct waxwing_settings *settings = waxwing_settings_parse(document, 0, NULL);
	bool found = false;

	if (!settings)
		return false;
	for (size_t i = 0; i < waxwing_settings_tree(settings)->n_recent_changes; i++)
		found |= strcmp(waxwing_settings_tree(settings)->recent_changes[i], change) == 0;
	waxwing_settings_free(settings);
	return found;
}

static enum step handle_put_result(struct edit_operation *op, enum waxwing_error_code code,
				   uint64_t revision)
{
	switch (code) {
	case WAXWING_OK:
		op->result.written = true;
		return STEP_DONE;
	case WAXWING_ERROR_TIMEOUT:
		op->unconfirmed = true;
		op->unconfirmed_revision = revision;
		return STEP_RETRY;
	case WAXWING_ERROR_TOO_LARGE:
		return STEP_REFUSED;
	default:
		return STEP_RETRY;
	}
}

static enum step write_document(struct edit_operation *op,
				const struct waxwing_document_copy *value)
{
	struct waxwing_str document = { value->len, value->document };
	struct waxwing_document_change change;
	struct waxwing_splice splice;
	enum waxwing_error_code code;
	char *changed = waxwing_edit_apply(op->edit, document, op->options->change, op->error);

	if (!changed)
		return STEP_REFUSED;
	if (value->revision && !waxwing_settings_diff(document, waxwing_str(changed), NULL, NULL)) {
		g_free(changed);
		op->result.revision = combined_revision(document, value->revision);
		return STEP_DONE;
	}
	change = (struct waxwing_document_change){
		.document = waxwing_str(changed),
		.log_edits = op->options->max_log_edits,
	};
	if (op->edit->kind != WAXWING_EDIT_REPLACE) {
		splice = waxwing_edit_splice(op->edit, op->options->change);
		change.splice = &splice;
	}
	code = waxwing_document_write(op->options->platform, op->options->key, value, &change,
				      op->error);
	g_free(changed);
	return handle_put_result(op, code, value->revision);
}

static enum step edit_document(struct edit_operation *op, const struct waxwing_document_copy *value)
{
	struct waxwing_str document = { value->len, value->document };
	enum step step;

	if (value->revision < op->highest_revision) {
		waxwing_error_set(op->error, WAXWING_ERROR_PLATFORM_ANSWER, op->options->key,
				  "the platform returned an older revision than before");
		return STEP_RETRY;
	}
	op->highest_revision = value->revision;
	if (has_change(document, op->options->change)) {
		op->result.revision = combined_revision(document, value->revision);
		op->result.written = true;
		return STEP_DONE;
	}
	/* The revision has changed since, so the unconfirmed write can no longer take effect. */
	if (op->unconfirmed && value->revision > op->unconfirmed_revision)
		op->unconfirmed = false;
	step = op->edit->kind == WAXWING_EDIT_REPLACE ?
		       check_document(op, document, combined_revision(document, value->revision)) :
		       check_value(op, document);
	return step == STEP_RETRY ? write_document(op, value) : step;
}

static enum step run_attempt(struct edit_operation *op)
{
	struct waxwing_document_copy copy;
	enum step step;

	if (waxwing_document_read(op->options->platform, op->options->key, &copy, op->error) !=
	    WAXWING_OK)
		return STEP_RETRY;
	step = edit_document(op, &copy);
	waxwing_document_clear(&copy);
	return step;
}

/*
 * If result.revision is 0, sets it to the document's revision, provided that the document can be
 * read and contains the change.
 */
static void read_written_revision(struct edit_operation *op)
{
	struct waxwing_document_copy copy;
	struct waxwing_str document;

	if (op->result.revision)
		return;
	if (waxwing_document_read(op->options->platform, op->options->key, &copy, NULL) !=
	    WAXWING_OK)
		return;
	document = (struct waxwing_str){ copy.len, copy.document };
	if (has_change(document, op->options->change))
		op->result.revision = combined_revision(document, copy.revision);
	waxwing_document_clear(&copy);
}

static enum waxwing_error_code set_final_error(struct edit_operation *op)
{
	/* Only reads timed out, so nothing was changed. */
	if (!op->unconfirmed && op->error->code == WAXWING_ERROR_TIMEOUT)
		op->error->code = WAXWING_ERROR_PLATFORM_DOWN;
	if (!op->unconfirmed)
		return op->error->code;
	return waxwing_error_set(
		op->error, WAXWING_ERROR_TIMEOUT, op->options->key,
		"the edit may have taken effect; if it did, recent_changes contains %s",
		op->options->change);
}

enum waxwing_error_code waxwing_edit_run(const struct waxwing_edit *edit,
					 const struct waxwing_edit_options *options,
					 struct waxwing_edit_result *result,
					 struct waxwing_error *error)
{
	struct waxwing_error failure = WAXWING_ERROR_INIT;
	struct edit_operation op = { .edit = edit, .options = options, .error = &failure };
	uint32_t attempts = options->max_attempts ? options->max_attempts : DEFAULT_ATTEMPTS;
	enum step step = STEP_RETRY;

	for (uint32_t i = 0; i < attempts && step == STEP_RETRY; i++) {
		if (i)
			wait_before_retry(&op, i);
		op.result.attempts++;
		step = run_attempt(&op);
	}
	if (step == STEP_DONE) {
		read_written_revision(&op);
		failure = (struct waxwing_error)WAXWING_ERROR_INIT;
	} else {
		set_final_error(&op);
	}
	g_free(op.baseline);
	if (result)
		*result = op.result;
	if (error)
		*error = failure;
	return failure.code;
}
