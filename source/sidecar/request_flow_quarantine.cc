// The part of RequestFlow that applies the quarantine of requests that may crash workers.

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

// Status for a deadline that passed during the run: how the run would have ended is unknown.
constexpr int kGatewayTimeout = 504;

}  // namespace

const RequestFingerprint& RequestFlow::Fingerprint() {
  if (!fingerprint_.has_value()) {
    fingerprint_ = FingerprintOf(*request_, OnlyOwnerMayRun() ? key_ : std::nullopt);
  }
  return *fingerprint_;
}

// True for a trial, and if workers exited while running this request or one with the same
// fingerprint, and none has completed since. Such a request is not retried after a broken attempt:
// each retry could end another worker of the service, up to the route's limit on attempts.
bool RequestFlow::MayCrashWorkers() {
  return trial_ ||
         (context_.quarantine.has_suspects() && context_.quarantine.IsSuspect(Fingerprint()));
}

bool RequestFlow::CheckQuarantine(const std::string& node, const std::string& worker_id) {
  if (trial_ || !context_.quarantine.has_suspects()) return false;
  switch (context_.quarantine.ClearanceOf(Fingerprint())) {
    case Clearance::kFree:
      return false;
    case Clearance::kTrial:
      BeginTrial(node, worker_id);
      return true;
    case Clearance::kQuarantined:
      RefuseQuarantined();
      return true;
  }
  return false;
}

void RequestFlow::BeginTrial(const std::string& node, const std::string& worker_id) {
  // No trial if an earlier attempt of this request may have run: it may have ended a worker. No
  // trial either while trials cannot be counted: the store may be unreachable for seconds, too long
  // to wait.
  if (may_have_run_ || !context_.quarantine.CanCountTrials()) {
    RefuseQuarantined();
    return;
  }
  context_.quarantine.BeginTrial(
      Fingerprint(), DescribeRequest(*request_),
      [flow = weak_from_this(), node, worker_id, fingerprint = Fingerprint(),
       &quarantine = context_.quarantine](bool granted) {
        const auto self = flow.lock();
        if (self == nullptr || self->done_ || self->CallerGone()) {
          if (granted) quarantine.ReturnTrial(fingerprint);
          return;
        }
        if (!granted) {
          self->RefuseQuarantined();
          return;
        }
        if (self->context_.peers.Find(node) == nullptr) {
          // The node was forgotten meanwhile. Another one needs another trial.
          quarantine.ReturnTrial(fingerprint);
          self->TryNext();
          return;
        }
        self->trial_ = true;
        self->StartAttempt(node, worker_id);
      });
}

// Refuses the request as not run, which is correct and keeps intermediaries from sending it again.
// The retry-after lets a harmless request that is in quarantine by chance return for the next
// trial.
void RequestFlow::RefuseQuarantined() {
  Refuse(FailureReason::kQuarantined, context_.quarantine.OnRefused(Fingerprint()));
}

void RequestFlow::RecordCompletedRun(int status) {
  if (!context_.quarantine.has_suspects() || status == kGatewayTimeout) return;
  context_.quarantine.OnGoodRun(Fingerprint());
}

// Number of worker exits that this node knows the request is not to blame for. It is sent with the
// attempt, since the worker's node may not have seen the good run that proves it and would count
// all exits against the request.
uint32_t RequestFlow::ExcusedEnds() {
  if (!context_.quarantine.has_suspects()) return 0;
  return static_cast<uint32_t>(context_.quarantine.ExcusedEnds(Fingerprint()));
}

// Reports an attempt that broke off at a worker of another node. That node records the exit of its
// worker, unless it was lost as well; see UnresolvedAttempts for that case.
void RequestFlow::RecordBrokenAttempt(const AttemptFailure& failure, const std::string& node) {
  const bool broken =
      failure.reason == FailureReason::kBroken || failure.reason == FailureReason::kIncomplete;
  if (!broken || last_worker_.empty() || node == context_.settings.node_name) return;
  context_.quarantine.OnAttemptInterrupted(node, last_worker_, Fingerprint());
}

}  // namespace runshelf::sidecar
