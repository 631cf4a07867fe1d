#include "core/replication/group.h"
