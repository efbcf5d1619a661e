/* The time of a read is its end. */
#define READ_START 0
#define FROM_ECHO 1
#define UNIQUE_NUMBERS 1
#include "proof.inc"
