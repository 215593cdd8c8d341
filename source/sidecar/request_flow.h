// One request of a client, from its arrival to its final answer.
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

class RequestFlow : public AttemptObserver, public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(Ingress* ingress, http::ExchangePtr exchange, const routes::Route& route);

  void Begin();
  // Looks for the owner of the key again, when the request waits for one.
  void RetryOwnerLookup();
  bool waiting_for_owner() const { return waiting_for_owner_; }
  // The worker beside this node sent the request during a run.
  bool nested() const { return nested_; }
  // Writes a line: the process ends without the answer.
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
  routing::AnswerSize ExpectedAnswerSize() const;
  std::string WorkerOnNode(const std::string& node) const;
  void StartAttempt(const std::string& node, const std::string& worker_id);
  void Send(const std::string& node, const std::string& worker_id);
  // What the request is known by when it comes again.
  const RequestFingerprint& Fingerprint();
  // Workers ended under requests like this one, so that it is refused or waits for a trial.
  bool CheckQuarantine(const std::string& node, const std::string& worker_id);
  void BeginTrial(const std::string& node, const std::string& worker_id);
  void RefuseQuarantined();
  bool MayCrashWorkers();
  void RecordCompletedRun(int status);
  uint32_t ExcusedEnds();
  // The try at the worker beside `node` may have run.
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
  // What is known of all attempts so far.
  Verdict CurrentVerdict() const { return may_have_run_ ? Verdict::kMayHaveRun : Verdict::kNotRun; }
  Duration Age() const;

  Ingress* ingress_;
  IngressContext& context_;
  http::ExchangePtr exchange_;
  routes::Route route_;  // A copy: the configuration may change meanwhile.
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
  std::string current_node_;  // Of the attempt under way; empty while there is none.
  std::string last_node_;     // Of the latest attempt.
  std::string last_worker_;
  std::unique_ptr<Attempt> attempt_;
  uint32_t arrivals_ = 0;     // At workers, as far as is known.
  uint32_t refusals_ = 0;     // By queues of nodes.
  uint32_t owner_waits_ = 0;  // For the owner of the key to be known or ready.
  bool trial_ = false;        // Of a request in quarantine: sent once, whatever becomes of it.
  bool nested_ = false;       // A call that the worker of this node makes during a run.
  bool may_have_run_ = false;
  bool waiting_for_owner_ = false;
  bool done_ = false;
};

}  // namespace runshelf::sidecar
