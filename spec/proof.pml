/* A version that the reader reports was still the newest at the time of the read that the peer calculates. */
#define READ_START 1
#define FROM_ECHO 1
#define UNIQUE_NUMBERS 1
#include "proof.inc"
