// Judges table edits: what the platform accepted against what operators were told and what each
// instance has in force.
//
// reverted_edit: the table of an instance goes back to an older revision, differs from the accepted
// edits up to its revision, or lacks an edit that was accepted more than 5 s ago although the
// instance could reach the others and the platform was up since then; an edit that an operator was
// told to be accepted is not in the platform, or was overwritten by an edit that did not name its
// cell; an edit that an operator was told not to be accepted is in the platform.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/table_editor.h"
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

  // The platform accepted these writes; those outside the table are ignored.
  void OnCommit(TrueTime at, int64_t revision, const std::vector<infrastructure::Write>& writes);

  // An operator begins an edit of one cell, and is told what became of it. An edit of which
  // nothing is told in the end may be in force or not.
  void OnEditBegun(const std::string& store_key);
  void OnEditTold(const std::string& store_key, const table::EditResult& result);

  // `platform_up_since`: without a break; nullopt while it is away.
  void OnLook(TrueTime at, const TableInForce& table, std::optional<TrueTime> platform_up_since);

  void JudgeEnd(TrueTime at);

  uint64_t edits_accepted() const { return edits_accepted_; }

 private:
  struct Commit {
    TrueTime at{};
    TableContent content;              // Of the whole table after it.
    std::vector<std::string> changed;  // Cells whose value differs from before.
  };
  struct ToldEdit {
    std::string store_key;
    table::EditResult result;
  };

  void CheckContent(TrueTime at, const TableInForce& table);
  void CheckInForce(TrueTime at, const TableInForce& table, TrueTime platform_up_since);
  void JudgeTold(TrueTime at, const ToldEdit& edit);
  void JudgeOverwrites(TrueTime at);

  ViolationLog& violations_;
  std::map<int64_t, Commit> commits_;                // By revision.
  std::map<std::string, int64_t> last_revisions_;    // Of each instance.
  std::set<std::pair<std::string, int64_t>> known_;  // Violations that were counted.
  std::map<std::string, int> open_edits_;            // By cell.
  std::set<std::string> undetermined_cells_;
  std::vector<ToldEdit> told_;
  uint64_t edits_accepted_ = 0;
};

}  // namespace runshelf::sim
