// Public header of the Platform library: HTTP clients of the platform's table
// service, object store and host list.
#pragma once

#include "Libraries/Platform/host_list_client.h"
#include "Libraries/Platform/http_object_store.h"
#include "Libraries/Platform/http_table_store.h"
#include "Libraries/Platform/table_store.h"
