/* Broken: the carrier dates a report from its arrival, so a delayed one looks newer than it is. */
#define FROM_ECHO 0
#define ECHO_FIRST 1
#include "carrier.inc"
