// The machines of the soak, with the store, all on the loopback interface.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/soak/connection_source.h"
#include "tests/soak/request_runner.h"
#include "tests/soak/second_answers.h"
#include "tests/soak/soak_node.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

struct FleetOptions {
  std::string program;    // Of the sidecar.
  std::string directory;  // For settings and logs; must exist.
  uint64_t seed = 1;
  std::vector<std::string> services;  // Of the workers, by node; "keyed" is divided by key.
  bool keys_in_heartbeats = false;    // Else in calls.
};

class SoakFleet {
 public:
  SoakFleet(event::EventLoop& loop, Witness& witness, FleetOptions options);
  ~SoakFleet();

  const std::vector<std::unique_ptr<SoakNode>>& nodes() const { return nodes_; }
  SoakNode& node(size_t index) { return *nodes_[index]; }
  platform_adapter::FakeStore& store() { return store_; }

  // Starts all processes.
  void Start();
  // Notices processes that have ended, starts those that are due, and looks at what workers hold.
  void Watch();

  // A new life of the worker, at the address of the former one; no effect while it runs.
  void StartWorker(SoakNode* node);
  // It ends without a word; `returns`: its next life has the same identity.
  void EndWorker(SoakNode* node, bool returns = false);
  // The worker's address takes connections while the worker lives and is not told to refuse them.
  void ApplyListener(SoakNode* node);
  // While set, the node's worker leaves orders unanswered, or its heartbeats come late.
  void SetOrdersUnanswered(size_t node, bool value) { orders_unanswered_[node] = value; }
  void SetHeartbeatsDelayed(size_t node, bool value) { heartbeats_delayed_[node] = value; }
  // While set, the node's worker says most of its answers a second time.
  void SetAnswersTwice(size_t node, bool value);
  // Answers that workers said a second time.
  size_t second_answers() const;
  // Writes the settings file anew, each time with another bound.
  void ChangeSettings(const SoakNode& node);
  // The way of one node to another, both of connections and datagrams.
  void SetPairMode(size_t from, size_t to, FaultProxy::Mode mode, Duration delay);

 private:
  using FakeWorker = platform_adapter::FakeWorker;

  void MakeNode(size_t index);
  int64_t NextBirth();
  void WriteSettings(const SoakNode& node, int retry_budget_extra) const;
  void SetUpWorker(SoakNode* node, FakeWorker* worker);
  FakeWorker::HeartbeatFault NextHeartbeatFault(size_t node);
  FakeWorker::OrderFault NextOrderFault(size_t node);
  void SendLater(const event::Endpoint& node, std::string request);
  std::string ThroughProxy(const std::string& key, const std::string& value) const;
  std::vector<pid_t> Processes() const;
  // The node whose process opened a connection from `port` to a proxy.
  int SourceOf(const FaultProxy& proxy, uint16_t port);
  bool DatagramPasses(const std::string& sender, const SoakNode& to) const;
  void OnRequest(SoakNode* node, const http::ExchangePtr& exchange);
  // The worker has begun a request that ends it.
  void EndSoon(SoakNode* node, const std::string& target);
  void CheckKeys();

  event::EventLoop& loop_;
  Witness& witness_;
  FleetOptions options_;
  SeededRandom random_;
  Duration heartbeat_interval_;
  platform_adapter::FakeStore store_;
  ConnectionSource connection_source_;
  http::ConnectionPool pool_;
  std::vector<std::unique_ptr<SoakNode>> nodes_;
  RequestRunner runner_;
  SecondAnswers second_answers_;
  std::vector<bool> orders_unanswered_;
  std::vector<bool> heartbeats_delayed_;
  // Heartbeats that were held back, and their calls.
  std::vector<std::unique_ptr<event::Timer>> held_back_;
  std::vector<std::unique_ptr<http::SimpleCall>> late_calls_;
  std::vector<std::unique_ptr<event::Timer>> fatal_ends_;
  int settings_written_ = 0;
  int64_t last_birth_ = 0;
};

}  // namespace runshelf::soak
