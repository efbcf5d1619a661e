/* The heartbeats of each process are numbered from 1. */
#define READ_START 1
#define FROM_ECHO 1
#define UNIQUE_NUMBERS 0
#include "proof.inc"
