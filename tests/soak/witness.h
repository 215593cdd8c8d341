// Gathers what callers, workers and the store saw, and hands each judge what it judges.
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
#include "tests/soak/configuration_judge.h"
#include "tests/soak/contact_tracker.h"
#include "tests/soak/drain_judge.h"
#include "tests/soak/fatal_request_judge.h"
#include "tests/soak/loss_judge.h"
#include "tests/soak/ownership_judge.h"
#include "tests/soak/promise_judge.h"

namespace runshelf::soak {

// Bounds of the users' pages that the soak plays with.
constexpr Duration kDrainTimeout = std::chrono::milliseconds(2000);
constexpr Duration kGracePeriod = std::chrono::seconds(6);
constexpr Duration kContactWindow = std::chrono::milliseconds(3000);
constexpr Duration kThawSlack = std::chrono::milliseconds(300);

// An attempt that a caller is about to send: a client, or a worker that makes a call.
struct Attempt {
  SentRequest request;
  size_t node = 0;  // That it is sent to.
  int life = 0;     // Of that node's process.
  std::string route;
  bool keyed = false;
  bool nested = false;
  bool kept_connection = false;
  Instant sent_at{};
  Instant deadline{};
};

// What callers were told in all.
struct AnswerCounts {
  uint64_t sent = 0;
  uint64_t served = 0;
  // Work that a stopping node cut for callers of other nodes: no promise, but worth a look.
  uint64_t cut_at_other_nodes = 0;
};

class Witness {
 public:
  Witness(const Clock& clock, size_t nodes);

  // Callers. Each attempt that was sent ends once.
  void OnSent(Attempt attempt);
  void OnEnded(const std::string& id, CallerConnection::End end, const http::Response& response);
  void OnLeft(const std::string& id);
  void OnNoAnswer(const std::string& id);

  // Workers. Work on a request is named by its id and the worker.
  void OnWorkBegan(size_t node, const std::string& worker, const Execution& execution);
  // `would_last_until`: when it would have ended if it had not been broken off. `status`: of the
  // worker's answer; zero without one.
  void OnWorkEnded(const std::string& id, const std::string& worker, WorkEnd end, int status,
                   Instant would_last_until);
  void OnLeaveAcknowledged(const std::string& worker, Instant at) {
    drain_.OnLeaveAcknowledged(worker, at);
  }

  // A worker ended under a request that ends workers.
  void OnFatalEnd(const std::string& target) { fatal_.OnEnded(target, clock_.Now()); }
  int fatal_ends() const { return fatal_.ends(); }

  // Keys.
  void OnGrant(size_t node, const std::string& worker,
               const platform_adapter::FakeWorker::Grant& grant, bool late, bool way_is_slow);
  OwnershipJudge& ownership() { return *ownership_; }

  // The operator and the platform.
  void OnConfiguration(AllowedServices allowed) {
    configuration_.OnConfiguration(clock_.Now(), std::move(allowed));
  }
  void OnStopAsked(size_t node) {
    stop_asked_[node] = clock_.Now();
    loss_.OnStopAsked(node, clock_.Now());
  }
  void OnReloadAsked(size_t node) { loss_.OnReloadAsked(node, clock_.Now()); }
  void OnProcessEndedByItself(const std::string& node, int exit) {
    promises_.OnProcessEnded(node, exit);
  }

  // Faults. All of them take nodes, or the store, out of touch; only unplanned ones excuse lost
  // requests. What the store does to single nodes excuses requests with keys.
  void BeginFault(size_t node, bool planned);
  void EndFault(size_t node, bool planned);
  void BeginStoreFault(std::optional<size_t> node);
  void EndStoreFault(std::optional<size_t> node);
  // A node was just started, or answered late.
  void Disturb(size_t node, bool planned);
  // Grants that arrive shortly after this are not held against the node.
  void OnHealed(size_t node) { healed_[node] = clock_.Now(); }
  // This process stood still: nothing that was seen late is held against anybody.
  void OnStall();

  // The run is over.
  void Finish() { abandonment_.Finish(); }
  // Call often: notes when each violation was found, from `started` on.
  void Watch(Instant started);
  // One line for each, in the order in which they were found.
  const std::vector<std::string>& violations() const { return violations_; }
  const AnswerCounts& counts() const { return counts_; }
  // Attempts of clients since a moment, and how many of them were served.
  void MeasureFrom(Instant from, Instant until) {
    measured_from_ = from;
    measured_until_ = until;
  }
  // Of those that were not served: how many, by route and status (zero: no answer).
  const std::map<std::pair<std::string, int>, int>& unserved() const { return unserved_; }
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
  // By the end of its process, for a caller of another node that went on waiting.
  bool CutByStop(const OpenAttempt& open, size_t node) const;
  void Judge(const OpenAttempt& open, CallerConnection::End end, bool by_worker);
  void JudgeRoute(const OpenAttempt& open, std::optional<std::string> service);
  void Measure(const OpenAttempt& open, int status);

  const Clock& clock_;
  ContactTracker contact_;
  ContactTracker unplanned_;
  std::vector<Instant> healed_;
  std::vector<Instant> stop_asked_;
  PromiseJudge promises_;
  std::unique_ptr<OwnershipJudge> ownership_ = std::make_unique<OwnershipJudge>();
  LossJudge loss_{LossBounds{}};
  ConfigurationJudge configuration_{ConfigurationBounds{}};
  DrainJudge drain_;
  AbandonmentJudge abandonment_;
  FatalRequestJudge fatal_;
  std::map<std::string, OpenAttempt> attempts_;  // By id; kept, since work may begin late.
  AnswerCounts counts_;
  std::vector<size_t> noted_;  // Of each judge: how many of its findings.
  std::vector<std::string> violations_;
  Instant measured_from_{};
  Instant measured_until_{};
  uint64_t measured_ = 0;
  uint64_t measured_served_ = 0;
  std::map<std::pair<std::string, int>, int> unserved_;
};

}  // namespace runshelf::soak
