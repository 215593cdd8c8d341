// Reads one request whole from a connection of an HTTP server.
#pragma once

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <cstddef>
#include <optional>

#include "runshelf/transport/http_message.h"
#include "source/transport/guarded_socket.h"

namespace runshelf::transport {

struct ReceivedRequest {
  HttpRequest request;
  std::optional<int> refusal_status;  // The request must not be handled.
  bool may_read_on = false;           // What follows on the connection is the next request.
};

// Blocks until the request is there, the connection ends or its read allowance is over.
ReceivedRequest ReadRequest(Poco::Net::HTTPServerRequestImpl& incoming,
                            const GuardedSocketImpl& socket, size_t max_body_bytes);

}  // namespace runshelf::transport
