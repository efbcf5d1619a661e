/* The peer calculates the time of the read from the arrival of the report. */
#define READ_START 1
#define FROM_ECHO 0
#define UNIQUE_NUMBERS 1
#include "proof.inc"
