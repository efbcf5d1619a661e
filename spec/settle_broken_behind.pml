/* A restarted host takes a plan from a peer without proof that it is current. */
#define EXACT 1
#define CURRENT 0
#define FORGET 1
#define RESTARTING 1
#include "settle.inc"
