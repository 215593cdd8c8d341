// Carries out the steps of a RequestRouter: forwards the request to other daemons, waits, and turns
// the end into a response.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/routing/request_router.h"
#include "runshelf/routing/router_state.h"
#include "runshelf/transport/http_connection_pool.h"
#include "runshelf/transport/peer_watch.h"
#include "source/daemon/caller_request.h"
#include "source/daemon/metrics.h"
#include "source/daemon/published.h"

namespace runshelf::daemon {

// A response for the caller and what it says about the request.
struct ForwardedResponse {
  transport::HttpResponse response;
  Verdict verdict = Verdict::kMayHaveRun;
};

// Safe for use by several threads at once.
class RequestForwarder {
 public:
  // All references must outlive the forwarder.
  RequestForwarder(const Clock& clock, routing::RouterConfig config,
                   const Published<routing::RoutingSnapshot>& routes,
                   transport::HttpConnectionPool& pool, Metrics& metrics);

  // Routes the request and returns the caller's response. `original` is the request as received.
  // When the caller goes away the attempt under way is cancelled.
  ForwardedResponse Forward(const CallerRequest& request, const transport::HttpRequest& original,
                            const std::string& request_id, Instant deadline,
                            transport::PeerWatch caller);

 private:
  struct Exchange;

  routing::AttemptResult Attempt(Exchange& exchange, const routing::ForwardStep& step);
  void Wait(const Exchange& exchange, Instant until) const;

  const Clock& clock_;
  const routing::RouterConfig config_;
  const Published<routing::RoutingSnapshot>& routes_;
  transport::HttpConnectionPool& pool_;
  Metrics& metrics_;
  std::mutex mutex_;  // Guards the router objects, `state_` and `random_`.
  routing::RouterState state_;
  SystemRandom random_;
};

}  // namespace runshelf::daemon
