#define BROKEN_RUNAFTEREXPORT
#include "ownership.inc"
