/* A version that a peer reports was still the newest at the calculated time of the read. */
#define READ_START 1
#define FROM_ECHO 1
#define UNIQUE_NUMBERS 1
#include "proof.inc"
