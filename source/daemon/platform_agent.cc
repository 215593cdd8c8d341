#include "source/daemon/platform_agent.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "runshelf/common/log.h"
#include "runshelf/coordination/message_json.h"
#include "runshelf/table/table_source.h"

namespace runshelf::daemon {
namespace {

constexpr size_t kMaxGroupTasks = 16;

// How often a daemon that does not follow the platform looks whether it should.
constexpr Duration kFollowCheckInterval = std::chrono::milliseconds(100);

// How often such a daemon reads the machine list.
constexpr Duration kRareMachineListInterval = std::chrono::seconds(10);

constexpr char kGroupRecordPrefix[] = "/runshelf/group/";

}  // namespace

PlatformAgent::PlatformAgent(const Clock& clock, infrastructure::KeyValueStore& store,
                             infrastructure::MachineList& machines, table::TableMirror& mirror,
                             Published<table::Table>& table, Coordinator& coordinator,
                             PlatformAgentOptions options)
    : clock_(clock),
      store_(store),
      machines_(machines),
      mirror_(mirror),
      table_(table),
      coordinator_(coordinator),
      options_(std::move(options)),
      record_key_(kGroupRecordPrefix + options_.group) {}

PlatformAgent::~PlatformAgent() { Stop(); }

void PlatformAgent::Start() {
  table_thread_ = std::thread([this] { TableLoop(); });
  machine_list_thread_ = std::thread([this] { MachineListLoop(); });
  group_record_thread_ = std::thread([this] { GroupRecordLoop(); });
}

void PlatformAgent::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  for (std::thread* thread : {&table_thread_, &machine_list_thread_, &group_record_thread_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void PlatformAgent::ReadGroupRecord() {
  const std::lock_guard lock(mutex_);
  const bool read_waits =
      std::any_of(group_tasks_.begin(), group_tasks_.end(),
                  [](const GroupTask& task) { return std::holds_alternative<ReadTask>(task); });
  if (!read_waits) {
    group_tasks_.emplace_back(ReadTask{});
    changed_.notify_all();
  }
}

void PlatformAgent::WriteGroupRecord(const coordination::WriteGroupRecord& write) {
  const std::lock_guard lock(mutex_);
  if (group_tasks_.size() < kMaxGroupTasks) {
    group_tasks_.emplace_back(write);
    changed_.notify_all();
  }
}

Duration PlatformAgent::AwayFor() const {
  const std::lock_guard lock(mutex_);
  return away_since_.has_value() ? clock_.Now() - *away_since_ : Duration::zero();
}

void PlatformAgent::TableLoop() {
  table::TableSourceCallbacks callbacks;
  callbacks.on_table = [this](const table::TableSnapshot& snapshot) {
    table_.Publish(mirror_.Current());
    LogEvent(LogLevel::kInfo, "table_updated",
             {{"revision", snapshot->revision()}, {"source", "platform"}});
  };
  callbacks.on_platform = [this](bool reachable) { NoteReachable(reachable); };
  table::TableSource source(
      store_, mirror_, clock_, random_, [this](Duration duration) { Pause(duration); }, callbacks);
  // Daemons that do not follow the platform get the table from their leader.
  do {
    if (coordinator_.FollowsPlatform()) {
      source.Run([this] { return IsStopping() || !coordinator_.FollowsPlatform(); });
    }
  } while (Pause(kFollowCheckInterval));
}

void PlatformAgent::MachineListLoop() {
  bool reachable = true;
  do {
    const absl::StatusOr<infrastructure::MachineListSnapshot> machines = machines_.Read();
    if (machines.ok()) {
      coordinator_.With([&](coordination::Node& node, Instant now) {
        node.OnPlatformContact(now);
        node.OnMachineList(now, *machines);
      });
    }
    if (machines.ok() != reachable) {
      LogEvent(machines.ok() ? LogLevel::kInfo : LogLevel::kWarning,
               machines.ok() ? "machine_list_back" : "machine_list_away",
               {{"reason", std::string(machines.status().message())}});
    }
    reachable = machines.ok();
  } while (Pause(coordinator_.FollowsPlatform() ? options_.machine_list_interval
                                                : kRareMachineListInterval));
}

void PlatformAgent::GroupRecordLoop() {
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !group_tasks_.empty(); });
    if (stopping_) {
      return;
    }
    const GroupTask task = std::move(group_tasks_.front());
    group_tasks_.pop_front();
    lock.unlock();
    RunGroupTask(task);
  }
}

void PlatformAgent::RunGroupTask(const GroupTask& task) {
  if (const auto* write = std::get_if<coordination::WriteGroupRecord>(&task)) {
    WriteRecord(*write);
  } else {
    ReadRecord();
  }
}

// An unreadable answer is dropped: the node asks again.
void PlatformAgent::ReadRecord() {
  const absl::StatusOr<infrastructure::RangeResult> range = store_.Range(record_key_);
  NoteReachable(range.ok());
  if (!range.ok()) {
    return;
  }
  std::optional<coordination::GroupRecord> record;
  int64_t revision = 0;
  for (const infrastructure::KeyValue& entry : range->key_values) {
    if (entry.key != record_key_) {
      continue;
    }
    absl::StatusOr<coordination::GroupRecord> decoded =
        coordination::DecodeGroupRecord(entry.value);
    if (!decoded.ok()) {
      LogEvent(LogLevel::kError, "group_record_malformed",
               {{"reason", std::string(decoded.status().message())}});
      return;
    }
    record = std::move(*decoded);
    revision = entry.mod_revision;
  }
  coordinator_.With(
      [&](coordination::Node& node, Instant now) { node.OnGroupRecord(now, record, revision); });
}

void PlatformAgent::WriteRecord(const coordination::WriteGroupRecord& write) {
  const infrastructure::Condition unchanged{record_key_, write.expected_revision};
  const infrastructure::Write record{record_key_, coordination::EncodeGroupRecord(write.record), 0};
  const absl::StatusOr<infrastructure::CommitResult> result = store_.Commit({unchanged}, {record});
  NoteReachable(result.ok());
  if (absl::IsUnknown(result.status())) {
    ReadRecord();  // The write may have taken effect: only the record itself can tell.
    return;
  }
  const bool succeeded = result.ok() && result->succeeded;
  const int64_t revision = result.ok() ? result->revision : 0;
  coordinator_.With([&](coordination::Node& node, Instant now) {
    node.OnGroupRecordWritten(now, succeeded, revision);
  });
}

void PlatformAgent::NoteReachable(bool reachable) {
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    changed = away_since_.has_value() == reachable;
    if (reachable) {
      away_since_.reset();
    } else if (!away_since_.has_value()) {
      away_since_ = clock_.Now();
    }
  }
  if (changed) {
    LogEvent(reachable ? LogLevel::kInfo : LogLevel::kWarning,
             reachable ? "platform_back" : "platform_away", {});
  }
  if (reachable) {
    coordinator_.With([](coordination::Node& node, Instant now) { node.OnPlatformContact(now); });
  }
}

// Returns false when the agent stops.
bool PlatformAgent::Pause(Duration duration) {
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, duration, [this] { return stopping_; });
}

bool PlatformAgent::IsStopping() const {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

}  // namespace runshelf::daemon
