#include "edit.h"

#include "edit_diff.h"
#include "edit_store.h"
#include "edit_text.h"
#include "settings.h"

#include <json-c/json.h>
#include <time.h>

#define DEFAULT_ATTEMPTS 8
#define FIRST_PAUSE_MS	 20
#define LONGEST_PAUSE_MS 1000
#define NS_PER_MS	 1000000

struct run {
	const struct waxwing_edit *edit;
	const struct waxwing_edit_options *options;
	char *seen; /* what the first read gave: the value's JSON, or the document of APPLY */
	bool has_seen;
	uint64_t highest; /* revision read so far */
	uint64_t lost_at; /* revision that a write with a lost answer was made on */
	bool lost;
	struct waxwing_edit_result result;
	struct waxwing_error *error;
};

/* What the next step is after an attempt. */
enum step {
	STEP_DONE,
	STEP_AGAIN,
	STEP_REFUSED,
};

static void sleep_ms(void *context, uint32_t wait_ms)
{
	struct timespec wait = { wait_ms / 1000, (long)(wait_ms % 1000) * NS_PER_MS };

	(void)context;
	nanosleep(&wait, NULL);
}

static void pause_before(const struct run *run, uint32_t attempt)
{
	uint32_t longest_ms = MIN(FIRST_PAUSE_MS << MIN(attempt, 10u), LONGEST_PAUSE_MS);
	uint32_t wait_ms = longest_ms / 2 + g_random_int() % longest_ms;

	if (run->options->pause)
		run->options->pause(run->options->context, wait_ms);
	else
		sleep_ms(NULL, wait_ms);
}

/* The value at the edit's place as plain JSON; empty when unset. */
static char *value_at(const struct waxwing_edit *edit, struct waxwing_str document)
{
	struct waxwing_place place = { (const char *const *)edit->keys, g_strv_length(edit->keys) };
	struct waxwing_str text;
	json_object *json;
	char *plain;

	if (!document.len || !waxwing_text_get(document, place, &text))
		return g_strdup("");
	json = waxwing_text_parse(text);
	plain = g_strdup(json_object_to_json_string_ext(json, JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
	return plain;
}

static const char *shown(const char *json)
{
	return *json ? json : "unset";
}

static enum step refuse_value(struct run *run, const char *found)
{
	char *path = g_strjoinv(".", run->edit->keys);

	waxwing_error_set(run->error, WAXWING_ERROR_CONFLICT, path,
			  "another edit made it %s; it was %s when this one to %s began",
			  shown(found), shown(run->seen),
			  shown(run->edit->value ? run->edit->value : ""));
	g_free(path);
	return STEP_REFUSED;
}

/* Refuses when the value is neither what the operator saw nor what the edit makes it. */
static enum step check_value(struct run *run, struct waxwing_str document)
{
	char *found = value_at(run->edit, document);
	enum step step = STEP_AGAIN;

	if (!run->has_seen)
		run->seen = g_strdup(run->edit->expected ? run->edit->expected : found);
	run->has_seen = true;
	if (strcmp(found, run->seen) != 0 &&
	    g_strcmp0(found, run->edit->value ? run->edit->value : "") != 0)
		step = refuse_value(run, found);
	g_free(found);
	return step;
}

static void refuse_difference(void *context, const struct waxwing_difference *difference)
{
	struct run *run = context;

	if (run->error->code == WAXWING_OK && difference->before)
		waxwing_error_set(run->error, WAXWING_ERROR_CONFLICT, difference->path,
				  "the platform has %s, this edit would make it %s",
				  difference->before,
				  difference->after ? difference->after : "unset");
}

/* The first read of APPLY: the document must be the one that the operator saw. */
static enum step check_first_document(struct run *run, struct waxwing_str document,
				      uint64_t revision)
{
	const struct waxwing_edit *edit = run->edit;

	if (edit->has_revision && revision != edit->expected_revision) {
		waxwing_error_set(run->error, WAXWING_ERROR_CONFLICT, NULL,
				  "the document is at revision %" G_GUINT64_FORMAT
				  " and was seen at %" G_GUINT64_FORMAT,
				  revision, edit->expected_revision);
		return STEP_REFUSED;
	}
	if (edit->has_revision || !document.len)
		return STEP_AGAIN;
	run->error->code = WAXWING_OK;
	waxwing_diff(document, waxwing_str(edit->value), refuse_difference, run);
	return run->error->code == WAXWING_OK ? STEP_AGAIN : STEP_REFUSED;
}

static enum step check_document(struct run *run, struct waxwing_str document, uint64_t revision)
{
	if (!run->has_seen) {
		run->seen = waxwing_str_dup(document);
		run->has_seen = true;
		return check_first_document(run, document, revision);
	}
	run->error->code = WAXWING_OK;
	if (!waxwing_diff(document, waxwing_str(run->seen), refuse_difference, run))
		return STEP_AGAIN;
	if (run->error->code == WAXWING_OK)
		waxwing_error_set(run->error, WAXWING_ERROR_CONFLICT, NULL,
				  "another edit took out values of the document");
	return STEP_REFUSED;
}

/* The whole revision that a document has at the platform's @revision. */
static uint64_t whole_revision(struct waxwing_str document, uint64_t revision)
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

static enum step note_put(struct run *run, enum waxwing_error_code code, uint64_t revision)
{
	switch (code) {
	case WAXWING_OK:
		run->result.written = true;
		return STEP_DONE;
	case WAXWING_ERROR_TIMEOUT:
		run->lost = true;
		run->lost_at = revision;
		return STEP_AGAIN;
	case WAXWING_ERROR_TOO_LARGE:
		return STEP_REFUSED;
	default:
		return STEP_AGAIN;
	}
}

static enum step write_document(struct run *run, const struct waxwing_store_copy *value)
{
	struct waxwing_str document = { value->len, value->document };
	struct waxwing_store_change change;
	struct waxwing_splice splice;
	enum waxwing_error_code code;
	char *changed = waxwing_edit_make(run->edit, document, run->options->change, run->error);

	if (!changed)
		return STEP_REFUSED;
	if (value->revision && !waxwing_diff(document, waxwing_str(changed), NULL, NULL)) {
		g_free(changed);
		run->result.revision = whole_revision(document, value->revision);
		return STEP_DONE;
	}
	change = (struct waxwing_store_change){
		.document = waxwing_str(changed),
		.log_edits = run->options->log_edits,
	};
	if (run->edit->kind != WAXWING_EDIT_APPLY) {
		splice = waxwing_edit_splice(run->edit, run->options->change);
		change.splice = &splice;
	}
	code = waxwing_store_write(run->options->platform, run->options->key, value, &change,
				   run->error);
	g_free(changed);
	return note_put(run, code, value->revision);
}

static enum step edit_value(struct run *run, const struct waxwing_store_copy *value)
{
	struct waxwing_str document = { value->len, value->document };
	enum step step;

	if (value->revision < run->highest) {
		waxwing_error_set(run->error, WAXWING_ERROR_PLATFORM_ANSWER, run->options->key,
				  "the platform gave an older revision than before");
		return STEP_AGAIN;
	}
	run->highest = value->revision;
	if (has_change(document, run->options->change)) {
		run->result.revision = whole_revision(document, value->revision);
		run->result.written = true;
		return STEP_DONE;
	}
	/* A write on an older revision that is not there now never will be. */
	if (run->lost && value->revision > run->lost_at)
		run->lost = false;
	step = run->edit->kind == WAXWING_EDIT_APPLY ?
		       check_document(run, document, whole_revision(document, value->revision)) :
		       check_value(run, document);
	return step == STEP_AGAIN ? write_document(run, value) : step;
}

static enum step attempt(struct run *run)
{
	struct waxwing_store_copy copy;
	enum step step;

	if (waxwing_store_read(run->options->platform, run->options->key, &copy, run->error) !=
	    WAXWING_OK)
		return STEP_AGAIN;
	step = edit_value(run, &copy);
	waxwing_store_clear(&copy);
	return step;
}

/* Learns a revision that has the change; leaves 0 when the platform does not say. */
static void learn_revision(struct run *run)
{
	struct waxwing_store_copy copy;
	struct waxwing_str document;

	if (run->result.revision)
		return;
	if (waxwing_store_read(run->options->platform, run->options->key, &copy, NULL) !=
	    WAXWING_OK)
		return;
	document = (struct waxwing_str){ copy.len, copy.document };
	if (has_change(document, run->options->change))
		run->result.revision = whole_revision(document, copy.revision);
	waxwing_store_clear(&copy);
}

static enum waxwing_error_code give_up(struct run *run)
{
	/* A read that got no answer in time has changed nothing. */
	if (!run->lost && run->error->code == WAXWING_ERROR_TIMEOUT)
		run->error->code = WAXWING_ERROR_PLATFORM_DOWN;
	if (!run->lost)
		return run->error->code;
	return waxwing_error_set(run->error, WAXWING_ERROR_TIMEOUT, run->options->key,
				 "the edit may have taken effect; recent_changes would have %s",
				 run->options->change);
}

enum waxwing_error_code waxwing_edit_run(const struct waxwing_edit *edit,
					 const struct waxwing_edit_options *options,
					 struct waxwing_edit_result *result,
					 struct waxwing_error *error)
{
	struct waxwing_error failure = WAXWING_ERROR_INIT;
	struct run run = { .edit = edit, .options = options, .error = &failure };
	uint32_t attempts = options->attempts ? options->attempts : DEFAULT_ATTEMPTS;
	enum step step = STEP_AGAIN;

	for (uint32_t i = 0; i < attempts && step == STEP_AGAIN; i++) {
		if (i)
			pause_before(&run, i);
		run.result.attempts++;
		step = attempt(&run);
	}
	if (step == STEP_DONE) {
		learn_revision(&run);
		failure = (struct waxwing_error)WAXWING_ERROR_INIT;
	} else {
		give_up(&run);
	}
	g_free(run.seen);
	if (result)
		*result = run.result;
	if (error)
		*error = failure;
	return failure.code;
}
