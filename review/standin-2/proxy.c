/*
 * A path between one machine and the store that can be cut in one direction. usage: proxy LISTEN_IP:PORT TO_IP:PORT FILE
 *
 * Once FILE exists, the cut begins behind the next watch of the cells' owners that passes ("begins" is printed), and ends
 * when FILE is removed ("ends"). Meanwhile nothing that the machine sends arrives: new connections hang, as their opening
 * packets are dropped, and what is sent on open ones is held back; it is delivered after the cut if the machine has not
 * closed the connection. Answers that the store still owes pass.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define DUMMIES 8

static struct sockaddr_in to, at;
static const char *file;
static volatile bool wanted, cut;

static void say(const char *what)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	printf("%lld %s\n", now.tv_sec * 1000LL + now.tv_nsec / 1000000, what);
	fflush(stdout);
}

static bool write_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t put = write(fd, data, len);

		if (put <= 0)
			return false;
		data += put;
		len -= (size_t)put;
	}
	return true;
}

static void *carry(void *data)
{
	int client = (int)(intptr_t)data, server = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	size_t size = 4 << 20, held = 0;
	char *buffer = malloc(size), *answer = malloc(1 << 16);

	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(server, (struct sockaddr *)&to, sizeof(to)))
		goto out;
	for (;;) {
		struct pollfd fds[2] = { { client, POLLIN, 0 }, { server, POLLIN, 0 } };
		ssize_t got;

		poll(fds, 2, 5);
		if (fds[0].revents) {
			got = read(client, buffer + held, size - held - 1);
			if (got <= 0)
				break;
			held += (size_t)got;
		}
		if (held && !cut) {
			bool is_watch = memmem(buffer, held, "/kv-watch?Prefix=cells", 22) != NULL;

			if (!write_all(server, buffer, held))
				break;
			held = 0;
			if (wanted && is_watch) {
				wanted = false;
				cut = true;
			}
		}
		if (fds[1].revents) {
			got = read(server, answer, 1 << 16);
			if (got <= 0 || !write_all(client, answer, (size_t)got))
				break;
		}
	}
out:
	close(client);
	close(server);
	free(buffer);
	free(answer);
	return NULL;
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in result = { .sin_family = AF_INET };
	char ip[32];
	int port = 0;

	if (sscanf(text, "%31[^:]:%d", ip, &port) != 2 || inet_pton(AF_INET, ip, &result.sin_addr) != 1)
		exit(2);
	result.sin_port = htons((uint16_t)port);
	return result;
}

/* Fills the queue of new connections, so that further opening packets are dropped, until the cut ends. */
static void hold_cut(int fd)
{
	int dummies[DUMMIES];

	listen(fd, 0);
	say("begins");
	for (int i = 0; i < DUMMIES; i++) {
		dummies[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(dummies[i], (struct sockaddr *)&at, sizeof(at));
	}
	while (access(file, F_OK) == 0)
		usleep(2000);
	for (int i = 0; i < DUMMIES; i++)
		close(dummies[i]);
	listen(fd, 256);
	cut = false;
	say("ends");
}

int main(int argc, char **argv)
{
	int fd, on = 1;
	pthread_t thread;

	if (argc != 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	at = parse_address(argv[1]);
	to = parse_address(argv[2]);
	file = argv[3];
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, 256))
		return 2;
	printf("ready %s\n", argv[1]);
	fflush(stdout);
	for (;;) {
		struct pollfd poll_fd = { fd, POLLIN, 0 };
		int client;

		if (cut)
			hold_cut(fd);
		wanted = access(file, F_OK) == 0;
		if (poll(&poll_fd, 1, 2) <= 0 || cut)
			continue;
		client = accept(fd, NULL, NULL);
		if (client >= 0) {
			fcntl(client, F_SETFL, 0);
			if (pthread_create(&thread, NULL, carry, (void *)(intptr_t)client) == 0)
				pthread_detach(thread);
		}
	}
}
