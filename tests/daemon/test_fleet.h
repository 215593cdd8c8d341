// One ingress and one egress in this process, with a slot gate that the test controls.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/ownership/slot_gate.h"
#include "runshelf/transport/http_connection_pool.h"
#include "runshelf/transport/http_server.h"
#include "source/daemon/egress_handler.h"
#include "source/daemon/ingress_handler.h"

namespace runshelf::daemon {

// Owns every slot until told otherwise.
class FakeGate : public ownership::SlotGate {
 public:
  std::optional<FencingToken> Enter(Instant now, SlotNumber slot) override;
  void Leave(SlotNumber slot) override;
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const override;

  std::atomic<bool> owner{true};
  std::atomic<int> entered{0};
};

// Services "feedread" (by key) and "dispatch"; caller classes "desk" (weight 10) and "free"
// (weight 1); "dispatch/capped" has a limit of zero.
class TestFleet {
 public:
  explicit TestFleet(const std::string& server_address, admission::AdmissionConfig admission = {});
  ~TestFleet();

  // Sends a request to the ingress.
  transport::HttpResult Call(const transport::HttpRequest& request);

  std::string ingress_address() const { return ingress_server->address(); }

  // Publishes routes in which the egress at `forward_address` owns all slots of both services.
  void PublishRoutes(const std::string& forward_address);

  SystemClock clock;
  FakeGate gate;
  Metrics metrics;
  Published<table::Table> table;
  Published<routing::RoutingSnapshot> routes;
  RepeatGuard repeats;
  AdmissionGate admission;
  ServerClient server;
  LoadMeter load;
  EgressHandler egress;
  transport::HttpConnectionPool forward_pool;
  RequestForwarder forwarder;
  SharedRateLimiter limiter;
  IngressHandler ingress;
  std::unique_ptr<transport::HttpServer> egress_server;
  std::unique_ptr<transport::HttpServer> ingress_server;
  transport::HttpConnectionPool caller_pool;

 private:
  uint64_t routes_version_ = 0;
};

// A valid request of class "desk" with a key.
transport::HttpRequest Request(const std::string& method, const std::string& target,
                               const std::string& body = "");

}  // namespace runshelf::daemon
