/* The newest transfer is kept for the last seen process of the sender only. */
#define DEBIT_FIRST 1
#define DEDUPLICATE 1
#define RESTART_EMPTY 1
#define PER_PROCESS 0
#include "gift.inc"
