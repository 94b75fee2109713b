/**
 * The public header of libwaxwingswitch.
 *
 * client.h submits jobs and single requests and waits for their answers; error.h has the error
 * codes.
 */
#ifndef WAXWINGSWITCH_WAXWINGSWITCH_H
#define WAXWINGSWITCH_WAXWINGSWITCH_H

#include "waxwingswitch/client.h"
#include "waxwingswitch/error.h"

#endif
