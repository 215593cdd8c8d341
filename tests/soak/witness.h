// Collects the events observed by clients, workers and the store, and passes them to the judges,
// each of which checks one group of guarantees.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "source/http/message.h"
#include "tests/platform_adapter/fake_worker.h"
#include "tests/soak/abandonment_judge.h"
#include "tests/soak/caller_connection.h"
#include "tests/soak/cold_start_judge.h"
#include "tests/soak/configuration_judge.h"
#include "tests/soak/contact_tracker.h"
#include "tests/soak/drain_judge.h"
#include "tests/soak/evacuation_judge.h"
#include "tests/soak/fatal_request_judge.h"
#include "tests/soak/limit_judge.h"
#include "tests/soak/loss_judge.h"
#include "tests/soak/operator_configurations.h"
#include "tests/soak/ownership_judge.h"
#include "tests/soak/promise_judge.h"

namespace runshelf::soak {

// Values of the documented settings and bounds that the soak test runs with.
constexpr Duration kDrainTimeout = std::chrono::milliseconds(2000);
constexpr Duration kGracePeriod = std::chrono::seconds(6);
constexpr Duration kContactWindow = std::chrono::milliseconds(3000);
constexpr Duration kRecoverySlack = std::chrono::milliseconds(300);
constexpr Duration kEvacuationTimeout = std::chrono::milliseconds(5000);
// A cold worker gets at most its rate, times kColdOverage, and kColdTolerance requests a second.
constexpr double kColdRate = 15;
constexpr double kColdOverage = 1.5;
constexpr double kColdTolerance = 8;

// A request that a caller (a client, or a worker that makes a nested call) is about to send.
struct Attempt {
  SentRequest request;
  size_t node = 0;  // Index of the node that it is sent to.
  int life = 0;     // Start count of that node's process.
  std::string route;
  bool keyed = false;
  bool nested = false;
  bool kept_connection = false;
  Duration route_timeout = kRouteTimeout;
  Instant sent_at{};
  Instant deadline{};
};

// Totals of the requests that clients sent.
struct AnswerCounts {
  uint64_t sent = 0;
  uint64_t served = 0;
  // Requests from callers of other nodes that a stopping node aborted. Not covered by a guarantee;
  // reported for information.
  uint64_t cut_at_other_nodes = 0;
};

class Witness {
 public:
  Witness(const Clock& clock, size_t nodes);

  // Events of callers. Each attempt that was sent ends exactly once.
  void OnSent(Attempt attempt);
  void OnEnded(const std::string& id, CallerConnection::End end, const http::Response& response);
  // The caller abandoned the attempt before the response.
  void OnLeft(const std::string& id);
  // The caller gave up waiting for a response.
  void OnNoAnswer(const std::string& id);

  // Events of workers. Work on a request is identified by the attempt id and the worker.
  void OnWorkBegan(size_t node, const std::string& worker, const Execution& execution);
  // `would_last_until`: planned end of the work, had it not been aborted. `status`: HTTP status of
  // the worker's response; 0 if there was none.
  void OnWorkEnded(const std::string& id, const std::string& worker, WorkEnd end, int status,
                   Instant would_last_until);
  void OnLeaveAcknowledged(const std::string& worker, Instant at) {
    drain_.OnLeaveAcknowledged(worker, at);
  }

  // Zones, and workers that warm up.
  void SetZone(size_t node, std::string zone) { zones_[node] = std::move(zone); }
  void OnEvacuated(const std::string& zone) { evacuation_.OnEvacuated(zone, clock_.Now()); }
  void OnReturned(const std::string& zone) { evacuation_.OnReturned(zone); }
  void OnCold(const std::string& worker, Instant until) { cold_.OnCold(worker, until); }
  // The worker begins to state a limit, another one, or none (zero), in requests per second.
  void OnLimitChanged(const std::string& worker, double rate) {
    limit_.OnLimitChanged(worker, rate, clock_.Now());
  }

  // A fatal request terminated its worker.
  void OnFatalEnd(const std::string& target) { fatal_.OnEnded(target, clock_.Now()); }
  int fatal_ends() const { return fatal_.ends(); }

  // Ownership of keys.
  void OnGrant(size_t node, const std::string& worker,
               const platform_adapter::FakeWorker::Grant& grant, bool late, bool path_is_slow);
  OwnershipJudge& ownership() { return *ownership_; }

  // Actions of the operator and the platform.
  void OnConfiguration(AllowedServices allowed) {
    configuration_.OnConfiguration(clock_.Now(), std::move(allowed));
  }
  void OnStopAsked(size_t node) {
    stop_asked_[node] = clock_.Now();
    loss_.OnStopAsked(node, clock_.Now());
  }
  void OnReloadAsked(size_t node) { loss_.OnReloadAsked(node, clock_.Now()); }
  void OnUnexpectedExit(const std::string& node, int exit) { promises_.OnProcessEnded(node, exit); }

  // Faults. While a fault is active, its nodes or the store count as out of contact. Only unplanned
  // faults excuse lost requests. Store faults, also those of a single node, excuse requests with
  // keys.
  void BeginFault(size_t node, bool planned);
  void EndFault(size_t node, bool planned);
  void BeginStoreFault(std::optional<size_t> node);
  void EndStoreFault(std::optional<size_t> node);
  // A node was just started, or responded late.
  void Disturb(size_t node, bool planned);
  // A fault of the node ended. Grants that arrive within kRecoverySlack are not reported as
  // violations.
  void OnHealed(size_t node) { healed_[node] = clock_.Now(); }
  // This process was not scheduled for a while; events that it observed late are not reported as
  // violations.
  void OnStall();

  // Ends the run.
  void Finish() { abandonment_.Finish(); }
  // Collects new violations with the time since `started`; must be called at short intervals.
  void Watch(Instant started);
  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }
  const AnswerCounts& counts() const { return counts_; }
  // Sets the window in which client attempts count towards measured_share() and unserved().
  void MeasureFrom(Instant from, Instant until) {
    measured_from_ = from;
    measured_until_ = until;
  }
  // Measured attempts that were not served, by route and status (0: no response).
  const std::map<std::pair<std::string, int>, int>& unserved() const { return unserved_; }
  // Fraction of measured attempts that were served, 0 to 1; 0 if none was measured.
  double measured_share() const {
    return measured_ == 0 ? 0 : static_cast<double>(measured_served_) / measured_;
  }

 private:
  struct OpenAttempt {
    Attempt attempt;
    struct WorkAt {
      size_t node = 0;
      std::string worker;
      Work work;
    };
    std::vector<WorkAt> work;
    bool ended = false;
  };

  std::vector<std::vector<std::string>> Findings() const;
  OpenAttempt* Find(const std::string& id);
  bool Disturbed(const OpenAttempt& open) const;
  // True if the work at `node` was aborted because the node's process stopped, while a caller of
  // another node was still waiting.
  bool AbortedByStop(const OpenAttempt& open, size_t node) const;
  // Judges the request by what its node passed on of the worker before.
  void JudgeStatements(const Attempt& attempt, size_t worker_node, const std::string& worker);
  void Judge(const OpenAttempt& open, CallerConnection::End end, bool by_worker);
  void JudgeRoute(const OpenAttempt& open, std::optional<std::string> service);
  void Measure(const OpenAttempt& open, int status);

  const Clock& clock_;
  ContactTracker contact_;
  ContactTracker unplanned_;
  std::vector<Instant> healed_;
  std::vector<Instant> stop_asked_;
  std::vector<std::string> zones_;  // By node.
  PromiseJudge promises_;
  std::unique_ptr<OwnershipJudge> ownership_ = std::make_unique<OwnershipJudge>();
  LossJudge loss_{LossBounds{}};
  ConfigurationJudge configuration_{ConfigurationBounds{}};
  DrainJudge drain_;
  LimitJudge limit_{kContactWindow};
  EvacuationJudge evacuation_{kEvacuationTimeout};
  ColdStartJudge cold_{static_cast<size_t>(kColdRate * kColdOverage + kColdTolerance)};
  AbandonmentJudge abandonment_;
  FatalRequestJudge fatal_;
  std::map<std::string, OpenAttempt> attempts_;  // By id; never erased, since work may begin late.
  AnswerCounts counts_;
  // For each judge, the number of its violations that were already collected.
  std::vector<size_t> collected_counts_;
  std::vector<std::string> violations_;
  Instant measured_from_{};
  Instant measured_until_{};
  uint64_t measured_ = 0;
  uint64_t measured_served_ = 0;
  std::map<std::pair<std::string, int>, int> unserved_;
};

}  // namespace runshelf::soak
