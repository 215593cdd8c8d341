// Talks to the platform on behalf of the daemon: table, machine list and group record, each on a
// thread of its own, so that an outage of one does not hold up another.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/coordination/node.h"
#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/infrastructure/machine_list.h"
#include "runshelf/table/table_mirror.h"
#include "source/daemon/coordinator.h"

namespace runshelf::daemon {

struct PlatformAgentOptions {
  std::string group;
  Duration machine_list_interval = std::chrono::milliseconds(500);
};

// Safe for use by several threads at once.
class PlatformAgent {
 public:
  // All references must outlive the agent.
  PlatformAgent(const Clock& clock, infrastructure::KeyValueStore& store,
                infrastructure::MachineList& machines, table::TableMirror& mirror,
                Published<table::Table>& table, Coordinator& coordinator,
                PlatformAgentOptions options);
  ~PlatformAgent();

  PlatformAgent(const PlatformAgent&) = delete;
  PlatformAgent& operator=(const PlatformAgent&) = delete;

  void Start();
  void Stop();

  // Queue a read or a write of the group record; answered to the coordinator. Never block.
  void ReadGroupRecord();
  void WriteGroupRecord(const coordination::WriteGroupRecord& write);

  // For how long the key-value service has not answered; zero while it does.
  Duration AwayFor() const;

 private:
  struct ReadTask {};
  using GroupTask = std::variant<ReadTask, coordination::WriteGroupRecord>;

  void TableLoop();
  void MachineListLoop();
  void GroupRecordLoop();
  void RunGroupTask(const GroupTask& task);
  void ReadRecord();
  void WriteRecord(const coordination::WriteGroupRecord& write);
  void NoteReachable(bool reachable);
  bool Pause(Duration duration);
  bool IsStopping() const;

  const Clock& clock_;
  infrastructure::KeyValueStore& store_;
  infrastructure::MachineList& machines_;
  table::TableMirror& mirror_;
  Published<table::Table>& table_;
  Coordinator& coordinator_;
  const PlatformAgentOptions options_;
  const std::string record_key_;
  SystemRandom random_;  // Of the table thread only.
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<GroupTask> group_tasks_;
  std::optional<Instant> away_since_;
  bool stopping_ = false;
  std::thread table_thread_;
  std::thread machine_list_thread_;
  std::thread group_record_thread_;
};

}  // namespace runshelf::daemon
