// Public header of the Http library: whole HTTP/1.1 messages for control
// traffic.
#pragma once

#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_message.h"
#include "Libraries/Http/http_server.h"
