#define BROKEN_HOSTREFUSES
#include "ownership.inc"
