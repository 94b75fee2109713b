#include "edit_store.h"

#include "binding.h"
#include "settings_log.h"

/* Of an edit in a head besides its strings: quotes, names of the keys. */
#define EDIT_OVERHEAD_BYTES 64

/* reading */

static char *read_base(void *context, const char *key, struct waxwing_error *error)
{
	struct waxwing_platform *platform = context;
	struct waxwing_platform_value value = { .data = NULL };

	if (platform->ops->get(platform, key, &value, error) != WAXWING_OK)
		return NULL;
	if (value.revision)
		return value.data;
	waxwing_platform_value_clear(&value);
	waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, key, "no such base");
	return NULL;
}

/* Puts the document of a log together, keeping its base. */
static enum waxwing_error_code read_log(struct waxwing_platform *platform,
					struct waxwing_store_copy *copy, struct waxwing_str head,
					struct waxwing_error *error)
{
	const struct waxwing_settings_fetch fetch = { read_base, platform };
	const Waxwing__SettingsLog *log;

	copy->head = waxwing_settings_head_parse(head, error);
	if (!copy->head)
		return error->code;
	log = copy->head->settings_log;
	copy->base = waxwing_settings_base(log, &fetch, error);
	if (!copy->base)
		return error->code;
	copy->document = waxwing_settings_resolve(head, waxwing_str(copy->base), NULL, error);
	if (!copy->document)
		return error->code;
	copy->len = strlen(copy->document);
	return WAXWING_OK;
}

enum waxwing_error_code waxwing_store_read(struct waxwing_platform *platform, const char *key,
					   struct waxwing_store_copy *copy,
					   struct waxwing_error *error)
{
	struct waxwing_error failure = WAXWING_ERROR_INIT;
	struct waxwing_platform_value value = { .data = NULL };
	struct waxwing_str head;

	*copy = (struct waxwing_store_copy){ .document = NULL };
	if (platform->ops->get(platform, key, &value, &failure) == WAXWING_OK) {
		head = (struct waxwing_str){ value.len, value.data };
		copy->revision = value.revision;
		if (waxwing_settings_is_head(head)) {
			read_log(platform, copy, head, &failure);
			g_free(value.data);
		} else {
			copy->document = value.data ? value.data : g_strdup("");
			copy->len = value.len;
		}
	}
	if (failure.code != WAXWING_OK) {
		waxwing_store_clear(copy);
		if (error)
			*error = failure;
	}
	return failure.code;
}

void waxwing_store_clear(struct waxwing_store_copy *copy)
{
	g_free(copy->document);
	g_free(copy->base);
	if (copy->head)
		waxwing__settings_head__free_unpacked(copy->head, NULL);
	*copy = (struct waxwing_store_copy){ .document = NULL };
}

/* writing */

/* The head to be written; what it points to belongs to others but for the strings named here. */
struct draft {
	Waxwing__SettingsLog log;
	Waxwing__SettingsEdit edit; /* the new one */
	GPtrArray *edits;
	GPtrArray *old;
	char *base_text; /* of a new base; null: the base stays */
	char *base_key;
	char *base_digest;
	char *digest;
};

static void draft_clear(struct draft *draft)
{
	g_ptr_array_free(draft->edits, TRUE);
	g_ptr_array_free(draft->old, TRUE);
	g_free(draft->base_text);
	g_free(draft->base_key);
	g_free(draft->base_digest);
	g_free(draft->digest);
}

static size_t edit_bytes(const Waxwing__SettingsEdit *edit)
{
	size_t bytes = EDIT_OVERHEAD_BYTES + strlen(edit->change) +
		       (edit->value ? strlen(edit->value) : 0);

	for (size_t i = 0; i < edit->n_keys; i++)
		bytes += strlen(edit->keys[i]);
	return bytes;
}

/* How many of the newest edits fit. */
static size_t count_fitting(const GPtrArray *edits, size_t most, size_t most_bytes)
{
	size_t bytes = 0;
	size_t count = 0;

	while (count < edits->len && count < most) {
		bytes += edit_bytes(g_ptr_array_index(edits, edits->len - 1 - count));
		if (bytes > most_bytes)
			break;
		count++;
	}
	return count;
}

static void add_edits(struct draft *draft, const struct waxwing_store_copy *copy,
		      const struct waxwing_splice *splice)
{
	if (copy->head)
		for (size_t i = 0; i < copy->head->settings_log->n_edits; i++)
			g_ptr_array_add(draft->edits, copy->head->settings_log->edits[i]);
	draft->edit = (Waxwing__SettingsEdit)WAXWING__SETTINGS_EDIT__INIT;
	draft->edit.change = (char *)splice->change;
	draft->edit.n_keys = splice->key_count;
	draft->edit.keys = (char **)splice->keys;
	draft->edit.value = (char *)splice->value;
	g_ptr_array_add(draft->edits, &draft->edit);
}

/* Makes the oldest edits part of a new base, so that the newer half of a full log stays. */
static void fold(struct draft *draft, const struct waxwing_store_copy *copy, size_t most)
{
	size_t count = draft->edits->len;
	size_t keep;

	if (count_fitting(draft->edits, most, WAXWING_LOG_BYTES) == count)
		return;
	keep = count_fitting(draft->edits, most / 2, WAXWING_LOG_BYTES / 2);
	/* the new edit is not in what was read: it stays, or all is folded */
	if (!keep) {
		g_ptr_array_set_size(draft->edits, 0);
		return;
	}
	draft->base_text = waxwing_settings_replay(copy->head->settings_log, g_strdup(copy->base),
						   0, count - keep);
	g_ptr_array_remove_range(draft->edits, 0, (guint)(count - keep));
}

static void choose_base(struct draft *draft, const struct waxwing_store_copy *copy,
			const struct waxwing_store_change *change)
{
	size_t most = change->log_edits ? change->log_edits : WAXWING_LOG_EDITS;

	if (change->splice && copy->len) {
		add_edits(draft, copy, change->splice);
		if (!copy->head && edit_bytes(&draft->edit) <= WAXWING_LOG_BYTES)
			draft->base_text = g_strdup(copy->document);
		else if (copy->head)
			fold(draft, copy, most);
		else
			g_ptr_array_set_size(draft->edits, 0);
	}
	if (!draft->edits->len)
		draft->base_text = waxwing_str_dup(change->document);
}

/* Removes the bases that no head names; those that stay are named again. */
static void remove_old(struct draft *draft, struct waxwing_platform *platform,
		       const Waxwing__SettingsLog *log)
{
	for (size_t i = 0; i < log->n_old; i++)
		if (platform->ops->remove(platform, log->old[i], NULL) != WAXWING_OK)
			g_ptr_array_add(draft->old, log->old[i]);
}

static void name_base(struct draft *draft, const struct waxwing_store_copy *copy, const char *key)
{
	const Waxwing__SettingsLog *log = copy->head ? copy->head->settings_log : NULL;
	const char *slash;
	const char *name;
	char *unique;

	if (log && !draft->base_text) {
		draft->base_key = g_strdup(log->base_key);
		draft->base_digest = g_strdup(log->base_digest);
		return;
	}
	unique = g_uuid_string_random();
	slash = strrchr(key, '/');
	name = slash ? slash + 1 : key;
	draft->base_key = g_strdup_printf("%.*sbases/%s/%s", (int)(name - key), key, name, unique);
	draft->base_digest = waxwing_settings_digest(waxwing_str(draft->base_text));
	g_free(unique);
	if (log)
		g_ptr_array_add(draft->old, log->base_key);
}

static char *print_draft(struct draft *draft)
{
	Waxwing__SettingsHead head = WAXWING__SETTINGS_HEAD__INIT;

	draft->log = (Waxwing__SettingsLog)WAXWING__SETTINGS_LOG__INIT;
	draft->log.base_key = draft->base_key;
	draft->log.base_digest = draft->base_digest;
	draft->log.digest = draft->digest;
	draft->log.n_edits = draft->edits->len;
	draft->log.edits = (Waxwing__SettingsEdit **)draft->edits->pdata;
	draft->log.n_old = draft->old->len;
	draft->log.old = (char **)draft->old->pdata;
	head.settings_log = &draft->log;
	return waxwing_binding_print(&head.base, false);
}

/* A base whose write got no answer is named by no head: nothing was changed. */
static enum waxwing_error_code
put_base(const struct draft *draft, struct waxwing_platform *platform, struct waxwing_error *error)
{
	enum waxwing_error_code code = platform->ops->put(platform, draft->base_key, 0,
							  waxwing_str(draft->base_text), error);

	if (code == WAXWING_OK)
		return code;
	platform->ops->remove(platform, draft->base_key, NULL);
	if (code == WAXWING_ERROR_TIMEOUT)
		code = waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, draft->base_key,
					 "no answer to the write of a base");
	return code;
}

static enum waxwing_error_code put_head(struct draft *draft, struct waxwing_platform *platform,
					const char *key, uint64_t revision,
					struct waxwing_error *error)
{
	char *head = print_draft(draft);
	enum waxwing_error_code code =
		platform->ops->put(platform, key, revision, waxwing_str(head), error);

	g_free(head);
	if (draft->base_text && code != WAXWING_OK && code != WAXWING_ERROR_TIMEOUT)
		platform->ops->remove(platform, draft->base_key, NULL);
	return code;
}

enum waxwing_error_code waxwing_store_write(struct waxwing_platform *platform, const char *key,
					    const struct waxwing_store_copy *copy,
					    const struct waxwing_store_change *change,
					    struct waxwing_error *error)
{
	struct draft draft = { .base_text = NULL };
	enum waxwing_error_code code = WAXWING_OK;

	if (!copy->head && change->document.len <= WAXWING_PLAIN_BYTES)
		return platform->ops->put(platform, key, copy->revision, change->document, error);
	draft.edits = g_ptr_array_new();
	draft.old = g_ptr_array_new();
	draft.digest = waxwing_settings_digest(change->document);
	choose_base(&draft, copy, change);
	if (copy->head)
		remove_old(&draft, platform, copy->head->settings_log);
	name_base(&draft, copy, key);
	if (draft.base_text)
		code = put_base(&draft, platform, error);
	if (code == WAXWING_OK)
		code = put_head(&draft, platform, key, copy->revision, error);
	draft_clear(&draft);
	return code;
}
