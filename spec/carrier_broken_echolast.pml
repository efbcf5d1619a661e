/* Broken: the echo is taken after the content was built; a pause in between makes the content look newer. */
#define FROM_ECHO 1
#define ECHO_FIRST 0
#include "carrier.inc"
