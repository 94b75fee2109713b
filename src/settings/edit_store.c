#include "edit_store.h"

#include "binding.h"
#include "settings_log.h"

/* Size of an edit in the head in addition to its strings: quotes and key names. */
#define EDIT_OVERHEAD_BYTES 64

static char *read_base(void *context, const char *key, struct waxwing_error *error)
{
	struct waxwing_platform *platform = context;
	struct waxwing_platform_value value = { .data = NULL };

	if (platform->ops->get(platform, key, &value, error) != WAXWING_OK)
		return NULL;
	if (value.revision)
		return value.data;
	waxwing_platform_value_clear(&value);
	waxwing_error_set(error, WAXWING_ERROR_PLATFORM_ANSWER, key,
			  "the base document does not exist");
	return NULL;
}

/* Reads the base of a SettingsHead and applies its edits. */
static enum waxwing_error_code read_log(struct waxwing_platform *platform,
					struct waxwing_document_copy *copy, struct waxwing_str head,
					struct waxwing_error *error)
{
	const struct waxwing_base_reader fetch = { read_base, platform };
	const Waxwing__SettingsLog *log;

	copy->head = waxwing_settings_head_parse(head, error);
	if (!copy->head)
		return error->code;
	log = copy->head->settings_log;
	copy->base = waxwing_settings_fetch_base(log, &fetch, error);
	if (!copy->base)
		return error->code;
	copy->document = waxwing_settings_resolve(head, waxwing_str(copy->base), NULL, error);
	if (!copy->document)
		return error->code;
	copy->len = strlen(copy->document);
	return WAXWING_OK;
}

enum waxwing_error_code waxwing_document_read(struct waxwing_platform *platform, const char *key,
					      struct waxwing_document_copy *copy,
					      struct waxwing_error *error)
{
	struct waxwing_error failure = WAXWING_ERROR_INIT;
	struct waxwing_platform_value value = { .data = NULL };
	struct waxwing_str head;

	*copy = (struct waxwing_document_copy){ .document = NULL };
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
		waxwing_document_clear(copy);
		if (error)
			*error = failure;
	}
	return failure.code;
}

void waxwing_document_clear(struct waxwing_document_copy *copy)
{
	g_free(copy->document);
	g_free(copy->base);
	if (copy->head)
		waxwing__settings_head__free_unpacked(copy->head, NULL);
	*copy = (struct waxwing_document_copy){ .document = NULL };
}

/* A SettingsHead being assembled. It owns its arrays and strings, but not the arrays' elements. */
struct head_builder {
	Waxwing__SettingsLog log;
	Waxwing__SettingsEdit new_edit;
	GPtrArray *edits; /* Waxwing__SettingsEdit, oldest first */
	GPtrArray *old_bases; /* keys of bases still to be removed */
	char *base_text; /* text of a new base; null keeps the current one */
	char *base_key;
	char *base_digest;
	char *digest; /* of the resulting document */
};

static void head_builder_clear(struct head_builder *builder)
{
	g_ptr_array_free(builder->edits, TRUE);
	g_ptr_array_free(builder->old_bases, TRUE);
	g_free(builder->base_text);
	g_free(builder->base_key);
	g_free(builder->base_digest);
	g_free(builder->digest);
}

static size_t edit_bytes(const Waxwing__SettingsEdit *edit)
{
	size_t bytes = EDIT_OVERHEAD_BYTES + strlen(edit->change) +
		       (edit->value ? strlen(edit->value) : 0);

	for (size_t i = 0; i < edit->n_keys; i++)
		bytes += strlen(edit->keys[i]);
	return bytes;
}

/* Returns how many of the newest edits fit into both limits. */
static size_t count_fitting(const GPtrArray *edits, size_t max_edits, size_t max_bytes)
{
	size_t bytes = 0;
	size_t count = 0;

	while (count < edits->len && count < max_edits) {
		bytes += edit_bytes(g_ptr_array_index(edits, edits->len - 1 - count));
		if (bytes > max_bytes)
			break;
		count++;
	}
	return count;
}

static void add_edits(struct head_builder *builder, const struct waxwing_document_copy *copy,
		      const struct waxwing_splice *splice)
{
	if (copy->head)
		for (size_t i = 0; i < copy->head->settings_log->n_edits; i++)
			g_ptr_array_add(builder->edits, copy->head->settings_log->edits[i]);
	builder->new_edit = (Waxwing__SettingsEdit)WAXWING__SETTINGS_EDIT__INIT;
	builder->new_edit.change = (char *)splice->change;
	builder->new_edit.n_keys = splice->key_count;
	builder->new_edit.keys = (char **)splice->keys;
	builder->new_edit.value = (char *)splice->value;
	g_ptr_array_add(builder->edits, &builder->new_edit);
}

/* If the log is full, merges the older edits into a new base and keeps the newer half. */
static void compact_log(struct head_builder *builder, const struct waxwing_document_copy *copy,
			size_t max_edits)
{
	size_t count = builder->edits->len;
	size_t keep;

	if (count_fitting(builder->edits, max_edits, WAXWING_LOG_MAX_BYTES) == count)
		return;
	keep = count_fitting(builder->edits, max_edits / 2, WAXWING_LOG_MAX_BYTES / 2);
	/*
	 * The stored log lacks the new edit, so a replay can't merge it into a base. If the new
	 * edit doesn't fit, the log is emptied, and the new base is the whole new document.
	 */
	if (!keep) {
		g_ptr_array_set_size(builder->edits, 0);
		return;
	}
	builder->base_text = waxwing_settings_replay(copy->head->settings_log, g_strdup(copy->base),
						     0, count - keep);
	g_ptr_array_remove_range(builder->edits, 0, (guint)(count - keep));
}

static void choose_base(struct head_builder *builder, const struct waxwing_document_copy *copy,
			const struct waxwing_document_change *change)
{
	size_t max_edits = change->log_edits ? change->log_edits : WAXWING_LOG_MAX_EDITS;

	if (change->splice && copy->len) {
		add_edits(builder, copy, change->splice);
		if (!copy->head && edit_bytes(&builder->new_edit) <= WAXWING_LOG_MAX_BYTES)
			builder->base_text = g_strdup(copy->document);
		else if (copy->head)
			compact_log(builder, copy, max_edits);
		else
			g_ptr_array_set_size(builder->edits, 0);
	}
	if (!builder->edits->len)
		builder->base_text = waxwing_str_dup(change->document);
}

/* Removes the log's old bases. A key that can't be removed stays listed in the new head. */
static void remove_old_bases(struct head_builder *builder, struct waxwing_platform *platform,
			     const Waxwing__SettingsLog *log)
{
	for (size_t i = 0; i < log->n_old; i++)
		if (platform->ops->remove(platform, log->old[i], NULL) != WAXWING_OK)
			g_ptr_array_add(builder->old_bases, log->old[i]);
}

static void set_base_key(struct head_builder *builder, const struct waxwing_document_copy *copy,
			 const char *key)
{
	const Waxwing__SettingsLog *log = copy->head ? copy->head->settings_log : NULL;
	const char *slash;
	const char *name;
	char *unique;

	if (log && !builder->base_text) {
		builder->base_key = g_strdup(log->base_key);
		builder->base_digest = g_strdup(log->base_digest);
		return;
	}
	unique = g_uuid_string_random();
	slash = strrchr(key, '/');
	name = slash ? slash + 1 : key;
	builder->base_key =
		g_strdup_printf("%.*sbases/%s/%s", (int)(name - key), key, name, unique);
	builder->base_digest = waxwing_settings_digest(waxwing_str(builder->base_text));
	g_free(unique);
	if (log)
		g_ptr_array_add(builder->old_bases, log->base_key);
}

static char *print_head(struct head_builder *builder)
{
	Waxwing__SettingsHead head = WAXWING__SETTINGS_HEAD__INIT;

	builder->log = (Waxwing__SettingsLog)WAXWING__SETTINGS_LOG__INIT;
	builder->log.base_key = builder->base_key;
	builder->log.base_digest = builder->base_digest;
	builder->log.digest = builder->digest;
	builder->log.n_edits = builder->edits->len;
	builder->log.edits = (Waxwing__SettingsEdit **)builder->edits->pdata;
	builder->log.n_old = builder->old_bases->len;
	builder->log.old = (char **)builder->old_bases->pdata;
	head.settings_log = &builder->log;
	return waxwing_binding_print(&head.base, false);
}

/*
 * Writes the new base. Reports a timeout as PLATFORM_DOWN: no head refers to the base yet, so the
 * document is certainly unchanged.
 */
static enum waxwing_error_code put_base(const struct head_builder *builder,
					struct waxwing_platform *platform,
					struct waxwing_error *error)
{
	enum waxwing_error_code code = platform->ops->put(platform, builder->base_key, 0,
							  waxwing_str(builder->base_text), error);

	if (code == WAXWING_OK)
		return code;
	platform->ops->remove(platform, builder->base_key, NULL);
	if (code == WAXWING_ERROR_TIMEOUT)
		code = waxwing_error_set(error, WAXWING_ERROR_PLATFORM_DOWN, builder->base_key,
					 "writing the base document timed out");
	return code;
}

static enum waxwing_error_code put_head(struct head_builder *builder,
					struct waxwing_platform *platform, const char *key,
					uint64_t revision, struct waxwing_error *error)
{
	char *head = print_head(builder);
	enum waxwing_error_code code =
		platform->ops->put(platform, key, revision, waxwing_str(head), error);

	g_free(head);
	if (builder->base_text && code != WAXWING_OK && code != WAXWING_ERROR_TIMEOUT)
		platform->ops->remove(platform, builder->base_key, NULL);
	return code;
}

enum waxwing_error_code waxwing_document_write(struct waxwing_platform *platform, const char *key,
					       const struct waxwing_document_copy *copy,
					       const struct waxwing_document_change *change,
					       struct waxwing_error *error)
{
	struct head_builder builder = { .base_text = NULL };
	enum waxwing_error_code code = WAXWING_OK;

	if (!copy->head && change->document.len <= WAXWING_PLAIN_MAX_BYTES)
		return platform->ops->put(platform, key, copy->revision, change->document, error);
	builder.edits = g_ptr_array_new();
	builder.old_bases = g_ptr_array_new();
	builder.digest = waxwing_settings_digest(change->document);
	choose_base(&builder, copy, change);
	if (copy->head)
		remove_old_bases(&builder, platform, copy->head->settings_log);
	set_base_key(&builder, copy, key);
	if (builder.base_text)
		code = put_base(&builder, platform, error);
	if (code == WAXWING_OK)
		code = put_head(&builder, platform, key, copy->revision, error);
	head_builder_clear(&builder);
	return code;
}
