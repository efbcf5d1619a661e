/* A version counts as settled with hosts that skipped it. */
#define EXACT 0
#define CURRENT 1
#define FORGET 1
#define RESTARTING 0
#include "settle.inc"
