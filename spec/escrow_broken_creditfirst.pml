/* The reply leaves before the lender's share is debited. */
#define MARGIN 2
#define DEBIT 0
#define INHERIT (TERM+MARGIN)
#define REREAD 1
#include "escrow.inc"
