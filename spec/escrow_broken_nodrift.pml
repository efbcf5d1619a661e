/* The lender takes a loan back at the term's end by its own clock. */
#define MARGIN 0
#define DEBIT 1
#define INHERIT (TERM+MARGIN)
#define REREAD 1
#include "escrow.inc"
