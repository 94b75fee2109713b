#include "http_client.h"
#include "clock.h"

#include <arpa/inet.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>

#define MS_PER_S    1000
#define USER_AGENT  "waxwingswitch"
#define ADDRESS_MAX 64
#define PORT_MAX    65535

/** An IP address and port in neon's representation. */
struct endpoint {
	char host[ADDRESS_MAX]; /**< IP address, with IPv6 in brackets */
	unsigned int port;
	ne_inet_addr *address;
};

/** A call in progress. */
struct exchange {
	const struct waxwing_http_call *call;
	struct waxwing_http_answer *answer;
	ne_session *session;
	int64_t start_ms;
	bool connected;
	bool too_large;
	bool timed_out;
};

static bool parse_port(const char *text, unsigned int *port)
{
	uint64_t number;

	if (!waxwing_str_to_u64(waxwing_str(text), 10, &number) || number == 0 || number > PORT_MAX)
		return false;
	*port = (unsigned int)number;
	return true;
}

/** Parses an address like "1.2.3.4" or "[::1]"; null if it is invalid. */
static ne_inet_addr *parse_ip(const char *host)
{
	unsigned char bytes[sizeof(struct in6_addr)];
	size_t len = strlen(host);
	char unbracketed[ADDRESS_MAX];

	if (inet_pton(AF_INET, host, bytes) == 1)
		return ne_iaddr_make(ne_iaddr_ipv4, bytes);
	if (len < 2 || host[0] != '[' || host[len - 1] != ']')
		return NULL;
	g_strlcpy(unbracketed, host + 1, len - 1);
	if (inet_pton(AF_INET6, unbracketed, bytes) == 1)
		return ne_iaddr_make(ne_iaddr_ipv6, bytes);
	return NULL;
}

static bool endpoint_parse(const char *address, struct endpoint *endpoint)
{
	const char *colon = strrchr(address, ':');
	size_t len = colon ? (size_t)(colon - address) : 0;

	if (!colon || len >= sizeof(endpoint->host) || !parse_port(colon + 1, &endpoint->port))
		return false;
	g_strlcpy(endpoint->host, address, len + 1);
	endpoint->address = parse_ip(endpoint->host);
	return endpoint->address != NULL;
}

static uint32_t elapsed_ms(const struct exchange *exchange)
{
	return (uint32_t)(waxwing_clock_now(waxwing_clock_monotonic()) - exchange->start_ms);
}

static void status_notified(void *context, ne_session_status status,
			    const ne_session_status_info *info)
{
	struct exchange *exchange = context;

	(void)info;
	if (status == ne_status_connected)
		exchange->connected = true;
}

/** Appends a block of the answer's body; a nonzero result aborts the call. */
static int read_block(void *context, const char *data, size_t len)
{
	struct exchange *exchange = context;
	GString *body = exchange->answer->body;

	exchange->timed_out = elapsed_ms(exchange) > exchange->call->timeout_ms;
	exchange->too_large = len > exchange->call->max_answer_bytes - body->len;
	if (exchange->timed_out || exchange->too_large) {
		ne_set_error(exchange->session, "answer too late or too large");
		return -1;
	}
	if (len)
		g_string_append_len(body, data, (gssize)len);
	return 0;
}

static ne_session *open_session(const struct endpoint *endpoint, struct exchange *exchange)
{
	ne_session *session = ne_session_create("http", endpoint->host, endpoint->port);
	int timeout_s = (int)((exchange->call->timeout_ms + MS_PER_S - 1) / MS_PER_S);

	ne_set_addrlist(session, (const ne_inet_addr **)&endpoint->address, 1);
	ne_set_session_flag(session, NE_SESSFLAG_PERSIST, 0);
	ne_set_connect_timeout(session, MAX(timeout_s, 1));
	ne_set_read_timeout(session, MAX(timeout_s, 1));
	ne_set_useragent(session, USER_AGENT);
	ne_set_notifier(session, status_notified, exchange);
	return session;
}

static ne_request *make_request(struct exchange *exchange)
{
	const struct waxwing_http_call *call = exchange->call;
	ne_request *request = ne_request_create(exchange->session, call->method, call->target);

	ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, 0);
	if (call->header)
		ne_add_request_header(request, call->header, call->header_value);
	if (call->body.len || strcmp(call->method, "GET") != 0)
		ne_set_request_body_buffer(request, call->body.len ? call->body.data : "",
					   call->body.len);
	ne_add_response_body_reader(request, ne_accept_always, read_block, exchange);
	return request;
}

/**
 * Returns true if the answer has a Content-Length or chunked coding. Without them it ends when the
 * connection closes, so truncation would go unnoticed.
 */
static bool has_delimited_end(ne_request *request)
{
	const char *coding = ne_get_response_header(request, "Transfer-Encoding");

	return ne_get_response_header(request, "Content-Length") ||
	       (coding && g_ascii_strcasecmp(coding, "chunked") == 0);
}

static enum waxwing_http_result classify_result(const struct exchange *exchange,
						ne_request *request, int code)
{
	if (!exchange->connected)
		return WAXWING_HTTP_UNREACHABLE;
	if (exchange->too_large)
		return WAXWING_HTTP_TOO_LARGE;
	if (exchange->timed_out || code == NE_TIMEOUT ||
	    exchange->answer->elapsed_ms > exchange->call->timeout_ms)
		return WAXWING_HTTP_TIMEOUT;
	if (code != NE_OK || !has_delimited_end(request))
		return WAXWING_HTTP_BROKEN;
	return WAXWING_HTTP_COMPLETE;
}

static enum waxwing_http_result perform(struct exchange *exchange)
{
	ne_request *request = make_request(exchange);
	const char *header_name = exchange->call->answer_header;
	int code = ne_request_dispatch(request);
	enum waxwing_http_result result;

	exchange->answer->elapsed_ms = elapsed_ms(exchange);
	exchange->answer->status = (unsigned int)ne_get_status(request)->code;
	if (header_name)
		exchange->answer->header = g_strdup(ne_get_response_header(request, header_name));
	result = classify_result(exchange, request, code);
	ne_request_destroy(request);
	return result;
}

static void init_neon(void)
{
	ne_sock_init();
}

bool waxwing_http_address_valid(const char *address)
{
	struct endpoint endpoint;

	if (!endpoint_parse(address, &endpoint))
		return false;
	ne_iaddr_free(endpoint.address);
	return true;
}

enum waxwing_http_result waxwing_http_call(const struct waxwing_http_call *call,
					   struct waxwing_http_answer *answer)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	struct exchange exchange = { .call = call, .answer = answer };
	struct endpoint endpoint;
	enum waxwing_http_result result;

	pthread_once(&once, init_neon);
	*answer = (struct waxwing_http_answer){ .body = g_string_new(NULL) };
	if (!endpoint_parse(call->address, &endpoint))
		return WAXWING_HTTP_UNREACHABLE;
	exchange.start_ms = waxwing_clock_now(waxwing_clock_monotonic());
	exchange.session = open_session(&endpoint, &exchange);
	result = perform(&exchange);
	ne_session_destroy(exchange.session);
	ne_iaddr_free(endpoint.address);
	return result;
}

void waxwing_http_answer_clear(struct waxwing_http_answer *answer)
{
	if (answer->body)
		g_string_free(answer->body, TRUE);
	g_free(answer->header);
	*answer = (struct waxwing_http_answer){ 0 };
}
