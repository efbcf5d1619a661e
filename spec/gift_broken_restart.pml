/* A restarted host holds its whole share again. */
#define DEBIT_FIRST 1
#define DEDUPLICATE 1
#define RESTART_EMPTY 0
#define PER_PROCESS 1
#include "gift.inc"
