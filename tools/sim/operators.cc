#include "tools/sim/operators.h"

#include <fmt/format.h>

#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

constexpr int64_t kWeightStep = 10;
constexpr uint64_t kLargestWeight = 100;

bool IsAccepted(table::EditOutcome outcome) { return outcome == table::EditOutcome::kAccepted; }

}  // namespace

Operators::Operators(EventQueue& queue, Network& network, Platform& platform, Judge& judge,
                     Random& random, const Deployment& deployment, const NaiveParts& naive,
                     const OperatorConfig& config)
    : queue_(queue),
      network_(network),
      platform_(platform),
      judge_(judge),
      random_(random.Next()),
      deployment_(deployment),
      naive_(naive),
      config_(config),
      host_(network_.AddHost(kClientZone)) {}

void Operators::CreateTable() {
  std::vector<infrastructure::Write> writes;
  for (const ServiceLayout& service : deployment_.services) {
    int64_t weight = kWeightStep * static_cast<int64_t>(deployment_.caller_classes.size());
    for (const std::string& caller_class : deployment_.caller_classes) {
      const table::CellValue value{weight, std::nullopt};
      writes.push_back({table::StoreKey({service.name, caller_class}),
                        table::EncodeStoredCell(value, fmt::format("{:032x}", 1)), 0});
      weight -= kWeightStep;
    }
  }
  platform_.CommitNow({}, writes);
}

void Operators::Start() {
  running_ = true;
  for (uint32_t number = 0; number < config_.operators; ++number) {
    const Duration delay = random_.Between(config_.shortest_pause, config_.longest_pause);
    tasks_.push_back(std::make_unique<BlockingTask>(
        queue_, delay, [this, number](BlockingTask& task) { Run(task, number); }));
  }
}

void Operators::Run(BlockingTask& task, uint32_t number) {
  SimulatedStore store(task, platform_, host_);
  table::TableEditor editor(store, random_, [&task](Duration pause) { task.Sleep(pause); });
  while (running_ && !task.abandoned()) {
    if (naive_.whole_table_write) {
      const table::CellKey key = DrawCell();
      const auto weight = static_cast<int64_t>(1 + random_.Below(kLargestWeight));
      judge_.table().OnEditBegun(table::StoreKey(key));
      const table::EditResult result = WriteWholeTable(store, key, {weight, std::nullopt});
      judge_.table().OnEditTold(table::StoreKey(key), result);
    } else {
      Edit(task, editor, number);
    }
    task.Sleep(random_.Between(config_.shortest_pause, config_.longest_pause));
  }
}

void Operators::Edit(BlockingTask& task, table::TableEditor& editor, uint32_t number) {
  const table::CellKey key = DrawCell();
  const auto weight = static_cast<int64_t>(1 + random_.Below(kLargestWeight));
  const std::string store_key = table::StoreKey(key);
  judge_.table().OnEditBegun(store_key);
  const table::EditOrigin origin{fmt::format("operator-{}", number), 0};
  const table::EditResult result = editor.SetCell(origin, key, {weight, std::nullopt});
  if (task.abandoned()) {
    return;
  }
  if (IsAccepted(result.outcome)) {
    Trace("edit", fmt::format("cell={} revision={}", store_key, result.revision));
  }
  judge_.table().OnEditTold(store_key, result);
}

// The naive editor: reads the table, changes one cell and writes all cells back.
table::EditResult Operators::WriteWholeTable(SimulatedStore& store, const table::CellKey& key,
                                             const table::CellValue& value) {
  table::EditResult result;
  result.outcome = table::EditOutcome::kNotAccepted;
  const auto range = store.Range(std::string(table::kTablePrefix));
  if (!range.ok()) {
    return result;
  }
  result.edit_id = fmt::format("{:016x}{:016x}", random_.Next(), random_.Next());
  std::vector<infrastructure::Write> writes;
  for (const infrastructure::KeyValue& cell : range->key_values) {
    const bool edited = cell.key == table::StoreKey(key);
    writes.push_back(
        {cell.key, edited ? table::EncodeStoredCell(value, result.edit_id) : cell.value, 0});
  }
  const auto commit = store.Commit({}, writes);
  if (commit.ok() && commit->succeeded) {
    result.outcome = table::EditOutcome::kAccepted;
    result.revision = commit->revision;
  } else {
    result.outcome = table::EditOutcome::kUndetermined;
  }
  return result;
}

table::CellKey Operators::DrawCell() {
  // A quarter of the cells, so that operators often meet.
  const ServiceLayout& service = deployment_.services[random_.Below(2)];
  return {service.name, deployment_.caller_classes[random_.Below(2)]};
}

}  // namespace runshelf::sim
