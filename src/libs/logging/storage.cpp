// easylogging++ requires that each program defines its global state exactly once, in the archive that uses
// it.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
