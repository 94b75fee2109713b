/**
 * Hand-over of a leaving instance's ids to a successor of its domain.
 *
 * The leaving instance freezes its table, lets running jobs end, and sends what it knows of its ids in
 * numbered parts, each sent again until it is acknowledged. From then on the successor answers for
 * those windows. Nothing is ever started under them again: the sender stays frozen whatever becomes of
 * the acknowledgements, and the successor only looks up. So a part may come twice, to one successor or
 * to several. A successor that leaves hands over what it inherited as well.
 *
 * An id that the leaving instance knew gets its true answer. An id absent from a whole hand-over was never
 * run and never will be; absent from one in which parts are missing, its outcome is unknown.
 *
 * No sockets, threads or clock. Not thread-safe.
 */
#ifndef WAXWING_HANDOVER_H
#define WAXWING_HANDOVER_H

#include "generated/peer.pb-c.h"
#include "submission.h"

#include <stdbool.h>
#include <stdint.h>

/** What an instance inherited from those that left before it. */
struct waxwing_inheritance;

struct waxwing_inheritance *waxwing_inheritance_create(void);
void waxwing_inheritance_destroy(struct waxwing_inheritance *inheritance);

/**
 * Takes a part from the instance @from and fills in the acknowledgement to send back to it. Parts that
 * came before change nothing. Part numbers are the sender's: a hand-over is whole when all parts of one
 * sender have come.
 */
void waxwing_inheritance_take(struct waxwing_inheritance *inheritance, int64_t now_ms,
			      uint64_t from, const Waxwing__Handover *part,
			      Waxwing__HandoverAck *ack);

enum waxwing_inherited {
	WAXWING_INHERITED_NONE, /**< the window was never handed to this instance */
	WAXWING_INHERITED_FINISHED, /**< the answer is known */
	WAXWING_INHERITED_REFUSED, /**< see the error */
};

/**
 * Looks a submission up under the windows that were inherited; starts nothing. The answer is owned by
 * the inheritance and valid until its next call.
 *
 * Errors with REFUSED: WAXWING_ERROR_LEAVING (not run: its issuer left), WAXWING_ERROR_OUTCOME_UNKNOWN (parts of
 * the hand-over are missing), WAXWING_ERROR_EXPIRED_ID, WAXWING_ERROR_ID_REUSED, WAXWING_ERROR_BAD_ID.
 */
enum waxwing_inherited waxwing_inheritance_lookup(struct waxwing_inheritance *inheritance,
						  int64_t now_ms,
						  const Waxwing__JobRequest *request,
						  const Waxwing__JobAnswer **answer,
						  struct waxwing_error *error);

/** Drops ids whose windows have expired; of an incarnation only its name is kept for an hour more. */
void waxwing_inheritance_tick(struct waxwing_inheritance *inheritance, int64_t now_ms);

/** The incarnations whose windows are answered for and have not expired, up to @max; their number. */
size_t waxwing_inheritance_incarnations(const struct waxwing_inheritance *inheritance,
					int64_t now_ms, uint64_t *incarnations, size_t max);

struct waxwing_inheritance_view {
	uint64_t incarnations;
	uint64_t incomplete; /**< of which parts are missing */
	uint64_t ids;
	uint64_t bytes;
};

void waxwing_inheritance_view(const struct waxwing_inheritance *inheritance,
			      struct waxwing_inheritance_view *view);

/** A hand-over on its way out. */
struct waxwing_handover;

struct waxwing_handover_options {
	uint64_t incarnation; /**< own */
	uint32_t part_bytes; /**< a part is closed when it has grown to this; 0: 64 KiB */
	uint32_t parts_in_flight; /**< most parts sent and not acknowledged; 0: 4 */
	uint32_t resend_ms; /**< 0: 300 */
};

/**
 * Snapshots a frozen table and what was inherited (may be null). Jobs that still run are handed over
 * as of unknown outcome, so call it when they have ended or can't be waited for any longer.
 */
struct waxwing_handover *waxwing_handover_create(const struct waxwing_handover_options *options,
						 struct waxwing_submissions *table,
						 struct waxwing_inheritance *inheritance,
						 int64_t now_ms);
void waxwing_handover_destroy(struct waxwing_handover *handover);

/** The next part to send, first or again; null when none is due. Owned by the hand-over. */
const Waxwing__Handover *waxwing_handover_take(struct waxwing_handover *handover, int64_t now_ms);

/** An acknowledgement came. */
void waxwing_handover_acked(struct waxwing_handover *handover, const Waxwing__HandoverAck *ack);

/** Starts over with another successor: the first one is gone. */
void waxwing_handover_restart(struct waxwing_handover *handover);

/** True when every part is acknowledged. */
bool waxwing_handover_done(const struct waxwing_handover *handover);

#endif
