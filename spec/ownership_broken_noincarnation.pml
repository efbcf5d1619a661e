#define BROKEN_NOINCARNATION
#include "ownership.inc"
