// Sends requests to the server beside this daemon, and cancels them.
#pragma once

#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "runshelf/transport/http_connection_pool.h"
#include "runshelf/transport/peer_watch.h"
#include "source/daemon/server_control.h"

namespace runshelf::daemon {

// Under what right a request goes to the server.
struct ServerRequestContext {
  std::string request_id;
  Instant deadline;
  std::optional<SlotNumber> slot;     // Present when the request goes by ownership.
  std::optional<FencingToken> token;  // Present with `slot`.
};

// How the server answered.
enum class ServerOutcome {
  kAnswered,
  kNotOwner,  // Refused: certainly not run; likewise the next four.
  kOverloaded,
  kDeadline,
  kDraining,
  kUnreachable,  // No connection.
  kLost,         // May have run.
  kTimedOut,     // May have run.
  kCallerGone,   // May have run; the daemon that forwarded the request has given up.
};

struct ServerResult {
  ServerOutcome outcome = ServerOutcome::kLost;
  transport::HttpResponse response;  // With kAnswered.
};

// Safe for use by several threads at once.
class ServerClient : public ServerControl {
 public:
  // `clock` must outlive the client. `address` is the server's "ip:port".
  ServerClient(const Clock& clock, std::string address);

  // Sends the request once and waits for the answer. One that is given up is cancelled at the
  // server, as far as it is not executed yet.
  ServerResult Call(const transport::HttpRequest& request, const ServerRequestContext& context,
                    transport::PeerWatch caller);

  transport::HttpResult Control(const std::string& method, const std::string& target,
                                const std::string& body, Instant deadline) override;

 private:
  void Cancel(const std::string& request_id);

  const Clock& clock_;
  const std::string address_;
  transport::HttpConnectionPool pool_;
  transport::HttpConnectionPool control_pool_;
};

}  // namespace runshelf::daemon
