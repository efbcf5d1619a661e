#define BROKEN_SUCCESSORINCARNATION
#include "ownership.inc"
