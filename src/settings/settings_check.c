#include "settings.h"

#include "log.h"

#include <arpa/inet.h>

#define PORT_MAX 65535

struct check_context {
	struct waxwing_str document;
	GString *path;
	struct waxwing_error *error;
	const struct waxwing_error_visitor *visitor; /* null: stop at the first error */
	size_t error_count; /* number of errors found */
};

/* A condition that a field must meet, and the error if it doesn't. */
struct value_rule {
	bool holds;
	enum waxwing_error_code code;
	const char *field;
	const char *detail;
};

/* Reports an error; returns WAXWING_OK if checking should continue. */
static enum waxwing_error_code report_error(struct check_context *context,
					    enum waxwing_error_code code, const char *field,
					    const char *detail)
{
	size_t outer = context->path->len;

	if (outer)
		g_string_append_c(context->path, '.');
	g_string_append(context->path, field);
	waxwing_error_set(context->error, code, context->path->str, "%s", detail);
	if (context->error)
		context->error->line =
			waxwing_binding_path_line(context->document, context->path->str);
	g_string_truncate(context->path, outer);
	context->error_count++;
	if (!context->visitor)
		return code;
	context->visitor->on_error(context->visitor->context, context->error);
	return WAXWING_OK;
}

static enum waxwing_error_code check_rules(struct check_context *context,
					   const struct value_rule *rules, size_t count)
{
	enum waxwing_error_code code = WAXWING_OK;

	for (size_t i = 0; i < count && code == WAXWING_OK; i++)
		if (!rules[i].holds)
			code = report_error(context, rules[i].code, rules[i].field,
					    rules[i].detail);
	return code;
}

static enum waxwing_error_code check_values(struct check_context *context,
					    const Waxwing__BranchValues *values)
{
	if (!values || !values->on_outage || strcmp(values->on_outage, "hold") == 0 ||
	    strcmp(values->on_outage, "run") == 0)
		return WAXWING_OK;
	return report_error(context, WAXWING_ERROR_RANGE, "values.on_outage",
			    "expected \"hold\" or \"run\"");
}

static enum waxwing_error_code check_job(struct check_context *context,
					 const Waxwing__DeclaredJob *job)
{
	const struct value_rule rules[] = {
		{ !job->has_period_ms || job->domain, WAXWING_ERROR_MISSING, "domain",
		  "a job with a period needs a home failure domain" },
		{ !job->has_offset_ms || job->has_period_ms, WAXWING_ERROR_MISSING, "period_ms",
		  "an offset requires a period" },
		{ !job->has_offset_ms || !job->has_period_ms || job->offset_ms < job->period_ms,
		  WAXWING_ERROR_RANGE, "offset_ms", "the offset must be below the period" },
	};

	return check_rules(context, rules, G_N_ELEMENTS(rules));
}

static enum waxwing_error_code check_branches(struct check_context *context,
					      Waxwing__Branch *const *branches, size_t count);

static enum waxwing_error_code check_branch(struct check_context *context,
					    const Waxwing__Branch *branch)
{
	enum waxwing_error_code code = check_values(context, branch->values);
	size_t outer = context->path->len;

	for (size_t i = 0; i < branch->n_jobs && code == WAXWING_OK; i++) {
		g_string_append_printf(context->path, ".jobs.%s", branch->jobs[i]->name);
		code = check_job(context, branch->jobs[i]);
		g_string_truncate(context->path, outer);
	}
	if (code != WAXWING_OK)
		return code;
	return check_branches(context, branch->branches, branch->n_branches);
}

static enum waxwing_error_code check_branches(struct check_context *context,
					      Waxwing__Branch *const *branches, size_t count)
{
	size_t outer = context->path->len;

	for (size_t i = 0; i < count; i++) {
		enum waxwing_error_code code;

		g_string_append_printf(context->path, "%sbranches.%s", outer ? "." : "",
				       branches[i]->name);
		code = check_branch(context, branches[i]);
		if (code != WAXWING_OK)
			return code;
		g_string_truncate(context->path, outer);
	}
	return WAXWING_OK;
}

static enum waxwing_error_code check_tree(struct check_context *context, const Waxwing__Tree *tree)
{
	enum waxwing_error_code code;

	context->path = g_string_new(NULL);
	code = check_values(context, tree->values);
	if (code == WAXWING_OK)
		code = check_branches(context, tree->branches, tree->n_branches);
	g_string_free(context->path, TRUE);
	return code;
}

enum waxwing_error_code waxwing_settings_check(const Waxwing__Tree *tree,
					       struct waxwing_str document,
					       struct waxwing_error *error)
{
	struct check_context context = { .document = document, .error = error };

	return check_tree(&context, tree);
}

size_t waxwing_settings_find_errors(struct waxwing_str document,
				    const struct waxwing_error_visitor *visitor)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct check_context context = { .document = document,
					 .error = &error,
					 .visitor = visitor };
	size_t count = waxwing_binding_find_errors(&waxwing__tree__descriptor, document,
						   &waxwing_settings_binding, visitor);
	Waxwing__Tree *tree;

	if (count)
		return count;
	tree = (Waxwing__Tree *)waxwing_binding_parse(&waxwing__tree__descriptor, document,
						      &waxwing_settings_binding, &error);
	check_tree(&context, tree);
	protobuf_c_message_free_unpacked(&tree->base, NULL);
	return context.error_count;
}

static bool is_ip(const char *text)
{
	struct in6_addr address;

	return inet_pton(AF_INET, text, &address) == 1 || inet_pton(AF_INET6, text, &address) == 1;
}

/* Whether @text is IP:port. The IP may be in brackets, as is usual for IPv6. */
static bool is_ip_port(const char *text)
{
	struct waxwing_str host;
	struct waxwing_str port;
	uint64_t number;
	char *copy;
	bool valid;

	if (!waxwing_str_cut_last(waxwing_str(text), ':', &host, &port))
		return false;
	if (!waxwing_str_to_u64(port, 10, &number) || number < 1 || number > PORT_MAX)
		return false;
	if (host.len > 2 && host.data[0] == '[' && host.data[host.len - 1] == ']')
		host = (struct waxwing_str){ host.len - 2, host.data + 1 };
	copy = waxwing_str_dup(host);
	valid = is_ip(copy);
	g_free(copy);
	return valid;
}

static bool are_ip_ports(char *const *items, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!is_ip_port(items[i]))
			return false;
	return true;
}

static enum waxwing_error_code check_instance(struct check_context *context,
					      const Waxwing__InstanceFile *file)
{
	enum waxwing_log_level level;
	enum waxwing_error_code code;
	const struct value_rule rules[] = {
		{ is_ip(file->address), WAXWING_ERROR_RANGE, "address", "expected an IP address" },
		{ is_ip_port(file->platform), WAXWING_ERROR_RANGE, "platform", "expected IP:port" },
		{ !file->peer_listen || is_ip(file->peer_listen), WAXWING_ERROR_RANGE,
		  "peer_listen", "expected an IP address" },
		{ are_ip_ports(file->peers, file->n_peers), WAXWING_ERROR_RANGE, "peers",
		  "expected IP:port" },
		{ file->http_port != file->peer_port, WAXWING_ERROR_RANGE, "peer_port",
		  "http_port and peer_port must differ" },
		{ !strpbrk(file->name, "./ "), WAXWING_ERROR_RANGE, "name",
		  "a name must not contain '.', '/' or a space" },
		{ !file->log_level || waxwing_log_level_parse(file->log_level, &level),
		  WAXWING_ERROR_RANGE, "log_level",
		  "expected error, warning, notice, info or debug" },
	};

	context->path = g_string_new(NULL);
	code = check_rules(context, rules, G_N_ELEMENTS(rules));
	g_string_free(context->path, TRUE);
	return code;
}

static const struct waxwing_binding_options instance_binding = {
	.ranges = waxwing_settings_ranges,
};

static Waxwing__InstanceFile *parse_instance(struct waxwing_str text, struct waxwing_error *error)
{
	struct check_context context = { .document = text, .error = error };
	Waxwing__InstanceFile *file = (Waxwing__InstanceFile *)waxwing_binding_parse(
		&waxwing__instance_file__descriptor, text, &instance_binding, error);

	if (!file)
		return NULL;
	if (check_instance(&context, file) == WAXWING_OK)
		return file;
	protobuf_c_message_free_unpacked(&file->base, NULL);
	return NULL;
}

size_t waxwing_instance_file_find_errors(struct waxwing_str text,
					 const struct waxwing_error_visitor *visitor)
{
	struct waxwing_error error = WAXWING_ERROR_INIT;
	struct check_context context = { .document = text, .error = &error, .visitor = visitor };
	size_t count = waxwing_binding_find_errors(&waxwing__instance_file__descriptor, text,
						   &instance_binding, visitor);
	Waxwing__InstanceFile *file;

	if (count)
		return count;
	file = (Waxwing__InstanceFile *)waxwing_binding_parse(&waxwing__instance_file__descriptor,
							      text, &instance_binding, &error);
	check_instance(&context, file);
	protobuf_c_message_free_unpacked(&file->base, NULL);
	return context.error_count;
}

Waxwing__InstanceFile *waxwing_instance_file_read(const char *path, struct waxwing_error *error)
{
	Waxwing__InstanceFile *file;
	GError *failure = NULL;
	gchar *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &failure)) {
		waxwing_error_set(error, WAXWING_ERROR_SYSTEM, path, "%s", failure->message);
		g_error_free(failure);
		return NULL;
	}
	file = parse_instance((struct waxwing_str){ len, text }, error);
	g_free(text);
	return file;
}
