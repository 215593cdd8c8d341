// Checks a caller's request against docs/PROTOCOLS.md. Free of input and output.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "runshelf/common/clock.h"
#include "runshelf/common/verdict.h"
#include "runshelf/transport/http_message.h"

namespace runshelf::daemon {

// A request whose headers have been checked and defaulted.
struct CallerRequest {
  std::string service;
  std::string target;  // Path after the service, with the query.
  std::string caller_class;
  std::optional<std::string> key;  // Only where the service is divided by key.
  Duration time_limit{0};          // The caller waits this long.
  std::optional<std::string> idempotency_key;
  uint32_t attempt = 1;
  bool repeatable = false;
};

// An error of the router's own.
struct RequestError {
  int http_status = 400;
  std::string identifier;  // Stable; see docs/PROTOCOLS.md.
  std::string detail;      // For people.
  Verdict verdict = Verdict::kNotRun;
  Duration retry_after{0};  // Zero: not a give-up, repeating it unchanged is of no use.
};

using ParsedRequest = std::variant<CallerRequest, RequestError>;

// `keyed_services` are those divided by key.
ParsedRequest ParseCallerRequest(const transport::HttpRequest& request,
                                 const std::set<std::string>& keyed_services);

// What an error that forwards nothing says about the request: a caller's own repeat may have run
// when it was sent before.
Verdict VerdictBeforeForwarding(const transport::HttpRequest& request);

}  // namespace runshelf::daemon
