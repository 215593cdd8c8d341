#include "source/sidecar/worker_monitor.h"

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
// Heartbeats that may be missed before a worker that does not answer counts as silent.
constexpr double kSilentIntervals = 2.5;
// Probes in a row that must fail: at once when nothing listens at the address, else for silence.
constexpr uint32_t kRefusedProbes = 3;
constexpr uint32_t kSilentProbes = 2;
// The longest that the answer to a heartbeat waits: a worker takes none after a second, and the
// heartbeat itself was some time on its way.
constexpr Duration kLongestDeferral = std::chrono::milliseconds(600);
// A heartbeat may arrive this much later than it was sent, when a link or this process stood still,
// and when its worker has ended already. A worker that answers no health check is known by it
// alone.
constexpr Duration kHeartbeatLateness = std::chrono::seconds(2);
// How often a waiting answer is looked at again.
constexpr Duration kDeferralPoll = std::chrono::milliseconds(20);

}  // namespace

WorkerMonitor::WorkerMonitor(event::EventLoop& loop, http::ConnectionPool& pool,
                             store::StoreClient& store, const WireFormat& wire,
                             const Settings& settings, std::string drain_key, LogWriter& log,
                             Observer observer)
    : loop_(loop),
      pool_(pool),
      store_(store),
      wire_(wire),
      settings_(settings),
      drain_key_(std::move(drain_key)),
      log_(log),
      observer_(std::move(observer)),
      probe_timer_(loop, [this] { Probe(); }),
      silence_timer_(loop, [this] { CheckSilence(); }),
      deferred_timer_(loop, [this] { ContinueDeferred(); }) {}

WorkerMonitor::~WorkerMonitor() = default;

WorkerState WorkerMonitor::state() const {
  if (worker_id_.empty()) return WorkerState::kAbsent;
  return draining_ ? WorkerState::kDraining : WorkerState::kReady;
}

void WorkerMonitor::OnDrainRecord(const std::string& worker_id, store::Revision revision) {
  if (revision < drain_revision_) return;
  recorded_drain_ = worker_id;
  drain_revision_ = revision;
  if (worker_id == worker_id_ && !worker_id.empty()) MarkDraining();
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

// Only the answer to the newest heartbeat says what the worker is to hold: one that comes late, or
// twice, tells of keys that may have moved since.
void WorkerMonitor::AcknowledgeHeartbeat(const http::ExchangePtr& exchange,
                                         const WorkerHeartbeat& heartbeat) {
  Acknowledge(exchange, IsNewest(heartbeat) && observer_.lessor != nullptr
                            ? observer_.lessor->LeaseFor(heartbeat)
                            : std::nullopt);
}

bool WorkerMonitor::IsNewest(const WorkerHeartbeat& heartbeat) const {
  return heartbeat.worker_id == worker_id_ && heartbeat.sequence == sequence_;
}

void WorkerMonitor::Defer(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat,
                          bool noted) {
  // A worker that sends another heartbeat waits for the former answer no more.
  if (deferred_.has_value()) AnswerDeferred();
  deferred_ = DeferredHeartbeat{exchange, heartbeat, noted};
  deferred_timer_.Start(kDeferralPoll);
}

void WorkerMonitor::AnswerDeferred() {
  const DeferredHeartbeat deferred = *std::exchange(deferred_, std::nullopt);
  if (deferred.noted) {
    AcknowledgeHeartbeat(deferred.exchange, deferred.heartbeat);
  } else {
    deferred.exchange->Respond(kServiceUnavailable, {}, "");
  }
}

void WorkerMonitor::ContinueDeferred() {
  if (!deferred_.has_value()) return;
  const bool over = loop_.Now() - deferred_->exchange->received() >= kLongestDeferral;
  const bool known = deferred_->noted ? !observer_.lessor->AwaitsKeys() : synchronized_;
  if (!over && !known && (!deferred_->noted || IsNewest(deferred_->heartbeat))) {
    deferred_timer_.Start(kDeferralPoll);
    return;
  }
  if (deferred_->noted || !synchronized_) {
    AnswerDeferred();
    return;
  }
  const DeferredHeartbeat deferred = *std::exchange(deferred_, std::nullopt);
  OnHeartbeat(deferred.exchange, deferred.heartbeat);
}

void WorkerMonitor::OnHeartbeat(const http::ExchangePtr& exchange,
                                const WorkerHeartbeat& heartbeat) {
  if (!synchronized_) {
    // Whether this worker is leaving is not known yet.
    Defer(exchange, heartbeat, /*noted=*/false);
    return;
  }
  const bool former = former_workers_.contains(heartbeat.worker_id);
  if (former || heartbeat.service != settings_.worker_service) {
    Acknowledge(exchange, std::nullopt);
    return;
  }
  if (heartbeat.worker_id != worker_id_) AdoptWorker(heartbeat.worker_id, Instant{});
  heard_at_ = loop_.Now();
  if (heartbeat.born != born_) {
    log_.Write(LogLevel::kInfo, "worker_life",
               {{"worker", heartbeat.worker_id},
                {"born", heartbeat.born.value_or(0)},
                {"former_born", born_.value_or(0)},
                {"sequence", heartbeat.sequence}});
    born_ = heartbeat.born;
  }
  if (heartbeat.sequence > sequence_) {
    Confirm(loop_.Now() - kHeartbeatLateness);
    sequence_ = heartbeat.sequence;
    cold_until_ = loop_.Now() + heartbeat.cold_remaining;
    if (heartbeat.slots != slots_) {
      slots_ = heartbeat.slots;
      observer_.on_changed(false);
    }
    if (observer_.lessor != nullptr) observer_.lessor->OnKeyReport(heartbeat);
  }
  if (heartbeat.draining) {
    RecordDrain(exchange, heartbeat.worker_id,
                [this, exchange, heartbeat] { AcknowledgeHeartbeat(exchange, heartbeat); });
  } else if (IsNewest(heartbeat) && observer_.lessor != nullptr && observer_.lessor->AwaitsKeys() &&
             loop_.Now() - exchange->received() < kLongestDeferral) {
    Defer(exchange, heartbeat, /*noted=*/true);
  } else {
    AcknowledgeHeartbeat(exchange, heartbeat);
  }
}

void WorkerMonitor::OnLeave(const http::ExchangePtr& exchange, const WorkerLeave& leave) {
  if (!synchronized_) {
    exchange->Respond(kServiceUnavailable, {}, "");
  } else if (former_workers_.contains(leave.worker_id)) {
    Acknowledge(exchange, std::nullopt);
  } else {
    if (leave.worker_id != worker_id_) AdoptWorker(leave.worker_id, Instant{});
    RecordDrain(exchange, leave.worker_id,
                [this, exchange] { Acknowledge(exchange, std::nullopt); });
  }
}

void WorkerMonitor::AdoptWorker(const std::string& worker_id, Instant alive_at) {
  const bool replaced = !worker_id_.empty();
  if (replaced) former_workers_.insert(worker_id_);
  log_.Write(LogLevel::kInfo, "worker_found",
             {{"worker", worker_id},
              {"former", worker_id_},
              {"recorded_draining", worker_id == recorded_drain_}});
  worker_id_ = worker_id;
  seeking_ = false;
  sequence_ = -1;
  draining_ = worker_id == recorded_drain_;
  draining_since_ = Instant{};
  heard_at_ = loop_.Now();
  failed_probes_ = 0;
  refused_probes_ = 0;
  probe_timer_.Stop();
  confirmed_at_ = alive_at;
  doubted_at_ = alive_at == Instant{} ? loop_.Now() : Instant{};
  if (slots_ == 0) slots_ = 1;
  observer_.on_changed(replaced);
}

void WorkerMonitor::Doubt() {
  if (worker_id_.empty()) return;
  if (confirmed()) doubted_at_ = loop_.Now();
  AskIdentity();
}

void WorkerMonitor::AskIdentity() {
  if (!worker_id_.empty() && !confirmed()) OnWorkerUnreachable();
}

void WorkerMonitor::Confirm(Instant alive_at) {
  const bool before = confirmed();
  confirmed_at_ = std::max(confirmed_at_, alive_at);
  if (!before && confirmed() && observer_.on_confirmed) observer_.on_confirmed();
}

void WorkerMonitor::MarkDraining() {
  if (draining_) return;
  draining_ = true;
  draining_since_ = loop_.Now();
  log_.Write(LogLevel::kInfo, "worker_draining", {{"worker", worker_id_}});
  observer_.on_changed(false);
}

// Calls `acknowledge` once the store knows that the worker leaves; else the worker is told to try
// again.
void WorkerMonitor::RecordDrain(const http::ExchangePtr& exchange, const std::string& worker_id,
                                std::function<void()> acknowledge) {
  MarkDraining();
  if (recorded_drain_ == worker_id) {
    acknowledge();
    return;
  }
  store::Transaction transaction;
  transaction.conditions.push_back({drain_key_, drain_revision_});
  transaction.puts.push_back({drain_key_, worker_id, 0});
  store_.Commit(transaction, [this, exchange, worker_id, acknowledge = std::move(acknowledge)](
                                 absl::StatusOr<store::CommitResult> result) {
    if (!result.ok()) {
      exchange->Respond(kServiceUnavailable, {}, "");
      return;
    }
    if (result->outcome == store::CommitOutcome::kCommitted) {
      OnDrainRecord(worker_id, result->revision);
      acknowledge();
      return;
    }
    // Another write came first, perhaps this one's lost twin.
    drain_revision_ = 0;
    recorded_drain_.clear();
    for (const store::Item& item : result->found) OnDrainRecord(item.value, item.revision);
    RecordDrain(exchange, worker_id, acknowledge);
  });
}

void WorkerMonitor::OnWorkerAnswered(Instant sent) {
  heard_at_ = loop_.Now();
  failed_probes_ = 0;
  refused_probes_ = 0;
  Confirm(sent);
}

void WorkerMonitor::OnWorkerUnreachable() {
  if (!probe_timer_.active() && probe_ == nullptr) probe_timer_.Start(Duration(0));
}

void WorkerMonitor::OnOtherWorker(const std::string& worker_id) {
  if (worker_id == worker_id_) return;
  former_workers_.erase(worker_id);
  AdoptWorker(worker_id, Instant{});
}

void WorkerMonitor::Probe() {
  if (probe_ != nullptr || health_path_.empty()) return;
  http::Request request = wire_.EncodeHealthCheck(health_path_);
  request.head.headers.Set("Host", settings_.worker.ToString());
  http::CallOptions options;
  // Longer than the whole probe: only a refused connection counts as "not sent".
  options.connect_timeout = 2 * kProbeTimeout;
  probe_sent_at_ = loop_.Now();
  probe_ = std::make_unique<http::SimpleCall>(
      loop_, pool_, settings_.worker, http::SerializeRequest(request.head, ""), options,
      kProbeTimeout,
      [this](const std::optional<http::Response>& response, http::ClientFailure failure) {
        const auto finished = std::move(probe_);
        OnProbe(response, failure);
      });
}

void WorkerMonitor::OnProbe(const std::optional<http::Response>& response,
                            http::ClientFailure failure) {
  if (response.has_value()) {
    OnProbeAnswer(*response);
    return;
  }
  // Nothing listens there. A worker at its limit of connections resets new ones, and one that closed
  // its listening socket may still be at work: its keys must not be given to others before its
  // grants have run out. An ended process leaves no connection open.
  const bool refused = failure == http::ClientFailure::kRefused &&
                       !pool_.HasOpenConnection(settings_.worker, loop_.Now());
  refused_probes_ = refused ? refused_probes_ + 1 : 0;
  ++failed_probes_;
  if (worker_id_.empty() && !seeking_) return;
  const Duration silence = loop_.Now() - heard_at_;
  const bool silent = silence > std::chrono::duration_cast<Duration>(settings_.heartbeat_interval *
                                                                     kSilentIntervals);
  if (refused_probes_ >= kRefusedProbes) {
    MarkDead("nothing listens");
  } else if (silent && failed_probes_ >= kSilentProbes) {
    MarkDead("silent");
  } else {
    probe_timer_.Start(kProbeInterval);
  }
}

void WorkerMonitor::OnProbeAnswer(const http::Response& response) {
  heard_at_ = loop_.Now();
  failed_probes_ = 0;
  refused_probes_ = 0;
  const std::string* id = response.headers.Find(wire_.headers().worker_id);
  const bool named = id != nullptr && !id->empty();
  if (named && *id == worker_id_) {
    Confirm(probe_sent_at_);
  } else if (named) {
    former_workers_.erase(*id);
    AdoptWorker(*id, probe_sent_at_);
  }
  // A full worker refuses probes without a word of who it is.
  if (!worker_id_.empty() && !confirmed()) probe_timer_.Start(kProbeInterval);
}

void WorkerMonitor::CheckSilence() {
  if (worker_id_.empty() && !seeking_) return;
  const Duration limit =
      std::chrono::duration_cast<Duration>(settings_.heartbeat_interval * kSilentIntervals);
  if (loop_.Now() - heard_at_ <= limit) return;
  if (seeking_ && health_path_.empty()) {
    MarkDead("silent");
  } else {
    OnWorkerUnreachable();
  }
}

void WorkerMonitor::MarkDead(const char* reason) {
  log_.Write(LogLevel::kWarning, seeking_ ? "worker_not_found" : "worker_lost",
             {{"worker", worker_id_},
              {"reason", std::string(reason)},
              {"failed_probes", failed_probes_},
              {"silence_ms", ToMilliseconds(loop_.Now() - heard_at_)}});
  // It may come back under the same identity when it was merely silent.
  worker_id_.clear();
  seeking_ = false;
  draining_ = false;
  observer_.on_changed(refused_probes_ >= kRefusedProbes);
}

}  // namespace runshelf::sidecar
