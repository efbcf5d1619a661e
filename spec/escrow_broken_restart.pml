/* A restarted lender uses its home share at once. */
#define MARGIN 2
#define DEBIT 1
#define INHERIT 0
#define REREAD 1
#include "escrow.inc"
