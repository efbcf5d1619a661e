/* A lost write is written again over whatever came between. */
#define BLIND_RETRY
#include "acceptance.inc"
