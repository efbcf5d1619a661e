#include "ownership.inc"
