#include "tools/sim/table_judge.h"

#include <fmt/format.h>

#include <algorithm>

#include "runshelf/table/store_records.h"

namespace runshelf::sim {
namespace {

constexpr Duration kInForceWithin = std::chrono::seconds(5);

bool IsCell(const std::string& store_key) { return store_key.starts_with(table::kTablePrefix); }

}  // namespace

void TableJudge::OnCommit(TrueTime at, int64_t revision,
                          const std::vector<infrastructure::Write>& writes) {
  Commit commit;
  commit.at = at;
  if (!commits_.empty()) {
    commit.content = commits_.rbegin()->second.content;
  }
  bool any_cell = false;
  for (const infrastructure::Write& write : writes) {
    if (!IsCell(write.key)) {
      continue;
    }
    any_cell = true;
    const std::string value = write.value.value_or("");
    if (commit.content[write.key] != value) {
      commit.changed.push_back(write.key);
    }
    commit.content[write.key] = value;
    if (!write.value) {
      commit.content.erase(write.key);
    }
  }
  if (any_cell) {
    commits_[revision] = std::move(commit);
  }
}

void TableJudge::OnEditBegun(const std::string& store_key) { ++open_edits_[store_key]; }

void TableJudge::OnEditTold(const std::string& store_key, const table::EditResult& result) {
  --open_edits_[store_key];
  if (result.outcome == table::EditOutcome::kUndetermined) {
    undetermined_cells_.insert(store_key);
    return;
  }
  edits_accepted_ += result.outcome == table::EditOutcome::kAccepted ? 1U : 0U;
  told_.push_back({store_key, result});
}

void TableJudge::OnLook(TrueTime at, const TableInForce& table,
                        std::optional<TrueTime> platform_up_since) {
  int64_t& last = last_revisions_[table.instance];
  if (table.revision < last) {
    violations_.Add(
        ViolationKind::kRevertedEdit, at,
        fmt::format("instance={} revision={} after={}", table.instance, table.revision, last));
  }
  last = table.revision;
  CheckContent(at, table);
  if (platform_up_since) {
    CheckInForce(at, table, *platform_up_since);
  }
}

void TableJudge::CheckContent(TrueTime at, const TableInForce& table) {
  const auto next = commits_.upper_bound(table.revision);
  const TableContent expected =
      next == commits_.begin() ? TableContent{} : std::prev(next)->second.content;
  if (expected == table.content || !known_.emplace(table.instance, -table.revision).second) {
    return;
  }
  violations_.Add(
      ViolationKind::kRevertedEdit, at,
      fmt::format("instance={} revision={} cells={} expected_cells={} content=differs",
                  table.instance, table.revision, table.content.size(), expected.size()));
}

void TableJudge::CheckInForce(TrueTime at, const TableInForce& table, TrueTime platform_up_since) {
  const TrueTime since = std::max(table.reachable_since, platform_up_since);
  for (auto commit = commits_.upper_bound(table.revision); commit != commits_.end(); ++commit) {
    const bool due = std::max(commit->second.at, since) + kInForceWithin < at;
    if (due && known_.emplace(table.instance, commit->first).second) {
      violations_.Add(
          ViolationKind::kRevertedEdit, at,
          fmt::format("instance={} revision={} lacks={} accepted_us={}", table.instance,
                      table.revision, commit->first, ToMicroseconds(commit->second.at)));
    }
  }
}

void TableJudge::JudgeEnd(TrueTime at) {
  for (const auto& [store_key, open] : open_edits_) {
    if (open > 0) {
      undetermined_cells_.insert(store_key);
    }
  }
  for (const ToldEdit& edit : told_) {
    JudgeTold(at, edit);
  }
  JudgeOverwrites(at);
}

void TableJudge::JudgeTold(TrueTime at, const ToldEdit& edit) {
  bool found = false;
  for (const auto& [revision, commit] : commits_) {
    const auto cell = commit.content.find(edit.store_key);
    found = found || (!edit.result.edit_id.empty() && cell != commit.content.end() &&
                      cell->second.find(edit.result.edit_id) != std::string::npos);
  }
  const bool accepted = edit.result.outcome == table::EditOutcome::kAccepted;
  if (accepted != found) {
    violations_.Add(
        ViolationKind::kRevertedEdit, at,
        fmt::format("cell={} edit={} told={} in_platform={}", edit.store_key, edit.result.edit_id,
                    table::EditOutcomeName(edit.result.outcome), found));
  }
}

// Every change of a cell after the first table must be one that an operator asked for.
void TableJudge::JudgeOverwrites(TrueTime at) {
  std::set<std::pair<int64_t, std::string>> asked_for;
  for (const ToldEdit& edit : told_) {
    asked_for.emplace(edit.result.revision, edit.store_key);
  }
  for (const auto& [revision, commit] : commits_) {
    if (revision == commits_.begin()->first) {
      continue;
    }
    for (const std::string& cell : commit.changed) {
      if (asked_for.contains({revision, cell}) || undetermined_cells_.contains(cell)) {
        continue;
      }
      violations_.Add(ViolationKind::kRevertedEdit, at,
                      fmt::format("cell={} overwritten_at_revision={}", cell, revision));
    }
  }
}

}  // namespace runshelf::sim
