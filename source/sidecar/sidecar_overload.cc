// The part of a node that limits what its servers keep for clients and other nodes.
#include <fmt/format.h>

#include "source/http/receive_progress.h"
#include "source/sidecar/peer_protocol.h"
#include "source/sidecar/sidecar.h"

namespace runshelf::sidecar {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;
// Requests of other nodes carry headers of their own besides those of the client.
constexpr size_t kMaxInboundHeadBytes = size_t{64} * 1024;
// Checks of readiness and readers of metrics send no bodies; heartbeats may list keys.
constexpr size_t kMaxCheckBodyBytes = size_t{4} * 1024;
constexpr size_t kMaxHeartbeatBodyBytes = size_t{1024} * 1024;
// Other nodes keep their connections open for longer than clients.
constexpr Duration kInboundIdleTimeout = std::chrono::minutes(2);
// Incomplete requests that make no progress can be dropped by then.
constexpr Duration kOverloadRetryAfter = http::ReceiveProgress::kMaxDetectionTime;

// Whether a request that is refused with this status may succeed when it is sent again.
bool MayBeSentAgain(int status) {
  return status == kRequestTimeout || status == kServiceUnavailable;
}

const char* NameOf(http::OverloadAction action) {
  switch (action) {
    case http::OverloadAction::kRequestRefused:
      return "request-refused";
    case http::OverloadAction::kRequestDropped:
      return "request-dropped";
    case http::OverloadAction::kConnectionClosed:
      return "connection-closed";
  }
  return "unknown";
}

}  // namespace

void Sidecar::LimitServers() {
  for (http::Server* server :
       {&outbound_, &inbound_, &readiness_, &control_plane_, &metrics_server_}) {
    server->set_resources(&server_resources_);
  }
  server_resources_.set_on_overload([this](http::OverloadAction action) { OnOverload(action); });
  inbound_.limits().max_head_bytes = kMaxInboundHeadBytes;
  inbound_.limits().idle_timeout = kInboundIdleTimeout;
  // Another node may have sent a request that may not be repeated when it finds the connection
  // closed.
  inbound_.limits().closes_idle = false;
  readiness_.limits().max_body_bytes = kMaxCheckBodyBytes;
  metrics_server_.limits().max_body_bytes = kMaxCheckBodyBytes;
  control_plane_.limits().max_body_bytes = kMaxHeartbeatBodyBytes;
  outbound_.set_refusal_headers([this](int status) {
    http::Headers headers;
    if (MayBeSentAgain(status)) {
      const double seconds = std::chrono::duration<double>(kOverloadRetryAfter).count();
      headers.Add(wire_.headers().retry_after, fmt::format("{}", seconds));
    }
    return headers;
  });
  inbound_.set_refusal_headers([](int status) {
    if (!MayBeSentAgain(status)) return http::Headers();
    return peer_protocol::FailureHeaders(
        {Verdict::kNotRun, FailureReason::kFull, false, kOverloadRetryAfter});
  });
}

void Sidecar::OnOverload(http::OverloadAction action) {
  log_.Write(LogLevel::kWarning, "overload",
             {{"action", std::string(NameOf(action))},
              {"request_memory_bytes", server_resources_.memory()->used()},
              {"request_memory_limit_bytes", server_resources_.memory()->limit()},
              {"connections", server_resources_.connections()},
              {"connections_limit", server_resources_.limits().connections}});
}

}  // namespace runshelf::sidecar
