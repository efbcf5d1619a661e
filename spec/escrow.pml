/* The protocol of package limiter. */
#define MARGIN 2
#define DEBIT 1
#define INHERIT (TERM+MARGIN)
#define REREAD 1
#include "escrow.inc"
