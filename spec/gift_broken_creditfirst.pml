/* The sender debits after it has sent. */
#define DEBIT_FIRST 0
#define DEDUPLICATE 1
#define RESTART_EMPTY 1
#define PER_PROCESS 1
#include "gift.inc"
