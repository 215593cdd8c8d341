#include "source/sidecar/worker_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(700);
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(500);
// Heartbeat intervals without a heartbeat or response after which a worker counts as silent.
constexpr double kSilentIntervals = 2.5;
// Consecutive failed probes before the worker is declared dead: when connections are refused, and
// when the worker is silent.
constexpr uint32_t kMinRefusedProbes = 3;
constexpr uint32_t kMinSilentProbes = 2;
// Longest delay of the response to a heartbeat. A worker ignores a response after 1 s, part of
// which the heartbeat itself spends in transit.
constexpr Duration kMaxDeferral = std::chrono::milliseconds(600);
// A heartbeat may arrive this long after it was sent, when a link or this process was stalled, and
// its worker may have ended in the meantime. For a worker that answers no health check, heartbeats
// are the only sign of life.
constexpr Duration kHeartbeatLateness = std::chrono::seconds(2);
// How often a deferred response is checked.
constexpr Duration kDeferralPoll = std::chrono::milliseconds(20);
// An open connection that received data within this time shows that the worker is running. Each
// grant is renewed once a second, which provides such traffic even when the worker is idle.
constexpr Duration kLiveConnectionAge = std::chrono::milliseconds(1200);

}  // namespace

WorkerMonitor::WorkerMonitor(event::EventLoop& loop, http::ConnectionPool& pool,
                             http::ConnectionPool& order_pool, store::StoreClient& store,
                             const WireFormat& wire, const Settings& settings,
                             std::string drain_key, LogWriter& log, Observer observer)
    : loop_(loop),
      pool_(pool),
      order_pool_(order_pool),
      wire_(wire),
      settings_(settings),
      log_(log),
      observer_(std::move(observer)),
      probe_timer_(loop, [this] { Probe(); }),
      silence_timer_(loop, [this] { CheckSilence(); }),
      deferred_timer_(loop, [this] { ContinueDeferred(); }),
      drain_record_(loop, store, std::move(drain_key),
                    {[this] { OnDrainRecordKnown(); },
                     [this] { return draining_ ? worker_id_ : std::string(); }}),
      members_(settings.bounds.reuse_after) {}

WorkerMonitor::~WorkerMonitor() = default;

WorkerState WorkerMonitor::state() const {
  if (worker_id_.empty()) return WorkerState::kAbsent;
  return draining_ ? WorkerState::kDraining : WorkerState::kReady;
}

void WorkerMonitor::OnDrainRecord(const std::string& worker_id, store::Revision revision) {
  drain_record_.OnRecord(worker_id, revision);
}

void WorkerMonitor::OnRecordedWorker(const std::string& worker_id) {
  members_.Add(std::string(wire_.StatedIdentity(worker_id)));
}

void WorkerMonitor::OnSettingsChanged() { members_.set_reuse_after(settings_.bounds.reuse_after); }

void WorkerMonitor::OnServiceChanged() {
  members_.Clear();
  initial_search_ = true;
  heard_at_ = loop_.Now();
  if (!worker_id_.empty()) former_workers_.Add(worker_id_);
  worker_id_.clear();
  draining_ = false;
  observer_.on_changed(/*former_gone=*/false);
}

void WorkerMonitor::OnDrainRecordKnown() {
  if (RecordedDraining()) MarkDraining();
}

void WorkerMonitor::OnSynchronized() {
  if (synchronized_) return;
  synchronized_ = true;
  heard_at_ = loop_.Now();
  silence_timer_.Start(kSilenceCheckInterval, /*repeating=*/true);
  if (!health_path_.empty() && worker_id_.empty()) Probe();
}

void WorkerMonitor::SetHealthPath(const std::string& path) {
  const bool first = health_path_.empty();
  health_path_ = path;
  if (first && synchronized_ && worker_id_.empty()) Probe();
}

void WorkerMonitor::TrackColdState(bool tracked) {
  if (tracked == cold_state_tracked_) return;
  cold_state_tracked_ = tracked;
  if (tracked) ForgetColdState();
}

void WorkerMonitor::ForgetColdState() {
  if (!cold_state_tracked_) return;
  cold_state_forgotten_at_ = loop_.Now();
  SetColdUntil(Instant::max());
  if (!worker_id_.empty() && !probe_timer_.active() && probe_ == nullptr) {
    probe_timer_.Start(Duration(0));
  }
}

void WorkerMonitor::SetColdUntil(Instant cold_until) {
  const Instant now = loop_.Now();
  const bool known = cold_until != Instant::max();
  if ((now < cold_until) != (now < cold_until_) || known == ColdStateUnknown()) {
    log_.Write(LogLevel::kInfo, "worker_cold_state",
               {{"worker", worker_id_},
                {"known", known},
                {"cold_ms", known && now < cold_until ? ToMilliseconds(cold_until - now) : 0}});
  }
  cold_until_ = cold_until;
  if (observer_.on_cold_until) observer_.on_cold_until(cold_until);
}

// A heartbeat may arrive late, so that a worker which turned cold meanwhile is reported as warm.
// One that was sent after the answer to its predecessor was sent after that time.
void WorkerMonitor::OnHeartbeatColdState(const WorkerHeartbeat& heartbeat) {
  const bool current = !cold_state_tracked_ || answered_at_ > cold_state_forgotten_at_;
  if (!current && heartbeat.cold_remaining == Duration(0)) return;
  SetColdUntil(loop_.Now() + heartbeat.cold_remaining);
}

void WorkerMonitor::OnProbeColdState(const http::Response& response) {
  if (!cold_state_tracked_ || probe_sent_at_ < cold_state_forgotten_at_) return;
  const std::string* text = response.headers.Find(wire_.headers().cold_remaining);
  const auto remaining = text == nullptr ? std::optional(Duration(0))
                                         : http::ParseTime(*text, std::chrono::milliseconds(1));
  if (remaining.has_value()) SetColdUntil(loop_.Now() + *remaining);
}

// All connections to a process end with it. While one is open, the process runs.
bool WorkerMonitor::NoConnectionOpen() const {
  return !pool_.HasOpenConnection(settings_.worker) &&
         !order_pool_.HasOpenConnection(settings_.worker);
}

void WorkerMonitor::HandleNotice(const http::ExchangePtr& exchange) {
  const auto notice = wire_.DecodeWorkerNotice(exchange->request());
  if (!notice.ok()) {
    const bool unknown = absl::IsNotFound(notice.status());
    exchange->Respond(unknown ? kNotFound : kBadRequest, {}, "");
    log_.Write(LogLevel::kWarning, "worker_notice_refused",
               {{"reason", std::string(notice.status().message())}});
    return;
  }
  if (const auto* heartbeat = std::get_if<WorkerHeartbeat>(&*notice)) {
    OnHeartbeat(exchange, *heartbeat);
  } else {
    OnLeave(exchange, std::get<WorkerLeave>(*notice));
  }
}

void WorkerMonitor::Acknowledge(const http::ExchangePtr& exchange,
                                const std::optional<KeyLease>& lease) {
  http::Headers headers;
  headers.Add("Content-Type", "application/json");
  exchange->Respond(kOk, headers, wire_.EncodeAcknowledgement(lease));
}

// Only the response to the newest heartbeat contains a lease: the lease for a late or duplicated
// heartbeat could list keys that have moved since.
void WorkerMonitor::AcknowledgeHeartbeat(const http::ExchangePtr& exchange,
                                         const WorkerHeartbeat& heartbeat) {
  if (IsNewest(heartbeat) && answered_at_ == Instant{}) answered_at_ = loop_.Now();
  Acknowledge(exchange, IsNewest(heartbeat) && observer_.lessor != nullptr
                            ? observer_.lessor->LeaseFor(heartbeat)
                            : std::nullopt);
}

bool WorkerMonitor::IsNewest(const WorkerHeartbeat& heartbeat) const {
  return heartbeat.worker_id == worker_id_ && heartbeat.sequence == sequence_;
}

void WorkerMonitor::Defer(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat,
                          bool processed) {
  // A worker that sends another heartbeat no longer waits for the previous response.
  if (deferred_.has_value()) AnswerDeferred();
  deferred_ = DeferredHeartbeat{exchange, heartbeat, processed};
  deferred_timer_.Start(kDeferralPoll);
}

void WorkerMonitor::AnswerDeferred() {
  const DeferredHeartbeat deferred = *std::exchange(deferred_, std::nullopt);
  if (deferred.processed) {
    AcknowledgeHeartbeat(deferred.exchange, deferred.heartbeat);
  } else if (deferred.of_other_worker) {
    AcknowledgeOtherWorker(deferred);
  } else {
    deferred.exchange->Respond(kServiceUnavailable, {}, "");
  }
}

void WorkerMonitor::ContinueDeferred() {
  if (!deferred_.has_value()) return;
  if (deferred_->of_other_worker) {
    ContinueHeartbeatOfOtherWorker();
    return;
  }
  const bool over = loop_.Now() - deferred_->exchange->received() >= kMaxDeferral;
  const bool known = deferred_->processed ? !observer_.lessor->LeaseIsPending() : synchronized_;
  if (!over && !known && (!deferred_->processed || IsNewest(deferred_->heartbeat))) {
    deferred_timer_.Start(kDeferralPoll);
    return;
  }
  if (deferred_->processed || !synchronized_) {
    AnswerDeferred();
    return;
  }
  const DeferredHeartbeat deferred = *std::exchange(deferred_, std::nullopt);
  OnHeartbeat(deferred.exchange, deferred.heartbeat);
}

void WorkerMonitor::OnHeartbeat(const http::ExchangePtr& exchange,
                                const WorkerHeartbeat& heartbeat) {
  if (!synchronized_) {
    // It is not known yet whether this worker is leaving.
    Defer(exchange, heartbeat, /*processed=*/false);
    return;
  }
  if (Resolve(heartbeat.worker_id) != heartbeat.worker_id) {
    log_.Write(LogLevel::kWarning, "worker_notice_refused",
               {{"reason", std::string("the worker id lacks its incarnation")}});
    exchange->Respond(kBadRequest, {}, "");
    return;
  }
  if (heartbeat.service != settings_.worker_service) {
    OnHeartbeatOfOtherService(heartbeat);
    Acknowledge(exchange, std::nullopt);
    return;
  }
  members_.Add(std::string(wire_.StatedIdentity(heartbeat.worker_id)));
  if (IsOfOtherWorker(heartbeat.worker_id)) {
    OnHeartbeatOfOtherWorker(exchange, heartbeat);
    return;
  }
  if (IsOfFormerWorker(heartbeat)) {
    Acknowledge(exchange, std::nullopt);
    return;
  }
  if (heartbeat.worker_id != worker_id_) {
    AdoptWorker(heartbeat.worker_id, Instant{}, Source::kNotice);
  }
  source_ = Source::kNotice;
  heard_at_ = loop_.Now();
  former_workers_.OnPresentWorkerHeard();
  if (heartbeat.sequence > sequence_) {
    Confirm(loop_.Now() - kHeartbeatLateness);
    // A worker sends one heartbeat at a time, so this one was sent after the previous one was
    // answered.
    ConfirmIncarnation(answered_at_);
    members_.OnRunning(answered_at_);
    sequence_ = heartbeat.sequence;
    OnHeartbeatColdState(heartbeat);
    answered_at_ = Instant{};
    if (heartbeat.slots != slots_) {
      slots_ = heartbeat.slots;
      observer_.on_changed(false);
    }
    if (observer_.lessor != nullptr) observer_.lessor->OnKeyReport(heartbeat);
  }
  if (heartbeat.draining) {
    RecordDrain(exchange, heartbeat.worker_id,
                [this, exchange, heartbeat] { AcknowledgeHeartbeat(exchange, heartbeat); });
  } else if (IsNewest(heartbeat) && observer_.lessor != nullptr &&
             observer_.lessor->LeaseIsPending() &&
             loop_.Now() - exchange->received() < kMaxDeferral) {
    Defer(exchange, heartbeat, /*processed=*/true);
  } else {
    AcknowledgeHeartbeat(exchange, heartbeat);
  }
}

bool WorkerMonitor::IsOfOtherWorker(const std::string& worker_id) const {
  return !worker_id_.empty() && wire_.StatedIdentity(worker_id) != wire_.StatedIdentity(worker_id_);
}

// The heartbeat may be a late one of a worker that has ended, whether or not this process has known
// it. The process at the address shows who is there. If it does not answer, its sender is present
// once it was heard again a heartbeat interval later and the present worker not at all in between.
void WorkerMonitor::OnHeartbeatOfOtherWorker(const http::ExchangePtr& exchange,
                                             const WorkerHeartbeat& heartbeat) {
  const auto finding = former_workers_.OnHeartbeat(
      loop_.Now(), heartbeat.worker_id, heartbeat.sequence, settings_.heartbeat_interval);
  InvalidateProof("heartbeat of another worker");
  Defer(exchange, heartbeat, /*processed=*/false);
  deferred_->of_other_worker = true;
  deferred_->shows_running = finding == FormerWorkers::Finding::kReturned;
}

// It is not known whether the sender is present.
void WorkerMonitor::AcknowledgeOtherWorker(const DeferredHeartbeat& deferred) {
  if (deferred.heartbeat.draining) {
    OnLeaveOfOtherWorker(deferred.exchange, deferred.heartbeat.worker_id);
  } else {
    Acknowledge(deferred.exchange, std::nullopt);
  }
}

void WorkerMonitor::ContinueHeartbeatOfOtherWorker() {
  const std::string worker_id = deferred_->heartbeat.worker_id;
  const Instant received = deferred_->exchange->received();
  const bool other = IsOfOtherWorker(worker_id);
  const bool late = other && confirmed_at_ >= received;
  if (other && !late && loop_.Now() - received < kMaxDeferral) {
    deferred_timer_.Start(kDeferralPoll);
    return;
  }
  const DeferredHeartbeat deferred = *std::exchange(deferred_, std::nullopt);
  if (other && !late && !deferred.shows_running) {
    AcknowledgeOtherWorker(deferred);
    return;
  }
  if (late) {
    log_.Write(LogLevel::kInfo, "heartbeat_of_former_worker",
               {{"worker", worker_id}, {"present", worker_id_}});
    Acknowledge(deferred.exchange, std::nullopt);
    return;
  }
  if (other) {
    log_.Write(LogLevel::kWarning, "former_worker_returned",
               {{"worker", worker_id}, {"taken_for_present", worker_id_}});
    AdoptWorker(worker_id, Instant{}, Source::kNotice);
  }
  OnHeartbeat(deferred.exchange, deferred.heartbeat);
}

// The heartbeat may be late, and this address may have come back to the service since: only the
// process at the address shows who is there.
void WorkerMonitor::OnHeartbeatOfOtherService(const WorkerHeartbeat& heartbeat) {
  if (heartbeat.address != settings_.worker.ToString()) return;
  log_.Write(LogLevel::kWarning, "worker_of_other_service",
             {{"worker", heartbeat.worker_id},
              {"service", heartbeat.service},
              {"own_service", settings_.worker_service},
              {"taken_for_present", worker_id_}});
  InvalidateProof("heartbeat of another service from the address");
}

void WorkerMonitor::OnLeave(const http::ExchangePtr& exchange, const WorkerLeave& leave) {
  if (!synchronized_) {
    exchange->Respond(kServiceUnavailable, {}, "");
    return;
  }
  const std::string worker_id = Resolve(leave.worker_id);
  if (former_workers_.Contains(worker_id) || wire_.StartedBefore(worker_id, worker_id_)) {
    Acknowledge(exchange, std::nullopt);
    return;
  }
  const bool known = members_.Include(std::string(wire_.StatedIdentity(worker_id)), loop_.Now());
  if (IsOfOtherWorker(worker_id) || (worker_id != worker_id_ && !known)) {
    OnLeaveOfOtherWorker(exchange, worker_id);
    return;
  }
  if (worker_id != worker_id_) AdoptWorker(worker_id, Instant{}, Source::kNotice);
  RecordDrain(exchange, worker_id, [this, exchange] { Acknowledge(exchange, std::nullopt); });
}

// The notice may be late: it says nothing of the present worker. It is recorded for the case that
// its sender is found at the address.
void WorkerMonitor::OnLeaveOfOtherWorker(const http::ExchangePtr& exchange,
                                         const std::string& worker_id) {
  log_.Write(LogLevel::kInfo, "other_worker_leaves",
             {{"worker", worker_id}, {"present", worker_id_}});
  if (draining_) {
    Acknowledge(exchange, std::nullopt);  // The record names the present worker.
    return;
  }
  WriteDrainRecord(exchange, worker_id, [this, exchange] { Acknowledge(exchange, std::nullopt); });
}

std::string WorkerMonitor::Resolve(const std::string& worker_id) const {
  const bool same = HasIncarnationId() && worker_id == wire_.StatedIdentity(worker_id_);
  return same ? worker_id_ : worker_id;
}

bool WorkerMonitor::IsOfFormerWorker(const WorkerHeartbeat& heartbeat) {
  if (!former_workers_.Contains(heartbeat.worker_id) &&
      !wire_.StartedBefore(heartbeat.worker_id, worker_id_)) {
    return false;
  }
  const auto finding = former_workers_.OnHeartbeat(
      loop_.Now(), heartbeat.worker_id, heartbeat.sequence, settings_.heartbeat_interval);
  if (finding == FormerWorkers::Finding::kLate) return true;
  log_.Write(LogLevel::kWarning, "former_worker_returned",
             {{"worker", heartbeat.worker_id}, {"taken_for_present", worker_id_}});
  return false;
}

void WorkerMonitor::AdoptWorker(const std::string& worker_id, Instant alive_at, Source source) {
  const bool replaced = !worker_id_.empty() && !CompletesIdentity(worker_id);
  if (replaced && observer_.on_ended) observer_.on_ended(worker_id_);
  source_ = source;
  adopted_at_ = loop_.Now();
  if (replaced) former_workers_.Add(worker_id_);
  former_workers_.Remove(worker_id);
  log_.Write(LogLevel::kInfo, "worker_found",
             {{"worker", worker_id},
              {"former", worker_id_},
              {"told_by_worker", source == Source::kNotice},
              {"recorded_drain", drain_record_.worker_id()}});
  worker_id_ = worker_id;
  initial_search_ = false;
  sequence_ = -1;
  answered_at_ = Instant{};
  incarnation_proven_at_ = Instant{};
  draining_ = RecordedDraining();
  draining_since_ = Instant{};
  NoteAnswer();
  probe_timer_.Stop();
  confirmed_at_ = alive_at;
  proof_invalidated_at_ = alive_at == Instant{} ? loop_.Now() : Instant{};
  if (slots_ == 0) slots_ = 1;
  ForgetColdState();
  observer_.on_changed(replaced);
}

// While the worker's incarnation is not known, it may be the one named by the drain record.
bool WorkerMonitor::RecordedDraining() const {
  const std::string& recorded = drain_record_.worker_id();
  if (worker_id_.empty() || recorded.empty()) return false;
  return recorded == worker_id_ ||
         (source_ == Source::kAddress && wire_.StatedIdentity(recorded) == worker_id_);
}

bool WorkerMonitor::RunsNow() const {
  // Incarnations that state different identities are told apart by the identity alone.
  if (!HasIncarnationId()) return true;
  const Instant heard_from = loop_.Now() - kLiveConnectionAge;
  return pool_.HasLiveConnection(settings_.worker, incarnation_proven_at_, heard_from) ||
         order_pool_.HasLiveConnection(settings_.worker, incarnation_proven_at_, heard_from);
}

bool WorkerMonitor::IdentityIsComplete() const {
  return source_ == Source::kNotice || loop_.Now() - adopted_at_ > MaxSilence();
}

void WorkerMonitor::InvalidateProof(const char* reason) {
  if (worker_id_.empty()) return;
  if (proof() != WorkerProof::kNone) {
    log_.Write(LogLevel::kInfo, "worker_doubted",
               {{"worker", worker_id_},
                {"reason", std::string(reason)},
                {"proven_ms_ago", ToMilliseconds(loop_.Now() - incarnation_proven_at_)}});
    proof_invalidated_at_ = loop_.Now();
  }
  ProbeIdentity();
}

void WorkerMonitor::ProbeIdentity() {
  if (!worker_id_.empty() && !Confirmed()) OnWorkerUnreachable();
}

WorkerProof WorkerMonitor::proof() const {
  if (worker_id_.empty()) return WorkerProof::kNone;
  if (incarnation_proven_at_ > proof_invalidated_at_) return WorkerProof::kIncarnation;
  if (!Confirmed()) return WorkerProof::kNone;
  return HasIncarnationId() ? WorkerProof::kIdentity : WorkerProof::kIncarnation;
}

void WorkerMonitor::Confirm(Instant alive_at) {
  const WorkerProof before = proof();
  confirmed_at_ = std::max(confirmed_at_, alive_at);
  if (proof() != before && observer_.on_confirmed) observer_.on_confirmed();
}

void WorkerMonitor::ConfirmIncarnation(Instant alive_at) {
  const WorkerProof before = proof();
  incarnation_proven_at_ = std::max(incarnation_proven_at_, alive_at);
  if (proof() != before && observer_.on_confirmed) observer_.on_confirmed();
}

void WorkerMonitor::MarkDraining() {
  if (draining_) return;
  draining_ = true;
  draining_since_ = loop_.Now();
  log_.Write(LogLevel::kInfo, "worker_draining", {{"worker", worker_id_}});
  observer_.on_changed(false);
}

// Calls `acknowledge` once the store has recorded that the worker leaves; if that fails, responds
// with 503 so that the worker retries.
void WorkerMonitor::RecordDrain(const http::ExchangePtr& exchange, const std::string& worker_id,
                                std::function<void()> acknowledge) {
  MarkDraining();
  WriteDrainRecord(exchange, worker_id, std::move(acknowledge));
}

void WorkerMonitor::WriteDrainRecord(const http::ExchangePtr& exchange,
                                     const std::string& worker_id,
                                     std::function<void()> acknowledge) {
  drain_record_.Write(worker_id, [exchange, acknowledge = std::move(acknowledge)](bool recorded) {
    if (recorded) {
      acknowledge();
    } else {
      exchange->Respond(kServiceUnavailable, {}, "");
    }
  });
}

void WorkerMonitor::OnStoreRestored() {
  if (draining_ && drain_record_.worker_id() == worker_id_) drain_record_.WriteUntilRecorded();
}

void WorkerMonitor::NoteAnswer() {
  heard_at_ = loop_.Now();
  failed_probes_ = 0;
  refused_probes_ = 0;
}

void WorkerMonitor::OnWorkerAnswered(Instant sent, Instant connection_made) {
  NoteAnswer();
  members_.OnRunning(sent);
  Confirm(sent);
  // The process at the other end is the one that was there when the connection was made. If this
  // incarnation was proven at or after that time, it was also there when this request was sent.
  if (connection_made <= incarnation_proven_at_) ConfirmIncarnation(sent);
}

void WorkerMonitor::OnWorkerUnreachable() {
  if (cold_state_tracked_ && NoConnectionOpen()) ForgetColdState();
  if (!probe_timer_.active() && probe_ == nullptr) probe_timer_.Start(Duration(0));
}

void WorkerMonitor::OnIdleConnectionLost() {
  if (cold_state_tracked_ && NoConnectionOpen()) ForgetColdState();
}

// As after a leave notice, but no acknowledgement waits for the record in the store.
void WorkerMonitor::OnWorkerLeaving() {
  if (worker_id_.empty() || draining_) return;
  MarkDraining();
  drain_record_.WriteUntilRecorded();
}

void WorkerMonitor::OnWorkerLimitChanged(std::optional<double> requests_per_second) {
  log_.Write(LogLevel::kWarning, "worker_limit",
             {{"worker", worker_id_},
              {"limited", requests_per_second.has_value()},
              {"requests_per_s", fmt::format("{:.1f}", requests_per_second.value_or(0))}});
}

void WorkerMonitor::OnRefusedShareChanged(uint32_t percent) {
  log_.Write(LogLevel::kWarning, "worker_refuses_share",
             {{"worker", worker_id_}, {"refuses", percent > 0}, {"percent", percent}});
}

void WorkerMonitor::OnUnstampedSuccess(const std::string& request_id, bool on_reused_connection) {
  ++unstamped_successes_;
  log_.Write(LogLevel::kWarning, "success_without_stamp",
             {{"request", request_id},
              {"worker", worker_id_},
              {"reused_connection", on_reused_connection}});
}

void WorkerMonitor::OnOtherWorker(const std::string& stated_identity) {
  OnOtherIdentity(stated_identity, Instant{});
}

void WorkerMonitor::OnOtherIdentity(const std::string& stated_identity, Instant alive_at) {
  if (!worker_id_.empty() && stated_identity == wire_.StatedIdentity(worker_id_)) return;
  if (members_.Include(stated_identity, loop_.Now())) {
    AdoptWorker(stated_identity, alive_at, Source::kAddress);
  } else {
    MarkReplaced(stated_identity);
  }
}

void WorkerMonitor::MarkReplaced(const std::string& stated_identity) {
  log_.Write(LogLevel::kWarning, "worker_of_unknown_service",
             {{"stated", stated_identity}, {"former", worker_id_}});
  if (worker_id_.empty()) return;
  if (observer_.on_ended) observer_.on_ended(worker_id_);
  former_workers_.Add(worker_id_);
  worker_id_.clear();
  initial_search_ = false;
  draining_ = false;
  probe_timer_.Stop();
  observer_.on_changed(/*former_gone=*/true);
}

void WorkerMonitor::Probe() {
  if (probe_ != nullptr || health_path_.empty()) return;
  http::Request request = wire_.EncodeHealthCheck(health_path_);
  request.head.headers.Set("Host", settings_.worker.ToString());
  // A response identifies the process at the other end of the connection, whichever health check it
  // belongs to.
  http::CallOptions options(http::AnswerMatch::Lane("health-check"), "health_check");
  // Longer than the whole probe, so that only a refused connection counts as "not sent".
  options.connect_timeout = 2 * kProbeTimeout;
  probe_sent_at_ = loop_.Now();
  probe_ = std::make_unique<http::SimpleCall>(
      loop_, pool_, settings_.worker, http::SerializeRequest(request.head, ""), options,
      kProbeTimeout,
      [this](const std::optional<http::Response>& response, http::ClientFailure failure) {
        const auto finished = std::move(probe_);
        OnProbe(response, failure, finished->connection_made_at());
      });
}

void WorkerMonitor::OnProbe(const std::optional<http::Response>& response,
                            http::ClientFailure failure, Instant connection_made) {
  if (response.has_value()) {
    OnProbeAnswer(*response, connection_made);
    return;
  }
  // Only a refused connection, with no other connection open, shows that the worker ended. A worker
  // at its connection limit resets new connections instead of refusing them, and one that closed
  // its listening socket may still process requests or hold keys, which must not be granted to
  // others before its grants have expired.
  OnProbeFailed(failure == http::ClientFailure::kRefused && ConnectionsEnded());
}

// `refused`: nothing listens at the worker's address, and its connections have ended.
void WorkerMonitor::OnProbeFailed(bool refused) {
  refused_probes_ = refused ? refused_probes_ + 1 : 0;
  ++failed_probes_;
  if (refused && !worker_id_.empty() && observer_.on_ended) observer_.on_ended(worker_id_);
  if (worker_id_.empty() && !initial_search_) return;
  if (refused_probes_ >= kMinRefusedProbes) {
    MarkDead("nothing listens");
  } else if (IsSilent() && failed_probes_ >= kMinSilentProbes) {
    MarkDead("silent");
  } else {
    probe_timer_.Start(kProbeInterval);
  }
}

// The operating system closes all connections of a process immediately when it ends. If this
// process never had a connection to the worker, the absence of open ones shows nothing.
bool WorkerMonitor::ConnectionsEnded() const {
  if (!NoConnectionOpen()) return false;
  const Instant lost_at =
      std::max(pool_.LostAt(settings_.worker), order_pool_.LostAt(settings_.worker));
  return lost_at != Instant{} && lost_at >= heard_at_;
}

void WorkerMonitor::OnProbeAnswer(const http::Response& response, Instant connection_made) {
  const auto stated = wire_.DecodeStatedIdentity(response.headers);
  if (absl::IsInvalidArgument(stated.status())) {
    log_.Write(LogLevel::kWarning, "health_answer_refused",
               {{"worker", worker_id_}, {"reason", std::string(stated.status().message())}});
    OnProbeFailed(/*refused=*/false);
    return;
  }
  if (const std::string* request_id = response.headers.Find(wire_.headers().request_id)) {
    log_.Write(LogLevel::kWarning, "health_check_answer_names_request",
               {{"request", *request_id}, {"worker", worker_id_}});
  }
  if (stated.ok()) {
    OnIdentifiedAnswer(*stated, response, connection_made);
  } else {
    NoteAnswer();
  }
  // A worker at its capacity limit refuses probes without stating its identity.
  const bool asks_again = !Confirmed() || (cold_state_tracked_ && ColdStateUnknown());
  if (!worker_id_.empty() && asks_again) probe_timer_.Start(kProbeInterval);
}

void WorkerMonitor::OnIdentifiedAnswer(const std::string& identity, const http::Response& response,
                                       Instant connection_made) {
  if (!worker_id_.empty() && identity == wire_.StatedIdentity(worker_id_)) {
    OnWorkerAnswered(probe_sent_at_, connection_made);
  } else {
    OnOtherIdentity(identity, probe_sent_at_);
    if (worker_id_.empty()) {
      if (initial_search_ && IsSilent()) MarkDead("no worker of this service answers");
      return;
    }
  }
  OnProbeColdState(response);
  if (response.headers.Has(wire_.headers().worker_leaving)) OnWorkerLeaving();
  if (observer_.on_health_answer) observer_.on_health_answer(probe_sent_at_, response.headers);
}

Duration WorkerMonitor::MaxSilence() const {
  return std::chrono::duration_cast<Duration>(settings_.heartbeat_interval * kSilentIntervals);
}

bool WorkerMonitor::IsSilent() const { return loop_.Now() - heard_at_ > MaxSilence(); }

void WorkerMonitor::CheckSilence() {
  if (worker_id_.empty() && !initial_search_) return;
  if (!IsSilent()) return;
  if (initial_search_ && health_path_.empty()) {
    MarkDead("silent");
  } else {
    OnWorkerUnreachable();
  }
}

void WorkerMonitor::MarkDead(const char* reason) {
  log_.Write(LogLevel::kWarning, initial_search_ ? "worker_not_found" : "worker_lost",
             {{"worker", worker_id_},
              {"reason", std::string(reason)},
              {"failed_probes", failed_probes_},
              {"silence_ms", ToMilliseconds(loop_.Now() - heard_at_)}});
  // If the worker was merely silent, it may return under the same identity.
  worker_id_.clear();
  initial_search_ = false;
  draining_ = false;
  observer_.on_changed(refused_probes_ >= kMinRefusedProbes);
}

}  // namespace runshelf::sidecar
