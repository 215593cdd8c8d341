// Judges table edits: what the platform accepted against what each instance has in force.
//
// reverted_edit: the table of an instance goes back to an older revision, differs from the accepted
// edits up to its revision, or lacks an edit that was accepted more than 5 s ago although the
// instance could reach the others and the platform was up since then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tools/sim/report.h"

namespace runshelf::sim {

// The text of each cell by its store key; equal for equal tables.
using TableContent = std::map<std::string, std::string>;

// What one instance has in force when it is looked at.
struct TableInForce {
  std::string instance;  // InstanceId as text: one run of a daemon.
  int64_t revision = 0;
  TableContent content;
  TrueTime reachable_since{};  // It could reach the others, without a break, since then.
};

class TableJudge {
 public:
  explicit TableJudge(ViolationLog& violations) : violations_(violations) {}

  // The platform accepted a write of table cells; `content` is the whole table after it.
  void OnAccepted(TrueTime at, int64_t revision, TableContent content);

  // `platform_up_since`: without a break; nullopt while it is away.
  void OnLook(TrueTime at, const TableInForce& table, std::optional<TrueTime> platform_up_since);

  uint64_t edits_accepted() const { return accepted_.size(); }

 private:
  struct Accepted {
    TrueTime at{};
    TableContent content;
  };

  void CheckContent(TrueTime at, const TableInForce& table);
  void CheckInForce(TrueTime at, const TableInForce& table, TrueTime platform_up_since);

  ViolationLog& violations_;
  std::map<int64_t, Accepted> accepted_;             // By revision.
  std::map<std::string, int64_t> last_revisions_;    // Of each instance.
  std::set<std::pair<std::string, int64_t>> known_;  // Violations that were counted.
};

}  // namespace runshelf::sim
