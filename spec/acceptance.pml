#include "acceptance.inc"
