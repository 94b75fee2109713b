#include "ctl.h"

#include <stdio.h>

#define CALL_TIMEOUT_MS 2000

static enum waxwing_ctl_exit error_exit_code(enum waxwing_error_code code)
{
	switch (code) {
	case WAXWING_OK:
		return WAXWING_CTL_DONE;
	case WAXWING_ERROR_CONFLICT:
		return WAXWING_CTL_CONFLICT;
	case WAXWING_ERROR_TIMEOUT:
		return WAXWING_CTL_UNKNOWN;
	case WAXWING_ERROR_PLATFORM_DOWN:
	case WAXWING_ERROR_PLATFORM_ANSWER:
	case WAXWING_ERROR_UNREACHABLE:
		return WAXWING_CTL_UNREACHABLE;
	default:
		return WAXWING_CTL_REFUSED;
	}
}

enum waxwing_ctl_exit waxwing_ctl_report_error(const char *where, const struct waxwing_error *error)
{
	fprintf(stderr, "waxwingctl: %s", where);
	if (error->line)
		fprintf(stderr, ":%u", error->line);
	if (*error->path && strcmp(error->path, where) != 0)
		fprintf(stderr, ": %s", error->path);
	fprintf(stderr, ": %s", waxwing_strerror(error->code));
	if (*error->detail)
		fprintf(stderr, ": %s", error->detail);
	fprintf(stderr, " (%s)\n", waxwing_error_name(error->code));
	return error_exit_code(error->code);
}

struct waxwing_platform *waxwing_ctl_platform(struct waxwing_ctl *ctl)
{
	const struct waxwing_platform_consul_options options = {
		.address = ctl->platform_address,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct waxwing_error error = WAXWING_ERROR_INIT;

	if (ctl->platform)
		return ctl->platform;
	if (!ctl->platform_address) {
		fprintf(stderr, "waxwingctl: --platform IP:PORT is required\n");
		return NULL;
	}
	ctl->platform = waxwing_platform_consul_create(&options, &error);
	if (!ctl->platform)
		waxwing_ctl_report_error(ctl->platform_address, &error);
	return ctl->platform;
}

void waxwing_ctl_close(struct waxwing_ctl *ctl)
{
	if (ctl->platform)
		ctl->platform->ops->destroy(ctl->platform);
	ctl->platform = NULL;
}

char *waxwing_ctl_read_file(const char *path)
{
	GError *file_error = NULL;
	gchar *text = NULL;
	gsize len;

	if (g_file_get_contents(strcmp(path, "-") == 0 ? "/dev/stdin" : path, &text, &len,
				&file_error))
		return text;
	fprintf(stderr, "waxwingctl: %s\n", file_error->message);
	g_error_free(file_error);
	return NULL;
}
