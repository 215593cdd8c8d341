#include "source/sidecar/request_flow.h"

#include <algorithm>
#include <utility>

#include "source/sidecar/peer_protocol.h"
#include "source/sidecar/remote_attempt.h"
#include "source/sidecar/request_class.h"

namespace runshelf::sidecar {
namespace {

constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
// Timeout of requests that carry no deadline and whose route sets no timeout.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
// Interval at which a request that waits for the owner of its key repeats the lookup, in addition
// to the lookups after each change of the shard map. Starts short, since the owner may be about to
// receive its assignment, and grows with each wait.
constexpr Duration kOwnerPollMin = std::chrono::milliseconds(25);
constexpr Duration kOwnerPollMax = std::chrono::milliseconds(100);
// Retry-after of requests that a stopping node refuses: clients soon use another node.
constexpr Duration kStopRetryAfter = std::chrono::milliseconds(300);
// Retry-after of requests to a service of which all workers are in evacuated zones.
constexpr Duration kEvacuationRetryAfter = std::chrono::seconds(2);
// A request is refused after this many nodes have refused it because their queues are full.
constexpr uint32_t kMaxQueueRefusals = 2;
// Higher for nested calls, since refusing one also fails the run that made it.
constexpr uint32_t kMaxQueueRefusalsOfNestedCall = 4;

}  // namespace

RequestFlow::RequestFlow(Ingress* ingress, http::ExchangePtr exchange, const routes::Route& route)
    : ingress_(ingress),
      context_(ingress->context_),
      exchange_(std::move(exchange)),
      route_(route),
      relay_(exchange_),
      timer_(context_.loop, [this] { OnTimer(); }),
      wait_timer_(context_.loop, [this] {
        waiting_for_owner_ = false;
        TryNext();
      }) {}

void RequestFlow::Begin() {
  const auto self = shared_from_this();
  ReadRequest();
  ChooseService();
  if (!ingress_->Accepts(nested_, times_.deadline)) {
    ++ingress_->refused_in_stop_;
    Refuse(FailureReason::kStopping, kStopRetryAfter);
    return;
  }
  exchange_->set_on_client_gone([this] { OnClientGone(); });
  timer_.Start(times_.deadline - context_.loop.Now());
  ingress_->OnFirstAttempt(service_);
  TryNext();
}

void RequestFlow::ReadRequest() {
  const HeaderNames& names = context_.wire.headers();
  nested_ = ingress_->IsNestedCall(exchange_->request().head);
  if (!nested_ && routes::IsRepeatable(route_.kind)) exchange_->AllowOverlap();
  http::Request request = std::move(exchange_->request());
  peer_protocol::RemoveHeaders(&request.head.headers);
  request.head.headers.RemoveConnectionHeaders();
  if (const std::string* id = request.head.headers.Find(names.request_id)) request_id_ = *id;
  Duration allowed = route_.timeout.value_or(kDefaultTimeout);
  bool short_deadline = false;
  if (const std::string* text = request.head.headers.Find(names.deadline)) {
    const auto caller_timeout = http::ParseTime(*text, std::chrono::milliseconds(1));
    if (caller_timeout.has_value()) {
      short_deadline = ingress_->IsShortDeadline(route_.name, *caller_timeout);
      allowed = std::min(allowed, *caller_timeout);
    }
  }
  if (const std::string* text = request.head.headers.Find(names.shard_key)) {
    const auto key = http::ParseNumber(*text);
    if (key.has_value() && *key <= sharding::kMaxShardKey) {
      key_ = static_cast<sharding::ShardKey>(*key);
    }
  }
  times_ = ComputeRequestTimes({exchange_->received(), allowed,
                                route_.target_latency.value_or(kDefaultTargetLatency), nested_,
                                short_deadline});
  request_ = std::make_shared<const http::Request>(std::move(request));
}

// Selects a service at random by weight. All attempts of the request use the same service.
void RequestFlow::ChooseService() {
  uint64_t total = 0;
  for (const auto& part : route_.services) total += part.weight;
  if (total == 0) {
    service_ = route_.services.front().service;
    return;
  }
  uint64_t point = context_.random.Below(total);
  for (const auto& part : route_.services) {
    if (point < part.weight) {
      service_ = part.service;
      return;
    }
    point -= part.weight;
  }
}

// True if only the worker that owns the request's shard key may run it. The key is ignored for
// services that are not sharded.
bool RequestFlow::OnlyOwnerMayRun() const {
  if (!key_.has_value() || ingress_->configuration_ == nullptr) return false;
  const routes::Service* service = ingress_->configuration_->FindService(service_);
  return service != nullptr && service->sharded;
}

void RequestFlow::TryNext() {
  if (done_) return;
  if (context_.stop.closed()) {
    Refuse(FailureReason::kStopping, kStopRetryAfter);
    return;
  }
  const Instant now = context_.loop.Now();
  if (now >= times_.deadline) {
    OnTimer();
    return;
  }
  if (context_.quarantine.has_suspects() &&
      context_.quarantine.ClearanceOf(Fingerprint()) == Clearance::kQuarantined && !trial_) {
    RefuseQuarantined();
    return;
  }
  if (context_.peers.IsServiceEvacuated(now, service_)) {
    Refuse(FailureReason::kEvacuated, kEvacuationRetryAfter);
    return;
  }
  if (OnlyOwnerMayRun()) {
    const sharding::Shard* shard = context_.shards.Find(service_, *key_);
    const Peer* peer = shard == nullptr ? nullptr : context_.peers.Find(shard->owner.node);
    if (peer == nullptr || shard->owner.worker.empty()) {
      WaitForOwner(FailureReason::kNoWorker);
      return;
    }
    if (!context_.peers.IsInRegions(shard->owner.node, route_.allowed_regions)) {
      Refuse(FailureReason::kNoWorker, Duration(0));
      return;
    }
    if (OwnerHasLeft(shard->owner)) {
      WaitForOwner(FailureReason::kDraining);
      return;
    }
    StartAttempt(shard->owner.node, shard->owner.worker);
    return;
  }
  const auto node = context_.peers.Choose(now, Query(), context_.random);
  if (!node.has_value()) {
    Refuse(FailureReason::kNoWorker, Duration(0));
    return;
  }
  StartAttempt(*node, WorkerOnNode(*node));
}

// Its node stops sending to it sooner, unless it was restarted and has forgotten that it leaves.
bool RequestFlow::OwnerHasLeft(const sharding::WorkerId& owner) const {
  const auto since = context_.peers.LeavingSince(owner.node, owner.worker);
  return since.has_value() &&
         context_.loop.Now() >= *since + context_.settings.bounds.DrainSendTime();
}

// Called when the queues of the nodes tried so far are full. Sends the request to a stopping node,
// which normal routing avoids but which may have room in its queue. Returns false if there is none.
bool RequestFlow::TryStoppingNode() {
  if (context_.stop.closed() || context_.loop.Now() >= times_.deadline) return false;
  const auto node = context_.peers.ChooseStopping(context_.loop.Now(), Query(), context_.random);
  if (!node.has_value()) return false;
  StartAttempt(*node, WorkerOnNode(*node));
  return true;
}

routing::AnswerSize RequestFlow::ExpectedAnswerSize() const {
  return route_.kind == routes::RequestKind::kDownload ? routing::AnswerSize::kLarge
                                                       : routing::AnswerSize::kUsual;
}

TargetQuery RequestFlow::Query() const {
  return {service_, tried_nodes_, route_.allowed_regions, ExpectedAnswerSize()};
}

std::string RequestFlow::WorkerOnNode(const std::string& node) const {
  const Peer* peer = context_.peers.Find(node);
  return peer == nullptr ? std::string() : peer->record.worker_id;
}

void RequestFlow::StartAttempt(const std::string& node, const std::string& worker_id) {
  if (CallerGone()) {
    OnClientGone();
    return;
  }
  if (!CheckQuarantine(node, worker_id)) Send(node, worker_id);
}

void RequestFlow::Send(const std::string& node, const std::string& worker_id) {
  AttemptRequest attempt;
  attempt.request = request_;
  attempt.request_id = request_id_;
  attempt.service = service_;
  attempt.worker_id = worker_id;
  attempt.caller_service = context_.settings.worker_service;
  RequestClass request_class = ClassifyRequest(route_, service_, nested_, context_.table);
  attempt.caller_class = std::move(request_class.caller_class);
  attempt.queue_class = std::move(request_class.queue_class);
  attempt.weight = request_class.weight;
  attempt.deadline = times_.deadline;
  attempt.answer_by = times_.answer_by;
  attempt.key = key_;
  attempt.large_answer = route_.kind == routes::RequestKind::kDownload;
  attempt.trial = trial_;
  attempt.excused_ends = ExcusedEnds();
  relay_.Reset();
  current_node_ = node;
  last_node_ = node;
  last_worker_ = worker_id;
  context_.peers.OnAttemptStart(node);
  if (node == context_.settings.node_name) {
    attempt_ = context_.gate.Submit(attempt, this);
  } else {
    // The other node does not know when this one ends.
    attempt.deadline = std::min(attempt.deadline, context_.stop.CompleteBy());
    attempt.answer_by = std::min(attempt.answer_by, attempt.deadline);
    const Peer* peer = context_.peers.Find(node);
    attempt_ = std::make_unique<RemoteAttempt>(context_.loop, context_.pool, context_.peers, node,
                                               peer->record.inbound, std::move(attempt), this);
  }
  relay_.set_attempt(attempt_.get());
  attempt_->Begin();
}

void RequestFlow::EndAttempt() {
  if (current_node_.empty()) return;
  context_.peers.OnAttemptEnd(current_node_);
  if (current_node_ == context_.settings.node_name) {
    const uint32_t refused_percent = context_.gate.load().refused_percent;
    context_.peers.OnRefusedShare(context_.loop.Now(), current_node_, refused_percent);
  }
  current_node_.clear();
  relay_.set_attempt(nullptr);
  attempt_.reset();
}

void RequestFlow::OnAnswerHead(http::ResponseHead&& head) {
  if (head.headers.Has(context_.wire.headers().worker_leaving)) {
    context_.peers.OnWorkerLeaving(context_.loop.Now(), last_node_, last_worker_);
  }
  relay_.OnHead(std::move(head));
}

// The worker ran the request and answered 500: another worker may succeed if the request may be
// repeated.
bool RequestFlow::ShouldRetryWorkerFailure() const {
  return relay_.head().status == kInternalError && !relay_.streaming() && !trial_ &&
         routes::IsRepeatable(route_.kind) && arrivals_ + 1 < route_.max_attempts &&
         context_.loop.Now() < times_.answer_by;
}

void RequestFlow::OnAnswerBody(std::string_view data) { relay_.OnBody(data); }

void RequestFlow::OnAnswerComplete() {
  const auto self = shared_from_this();
  RecordCompletedRun(relay_.head().status);
  if (ShouldRetryWorkerFailure() &&
      ingress_->TryConsumeRetry(service_, Ingress::RetryKind::kRepeatedRun)) {
    ++arrivals_;
    LogOutcome("attempt_failed", relay_.head().status, "worker-error", Verdict::kRan);
    tried_nodes_.push_back(current_node_);
    EndAttempt();
    TryNext();
    return;
  }
  if (exchange_->waits_for_turn()) {
    exchange_->set_on_sent([self] { self->RecordServed(); });
  } else {
    RecordServed();
  }
  relay_.OnComplete([this] { Finish(); });
}

void RequestFlow::RecordServed() {
  const Duration age = Age();
  const Duration target = route_.target_latency.value_or(kDefaultTargetLatency);
  context_.metrics.OnRequest(RequestOutcome::kServed, age);
  if (age <= target) return;
  const char* reason = "slow";
  if (age - exchange_->held_for() <= target) {
    reason = "behind-slow-answer";
  } else if (owner_waits_ > 0) {
    reason = "waited-for-owner";
  }
  LogOutcome("request_served_late", relay_.head().status, reason, Verdict::kRan);
}

void RequestFlow::OnAttemptFailure(const AttemptFailure& reported) {
  const auto self = shared_from_this();
  // A copy, since `reported` may be owned by the attempt, which is destroyed below.
  const AttemptFailure failure = reported;
  const std::string node = current_node_;
  if (relay_.streaming()) {
    // Abort the connection so that the client does not take the partial answer for a complete one.
    context_.metrics.OnRequest(RequestOutcome::kFailed, Age());
    LogOutcome("answer_broken_off", relay_.head().status, FailureReasonName(failure.reason),
               Verdict::kRan);
    exchange_->Abort();
    Finish();
    return;
  }
  EndAttempt();
  if (failure.reached_worker) ++arrivals_;
  LogOutcome("attempt_failed", 0, FailureReasonName(failure.reason), failure.verdict);
  if (failure.verdict == Verdict::kNotRun) {
    tried_nodes_.push_back(node);
    OnNotRun(failure);
    return;
  }
  may_have_run_ = true;
  RecordBrokenAttempt(failure, node);
  if (MayRunAgain(failure)) {
    tried_nodes_.push_back(node);
    TryNext();
    return;
  }
  AnswerFailure(failure.reason == FailureReason::kExpired ? kGatewayTimeout : kBadGateway,
                failure.reason);
}

bool RequestFlow::MayRunAgain(const AttemptFailure& failure) {
  if (MayCrashWorkers()) return false;
  if (!routes::IsRepeatable(route_.kind) || failure.reason == FailureReason::kExpired) return false;
  if (arrivals_ >= route_.max_attempts || context_.loop.Now() >= times_.deadline) return false;
  return ingress_->TryConsumeRetry(service_, Ingress::RetryKind::kRepeatedRun);
}

uint32_t RequestFlow::MaxQueueRefusals() const {
  return nested_ ? kMaxQueueRefusalsOfNestedCall : kMaxQueueRefusals;
}

void RequestFlow::OnNotRun(const AttemptFailure& failure) {
  if (trial_) {
    if (!failure.reached_worker) context_.quarantine.ReturnTrial(Fingerprint());
    Refuse(failure.reason, failure.retry_after);
    return;
  }
  switch (failure.reason) {
    case FailureReason::kNotOwner:
    case FailureReason::kWrongWorker:
    case FailureReason::kUnreachable:
    case FailureReason::kNoWorker:
    case FailureReason::kDraining:
    case FailureReason::kEvacuated:
    case FailureReason::kStopping:
      if (OnlyOwnerMayRun()) {
        WaitForOwner(failure.reason);
      } else {
        TryNext();
      }
      return;
    case FailureReason::kWarmingUp:
    case FailureReason::kWorkerLimited:
    case FailureReason::kFull:
      if (!OnlyOwnerMayRun() && ++refusals_ < MaxQueueRefusals()) {
        TryNext();
      } else if (OnlyOwnerMayRun() || !TryStoppingNode()) {
        Refuse(failure.reason, failure.retry_after);
      }
      return;
    case FailureReason::kWorkerRefused:
      if (arrivals_ < route_.max_attempts &&
          ingress_->TryConsumeRetry(service_, Ingress::RetryKind::kAfterRefusal)) {
        TryNext();
      } else {
        Refuse(failure.reason, failure.retry_after);
      }
      return;
    case FailureReason::kCallerGone:
      // Either the client disconnected from this node, or the remote node lost its connection to
      // this one.
      if (CallerGone()) {
        OnClientGone();
      } else {
        Refuse(failure.reason, failure.retry_after);
      }
      return;
    case FailureReason::kQuarantined:
      RefuseQuarantined();
      return;
    case FailureReason::kLimited:
    case FailureReason::kExpired:
    case FailureReason::kBroken:
    case FailureReason::kIncomplete:
    case FailureReason::kUnstamped:
      Refuse(failure.reason, failure.retry_after);
      return;
  }
}

// Schedules another lookup for a key that is being handed over or whose owner is lost, or refuses
// the request if there is too little time left to wait.
void RequestFlow::WaitForOwner(FailureReason reason) {
  // The longer limit applies only to keys that are being handed over: only these are certain to be
  // served again soon.
  const Instant wait_until =
      reason == FailureReason::kNotOwner ? times_.wait_for_handover_by : times_.refuse_by;
  const Duration poll = std::min(kOwnerPollMin * (1 + owner_waits_), kOwnerPollMax);
  if (context_.loop.Now() + kOwnerPollMin >= wait_until) {
    // A handover takes about one heartbeat interval, of which half remains on average.
    Refuse(FailureReason::kNotOwner, context_.settings.heartbeat_interval / 2);
    return;
  }
  waiting_for_owner_ = true;
  ++owner_waits_;
  wait_timer_.Start(std::min(poll, wait_until - context_.loop.Now()));
}

void RequestFlow::RetryOwnerLookup() {
  if (!waiting_for_owner_) return;
  const auto self = shared_from_this();
  waiting_for_owner_ = false;
  wait_timer_.Stop();
  TryNext();
}

}  // namespace runshelf::sidecar
