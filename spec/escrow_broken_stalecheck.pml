/* The borrower spends by a clock reading from before a pause. */
#define MARGIN 2
#define DEBIT 1
#define INHERIT (TERM+MARGIN)
#define REREAD 0
#include "escrow.inc"
