#include "tools/sim/table_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::sim {
namespace {

constexpr Duration kInForceWithin = std::chrono::seconds(5);

}  // namespace

void TableJudge::OnAccepted(TrueTime at, int64_t revision, TableContent content) {
  accepted_[revision] = Accepted{at, std::move(content)};
}

void TableJudge::OnLook(TrueTime at, const TableInForce& table,
                        std::optional<TrueTime> platform_up_since) {
  int64_t& last = last_revisions_[table.instance];
  if (table.revision < last) {
    violations_.Add(ViolationKind::kRevertedEdit, at,
                    fmt::format("instance={} revision={} after={}", table.instance, table.revision,
                                last));
  }
  last = table.revision;
  CheckContent(at, table);
  if (platform_up_since) {
    CheckInForce(at, table, *platform_up_since);
  }
}

void TableJudge::CheckContent(TrueTime at, const TableInForce& table) {
  auto next = accepted_.upper_bound(table.revision);
  const TableContent expected = next == accepted_.begin() ? TableContent{}
                                                          : std::prev(next)->second.content;
  if (expected == table.content || !known_.emplace(table.instance, -table.revision).second) {
    return;
  }
  violations_.Add(ViolationKind::kRevertedEdit, at,
                  fmt::format("instance={} revision={} cells={} expected_cells={} content=differs",
                              table.instance, table.revision, table.content.size(),
                              expected.size()));
}

void TableJudge::CheckInForce(TrueTime at, const TableInForce& table, TrueTime platform_up_since) {
  const TrueTime since = std::max(table.reachable_since, platform_up_since);
  for (auto edit = accepted_.upper_bound(table.revision); edit != accepted_.end(); ++edit) {
    const bool due = std::max(edit->second.at, since) + kInForceWithin < at;
    if (due && known_.emplace(table.instance, edit->first).second) {
      violations_.Add(ViolationKind::kRevertedEdit, at,
                      fmt::format("instance={} revision={} lacks={} accepted_us={}",
                                  table.instance, table.revision, edit->first,
                                  ToMicroseconds(edit->second.at)));
    }
  }
}

}  // namespace runshelf::sim
