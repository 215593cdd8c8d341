#include "tools/sim/platform.h"

#include <utility>

namespace runshelf::sim {
namespace {

constexpr const char* kPlatformZone = "platform";
constexpr Duration kClientTimeout = std::chrono::seconds(1);
constexpr Duration kServiceTime = std::chrono::milliseconds(1);
constexpr uint64_t kChanceResolution = 1'000'000;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// One call under way: whichever comes first, the answer or the client's timeout, ends it.
template <typename Result>
struct PendingCall {
  bool ended = false;
  Done<Result> done;

  void End(absl::StatusOr<Result> result) {
    if (ended) {
      return;
    }
    ended = true;
    done(std::move(result));
  }
};

}  // namespace

Platform::Platform(EventQueue& queue, Network& network, Random& random)
    : queue_(queue),
      network_(network),
      random_(random),
      host_(network.AddHost(kPlatformZone)),
      up_since_(queue.Now()) {}

template <typename Result>
void Platform::Call(HostIndex from, bool is_write, std::function<Result()> serve,
                    Done<Result> done) {
  auto call = std::make_shared<PendingCall<Result>>();
  call->done = std::move(done);
  queue_.After(kClientTimeout, [call, is_write] {
    call->End(is_write ? absl::UnknownError("no answer") : absl::UnavailableError("no answer"));
  });
  const auto answer = [this, call, from](absl::StatusOr<Result> result) {
    network_.SendStream(host_, from, [call, result] { call->End(result); });
  };
  const auto arrive = [this, answer, is_write, serve = std::move(serve)] {
    if (faults_.mode == PlatformMode::kSilent) {
      return;
    }
    if (faults_.mode == PlatformMode::kRefusing) {
      answer(absl::UnavailableError("the platform is away"));
      return;
    }
    if (Chance(faults_.refused_share)) {
      answer(absl::ResourceExhaustedError("rate limit"));
      return;
    }
    const Duration slowness = faults_.slowness;
    const bool lose_answer = is_write && Chance(faults_.lost_answers);
    queue_.After(kServiceTime + slowness, [this, answer, serve, slowness, lose_answer] {
      Result result = serve();
      if (!lose_answer) {
        queue_.After(slowness, [answer, result = std::move(result)] { answer(result); });
      }
    });
  };
  network_.SendStream(from, host_, arrive);
}

void Platform::Range(HostIndex from, const std::string& prefix,
                     Done<infrastructure::RangeResult> done) {
  Call<infrastructure::RangeResult>(
      from, false, [this, prefix] { return RangeNow(prefix); }, std::move(done));
}

void Platform::Commit(HostIndex from, std::vector<infrastructure::Condition> conditions,
                      std::vector<infrastructure::Write> writes,
                      Done<infrastructure::CommitResult> done) {
  Call<infrastructure::CommitResult>(
      from, true,
      [this, conditions = std::move(conditions), writes = std::move(writes)] {
        return CommitNow(conditions, writes);
      },
      std::move(done));
}

void Platform::ChangesSince(HostIndex from, const std::string& prefix, int64_t revision,
                            Done<Changes> done) {
  Call<Changes>(
      from, false, [this, prefix, revision] { return ChangesNow(prefix, revision); },
      std::move(done));
}

void Platform::ReadMachines(HostIndex from, Done<infrastructure::MachineListSnapshot> done) {
  const auto observed =
      [this, done = std::move(done)](absl::StatusOr<infrastructure::MachineListSnapshot> machines) {
        if (machines.ok()) {
          ReportLeaving(*machines);
        }
        done(std::move(machines));
      };
  Call<infrastructure::MachineListSnapshot>(
      from, false, [this] { return MachinesNow(); }, observed);
}

void Platform::ReportLeaving(const infrastructure::MachineListSnapshot& machines) const {
  for (const infrastructure::Machine& machine : machines.machines) {
    if (machine.state == infrastructure::MachineState::kLeaving && on_leaving_) {
      on_leaving_(machine.node);
    }
  }
}

void Platform::SetMachine(const std::string& node, std::optional<infrastructure::Machine> machine) {
  queue_.After(list_lag_, [this, node, machine = std::move(machine)] {
    ++list_version_;
    if (machine) {
      listed_[node] = *machine;
    } else {
      listed_.erase(node);
    }
  });
}

void Platform::SetFaults(const PlatformFaults& faults) {
  faults_ = faults;
  const bool up = faults.mode == PlatformMode::kUp && faults.slowness == Duration(0) &&
                  faults.refused_share == 0;
  if (!up) {
    up_since_.reset();
  } else if (!up_since_) {
    up_since_ = queue_.Now();
  }
}

infrastructure::RangeResult Platform::RangeNow(const std::string& prefix) const {
  infrastructure::RangeResult result;
  result.revision = revision_;
  for (auto value = values_.lower_bound(prefix);
       value != values_.end() && StartsWith(value->first, prefix); ++value) {
    result.key_values.push_back(value->second);
  }
  return result;
}

infrastructure::CommitResult Platform::CommitNow(
    const std::vector<infrastructure::Condition>& conditions,
    const std::vector<infrastructure::Write>& writes) {
  for (const infrastructure::Condition& condition : conditions) {
    const auto value = values_.find(condition.key);
    const int64_t actual = value == values_.end() ? 0 : value->second.mod_revision;
    if (actual != condition.mod_revision) {
      return infrastructure::CommitResult{false, revision_};
    }
  }
  ++revision_;
  Transaction transaction;
  transaction.revision = revision_;
  for (const infrastructure::Write& write : writes) {
    infrastructure::WatchEvent event;
    event.key_value.key = write.key;
    event.key_value.mod_revision = revision_;
    event.deleted = !write.value.has_value();
    if (event.deleted) {
      values_.erase(write.key);
    } else {
      infrastructure::KeyValue& value = values_[write.key];
      value.create_revision = value.create_revision == 0 ? revision_ : value.create_revision;
      value.key = write.key;
      value.value = *write.value;
      value.mod_revision = revision_;
      value.lease = write.lease;
      event.key_value = value;
    }
    transaction.events.push_back(std::move(event));
  }
  transactions_.push_back(std::move(transaction));
  if (on_commit_) {
    on_commit_(revision_, writes);
  }
  return infrastructure::CommitResult{true, revision_};
}

Changes Platform::ChangesNow(const std::string& prefix, int64_t revision) const {
  Changes changes;
  changes.revision = revision_;
  for (const Transaction& transaction : transactions_) {
    if (transaction.revision <= revision) {
      continue;
    }
    std::vector<infrastructure::WatchEvent> events;
    for (const infrastructure::WatchEvent& event : transaction.events) {
      if (StartsWith(event.key_value.key, prefix)) {
        events.push_back(event);
      }
    }
    if (!events.empty()) {
      changes.transactions.push_back(std::move(events));
    }
  }
  return changes;
}

infrastructure::MachineListSnapshot Platform::MachinesNow() const {
  infrastructure::MachineListSnapshot snapshot;
  snapshot.version = list_version_;
  for (const auto& [node, machine] : listed_) {
    snapshot.machines.push_back(machine);
  }
  return snapshot;
}

bool Platform::Chance(double probability) {
  if (probability <= 0) {
    return false;
  }
  return static_cast<double>(random_.Below(kChanceResolution)) <
         probability * static_cast<double>(kChanceResolution);
}

}  // namespace runshelf::sim
