#define BROKEN_READOPT
#include "ownership.inc"
