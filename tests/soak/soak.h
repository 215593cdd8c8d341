// A fleet of real sidecar processes on one machine, disturbed from outside, while callers and
// workers of this process check what the users were promised.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "tests/platform_adapter/fake_store.h"
#include "tests/platform_adapter/fake_worker.h"
#include "tests/soak/fault_kind.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/promise_judge.h"
#include "tests/soak/sidecar_process.h"

namespace runshelf::soak {

// Of a worker that leaves, from the acknowledgement.
constexpr Duration kDrainTimeout = std::chrono::milliseconds(2000);
constexpr Duration kWatchInterval = std::chrono::milliseconds(20);

struct SoakOptions {
  std::string program;    // Of the sidecar.
  std::string directory;  // For settings and logs; must exist.
  uint64_t seed = 1;
  Duration duration = std::chrono::seconds(60);  // Includes the calm time at the end.
};

struct SoakResult {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  // In order, with their times.
  uint64_t requests = 0;
  uint64_t served = 0;
  bool interrupted = false;  // By a signal: nothing is shown.
  double served_at_end = 0;  // Share of the requests of the last calm seconds.
};

class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  SoakResult Run();

 private:
  struct Node {
    std::string name;
    std::string ip;
    std::string service;
    event::Endpoint outbound;
    event::Endpoint inbound;
    event::Endpoint control_plane;
    uint16_t worker_port = 0;
    int worker_life = 0;
    std::unique_ptr<platform_adapter::FakeWorker> worker;  // Empty while it is down.
    std::unique_ptr<FaultProxy> store_proxy;
    std::unique_ptr<FaultProxy> node_proxy;
    std::unique_ptr<FaultProxy> worker_proxy;
    std::unique_ptr<SidecarProcess> process;
    bool restarts = true;  // Is started again when it has ended.
  };
  struct Caller;
  struct ActiveFault {
    FaultKind kind = FaultKind::kKillProcess;
    Node* node = nullptr;
    FaultProxy::Mode mode = FaultProxy::Mode::kPass;
    Duration delay{0};
    std::unique_ptr<event::Timer> timer;
  };
  struct ConfigurationInForce {
    Instant since;
    std::string service;  // Of the plain routes.
  };

  void MakeNode(size_t index, const std::string& service);
  void WriteSettings(const Node& node) const;
  void StartWorker(Node* node);
  bool KeysInHeartbeats() const;
  platform_adapter::FakeWorker::HeartbeatFault NextHeartbeatFault();
  void PutConfiguration(const std::string& plain_service);
  std::string ThroughProxy(const std::string& key, const std::string& value) const;

  void SendRequest();
  void OnAnswer(Caller* caller, const http::Response* response);
  void OnExecuted(Node* node, const http::ExchangePtr& exchange);
  void CheckConfiguration(const std::string& id, const std::string& service, Instant sent_at);

  void StartFault();
  void BeginFault(ActiveFault* fault);
  void EndFault(ActiveFault* fault);
  void EndAllFaults();
  bool Calm(Instant since) const;

  void Interrupt();
  void Watch();
  void CheckOverlaps(Instant now);

  SoakOptions options_;
  SeededRandom random_;
  event::EventLoop loop_;
  platform_adapter::FakeStore store_{loop_};
  http::ConnectionPool pool_{loop_};
  PromiseJudge judge_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::unique_ptr<Caller>> callers_;  // By the id of the request.
  std::vector<std::unique_ptr<ActiveFault>> faults_;
  std::vector<std::unique_ptr<event::Timer>> delayed_answers_;
  std::vector<ConfigurationInForce> configurations_;
  std::map<std::pair<std::string, std::string>, Instant> overlaps_;  // By the two workers.
  event::Timer request_timer_;
  event::Timer fault_timer_;
  event::Timer watch_timer_;
  event::Timer end_timer_;
  // Ended from outside: the processes that were started end too.
  event::SignalWatcher terminate_;
  event::SignalWatcher interrupt_;
  event::SignalWatcher hang_up_;
  Instant started_{};
  Instant last_disturbed_{};
  Instant last_healed_{};
  SoakResult result_;
  uint64_t next_request_ = 1;
  uint64_t sent_at_end_ = 0;
  uint64_t served_at_end_ = 0;
  int configuration_version_ = 0;
};

}  // namespace runshelf::soak
