// The simulated platform: a revisioned key-value service with compare-and-swap and the list of live
// and leaving machines, with outages, slowness, a rate limit and lost answers.
//
// Clients reach it over the simulated network. Every call ends in exactly one call of `done`, with
// the status codes of infrastructure::KeyValueStore.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/infrastructure/machine_list.h"
#include "tools/sim/network.h"

namespace runshelf::sim {

template <typename Result>
using Done = std::function<void(absl::StatusOr<Result>)>;

// All changes below a prefix after a revision, in order.
struct Changes {
  int64_t revision = 0;  // Of the store after the last change.
  std::vector<std::vector<infrastructure::WatchEvent>> transactions;
};

enum class PlatformMode { kUp, kRefusing, kSilent };

struct PlatformFaults {
  PlatformMode mode = PlatformMode::kUp;
  Duration slowness{0};      // Before a call takes effect, and again before its answer.
  double lost_answers = 0;   // Share of commits whose answer is lost.
  double refused_share = 0;  // Share of calls refused by the rate limit.
};

class Platform {
 public:
  using CommitObserver =
      std::function<void(int64_t revision, const std::vector<infrastructure::Write>&)>;
  using LeavingObserver = std::function<void(const std::string& node)>;

  Platform(EventQueue& queue, Network& network, Random& random);

  void Range(HostIndex from, const std::string& prefix, Done<infrastructure::RangeResult> done);
  void Commit(HostIndex from, std::vector<infrastructure::Condition> conditions,
              std::vector<infrastructure::Write> writes, Done<infrastructure::CommitResult> done);
  void ChangesSince(HostIndex from, const std::string& prefix, int64_t revision,
                    Done<Changes> done);
  void ReadMachines(HostIndex from, Done<infrastructure::MachineListSnapshot> done);

  // What is true of a machine; the list shows it after the lag. nullopt: gone.
  void SetMachine(const std::string& node, std::optional<infrastructure::Machine> machine);
  void SetListLag(Duration lag) { list_lag_ = lag; }

  void SetFaults(const PlatformFaults& faults);
  // Since when the service has worked normally without a break; nullopt while it does not.
  std::optional<TrueTime> up_since() const { return up_since_; }

  // Observers for the judge; called when a commit took effect, and whenever an answer
  // that says that a machine is leaving has reached its reader.
  void ObserveCommits(CommitObserver observer) { on_commit_ = std::move(observer); }
  void ObserveLeaving(LeavingObserver observer) { on_leaving_ = std::move(observer); }

  // Reads and writes at once, without network and faults; for set-up and for the judge.
  infrastructure::RangeResult RangeNow(const std::string& prefix) const;
  infrastructure::CommitResult CommitNow(const std::vector<infrastructure::Condition>& conditions,
                                         const std::vector<infrastructure::Write>& writes);

  HostIndex host() const { return host_; }

 private:
  struct Transaction {
    int64_t revision = 0;
    std::vector<infrastructure::WatchEvent> events;
  };

  // Carries `serve`, which computes the answer at the service, there and back.
  template <typename Result>
  void Call(HostIndex from, bool is_write, std::function<Result()> serve, Done<Result> done);

  Changes ChangesNow(const std::string& prefix, int64_t revision) const;
  infrastructure::MachineListSnapshot MachinesNow() const;
  void ReportLeaving(const infrastructure::MachineListSnapshot& machines) const;
  bool Chance(double probability);

  EventQueue& queue_;
  Network& network_;
  Random& random_;
  HostIndex host_;
  PlatformFaults faults_;
  std::optional<TrueTime> up_since_;
  Duration list_lag_ = std::chrono::seconds(2);

  int64_t revision_ = 1;
  std::map<std::string, infrastructure::KeyValue> values_;
  std::vector<Transaction> transactions_;

  uint64_t list_version_ = 1;
  std::map<std::string, infrastructure::Machine> listed_;

  CommitObserver on_commit_;
  LeavingObserver on_leaving_;
};

}  // namespace runshelf::sim
