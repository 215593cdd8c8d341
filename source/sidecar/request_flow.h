// Handles one request of a client or of the local worker, from its arrival to its final response:
// selects a worker, sends attempts, and retries where the route and the retry budgets allow it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/sidecar/answer_relay.h"
#include "source/sidecar/ingress.h"
#include "source/sidecar/request_times.h"

namespace runshelf::sidecar {

// A request ends with one complete response, with the connection aborted in the middle of an
// answer, or when its client disconnects. Owned by the Ingress, which removes it then. Used on the
// thread of the event loop only.
class RequestFlow : public AttemptObserver, public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(Ingress* ingress, http::ExchangePtr exchange, const routes::Route& route);

  // Starts the first attempt, or refuses the request; may end the request before it returns.
  void Begin();
  // Repeats the lookup of the key's owner at once if the request is waiting for one.
  void RetryOwnerLookup();
  bool waiting_for_owner() const { return waiting_for_owner_; }
  // True if the local worker sent the request while it runs another one.
  bool nested() const { return nested_; }
  // Logs that the process exits before the request has been answered.
  void LogUnfinished();

  void OnAnswerHead(http::ResponseHead&& head) override;
  void OnAnswerBody(std::string_view data) override;
  void OnAnswerComplete() override;
  void OnAttemptFailure(const AttemptFailure& failure) override;
  bool CallerGone() const override { return exchange_->client_gone(); }

 private:
  void ReadRequest();
  void ChooseService();
  bool OnlyOwnerMayRun() const;
  void TryNext();
  bool TryStoppingNode();
  // Whether the owner is leaving, and for so long that requests must not reach it any more.
  bool OwnerHasLeft(const sharding::WorkerId& owner) const;
  routing::AnswerSize ExpectedAnswerSize() const;
  TargetQuery Query() const;
  std::string WorkerOnNode(const std::string& node) const;
  void StartAttempt(const std::string& node, const std::string& worker_id);
  void Send(const std::string& node, const std::string& worker_id);
  // Identifies the request in the quarantine, also when it is sent again. Computed on first use.
  const RequestFingerprint& Fingerprint();
  // Returns true if the request is in quarantine: it has been refused, or a trial was requested.
  bool CheckQuarantine(const std::string& node, const std::string& worker_id);
  void BeginTrial(const std::string& node, const std::string& worker_id);
  void RefuseQuarantined();
  bool MayCrashWorkers();
  void RecordCompletedRun(int status);
  // Counts the request as served, at the time at which its answer is sent.
  void RecordServed();
  uint32_t ExcusedEnds();
  // Reports an attempt at the worker on `node` that broke off and may have run.
  void RecordBrokenAttempt(const AttemptFailure& failure, const std::string& node);
  uint32_t MaxQueueRefusals() const;
  void EndAttempt();
  void WaitForOwner(FailureReason reason);
  bool MayRunAgain(const AttemptFailure& failure);
  bool ShouldRetryWorkerFailure() const;
  void OnNotRun(const AttemptFailure& failure);
  void OnTimer();
  void OnClientGone();

  void Refuse(FailureReason reason, Duration retry_after);
  void AnswerFailure(int status, FailureReason reason);
  void Finish();
  void LogOutcome(std::string_view event, int status, std::string_view reason, Verdict verdict);
  // The verdict over all attempts so far.
  Verdict CurrentVerdict() const { return may_have_run_ ? Verdict::kMayHaveRun : Verdict::kNotRun; }
  Duration Age() const;

  Ingress* ingress_;
  IngressContext& context_;
  http::ExchangePtr exchange_;
  routes::Route route_;  // A copy, since the configuration may change during the request.
  AnswerRelay relay_;
  event::Timer timer_;
  event::Timer wait_timer_;
  std::shared_ptr<const http::Request> request_;
  std::string request_id_;
  std::string service_;
  std::optional<sharding::ShardKey> key_;
  RequestTimes times_;
  std::optional<RequestFingerprint> fingerprint_;
  std::vector<std::string> tried_nodes_;
  std::string current_node_;  // Node of the attempt in progress; empty if there is none.
  std::string last_node_;     // Node of the latest attempt.
  std::string last_worker_;
  std::unique_ptr<Attempt> attempt_;
  uint32_t arrivals_ = 0;     // Attempts that are known to have reached a worker.
  uint32_t refusals_ = 0;     // Attempts that were refused because a node's queue was full.
  uint32_t owner_waits_ = 0;  // Waits for the key's owner to be known or ready.
  bool trial_ = false;        // Trial run of a request in quarantine: never retried.
  bool nested_ = false;       // See nested().
  bool may_have_run_ = false;
  bool waiting_for_owner_ = false;
  bool done_ = false;
};

}  // namespace runshelf::sidecar
