// The simulated machines of the soak test and the fake store, all on the loopback interface.
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
  std::string program;    // Path of the sidecar executable.
  std::string directory;  // For settings and log files; must exist.
  uint64_t seed = 1;
  std::vector<std::string> services;  // Service of each node's worker; "keyed" is sharded.
  bool keys_in_heartbeats = false;    // Grants come in heartbeat responses instead of calls.
  size_t zones = 1;                   // The nodes are distributed among them in turn.
  Duration cold_time{0};              // How long workers are cold after their start.
  uint64_t memory_mb = 0;             // Memory of each process; zero: not stated.
  uint64_t file_descriptors = 0;      // Descriptors of each process; zero: not stated.
  int link_megabits = 0;              // Bandwidth of each machine's link; zero: not stated.
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
  // Detects exited processes, restarts those that are due, and checks the keys that workers hold.
  void Watch();

  // Starts a new worker at the address of the previous one; no effect while one runs.
  void StartWorker(SoakNode* node);
  // Terminates the worker without draining. With `returns`, the next worker reuses its id.
  void EndWorker(SoakNode* node, bool returns = false);
  // Makes the worker's proxy listen if the worker runs and does not refuse connections; else stops
  // it.
  void ApplyListener(SoakNode* node);
  // While set, the node's worker leaves about half of its orders unanswered, or about half of its
  // heartbeats are subject to faults such as delay, loss and duplication.
  void SetOrdersUnanswered(size_t node, bool value) { orders_unanswered_[node] = value; }
  void SetHeartbeatsDelayed(size_t node, bool value) { heartbeats_delayed_[node] = value; }
  // Reports to the node as other writers may: a worker whose id is not text, one that is unknown,
  // and one of another service at the worker's address.
  void SendNoticesOfOtherWriters(const SoakNode& node);
  // Writes as the operator that a zone is evacuated, or returned to use.
  void SetZoneEvacuated(size_t zone, bool evacuated);
  // Lets the node's worker state that it accepts so many requests per second; zero: states none.
  void SetStatedLimit(size_t node, double requests_per_second);
  // While set, the node's worker sends most of its responses twice.
  void SetAnswersTwice(size_t node, bool value);
  // Number of responses that workers sent twice.
  size_t second_answers() const;
  // Rewrites the settings file, each time with a different retry budget.
  void ChangeSettings(const SoakNode& node);
  // Sets the fault mode of the path from one node to another, for connections and datagrams.
  void SetPairMode(size_t from, size_t to, FaultProxy::Mode mode, Duration delay);

 private:
  using FakeWorker = platform_adapter::FakeWorker;

  void MakeNode(size_t index);
  int64_t NextWorkerStartTime();
  void WriteSettings(const SoakNode& node, int retry_budget_extra) const;
  void SetUpWorker(SoakNode* node, FakeWorker* worker);
  FakeWorker::HeartbeatFault NextHeartbeatFault(size_t node);
  FakeWorker::OrderFault NextOrderFault(size_t node);
  void CallNode(const event::Endpoint& node, const std::string& request);
  void SendDelayed(const event::Endpoint& node, std::string request);
  std::string ReplaceAddressByProxy(const std::string& key, const std::string& value) const;
  std::vector<pid_t> Processes() const;
  // Index of the node whose process opened the connection from `port` to `proxy`, or
  // FaultProxy::kUnknownSource.
  int SourceOf(const FaultProxy& proxy, uint16_t port);
  bool DatagramPasses(const std::string& sender, const SoakNode& to) const;
  void OnRequest(SoakNode* node, const http::ExchangePtr& exchange);
  // Schedules the termination of a worker that has begun a fatal request.
  void ScheduleWorkerEnd(SoakNode* node, const std::string& target);
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
  // Timers of delayed heartbeats, and the calls that send them.
  std::vector<std::unique_ptr<event::Timer>> held_back_;
  std::vector<std::unique_ptr<http::SimpleCall>> late_calls_;
  std::vector<std::unique_ptr<event::Timer>> fatal_ends_;
  int settings_written_ = 0;
  int64_t last_worker_start_time_ = 0;
};

}  // namespace runshelf::soak
