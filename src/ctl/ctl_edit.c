#include "ctl.h"

#include "edit_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <sys/random.h>

/* Unique id of an edit: random bits after the operator's user name. */
static char *generate_change_id(void)
{
	const char *user = g_get_user_name();
	uint64_t random_bits = 0;

	if (getrandom(&random_bits, sizeof(random_bits), 0) != sizeof(random_bits))
		random_bits = ((uint64_t)g_random_int() << 32) | g_random_int();
	return g_strdup_printf("%s-%016" PRIx64, user, random_bits);
}

static enum waxwing_ctl_exit report_result(struct waxwing_ctl *ctl, const char *change_id,
					   const struct waxwing_edit_result *result)
{
	if (!result->written)
		printf("nothing to change, revision %" PRIu64 "\n", result->revision);
	else if (result->revision)
		printf("accepted as %s, revision %" PRIu64 "\n", change_id, result->revision);
	else
		printf("accepted as %s, revision unknown\n", change_id);
	if (!ctl->wait)
		return WAXWING_CTL_DONE;
	if (result->revision)
		return waxwing_ctl_wait(ctl, result->revision);
	fprintf(stderr, "waxwingctl: %s: the revision to wait for is unknown\n",
		ctl->platform_address);
	return WAXWING_CTL_PARTIAL;
}

/* Runs an edit, clears it and returns the exit code. */
static enum waxwing_ctl_exit run_edit(struct waxwing_ctl *ctl, struct waxwing_edit *edit)
{
	char *change_id = generate_change_id();
	struct waxwing_edit_options options = { .key = ctl->key, .change = change_id };
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit_result result;
	enum waxwing_ctl_exit code = WAXWING_CTL_USAGE;

	options.platform = waxwing_ctl_platform(ctl);
	if (options.platform) {
		if (waxwing_edit_run(edit, &options, &result, &error) == WAXWING_OK)
			code = report_result(ctl, change_id, &result);
		else
			code = waxwing_ctl_report_error(ctl->platform_address, &error);
	}
	waxwing_edit_clear(edit);
	g_free(change_id);
	return code;
}

/* Sets the current value that the edit requires; quotes it if the new value is a string. */
static void set_expected(const struct waxwing_ctl *ctl, struct waxwing_edit *edit)
{
	if (!ctl->expected)
		return;
	if (!*ctl->expected || !edit->value || *edit->value != '"')
		edit->expected = g_strdup(ctl->expected);
	else
		edit->expected = waxwing_text_quote(ctl->expected);
}

static enum waxwing_ctl_exit set_value(struct waxwing_ctl *ctl, const char *path, const char *key,
				       const char *value)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;

	if (waxwing_edit_set(&edit, path, key, value, ctl->create, &error) != WAXWING_OK)
		return waxwing_ctl_report_error(path, &error);
	set_expected(ctl, &edit);
	return run_edit(ctl, &edit);
}

enum waxwing_ctl_exit waxwing_ctl_set(struct waxwing_ctl *ctl, const char *path,
				      const char *assignment)
{
	struct waxwing_str key;
	struct waxwing_str value;
	enum waxwing_ctl_exit code;
	char *name;

	if (!waxwing_str_cut(waxwing_str(assignment), '=', &key, &value)) {
		fprintf(stderr, "waxwingctl: %s: expected KEY=VALUE\n", assignment);
		return WAXWING_CTL_USAGE;
	}
	name = waxwing_str_dup(key);
	code = set_value(ctl, path, name, value.data);
	g_free(name);
	return code;
}

enum waxwing_ctl_exit waxwing_ctl_unset(struct waxwing_ctl *ctl, const char *path, const char *key)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;

	if (waxwing_edit_unset(&edit, path, key, &error) != WAXWING_OK)
		return waxwing_ctl_report_error(path, &error);
	return run_edit(ctl, &edit);
}

enum waxwing_ctl_exit waxwing_ctl_apply(struct waxwing_ctl *ctl, const char *file)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *text = waxwing_ctl_read_file(file);
	struct waxwing_edit edit;
	enum waxwing_error_code code;

	if (!text)
		return WAXWING_CTL_REFUSED;
	code = waxwing_edit_replace(&edit, waxwing_str(text),
				    ctl->has_revision ? &ctl->revision : NULL, &error);
	g_free(text);
	return code == WAXWING_OK ? run_edit(ctl, &edit) : waxwing_ctl_report_error(file, &error);
}

enum waxwing_ctl_exit waxwing_ctl_retire(struct waxwing_ctl *ctl, const char *branch)
{
	return set_value(ctl, branch, "retired", "true");
}

enum waxwing_ctl_exit waxwing_ctl_unretire(struct waxwing_ctl *ctl, const char *branch)
{
	return waxwing_ctl_unset(ctl, branch, "retired");
}

enum waxwing_ctl_exit waxwing_ctl_jobs_put(struct waxwing_ctl *ctl, const char *branch,
					   const char *name, const char *file)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	char *text = waxwing_ctl_read_file(file);
	struct waxwing_edit edit;
	enum waxwing_error_code code;

	if (!text)
		return WAXWING_CTL_REFUSED;
	code = waxwing_edit_job(&edit, branch, name, waxwing_str(g_strstrip(text)), &error);
	g_free(text);
	return code == WAXWING_OK ? run_edit(ctl, &edit) : waxwing_ctl_report_error(file, &error);
}

enum waxwing_ctl_exit waxwing_ctl_jobs_remove(struct waxwing_ctl *ctl, const char *branch,
					      const char *name)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct waxwing_edit edit;

	if (waxwing_edit_job(&edit, branch, name, waxwing_str(""), &error) != WAXWING_OK)
		return waxwing_ctl_report_error(branch, &error);
	return run_edit(ctl, &edit);
}
