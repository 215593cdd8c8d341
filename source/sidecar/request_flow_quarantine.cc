// The part of RequestFlow that keeps requests from workers that end under them.

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

// The deadline passed in the worker: what the run would have come to is not known.
constexpr int kGatewayTimeout = 504;

}  // namespace

const RequestFingerprint& RequestFlow::Fingerprint() {
  if (!fingerprint_.has_value()) {
    fingerprint_ = FingerprintOf(*request_, OnlyOwnerMayRun() ? key_ : std::nullopt);
  }
  return *fingerprint_;
}

// A worker just ended under the request, or under one like it, and not for the first time. Sent on
// it would reach every worker of the service, as many as it may be tried at, with each try.
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
  // This try may have ended a worker already: one is enough. A trial that cannot be counted now is
  // not waited for: the store may be away for seconds.
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
        self->trial_ = true;
        self->StartAttempt(node, worker_id);
      });
}

// "Not run" is true of it, and keeps it from being sent again by what stands between here and the
// caller. A proper request that was put in quarantine by chance comes back for the next trial.
void RequestFlow::RefuseQuarantined() {
  Refuse(FailureReason::kQuarantined, context_.quarantine.OnRefused(Fingerprint()));
}

void RequestFlow::RecordCompletedRun(int status) {
  if (!context_.quarantine.has_suspects() || status == kGatewayTimeout) return;
  context_.quarantine.OnGoodRun(Fingerprint());
}

// The node beside the worker may have run no request like it, and hold all ends against it.
uint32_t RequestFlow::ExcusedEnds() {
  if (!context_.quarantine.has_suspects()) return 0;
  return static_cast<uint32_t>(context_.quarantine.ExcusedEnds(Fingerprint()));
}

// The node beside the worker knows whether this ended it, unless it is lost with the worker.
void RequestFlow::RecordBrokenAttempt(const AttemptFailure& failure, const std::string& node) {
  const bool broken =
      failure.reason == FailureReason::kBroken || failure.reason == FailureReason::kIncomplete;
  if (!broken || last_worker_.empty() || node == context_.settings.node_name) return;
  context_.quarantine.OnAttemptInterrupted(node, last_worker_, Fingerprint());
}

}  // namespace runshelf::sidecar
