/* Hosts that transfer tokens never spend and hold more than the total. */
#define DEBIT_FIRST 1
#define DEDUPLICATE 1
#define RESTART_EMPTY 1
#define PER_PROCESS 1
#include "gift.inc"
