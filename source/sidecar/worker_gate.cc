#include "source/sidecar/worker_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
// The deadline passed in the worker, so the outcome of the run is unknown.
constexpr int kGatewayTimeout = 504;
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// An attempt is abandoned this long after its deadline unless its owner cancels it before.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(100);

// Answers after the target time are worth little to callers: most of the admitted requests are to
// meet it.
constexpr double kServiceTimeDeviations = 1;

// The body of a refusal is not passed on. A longer one is not waited for.
constexpr size_t kMaxRefusalBodyBytes = size_t{64} * 1024;

bool IsSuccess(int status) { return status >= kOk && status < kMultipleChoices; }

admission::AdmissionConfig QueueConfig() {
  admission::AdmissionConfig config;
  // No slots are reserved for higher weights: ordering by weight protects those callers enough, and
  // a reserve would leave slots empty.
  config.share_below_higher_weight = 1.0;
  config.share_of_highest_weight = 1.0;
  config.service_time_deviations = kServiceTimeDeviations;
  config.queue_max = 400;
  return config;
}

}  // namespace

// A request that is queued for a slot or was sent to the worker.
class WorkerGate::GateAttempt : public Attempt, public http::ResponseObserver {
 public:
  GateAttempt(WorkerGate* gate, AttemptRequest request, AttemptObserver* observer)
      : gate_(gate),
        id_(gate->next_id_++),
        request_(std::move(request)),
        observer_(observer),
        timer_(gate->loop_, [this] { OnDeadline(); }) {}

  ~GateAttempt() override {
    call_.reset();
    if (registered_) {
      // The attempt is cancelled while the worker may still be running the request.
      if (sent_) gate_->RecordInterrupted(request_, sent_at_, /*by_caller=*/true);
      Unregister();
      gate_->Withdraw(id_, sent_, Elapsed());
    }
  }

  uint64_t id() const { return id_; }
  const AttemptRequest& request() const { return request_; }
  bool sent() const { return sent_; }

  void Begin() override {
    if (const auto rejection = gate_->RejectionReason(request_)) {
      Fail({Verdict::kNotRun, *rejection, false, Duration(0)});
      return;
    }
    if (request_.key.has_value() && gate_->key_authority_ != nullptr) {
      gate_->key_authority_->OnKeyOffered(*request_.key);
    }
    if (const Duration wait = gate_->RateLimitDelay(request_.caller_class); wait > Duration(0)) {
      Fail({Verdict::kNotRun, FailureReason::kLimited, false, wait});
      return;
    }
    if (const auto refusal = gate_->rate_limiter_.Check(gate_->loop_.Now())) {
      Fail({Verdict::kNotRun, refusal->reason, false, refusal->retry_after});
      return;
    }
    registered_ = true;
    gate_->attempts_[id_] = this;
    timer_.Start(request_.deadline - gate_->loop_.Now() + kDeadlineSlack);
    gate_->Offer(this);
  }

  void Pause() override {
    if (call_ != nullptr) call_->Pause();
  }

  void Resume() override {
    if (call_ != nullptr) call_->Resume();
  }

  // Called when the request is given a slot. Checks again whether it may be sent, since that may
  // have changed while it was queued.
  void Send() {
    const Instant now = gate_->loop_.Now();
    auto rejection = gate_->RejectionReason(request_);
    if (!rejection.has_value() && observer_->CallerGone()) rejection = FailureReason::kCallerGone;
    if (rejection.has_value()) {
      ReleaseSlot(admission::Completion::kFailed);
      Fail({Verdict::kNotRun, *rejection, false, Duration(0)});
      return;
    }
    if (const auto refusal = gate_->rate_limiter_.TryAdmit(now)) {
      ReleaseSlot(admission::Completion::kFailed);
      Fail({Verdict::kNotRun, refusal->reason, false, refusal->retry_after});
      return;
    }
    sent_ = true;
    sent_at_ = now;
    gate_->running_ids_.insert(request_.request_id);
    const HeaderNames& names = gate_->wire_.headers();
    http::RequestHead head = request_.request->head;
    head.headers.Set(names.deadline, std::to_string(ToMilliseconds(request_.deadline - now)));
    head.headers.Set(names.expected_worker,
                     std::string(gate_->wire_.StatedIdentity(gate_->worker_id_)));
    head.headers.Set(names.caller_service, request_.caller_service);
    http::CallOptions options(Match(), "request");
    options.head_request = head.method == "HEAD";
    call_ = gate_->pool_.Send(gate_->worker_, http::SerializeSharedRequest(head, request_.request),
                              options, this);
  }

  void Refuse(FailureReason reason, Duration retry_after) {
    Unregister();
    Fail({Verdict::kNotRun, reason, false, retry_after});
  }

  void OnResponseHead(http::ResponseHead&& head) override {
    const HeaderNames& names = gate_->wire_.headers();
    if (head.status == kMisdirected) {
      HandleMisdirected(head);
      return;
    }
    // Each request names the expected worker, and any other worker answers 421; so this answer is
    // from the expected one.
    ReportAnswer();
    gate_->OnWorkerLimit(sent_at_, head.headers);
    if (head.headers.Has(names.worker_leaving) && gate_->worker_observer_ != nullptr) {
      gate_->worker_observer_->OnWorkerLeaving();
    }
    if (head.headers.Has(names.not_executed)) {
      refusal_ = FailureReason::kWorkerRefused;
      if (head.status == kServiceUnavailable) RecordRefusal(head);
      return;
    }
    if (IsSuccess(head.status) && !head.headers.Has(names.worker_stamp)) {
      FailUnstamped();
      return;
    }
    gate_->RecordAnswer(/*refused_with_room=*/false);
    answering_ = true;
    status_ = head.status;
    head.headers.RemoveConnectionHeaders();
    observer_->OnAnswerHead(std::move(head));
  }

  void OnResponseBody(std::string_view data) override {
    if (answering_) {
      observer_->OnAnswerBody(data);
      return;
    }
    refusal_body_bytes_ += data.size();
    if (refusal_.has_value() && refusal_body_bytes_ > kMaxRefusalBodyBytes) FailRefused();
  }

  void OnResponseComplete() override {
    if (refusal_.has_value()) {
      FailRefused();
      return;
    }
    gate_->RecordCompletedRun(request_, status_);
    ReleaseSlot(admission::Completion::kServed);
    observer_->OnAnswerComplete();
  }

  void OnClientFailure(http::ClientFailure failure) override {
    if (gate_->worker_observer_ != nullptr) gate_->worker_observer_->OnWorkerUnreachable();
    if (!http::CertainlyNotSent(failure) && !refusal_.has_value()) {
      gate_->RecordInterrupted(request_, sent_at_, /*by_caller=*/false);
    }
    ReleaseSlot(admission::Completion::kFailed);
    if (http::CertainlyNotSent(failure)) {
      Fail({Verdict::kNotRun, FailureReason::kUnreachable, false, Duration(0)});
    } else if (refusal_.has_value()) {
      Fail({Verdict::kNotRun, *refusal_, true, Duration(0)});
    } else {
      const bool began = failure == http::ClientFailure::kIncomplete;
      Fail({Verdict::kMayHaveRun, began ? FailureReason::kIncomplete : FailureReason::kBroken, true,
            Duration(0)});
    }
  }

 private:
  // A worker that refuses requests although it has free slots is not overloaded: running fewer at
  // once would leave slots empty, and it would refuse the same share of them. Senders are told.
  bool StatesRoom(const http::ResponseHead& head) const {
    const std::string* text = head.headers.Find(gate_->wire_.headers().worker_load);
    const auto load = text == nullptr ? std::nullopt : gate_->wire_.DecodeWorkerLoad(*text);
    return load.has_value() && load->HasRoom();
  }

  void RecordRefusal(const http::ResponseHead& head) {
    overloaded_ = !StatesRoom(head);
    // A worker with a stated limit is sent no more than that, and refuses what exceeds it.
    const bool limited = gate_->worker_limit().has_value();
    if (!overloaded_ && !limited) gate_->RecordAnswer(/*refused_with_room=*/true);
  }

  // The worker stated that it did not run the request. Closes the connection unless the answer is
  // complete.
  void FailRefused() {
    call_.reset();
    ReleaseSlot(overloaded_ ? admission::Completion::kShed : admission::Completion::kFailed);
    Fail({Verdict::kNotRun, *refusal_, true, Duration(0)});
  }

  void ReportAnswer() {
    if (gate_->worker_observer_ == nullptr) return;
    gate_->worker_observer_->OnWorkerAnswered(
        sent_at_, call_ == nullptr ? Instant::max() : call_->connection_made_at());
  }

  // Fails the attempt after a 2xx answer without the worker's stamp. The request was sent, so it
  // may have run.
  void FailUnstamped() {
    if (gate_->worker_observer_ != nullptr) {
      gate_->worker_observer_->OnUnstampedSuccess(request_.request_id,
                                                  call_->on_reused_connection());
    }
    call_.reset();
    // The worker may still be running the request.
    gate_->RecordInterrupted(request_, sent_at_, /*by_caller=*/true);
    ReleaseSlot(admission::Completion::kFailed);
    Fail({Verdict::kMayHaveRun, FailureReason::kUnstamped, true, Duration(0)});
  }

  void HandleMisdirected(const http::ResponseHead& head) {
    const auto stated = gate_->wire_.DecodeStatedIdentity(head.headers);
    if (absl::IsInvalidArgument(stated.status())) {
      refusal_ = FailureReason::kWrongWorker;
      if (gate_->worker_observer_ != nullptr) gate_->worker_observer_->OnWorkerUnreachable();
      return;
    }
    if (stated.ok() && *stated != gate_->wire_.StatedIdentity(gate_->worker_id_)) {
      refusal_ = FailureReason::kWrongWorker;
      if (gate_->worker_observer_ != nullptr) gate_->worker_observer_->OnOtherWorker(*stated);
      return;
    }
    if (stated.ok()) ReportAnswer();
    if (request_.key.has_value() && gate_->key_authority_ != nullptr) {
      refusal_ = FailureReason::kNotOwner;
      gate_->key_authority_->OnKeyRefused(*request_.key);
    } else {
      refusal_ = FailureReason::kWorkerRefused;
    }
  }

  http::AnswerMatch Match() const {
    // The worker refuses a request without an id and has none to echo, so the answer can only be
    // matched by its connection.
    if (request_.request_id.empty()) return http::AnswerMatch::OwnConnection();
    return http::AnswerMatch::EchoedHeader(gate_->wire_.headers().request_id, request_.request_id);
  }

  Duration Elapsed() const { return sent_ ? gate_->loop_.Now() - sent_at_ : Duration(0); }

  void Unregister() {
    registered_ = false;
    gate_->attempts_.erase(id_);
    if (sent_) gate_->EraseRunning(request_.request_id);
    timer_.Stop();
  }

  void ReleaseSlot(admission::Completion completion) {
    if (!registered_) return;
    Unregister();
    gate_->OnSlotFree(id_, completion, Elapsed());
  }

  void Fail(const AttemptFailure& failure) { observer_->OnAttemptFailure(failure); }

  void OnDeadline() {
    call_.reset();
    const bool may_have_run = sent_ && !refusal_.has_value();
    if (registered_) {
      Unregister();
      gate_->Withdraw(id_, sent_, Elapsed());
    }
    Fail({may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun, FailureReason::kExpired, sent_,
          Duration(0)});
  }

  WorkerGate* gate_;
  uint64_t id_;
  AttemptRequest request_;
  AttemptObserver* observer_;
  event::Timer timer_;
  std::unique_ptr<http::ClientCall> call_;
  std::optional<FailureReason> refusal_;
  size_t refusal_body_bytes_ = 0;
  bool overloaded_ = false;
  bool answering_ = false;
  int status_ = 0;  // HTTP status of the answer.
  bool registered_ = false;
  bool sent_ = false;
  Instant sent_at_{};
};

WorkerGate::WorkerGate(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
                       event::Endpoint worker)
    : loop_(loop),
      pool_(pool),
      wire_(wire),
      worker_(std::move(worker)),
      queue_(QueueConfig()),
      tick_(loop, [this] {
        Apply(queue_.Tick(loop_.Now()));
        ScheduleTick();
      }) {}

WorkerGate::~WorkerGate() = default;

std::unique_ptr<Attempt> WorkerGate::Submit(const AttemptRequest& request,
                                            AttemptObserver* observer) {
  return std::make_unique<GateAttempt>(this, request, observer);
}

bool WorkerGate::RequiresKeyOwner(const AttemptRequest& request) const {
  return request.key.has_value() && key_authority_ != nullptr &&
         key_authority_->Sharded().value_or(false);
}

std::optional<FailureReason> WorkerGate::RejectionReason(const AttemptRequest& request) const {
  if (closed_) return FailureReason::kStopping;
  if (!configured_) return FailureReason::kNoWorker;
  if (worker_id_.empty()) return FailureReason::kNoWorker;
  if (request.service != service_) return FailureReason::kWrongWorker;
  if (!request.worker_id.empty() && request.worker_id != worker_id_) {
    return FailureReason::kWrongWorker;
  }
  if (request.deadline <= loop_.Now()) return FailureReason::kExpired;
  if (Quarantined(request)) return FailureReason::kQuarantined;
  // Without a configuration it is unknown whether the service is sharded by key.
  const bool known = key_authority_ == nullptr || key_authority_->Sharded().has_value();
  if (!known && request.key.has_value()) return FailureReason::kNoWorker;
  if (RequiresKeyOwner(request)) {
    // A draining worker serves its keys until they are handed over, at most until
    // drain_keys_until_.
    if (draining_ && loop_.Now() >= drain_keys_until_) return FailureReason::kDraining;
    if (evacuated_ && loop_.Now() >= evacuation_keys_until_) return FailureReason::kEvacuated;
    if (!key_authority_->MaySend(loop_.Now(), *request.key)) return FailureReason::kNotOwner;
    return std::nullopt;
  }
  if (draining_) return FailureReason::kDraining;
  if (evacuated_) return FailureReason::kEvacuated;
  return std::nullopt;
}

Duration WorkerGate::RateLimitDelay(const std::string& caller_class) {
  if (!rate_source_) return Duration(0);
  const std::optional<double> rate = rate_source_(caller_class);
  if (!rate.has_value()) return Duration(0);
  return limiter_.Admit(loop_.Now(), caller_class, *rate);
}

void WorkerGate::Offer(GateAttempt* attempt) {
  const AttemptRequest& request = attempt->request();
  admission::AdmissionRequest offer;
  offer.id = attempt->id();
  offer.caller_class = request.queue_class;
  offer.weight = request.weight;
  offer.deadline = std::min(request.answer_by, request.deadline);
  Apply(queue_.Offer(loop_.Now(), offer));
  ScheduleTick();
}

void WorkerGate::Apply(const admission::AdmissionChanges& changes) {
  // Observers may destroy attempts in each step, so every id is looked up again.
  for (const uint64_t id : changes.started) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end()) {
      found->second->Send();
    } else {
      Apply(queue_.OnCompleted(loop_.Now(), id, admission::Completion::kFailed, Duration(0)));
    }
  }
  for (const admission::Refusal& refusal : changes.refused) {
    const auto found = attempts_.find(refusal.id);
    if (found == attempts_.end()) continue;
    found->second->Refuse(FailureReason::kFull, refusal.retry_after);
  }
}

void WorkerGate::OnSlotFree(uint64_t id, admission::Completion completion, Duration service_time) {
  Apply(queue_.OnCompleted(loop_.Now(), id, completion, service_time));
}

void WorkerGate::Withdraw(uint64_t id, bool sent, Duration service_time) {
  if (sent) {
    OnSlotFree(id, admission::Completion::kFailed, service_time);
  } else {
    queue_.Cancel(id);
  }
}

void WorkerGate::EraseRunning(const std::string& request_id) {
  const auto found = running_ids_.find(request_id);
  if (found != running_ids_.end()) running_ids_.erase(found);
}

void WorkerGate::RecordInterrupted(const AttemptRequest& request, Instant sent_at, bool by_caller) {
  interrupted_.Add({FingerprintOfAttempt(request), DescribeRequest(*request.request),
                    request.request_id, worker_id_, sent_at, loop_.Now(), by_caller});
}

RequestFingerprint WorkerGate::FingerprintOfAttempt(const AttemptRequest& request) const {
  return FingerprintOf(*request.request, RequiresKeyOwner(request) ? request.key : std::nullopt);
}

bool WorkerGate::Quarantined(const AttemptRequest& request) const {
  if (quarantine_ == nullptr || !quarantine_->has_suspects()) return false;
  const RequestFingerprint fingerprint = FingerprintOfAttempt(request);
  // `excused_ends` counts the worker ends since which the node that received the request from the
  // caller has seen it complete. Such a run is taken as proof here too.
  if (!quarantine_->IsSuspect(fingerprint, request.excused_ends)) return false;
  if (!request.trial && quarantine_->IsQuarantined(fingerprint, request.excused_ends)) return true;
  // Only one copy of a suspect runs at a time: copies that are queued together could otherwise each
  // end the worker. For a harmless request this lasts until its first completed run here.
  return IsRunningAtWorker(fingerprint);
}

bool WorkerGate::IsRunningAtWorker(const RequestFingerprint& fingerprint) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [&](const auto& entry) {
    return entry.second->sent() && FingerprintOfAttempt(entry.second->request()) == fingerprint;
  });
}

void WorkerGate::RecordCompletedRun(const AttemptRequest& request, int status) {
  if (quarantine_ == nullptr || !quarantine_->has_suspects() || status == kGatewayTimeout) return;
  quarantine_->OnGoodRun(FingerprintOfAttempt(request));
}

void WorkerGate::ScheduleTick() {
  if (queue_.queued() > 0 && !tick_.active()) tick_.Start(kTickInterval);
}

void WorkerGate::SetWorker(const std::string& worker_id, const std::string& service,
                           uint32_t slots) {
  const bool changed = worker_id != worker_id_;
  const std::string_view identity = wire_.StatedIdentity(worker_id);
  if (!identity.empty() && identity != latest_identity_) {
    rate_limiter_.stated().Forget();
    refusals_.Forget();
    latest_identity_ = identity;
  }
  worker_id_ = worker_id;
  service_ = service;
  if (slots != slots_ && slots > 0) {
    slots_ = slots;
    Apply(queue_.SetCapacity(loop_.Now(), slots));
  }
  if (changed) {
    pool_.CloseIdle(worker_);
    RefuseWaiting();
  }
}

void WorkerGate::SetDraining(bool draining, Instant keys_until) {
  draining_ = draining;
  drain_keys_until_ = keys_until;
  if (draining) RefuseWaiting();
}

void WorkerGate::SetEvacuated(bool evacuated, Instant keys_until) {
  evacuated_ = evacuated;
  evacuation_keys_until_ = keys_until;
  if (evacuated) RefuseWaiting();
}

void WorkerGate::Close() {
  closed_ = true;
  RefuseWaiting();
}

void WorkerGate::RefuseWaiting() {
  std::vector<uint64_t> waiting;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt->sent()) waiting.push_back(id);
  }
  for (const uint64_t id : waiting) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    const auto rejection = RejectionReason(found->second->request());
    if (!rejection.has_value()) continue;
    RefuseQueued(id, *rejection, Duration(0));
  }
}

// The bucket has no token when a limit begins: what waits would be refused after its wait.
void WorkerGate::RefuseAboveLimit() {
  std::vector<uint64_t> waiting;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt->sent()) waiting.push_back(id);
  }
  for (const uint64_t id : waiting) {
    if (!attempts_.contains(id)) continue;
    const auto refusal = rate_limiter_.Check(loop_.Now());
    if (!refusal.has_value()) return;
    RefuseQueued(id, refusal->reason, refusal->retry_after);
  }
}

void WorkerGate::RefuseQueued(uint64_t id, FailureReason reason, Duration retry_after) {
  queue_.Cancel(id);
  attempts_.at(id)->Refuse(reason, retry_after);
}

void WorkerGate::OnWorkerLimit(Instant sent_at, const http::Headers& headers) {
  const std::string* text = headers.Find(wire_.headers().worker_limit);
  std::optional<double> rate;
  if (text != nullptr) {
    rate = wire_.DecodeWorkerLimit(*text);
    // What a malformed value means is unknown: the limit stays as it is.
    if (!rate.has_value()) return;
  }
  StatedRateLimiter& limiter = rate_limiter_.stated();
  const bool limited = limiter.rate().has_value();
  if (!limiter.OnResponse(loop_.Now(), sent_at, rate)) return;
  if (worker_observer_ != nullptr) worker_observer_->OnWorkerLimitChanged(limiter.rate());
  if (!limited) RefuseAboveLimit();
}

void WorkerGate::RecordAnswer(bool refused_with_room) {
  if (!refusals_.OnAnswer(refused_with_room) || worker_observer_ == nullptr) return;
  worker_observer_->OnRefusedShareChanged(refusals_.percent());
}

uint32_t WorkerGate::UsableSlots() const {
  const std::optional<double> limit = worker_limit();
  const double service_seconds = std::chrono::duration<double>(ServiceTime()).count();
  if (!limit.has_value() || service_seconds <= 0) return slots_;
  const double usable = std::ceil(*limit * service_seconds);
  return usable < slots_ ? static_cast<uint32_t>(std::max(1.0, usable)) : slots_;
}

double WorkerGate::Capacity() const {
  const double service_seconds = std::chrono::duration<double>(ServiceTime()).count();
  if (service_seconds <= 0) return 0;
  const double completed = slots_ / service_seconds;
  return std::min(completed, worker_limit().value_or(completed));
}

routing::TargetLoad WorkerGate::load() const {
  routing::TargetLoad load;
  load.running = static_cast<uint32_t>(queue_.running());
  load.queued = static_cast<uint32_t>(queue_.queued());
  load.slots = UsableSlots();
  load.cold = rate_limiter_.cold_start().IsKnownCold(loop_.Now());
  load.refused_percent = refusals_.percent();
  return load;
}

}  // namespace runshelf::sidecar
