#include "settings_log.h"

#include "binding.h"
#include "settings.h"
#include "splice.h"

#define HEAD_PREFIX "{\"settings_log\""

bool waxwing_settings_is_head(struct waxwing_str head)
{
	return head.len >= strlen(HEAD_PREFIX) &&
	       memcmp(head.data, HEAD_PREFIX, strlen(HEAD_PREFIX)) == 0;
}

Waxwing__SettingsHead *waxwing_settings_head_parse(struct waxwing_str head,
						   struct waxwing_error *error)
{
	Waxwing__SettingsHead *message = (Waxwing__SettingsHead *)waxwing_binding_parse(
		&waxwing__settings_head__descriptor, head, NULL, error);

	if (!message)
		return NULL;
	for (size_t i = 0; i < message->settings_log->n_edits; i++) {
		if (message->settings_log->edits[i]->n_keys)
			continue;
		waxwing__settings_head__free_unpacked(message, NULL);
		waxwing_error_set(error, WAXWING_ERROR_MISSING, "settings_log.edits",
				  "an edit has no keys");
		return NULL;
	}
	return message;
}

char *waxwing_settings_digest(struct waxwing_str text)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)text.data, text.len);
}

static bool matches_digest(const char *text, const char *digest)
{
	char *actual = waxwing_settings_digest(waxwing_str(text));
	bool equal = strcmp(actual, digest) == 0;

	g_free(actual);
	return equal;
}

char *waxwing_settings_replay(const Waxwing__SettingsLog *log, char *text, size_t from,
			      size_t until)
{
	struct waxwing_splice *splices = g_new(struct waxwing_splice, until - from + 1);
	char *changed;

	for (size_t i = from; i < until; i++) {
		const Waxwing__SettingsEdit *edit = log->edits[i];

		splices[i - from] = (struct waxwing_splice){
			.change = edit->change,
			.keys = (const char *const *)edit->keys,
			.key_count = edit->n_keys,
			.value = edit->value,
		};
	}
	changed = waxwing_splice_apply(splices, until - from, waxwing_str(text));
	g_free(splices);
	g_free(text);
	return changed;
}

/*
 * Applies the edits from index @from on to @text, which it frees; null if the digest doesn't
 * match.
 */
static char *replay_verified(const Waxwing__SettingsLog *log, char *text, size_t from)
{
	text = waxwing_settings_replay(log, text, from, log->n_edits);
	if (text && matches_digest(text, log->digest))
		return text;
	g_free(text);
	return NULL;
}

/*
 * Applies the log to a document that equals the base or whose last edit is in the log; returns
 * null for any other document.
 */
static char *resolve_from_document(const Waxwing__SettingsLog *log, struct waxwing_str have)
{
	char *last = have.len ? waxwing_splice_last_change(have) : NULL;
	char *text = NULL;
	char *digest;

	for (size_t i = log->n_edits; last && i && !text; i--)
		if (strcmp(log->edits[i - 1]->change, last) == 0)
			text = replay_verified(log, waxwing_str_dup(have), i);
	g_free(last);
	if (text || !have.len)
		return text;
	digest = waxwing_settings_digest(have);
	if (strcmp(digest, log->base_digest) == 0)
		text = replay_verified(log, waxwing_str_dup(have), 0);
	g_free(digest);
	return text;
}

static bool is_valid_document(const char *text)
{
	struct waxwing_settings *settings = waxwing_settings_parse(waxwing_str(text), 0, NULL);
	bool parsed = settings != NULL;

	waxwing_settings_free(settings);
	return parsed;
}

char *waxwing_settings_fetch_base(const Waxwing__SettingsLog *log,
				  const struct waxwing_base_reader *fetch,
				  struct waxwing_error *error)
{
	char *text = fetch->read(fetch->context, log->base_key, error);

	if (!text)
		return NULL;
	if (matches_digest(text, log->base_digest) && is_valid_document(text))
		return text;
	g_free(text);
	waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, log->base_key,
			  "the base document is invalid or does not match its digest");
	return NULL;
}

static char *resolve_from_base(const Waxwing__SettingsLog *log,
			       const struct waxwing_base_reader *fetch, struct waxwing_error *error)
{
	char *text;

	if (!fetch) {
		waxwing_error_set(error, WAXWING_ERROR_MISSING, log->base_key,
				  "the base document is required");
		return NULL;
	}
	text = waxwing_settings_fetch_base(log, fetch, error);
	if (!text)
		return NULL;
	text = replay_verified(log, text, 0);
	if (!text)
		waxwing_error_set(error, WAXWING_ERROR_SYNTAX, "settings_log",
				  "the edits do not produce the document with the recorded digest");
	return text;
}

char *waxwing_settings_resolve(struct waxwing_str head, struct waxwing_str have,
			       const struct waxwing_base_reader *fetch, struct waxwing_error *error)
{
	Waxwing__SettingsHead *message;
	char *text;

	if (!waxwing_settings_is_head(head))
		return waxwing_str_dup(head);
	message = waxwing_settings_head_parse(head, error);
	if (!message)
		return NULL;
	text = resolve_from_document(message->settings_log, have);
	if (!text)
		text = resolve_from_base(message->settings_log, fetch, error);
	waxwing__settings_head__free_unpacked(message, NULL);
	return text;
}
