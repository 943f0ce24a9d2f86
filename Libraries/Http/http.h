// Public header of the Http library: an HTTP/1.1 client and server that buffer
// whole messages, for control traffic, and the strict incremental parser and
// buffers of the streaming request path.
#pragma once

#include "Libraries/Http/body_reader.h"
#include "Libraries/Http/compression.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_message.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/message_head.h"
#include "Libraries/Http/message_parser.h"
#include "Libraries/Http/receive_buffer.h"
#include "Libraries/Http/socket_io.h"
