// The library's global state has to be defined once in a program, in the archive that uses it.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
