// Public header of the Platform library: the platform's table service, object
// store and host list.
#pragma once

#include "Libraries/Platform/table_store.h"
