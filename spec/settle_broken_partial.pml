/* A restarted host that is current keeps to older plans that it has in part. */
#define EXACT 1
#define CURRENT 1
#define FORGET 0
#define RESTARTING 1
#include "settle.inc"
