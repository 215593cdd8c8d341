// Responses that the router makes itself, and the headers that every response carries.
#pragma once

#include <string>

#include "runshelf/common/verdict.h"
#include "runshelf/transport/http_message.h"
#include "source/daemon/caller_request.h"

namespace runshelf::daemon {

// The JSON error response of docs/PROTOCOLS.md, with Retry-After when the error is a give-up.
transport::HttpResponse ErrorResponse(const RequestError& error, const std::string& request_id);

// Sets the headers that every response to a caller carries.
void SetVerdict(transport::HttpResponse& response, Verdict verdict, const std::string& request_id);

// Whether `name` belongs to the project's own protocols ("Runshelf-...").
bool IsRunshelfHeader(const std::string& name);

// Milliseconds left until `deadline`, rounded down; zero when it has passed.
int64_t MillisecondsLeft(Instant now, Instant deadline);

}  // namespace runshelf::daemon
