/*
 * Stand-in of a client: sends one request on a connection of its own and waits for the answer, as long as it says in
 * X-Deadline-Remaining. usage: call METHOD IP:PORT HOST PATH DEADLINE_MS [BODY [PAUSE_MS]]
 * With PAUSE_MS it keeps the connection open after the answer, and sends the request again on it after that time.
 * Prints one line for each request: "STATUS MS BODY", or "none MS closed|refused|deadline" if there was no complete
 * answer. A connection that had been closed before the second request was sent is "none 0 unsent".
 * "call now" prints the machine's steady clock in ms.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static int no_answer(int64_t began, const char *why)
{
	printf("none %lld %s\n", (long long)(now_ms() - began), why);
	return 1;
}

/* Returns the body if the answer is complete. */
static const char *complete_body(char *text, size_t used)
{
	char *end = strstr(text, "\r\n\r\n");
	char *field;

	if (!end)
		return NULL;
	for (field = strstr(text, "\r\n"); field && field < end; field = strstr(field + 2, "\r\n"))
		if (strncasecmp(field + 2, "Content-Length:", 15) == 0)
			return used >= (size_t)(end - text) + 4 + strtoul(field + 17, NULL, 10) ? end + 4 : NULL;
	return end + 4;
}

static char request[300000], answer[65536];

/* Sends the request and prints its answer; returns 0 if there was one. */
static int ask(int fd, int deadline_ms)
{
	int64_t began = now_ms();
	size_t used = 0;
	int status = 0;

	if (write(fd, request, strlen(request)) < 0)
		return no_answer(began, "closed");
	for (;;) {
		struct pollfd poll_fd = { fd, POLLIN, 0 };
		int64_t left = began + deadline_ms - now_ms();
		const char *text;
		ssize_t got;

		if (left <= 0 || poll(&poll_fd, 1, (int)left) <= 0)
			return no_answer(began, "deadline");
		got = read(fd, answer + used, sizeof(answer) - used - 1);
		if (got <= 0)
			return no_answer(began, "closed");
		used += (size_t)got;
		answer[used] = '\0';
		text = complete_body(answer, used);
		if (!text)
			continue;
		sscanf(answer, "%*s %d", &status);
		printf("%d %lld %s\n", status, (long long)(now_ms() - began), text);
		return 0;
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	char ip[32];
	int port, fd, on = 1, code;
	const char *body = argc > 6 ? argv[6] : "";

	signal(SIGPIPE, SIG_IGN);
	if (argc == 2 && strcmp(argv[1], "now") == 0) {
		printf("%lld\n", (long long)now_ms());
		return 0;
	}
	if (argc < 6 || sscanf(argv[2], "%31[^:]:%d", ip, &port) != 2 || inet_pton(AF_INET, ip, &to.sin_addr) != 1)
		return 2;
	to.sin_port = htons((uint16_t)port);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return no_answer(now_ms(), "refused");
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	snprintf(request, sizeof(request),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Remaining: %s\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 argv[1], argv[4], argv[3], argv[5], strlen(body), body);
	code = ask(fd, atoi(argv[5]));
	if (code == 0 && argc > 7) {
		struct pollfd poll_fd = { fd, POLLIN, 0 };

		fflush(stdout);
		if (poll(&poll_fd, 1, atoi(argv[7])) > 0)
			return no_answer(now_ms(), "unsent");
		code = ask(fd, atoi(argv[5]));
	}
	return code;
}
