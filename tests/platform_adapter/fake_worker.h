// Test double of a platform worker: executes requests, accepts grants and releases of shard keys
// with fencing tokens, sends heartbeats and drains.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/http/server.h"

namespace runshelf::platform_adapter {

// Headers of the response to an executed request: the request's Attempt-Id and a Server-Stamp.
http::Headers RunHeaders(const http::ExchangePtr& exchange, const std::string& stamp = "stamp");
// Responds to an executed request with those headers.
void AnswerRun(const http::ExchangePtr& exchange, int status, const std::string& body = "",
               const std::string& stamp = "stamp");

// An HTTP server on the loopback interface that plays the worker of one node. Not thread-safe: runs
// on the given event loop.
class FakeWorker {
 public:
  FakeWorker(event::EventLoop& loop, std::string id, std::string service);

  // Starts listening; port 0 picks a free port. Returns zero, or a negative libuv error code.
  int Listen(uint16_t port = 0);
  // Refuses new connections; open ones are still served.
  void StopListening() { server_.StopListening(); }
  event::Endpoint endpoint() const { return {"127.0.0.1", server_.bound_port()}; }
  const std::string& id() const { return id_; }
  // Start time of this worker process in milliseconds since the Unix epoch, which the worker
  // reports in heartbeats and deregistrations. Zero: not reported.
  void set_born(int64_t born) { born_ = born; }
  // Identifies this worker process, by id and start time: a restarted worker may have the same id.
  std::string life() const { return born_ == 0 ? id_ : id_ + "@" + std::to_string(born_); }

  // Sends heartbeats to the given node until the worker is destroyed.
  void StartHeartbeats(const event::Endpoint& node, Duration interval);
  // The worker is cold for this long from now, as heartbeats and health checks report.
  void TurnCold(Duration remaining) { cold_until_ = loop_.Now() + remaining; }
  // Health checks state this limit of requests per second; empty: none.
  void set_health_limit(std::string limit) { health_limit_ = std::move(limit); }
  // Heartbeats report the worker as warm whatever it is.
  void set_heartbeats_report_warm(bool value) { heartbeats_report_warm_ = value; }
  void set_draining(bool draining) { draining_ = draining; }
  bool draining() const { return draining_; }
  // When draining, the worker deregisters at once and stops its heartbeats, but still serves
  // requests.
  void set_leaves_without_draining(bool value) { leaves_without_draining_ = value; }
  // Maximum number of concurrent requests, as reported in heartbeats.
  void set_slots(int slots) { slots_ = slots; }
  // The worker reports its keys in heartbeats and holds those listed in the responses.
  void set_keys_in_heartbeats(bool keys_in_heartbeats) { keys_in_heartbeats_ = keys_in_heartbeats; }
  // No heartbeats are sent; the worker still serves requests.
  void set_heartbeats_cut(bool cut) { heartbeats_cut_ = cut; }
  // Health checks and refusals of requests for other workers state this identity.
  void set_stated_id(std::string id) { stated_id_ = std::move(id); }
  // Handover in the responses to releases.
  void set_handover(std::string handover) { handover_ = std::move(handover); }
  // Health checks get no response; all other requests are served.
  void set_health_silent(bool silent) { health_silent_ = silent; }
  // Fault injected into the delivery of a heartbeat.
  enum class HeartbeatFault {
    kNone,
    kNotSent,
    kSentTwice,   // Sent again after its response has arrived.
    kSentLate,    // Delayed by 90 % of the response timeout.
    kAnswerLost,  // The node responds, but the worker ignores the response.
    kHeldBack,    // Delivered later, out of order; see set_on_held_back.
  };
  void set_heartbeat_faults(std::function<HeartbeatFault()> next) {
    next_heartbeat_fault_ = std::move(next);
  }
  // Receives the serialized heartbeats that are held back. The receiver delivers them, possibly
  // after this worker's destruction; their responses are ignored.
  using HeldBackCallback = std::function<void(const event::Endpoint& node, std::string request)>;
  void set_on_held_back(HeldBackCallback callback) { on_held_back_ = std::move(callback); }
  // Sequence number of the latest heartbeat.
  int64_t sequence() const { return sequence_; }
  // HTTP status of the latest heartbeat response; zero before the first one.
  int heartbeat_status() const { return heartbeat_status_; }

  // Replaces the default request handler, which responds 200 with the worker id and the body.
  using Behaviour = std::function<void(const http::ExchangePtr&)>;
  void set_behaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }
  struct Grant {
    uint32_t first = 0;
    uint32_t last = 0;
    uint64_t fence = 0;
    Instant until{};
    std::string handover;
  };
  // Called for each accepted grant; `late` is true when it was processed with a delay (see
  // OrderFault::lateness).
  using GrantCallback = std::function<void(const Grant& grant, bool late)>;
  void set_on_granted(GrantCallback callback) { on_granted_ = std::move(callback); }
  // Called for each release that is acknowledged.
  using ReleaseCallback = std::function<void(uint32_t first, uint32_t last)>;
  void set_on_released(ReleaseCallback callback) { on_released_ = std::move(callback); }
  // Fault injected into the processing of a grant or release request.
  struct OrderFault {
    bool answered = true;  // Whether a response is sent.
    Duration lateness{0};  // Delay before the request is processed.
    bool cut = false;      // The connection is closed and the request is not processed.
  };
  void set_order_faults(std::function<OrderFault()> next) { next_order_fault_ = std::move(next); }
  // Returns whether requests are running on any key of the range. A release is acknowledged, and
  // keys that a heartbeat response no longer lists are reported as released, only once none is
  // running. When unset, no key is ever busy.
  using BusyPredicate = std::function<bool(uint32_t first, uint32_t last)>;
  void set_busy_keys(BusyPredicate busy) { busy_ = std::move(busy); }
  // Delay of each health check response.
  void set_health_delay(std::function<Duration()> delay) { health_delay_ = std::move(delay); }
  // When the node acknowledged the deregistration; nullopt before that.
  std::optional<Instant> leaving_acknowledged_at() const { return leaving_acknowledged_at_; }
  // A sharded worker refuses requests for keys that it does not hold.
  void set_sharded(bool sharded) { sharded_ = sharded; }

  // The unexpired grant that covers the key; nullptr when there is none.
  const Grant* Holds(uint32_t key) const;
  const std::vector<Grant>& grants() const { return grants_; }
  const std::vector<http::Request>& executed() const { return executed_; }
  // Whether executed() gets the requests, which is the default.
  void set_keeps_executed(bool value) { keeps_executed_ = value; }
  uint64_t refused_orders() const { return refused_orders_; }

 private:
  void Handle(const http::ExchangePtr& exchange);
  // Processes a grant or release, subject to the injected fault.
  void HandleOrder(const http::ExchangePtr& exchange);
  void ProcessOrder(const http::ExchangePtr& exchange, bool answered, bool late);
  // Returns the HTTP status of the response.
  int HandleGrant(const nlohmann::json& body, bool late);
  void HandleRelease(const nlohmann::json& body);
  bool Busy(uint32_t first, uint32_t last) const { return busy_ && busy_(first, last); }
  // Completes releases of keys on which no request runs any more.
  void FinishReleases();
  void AnswerReleases();
  void DoLater(Duration delay, std::function<void()> action);
  void HandleRequest(const http::ExchangePtr& exchange);
  void SendHeartbeat();
  void Deregister();
  std::string HeartbeatBody();
  void CallNode(const std::string& body, Instant made, HeartbeatFault fault);
  void OnHeartbeatResponse(const std::string& body, Instant sent);
  bool AcceptGrant(const Grant& grant);

  event::EventLoop& loop_;
  std::string id_;
  std::string stated_id_;
  std::string handover_;
  int64_t born_ = 0;
  std::string service_;
  http::Server server_;
  http::ConnectionPool pool_;
  event::Timer heartbeat_timer_;
  event::Endpoint node_;
  Duration interval_{0};
  std::unique_ptr<http::SimpleCall> heartbeat_;
  Behaviour behaviour_;
  GrantCallback on_granted_;
  ReleaseCallback on_released_;
  std::function<OrderFault()> next_order_fault_;
  HeldBackCallback on_held_back_;
  BusyPredicate busy_;
  std::function<Duration()> health_delay_;
  std::vector<std::unique_ptr<event::Timer>> later_;
  std::optional<Instant> leaving_acknowledged_at_;
  std::vector<Grant> grants_;
  std::vector<Grant> fences_seen_;  // Fencing tokens of all grants and releases received.
  std::vector<http::Request> executed_;
  uint64_t refused_orders_ = 0;
  int64_t sequence_ = 0;
  int heartbeat_status_ = 0;
  std::vector<Grant> ending_;    // Revoked by a heartbeat response, with requests still running.
  std::vector<Grant> released_;  // Since the last acknowledged heartbeat.
  // A release whose response waits for running requests.
  struct OpenRelease {
    http::ExchangePtr exchange;
    uint32_t first = 0;
    uint32_t last = 0;
  };
  std::vector<OpenRelease> open_releases_;
  event::Timer release_timer_;
  bool keys_in_heartbeats_ = false;
  bool heartbeats_cut_ = false;
  bool health_silent_ = false;
  std::vector<http::ExchangePtr> unanswered_;
  std::function<HeartbeatFault()> next_heartbeat_fault_;
  event::Timer late_heartbeat_;
  std::function<void()> send_late_;
  Duration ColdRemaining() const;
  int slots_ = 4;
  Instant cold_until_{};
  bool heartbeats_report_warm_ = false;
  std::string health_limit_;
  bool draining_ = false;
  bool leaves_without_draining_ = false;
  bool sharded_ = false;
  bool keeps_executed_ = true;
};

}  // namespace runshelf::platform_adapter
