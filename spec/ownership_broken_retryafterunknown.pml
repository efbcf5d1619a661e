#define BROKEN_RETRYAFTERUNKNOWN
#include "ownership.inc"
