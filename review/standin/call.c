/**
 * A client's HTTP request for the review's scripts:
 *
 *     call [-r RECORD] [-t MS] METHOD ADDRESS PATH [HOST [BODY]]
 *
 * Prints the response's status and body; status 0 if there is no complete response in MS. With -r,
 * what was sent and answered is appended to RECORD with the time of the machine's monotonic clock
 * in milliseconds. "call now" prints that time.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_RESPONSE_BYTES 65536
#define MAX_RECORDED_BYTES 160

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int connect_to(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(address, ':');
	char ip[64];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon ? colon - address : 0), address);
	to.sin_port = htons((uint16_t)(colon ? atoi(colon + 1) : 0));
	if (fd < 0 || inet_pton(AF_INET, ip, &to.sin_addr) != 1 ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		return -1;
	return fd;
}

/* Reads until the peer closes the connection; returns false if it does not in time. */
static bool read_all(int fd, char *response, int64_t until_ms)
{
	size_t len = 0;

	while (len < MAX_RESPONSE_BYTES - 1) {
		struct pollfd readable = { fd, POLLIN, 0 };
		int64_t left_ms = until_ms - now_ms();
		ssize_t got;

		if (left_ms <= 0 || poll(&readable, 1, (int)left_ms) <= 0)
			return false;
		got = recv(fd, response + len, MAX_RESPONSE_BYTES - 1 - len, 0);
		if (got <= 0)
			break;
		len += (size_t)got;
	}
	response[len] = '\0';
	return len > 0;
}

static void record(const char *file, const char *event, const char *method, const char *path,
		   const char *text)
{
	char line[512];
	int fd = file ? open(file, O_WRONLY | O_CREAT | O_APPEND, 0644) : -1;
	int len = snprintf(line, sizeof(line), "@%" PRId64 " client %s %s %s %.*s\n", now_ms(),
			   event, method, path, MAX_RECORDED_BYTES, text);

	if (fd >= 0 && write(fd, line, (size_t)len) != len)
		perror(file);
	if (fd >= 0)
		close(fd);
}

int main(int argc, char **argv)
{
	static char response[MAX_RESPONSE_BYTES];
	const char *record_file = NULL;
	const char *host = "store";
	const char *body = "";
	char *text;
	char outcome[MAX_RECORDED_BYTES + 16] = "0";
	const char *content;
	int64_t timeout_ms = 5000;
	size_t size;
	int option;
	int fd;

	if (argc == 2 && strcmp(argv[1], "now") == 0) {
		printf("%" PRId64 "\n", now_ms());
		return 0;
	}
	while ((option = getopt(argc, argv, "r:t:")) > 0) {
		if (option == 'r')
			record_file = optarg;
		else if (option == 't')
			timeout_ms = atoll(optarg);
		else
			return 2;
	}
	argv += optind;
	argc -= optind;
	if (argc < 3)
		return 2;
	if (argc > 3)
		host = argv[3];
	if (argc > 4)
		body = argv[4];
	size = strlen(body) + 1024;
	text = malloc(size);
	if (!text)
		return 2;
	snprintf(
		text, size,
		"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\n"
		"X-Deadline-Remaining: %" PRId64 "\r\nContent-Length: %zu\r\n\r\n%s",
		argv[0], argv[2], host, timeout_ms, strlen(body), body);
	record(record_file, "sent", argv[0], argv[2], body);
	fd = connect_to(argv[1]);
	if (fd >= 0 && send(fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text) &&
	    read_all(fd, response, now_ms() + timeout_ms) &&
	    strncmp(response, "HTTP/1.1 ", 9) == 0) {
		content = strstr(response, "\r\n\r\n");
		snprintf(outcome, sizeof(outcome), "%.3s %.*s", response + 9, MAX_RECORDED_BYTES,
			 content ? content + 4 : "");
	}
	record(record_file, "answered", argv[0], argv[2], outcome);
	puts(outcome);
	return 0;
}
