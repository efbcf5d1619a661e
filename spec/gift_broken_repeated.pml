/* A duplicate of a transfer is credited again. */
#define DEBIT_FIRST 1
#define DEDUPLICATE 0
#define RESTART_EMPTY 1
#define PER_PROCESS 1
#include "gift.inc"
