/* A host puts in force whatever arrives last. */
#define TAKE_LAST
#include "acceptance.inc"
