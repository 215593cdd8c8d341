#include "source/daemon/fleet_limits.h"

#include <utility>
#include <variant>

#include "runshelf/common/log.h"

namespace runshelf::daemon {
namespace {

using admission::ShareGrant;
using admission::ShareReport;
using coordination::NodeStatus;

constexpr unsigned kGenerationShift = 40;

// One number for each leadership: terms start over with each generation of the group.
uint64_t LeadershipNumber(const NodeStatus& status) {
  return (status.generation << kGenerationShift) + status.term;
}

// Returns an empty text when the instance is not registered.
std::string PeerAddressOf(const NodeStatus& status, const InstanceId& instance) {
  for (const ownership::NodeRecord& node : status.nodes) {
    if (node.instance == instance) {
      return node.peer_address;
    }
  }
  return "";
}

}  // namespace

FleetLimits::FleetLimits(const Clock& clock, Coordinator& coordinator, SharedRateLimiter& limiter,
                         const Published<table::Table>& table, std::string group,
                         double clock_rate_margin)
    : clock_(clock),
      coordinator_(coordinator),
      limiter_(limiter),
      table_(table),
      group_(std::move(group)) {
  config_.clock_rate_margin = clock_rate_margin;
}

FleetLimits::~FleetLimits() { Stop(); }

void FleetLimits::Start(SendFunction send) {
  send_ = std::move(send);
  thread_ = std::thread([this] { ReportLoop(); });
}

void FleetLimits::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stop_changed_.notify_all();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void FleetLimits::OnMessage(const std::string& text) {
  const absl::StatusOr<LimitMessage> message = DecodeLimitMessage(text);
  if (!message.ok() || message->group != group_) {
    LogEvent(LogLevel::kDebug, "limit_message_refused", {{"bytes", text.size()}});
    return;
  }
  if (const auto* report = std::get_if<ShareReport>(&message->body)) {
    OnReport(*report);
  } else {
    ApplyGrant(std::get<ShareGrant>(message->body));
  }
}

void FleetLimits::ReportLoop() {
  std::unique_lock lock(mutex_);
  while (!stop_changed_.wait_for(lock, config_.renewal_interval, [this] { return stopping_; })) {
    lock.unlock();
    Report();
    lock.lock();
  }
}

void FleetLimits::Report() {
  const NodeStatus status = coordinator_.Status();
  const std::string leader_address = PeerAddressOf(status, status.leader);
  if (leader_address.empty()) {
    return;
  }
  ShareReport report;
  {
    const std::lock_guard lock(limiter_.mutex);
    report = limiter_.limiter.MakeReport(clock_.Now(), LeadershipNumber(status));
  }
  send_(leader_address, EncodeLimitMessage({group_, std::move(report)}));
}

void FleetLimits::OnReport(const ShareReport& report) {
  NodeStatus status;
  Instant now;
  // The tick makes a process that was paused notice that it leads no longer.
  coordinator_.With([&](coordination::Node& node, Instant time) {
    now = time;
    node.Tick(time);
    status = node.Status(time);
  });
  const std::string address = PeerAddressOf(status, report.instance);
  if (!status.is_leader || address.empty()) {
    return;
  }
  const std::optional<ShareGrant> grant = Allocate(now, status, report);
  if (grant.has_value()) {
    send_(address, EncodeLimitMessage({group_, *grant}));
  }
}

std::optional<ShareGrant> FleetLimits::Allocate(Instant now, const NodeStatus& status,
                                                const ShareReport& report) {
  const table::TableSnapshot table = table_.Current();
  const admission::LimitLookup limit_of =
      [&](const std::string& service, const std::string& caller_class) -> std::optional<double> {
    const table::Cell* cell = table->Lookup(service, caller_class);
    if (cell == nullptr || !cell->value.limit.has_value()) {
      return std::nullopt;
    }
    return static_cast<double>(*cell->value.limit);
  };
  const std::lock_guard lock(mutex_);
  const uint64_t term = LeadershipNumber(status);
  if (!allocator_.has_value() || allocator_term_ != term) {
    allocator_.emplace(config_, term, now);
    allocator_term_ = term;
  }
  allocator_->Tick(now);
  return allocator_->OnReport(now, report, status.nodes.size(), limit_of);
}

void FleetLimits::ApplyGrant(const ShareGrant& grant) {
  const std::lock_guard lock(limiter_.mutex);
  limiter_.limiter.ApplyGrant(clock_.Now(), grant);
}

}  // namespace runshelf::daemon
