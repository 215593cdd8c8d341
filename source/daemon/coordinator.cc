#include "source/daemon/coordinator.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "runshelf/common/log.h"
#include "runshelf/coordination/message_json.h"

namespace runshelf::daemon {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);

// Writes a log line with any number of fields as one "fields" text, since LogEvent takes a list
// that is known when compiling.
void LogNodeEvent(const coordination::LogAction& action) {
  const LogLevel level = action.warning ? LogLevel::kWarning : LogLevel::kInfo;
  const auto& fields = action.fields;
  const auto field = [&](size_t i) { return LogField(fields[i].first, fields[i].second); };
  switch (fields.size()) {
    case 0:
      LogEvent(level, action.event, {});
      return;
    case 1:
      LogEvent(level, action.event, {field(0)});
      return;
    case 2:
      LogEvent(level, action.event, {field(0), field(1)});
      return;
    case 3:
      LogEvent(level, action.event, {field(0), field(1), field(2)});
      return;
    default:
      LogEvent(level, action.event, {field(0), field(1), field(2), field(3)});
  }
}

}  // namespace

Coordinator::Coordinator(const Clock& clock, NodeFactory make_node, std::string group,
                         Published<routing::RoutingSnapshot>& routes)
    : clock_(clock),
      group_(std::move(group)),
      routes_(routes),
      make_node_(std::move(make_node)),
      node_(make_node_()) {}

Coordinator::~Coordinator() { Stop(); }

void Coordinator::Start(NodeEffects effects) {
  const std::lock_guard lock(mutex_);
  effects_ = std::move(effects);
  started_ = true;
  tick_thread_ = std::thread([this] { TickLoop(); });
}

void Coordinator::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stop_changed_.notify_all();
  }
  if (tick_thread_.joinable()) {
    tick_thread_.join();
  }
}

void Coordinator::OnMessage(const std::string& message) {
  const absl::StatusOr<coordination::Envelope> envelope = coordination::DecodeEnvelope(message);
  if (!envelope.ok()) {
    LogEvent(LogLevel::kDebug, "control_message_refused",
             {{"reason", std::string(envelope.status().message())}, {"bytes", message.size()}});
    return;
  }
  if (envelope->group == group_) {
    With([&](coordination::Node& node, Instant now) { node.Receive(now, *envelope); });
  }
}

void Coordinator::With(const std::function<void(coordination::Node& node, Instant now)>& event) {
  std::unique_lock lock(mutex_);
  if (!started_ || stopping_ || restarting_) {
    return;
  }
  event(*node_, clock_.Now());
  const std::vector<coordination::Action> actions = TakeActionsLocked();
  lock.unlock();
  CarryOut(actions);
}

std::optional<coordination::ServerGrant> Coordinator::GrantToPush() {
  std::optional<coordination::ServerGrant> grant;
  With([&](coordination::Node& node, Instant now) { grant = node.GrantToPush(now); });
  return grant;
}

coordination::NodeStatus Coordinator::Status() const {
  const std::lock_guard lock(mutex_);
  return node_->Status(clock_.Now());
}

bool Coordinator::FollowsPlatform() const {
  const std::lock_guard lock(mutex_);
  return node_->FollowsPlatform(clock_.Now());
}

bool Coordinator::IsLeaving() const {
  const std::lock_guard lock(mutex_);
  return node_->IsLeaving();
}

bool Coordinator::MayStop() const {
  const std::lock_guard lock(mutex_);
  return node_->MayStop(clock_.Now());
}

// The clock is read again under the lock: `now` may be old when the thread waited for it.
std::optional<FencingToken> Coordinator::Enter(Instant, SlotNumber slot) {
  const std::lock_guard lock(mutex_);
  if (restarting_) {
    return std::nullopt;
  }
  const std::optional<FencingToken> token = node_->Enter(clock_.Now(), slot);
  entered_ += token.has_value() ? 1 : 0;
  return token;
}

void Coordinator::Leave(SlotNumber slot) {
  const std::lock_guard lock(mutex_);
  node_->Leave(clock_.Now(), slot);
  --entered_;
}

std::optional<Instant> Coordinator::HeldSince(Instant, SlotNumber slot) const {
  const std::lock_guard lock(mutex_);
  return node_->HeldSince(clock_.Now(), slot);
}

std::vector<coordination::Action> Coordinator::TakeActionsLocked() {
  std::vector<coordination::Action> actions = node_->TakeActions();
  for (const coordination::Action& action : actions) {
    if (const auto* restart = std::get_if<coordination::RestartInstance>(&action)) {
      LogEvent(LogLevel::kWarning, "instance_restarting", {{"reason", restart->reason}});
      restarting_ = true;
    }
  }
  routes_.Publish(node_->Routes());
  return actions;
}

void Coordinator::CarryOut(const std::vector<coordination::Action>& actions) {
  for (const coordination::Action& action : actions) {
    if (const auto* send = std::get_if<coordination::SendMessage>(&action)) {
      effects_.send(send->address, coordination::EncodeEnvelope(send->envelope));
    } else if (std::holds_alternative<coordination::PushGrant>(action)) {
      effects_.push_grant();
    } else if (std::holds_alternative<coordination::ReadGroupRecord>(action)) {
      effects_.read_group_record();
    } else if (const auto* write = std::get_if<coordination::WriteGroupRecord>(&action)) {
      effects_.write_group_record(*write);
    } else if (const auto* log = std::get_if<coordination::LogAction>(&action)) {
      LogNodeEvent(*log);
    }
  }
}

void Coordinator::RestartIfDue() {
  if (restarting_ && entered_ == 0) {
    node_ = make_node_();
    restarting_ = false;
  }
}

void Coordinator::TickLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    RestartIfDue();
    if (!restarting_) {
      node_->Tick(clock_.Now());
    }
    const std::vector<coordination::Action> actions = TakeActionsLocked();
    lock.unlock();
    CarryOut(actions);
    lock.lock();
    stop_changed_.wait_for(lock, kTickInterval, [this] { return stopping_; });
  }
}

}  // namespace runshelf::daemon
