// The message by which a server says, unasked, that it closes an idle connection. A caller whose
// request crosses it reads it as the answer: the request was not run.
#pragma once

#include <string>

#include "runshelf/transport/http_message.h"

namespace runshelf::transport {

// A whole response with status 408.
std::string ClosingNotice();

// Whether `response` is such a notice.
bool IsClosingNotice(const HttpResponse& response);

}  // namespace runshelf::transport
