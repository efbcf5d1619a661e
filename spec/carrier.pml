/* A version that a carrier passes on was still the newest at the time of the read that the peer calculates. */
#define FROM_ECHO 1
#define ECHO_FIRST 1
#include "carrier.inc"
