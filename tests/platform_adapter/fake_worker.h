// A worker of the platform for tests: runs requests, holds keys under fences, drains.
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

// Headers of the answer to a request that ran: its id, and a stamp.
http::Headers RunHeaders(const http::ExchangePtr& exchange, const std::string& stamp = "stamp");
// Answers a request that ran.
void AnswerRun(const http::ExchangePtr& exchange, int status, const std::string& body = "",
               const std::string& stamp = "stamp");

class FakeWorker {
 public:
  FakeWorker(event::EventLoop& loop, std::string id, std::string service);

  // Listens; port 0 lets the system choose. Returns zero, or a negative libuv error code.
  int Listen(uint16_t port = 0);
  // New connections are refused from here on; those that are open are served.
  void StopListening() { server_.StopListening(); }
  event::Endpoint endpoint() const { return {"127.0.0.1", server_.bound_port()}; }
  const std::string& id() const { return id_; }
  // When this life of the worker began, in milliseconds since 1970: it says so in all that it tells
  // of itself. Zero: it does not.
  void set_born(int64_t born) { born_ = born; }
  // Names this life: others may have the same identity.
  std::string life() const { return born_ == 0 ? id_ : id_ + "@" + std::to_string(born_); }

  // Sends heartbeats to the node beside it until the worker is destroyed.
  void StartHeartbeats(const event::Endpoint& node, Duration interval);
  void set_draining(bool draining) { draining_ = draining; }
  // A draining worker deregisters at once, says nothing more, and serves on.
  void set_leaves_without_draining(bool value) { leaves_without_draining_ = value; }
  // Requests that it runs at once, as heartbeats tell.
  void set_slots(int slots) { slots_ = slots; }
  // The worker reports its keys in heartbeats, and holds what the answers list.
  void set_keys_in_heartbeats(bool keys_in_heartbeats) { keys_in_heartbeats_ = keys_in_heartbeats; }
  // Heartbeats are cut off from the node; the worker serves on.
  void set_heartbeats_cut(bool cut) { heartbeats_cut_ = cut; }
  // Health checks get no answer; everything else is served.
  void set_health_silent(bool silent) { health_silent_ = silent; }
  // What happens to a heartbeat on its way.
  enum class HeartbeatFault {
    kNone,
    kNotSent,
    kSentTwice,   // The second time after its answer.
    kSentLate,    // By most of the time that its answer may take.
    kAnswerLost,  // The node answers, and the worker does not hear it.
    kHeldBack,    // Arrives some time later, after newer ones; see set_on_held_back.
  };
  void set_heartbeat_faults(std::function<HeartbeatFault()> next) {
    next_heartbeat_fault_ = std::move(next);
  }
  // Takes the requests that are held back, which may outlive this worker; nobody hears the answers.
  using HeldBackCallback = std::function<void(const event::Endpoint& node, std::string request)>;
  void set_on_held_back(HeldBackCallback callback) { on_held_back_ = std::move(callback); }
  // Sequence number of the latest heartbeat.
  int64_t sequence() const { return sequence_; }
  // Status of the latest answer to a heartbeat; zero before the first.
  int heartbeat_status() const { return heartbeat_status_; }

  // What to do with a request instead of answering 200 with the id and the body.
  using Behaviour = std::function<void(const http::ExchangePtr&)>;
  void set_behaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }
  struct Grant {
    uint32_t first = 0;
    uint32_t last = 0;
    uint64_t fence = 0;
    Instant until{};
    std::string handover;
  };
  // Called for each order of keys that was accepted; `late`: some time after its arrival.
  using GrantCallback = std::function<void(const Grant& grant, bool late)>;
  void set_on_granted(GrantCallback callback) { on_granted_ = std::move(callback); }
  // Called for each release that is answered.
  using ReleaseCallback = std::function<void(uint32_t first, uint32_t last)>;
  void set_on_released(ReleaseCallback callback) { on_released_ = std::move(callback); }
  // What happens to a grant or a release that arrives.
  struct OrderFault {
    bool answered = true;
    Duration lateness{0};  // It is carried out so much later; zero: at once.
    bool cut = false;      // Its connection is closed at once; it is not carried out.
  };
  void set_order_faults(std::function<OrderFault()> next) { next_order_fault_ = std::move(next); }
  // Tells whether requests run on keys of a range; a release is answered, and keys that heartbeats
  // take away count as let go, only when none does. None ever does when this is not set.
  using BusyPredicate = std::function<bool(uint32_t first, uint32_t last)>;
  void set_busy_keys(BusyPredicate busy) { busy_ = std::move(busy); }
  // How long a health check waits for its answer.
  void set_health_delay(std::function<Duration()> delay) { health_delay_ = std::move(delay); }
  // When the node acknowledged that the worker leaves; nullopt: not yet.
  std::optional<Instant> leaving_acknowledged_at() const { return leaving_acknowledged_at_; }
  // The worker's keys count: requests for others are refused.
  void set_sharded(bool sharded) { sharded_ = sharded; }

  // The grant in force for a key; nullptr when there is none.
  const Grant* Holds(uint32_t key) const;
  const std::vector<Grant>& grants() const { return grants_; }
  const std::vector<http::Request>& executed() const { return executed_; }
  uint64_t refused_orders() const { return refused_orders_; }

 private:
  void Handle(const http::ExchangePtr& exchange);
  // Carries an order out now or later, and answers it or not.
  void HandleOrder(const http::ExchangePtr& exchange);
  void CarryOut(const http::ExchangePtr& exchange, bool answered, bool late);
  // Returns the status of the answer.
  int TakeGrant(const nlohmann::json& body, bool late);
  void TakeRelease(const nlohmann::json& body);
  bool Busy(uint32_t first, uint32_t last) const { return busy_ && busy_(first, last); }
  // Looks at what waits for running requests to end.
  void FinishLetGo();
  void AnswerReleases();
  void DoLater(Duration delay, std::function<void()> action);
  void HandleRequest(const http::ExchangePtr& exchange);
  void SendHeartbeat();
  void Deregister();
  std::string HeartbeatBody();
  void CallNode(const std::string& body, Instant made, HeartbeatFault fault);
  void OnLease(const std::string& body, Instant sent);
  bool TakeRow(const Grant& grant);

  event::EventLoop& loop_;
  std::string id_;
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
  std::vector<Grant> fences_seen_;  // Of all grants and releases.
  std::vector<http::Request> executed_;
  uint64_t refused_orders_ = 0;
  int64_t sequence_ = 0;
  int heartbeat_status_ = 0;
  std::vector<Grant> ending_;    // Taken away by heartbeats; requests still run on them.
  std::vector<Grant> released_;  // Since the last heartbeat that was acknowledged.
  // Releases whose answer waits for running requests.
  struct OpenRelease {
    http::ExchangePtr exchange;
    uint32_t first = 0;
    uint32_t last = 0;
  };
  std::vector<OpenRelease> open_releases_;
  event::Timer let_go_timer_;
  bool keys_in_heartbeats_ = false;
  bool heartbeats_cut_ = false;
  bool health_silent_ = false;
  std::vector<http::ExchangePtr> unanswered_;
  std::function<HeartbeatFault()> next_heartbeat_fault_;
  event::Timer late_heartbeat_;
  std::function<void()> send_late_;
  int slots_ = 4;
  bool draining_ = false;
  bool leaves_without_draining_ = false;
  bool sharded_ = false;
};

}  // namespace runshelf::platform_adapter
