/* The settlement of plans in package limiter. */
#define EXACT 1
#define CURRENT 1
#define FORGET 1
#define RESTARTING 1
#include "settle.inc"
