/** Runs a node on a libuv loop: its timer ticks, and its work after each round of events. */
#ifndef WAXWING_NODE_LOOP_H
#define WAXWING_NODE_LOOP_H

#include "node.h"

#include <uv.h>

struct waxwing_node_loop;

struct waxwing_node_loop *waxwing_node_loop_create(uv_loop_t *loop, struct waxwing_node *node);
void waxwing_node_loop_destroy(struct waxwing_node_loop *node_loop);

/** Returns a random number that identifies a process; its lowest byte is not 0. */
uint64_t waxwing_node_incarnation(void);

#endif
