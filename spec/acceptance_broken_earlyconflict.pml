/* A conflict counts as final while an earlier copy of the write is on its way. */
#define EARLY_CONFLICT
#include "acceptance.inc"
