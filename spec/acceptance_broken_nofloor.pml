/* A restarted host takes any version that a peer gives. */
#define NO_FLOOR
#include "acceptance.inc"
