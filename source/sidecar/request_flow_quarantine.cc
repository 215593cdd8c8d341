// The part of RequestFlow that keeps requests from workers that end under them.

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

// The deadline passed in the worker: what the run would have come to is not known.
constexpr int kGatewayTimeout = 504;
// About as long as the other one runs.
constexpr Duration kAloneRetryAfter = std::chrono::milliseconds(150);

}  // namespace

const RequestFingerprint& RequestFlow::Fingerprint() {
  if (!fingerprint_.has_value()) {
    fingerprint_ = FingerprintOf(*request_, OwnerServes() ? key_ : std::nullopt);
  }
  return *fingerprint_;
}

// A worker just ended under the request, or under one like it, and not for the first time. Sent on
// it would reach every worker of the service, as many as it may be tried at, with each try.
bool RequestFlow::MayEndWorkers() {
  return trial_ ||
         (context_.quarantine.watches_any() && context_.quarantine.IsSuspect(Fingerprint()));
}

bool RequestFlow::StopForQuarantine(const std::string& node, const std::string& worker_id) {
  if (trial_ || !context_.quarantine.watches_any()) return false;
  switch (context_.quarantine.ClearanceOf(Fingerprint())) {
    case Clearance::kFree:
      return false;
    case Clearance::kAlone:
      // Several at a time would each cost a worker before anything is known of the first.
      runs_alone_ = ingress_->alone_.insert(Fingerprint()).second;
      if (!runs_alone_) Refuse(FailureReason::kQuarantined, kAloneRetryAfter);
      return !runs_alone_;
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
  // This try may have ended a worker already: one is enough.
  if (may_have_run_) {
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

void RequestFlow::NoteGoodRun(int status) {
  if (!context_.quarantine.watches_any() || status == kGatewayTimeout) return;
  context_.quarantine.OnGoodRun(Fingerprint());
}

}  // namespace runshelf::sidecar
