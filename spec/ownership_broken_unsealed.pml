#define BROKEN_UNSEALED
#include "ownership.inc"
